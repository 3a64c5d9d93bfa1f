"""A small stand-in for the users' platform: its object store with watches, and
endpoints that hold records. One process, one thread a connection."""

import http.server
import json
import os
import socket
import struct
import threading
import time
import urllib.parse

OBJECTS = "/trefoilmill/objects/"
HEALTH_PATH = "/health"
WATCH_POLL_S = 0.02
GONE = "history is gone"
# How a store fails towards a host: calls that arrive are accepted and never
# answered, while those that wait already go on afterwards ("silent") or are
# never answered, either ("dropped"); their connections are reset ("reset");
# they are rejected ("busy", "many"); they take effect, and replies are never
# sent ("lost"), cut off in the middle ("half") or late ("slow").
OUTAGE_FORMS = ("silent", "dropped", "reset", "busy", "many", "lost", "half",
                "slow")
REJECTIONS = {"busy": 503, "many": 429}
SLOW_REPLY_S = 0.24
NEVER_ANSWERED = "no reply is sent"
ALL_HOSTS = ""


class Store:
    """Objects by kind and name, with one counter of revisions."""

    def __init__(self):
        self._lock = threading.Lock()
        self._revision = 1
        self._objects = {}
        self._events = []
        self.down = False
        # Added to each reply.
        self.delay_s = 0.0
        self.calls = 0
        self.era = 1
        # What stands in replies in place of marks.
        self.raw = {}
        # Forms of outages, by the IP number of the host that meets them.
        self._outages = {}

    def fail(self, form, hosts=(ALL_HOSTS,)):
        """Begins an outage of one of OUTAGE_FORMS, for some hosts or all."""
        assert form in OUTAGE_FORMS, form
        self._outages |= dict.fromkeys(hosts, form)

    def mend(self):
        """Ends all outages."""
        self._outages = {}

    def outage(self, host):
        """The form of the outage that a host meets, or None."""
        return self._outages.get(host, self._outages.get(ALL_HOSTS))

    def configure(self, **attributes):
        """Sets `down` or `delay_s`."""
        for name, value in attributes.items():
            setattr(self, name, value)

    def backup(self):
        """Returns a copy of the content, for restore()."""
        with self._lock:
            return self._revision, dict(self._objects), list(self._events)

    def restore(self, copy):
        """Goes back to an earlier content; revisions are given out again."""
        with self._lock:
            revision, objects, events = copy
            self._revision = revision
            self._objects = dict(objects)
            self._events = list(events)
            self.era += 1

    def get(self, kind, name):
        """Returns the spec of an object, or None."""
        with self._lock:
            item = self._objects.get((kind, name))
            return None if item is None else item["spec"]

    def put(self, kind, name, spec):
        with self._lock:
            self._revision += 1
            item = {"meta": {"name": name, "revision": self._revision},
                    "spec": spec, "status": None}
            self._objects[(kind, name)] = item
            self._events.append((self._revision, kind, item, False))
            return item

    def put_raw(self, kind, name, text):
        """Writes an object whose spec is `text`, bytes that need not be JSON."""
        mark = f"raw text of {kind} {name}"
        self.raw[json.dumps(mark).encode()] = text
        self.put(kind, name, mark)

    def status(self, kind, name):
        """Returns what the system wrote of an object, or None."""
        with self._lock:
            item = self._objects.get((kind, name))
            return None if item is None else item["status"]

    def put_status(self, kind, name, status, revision):
        """Replaces the status, unless the object has changed since `revision`.
        Returns the object, and whether it was written."""
        with self._lock:
            item = self._objects.get((kind, name))
            if item is None or item["meta"]["revision"] != revision:
                return item, False
            self._revision += 1
            item = item | {"status": status, "meta": item["meta"] | {
                "revision": self._revision}}
            self._objects[(kind, name)] = item
            self._events.append((self._revision, kind, item, False))
            return item, True

    def delete(self, kind, name):
        with self._lock:
            self._revision += 1
            item = self._objects.pop((kind, name))
            self._events.append((self._revision, kind, item, True))

    def exists(self, kind, name):
        return (kind, name) in self._objects

    def list(self, kind):
        with self._lock:
            items = [item for (k, _), item in sorted(self._objects.items())
                     if k == kind]
            return {"items": items, "has_more": False, "as_of": self._revision}

    def watch(self, kind, since, wait_s, host=None):
        until = time.monotonic() + wait_s
        era = self.era
        while not self.down and self.era == era:
            outage = self.outage(host)
            if outage in ("dropped", "reset"):
                return NEVER_ANSWERED
            if outage in ("silent", *REJECTIONS):
                time.sleep(WATCH_POLL_S)
                continue
            with self._lock:
                if since > self._revision:
                    return GONE
                events = [{"object": item, "deleted": deleted}
                          for at, k, item, deleted in self._events
                          if k == kind and at > since]
                if events or time.monotonic() >= until:
                    return {"events": events, "as_of": self._revision}
            time.sleep(WATCH_POLL_S)
        return None


class Endpoint:
    """What one endpoint knows and does."""

    def __init__(self, instance, records=b"", delay_s=0.0):
        self.instance = instance
        self.records = records
        self.delay_s = delay_s
        self.fails = False
        # Answers each so manieth request with an error; 0 for none.
        self.error_every = 0
        self.refuses = False
        # Seconds of the Retry-After header of refusals; None sends none.
        self.retry_after_s = None
        self.leaving = False
        # Requests per second that it says it takes from all hosts; None for
        # no limit.
        self.limit = None
        # Time of arrival of each request, refused ones too.
        self.arrivals = []
        # Each request that it began to run; with the time, too.
        self.runs = []
        self.run_times = []
        # Headers of the requests that it began to run, by request id.
        self.headers = {}
        # Called with the path of each request that it begins to run; whether
        # the request ends the endpoint.
        self.is_fatal = lambda path: False
        # Called when such a request has run for `delay_s`.
        self.on_fatal = lambda: None


class Links:
    """Links between hosts and endpoints, by the host's IP number: "hang" (no
    response), "reset" (closed, new connections too) or "refuse" (only new
    connections are closed). A host that is not named has its links."""

    def __init__(self):
        self.modes = {}

    def accepts(self, ip):
        return self.modes.get(ip) not in ("reset", "refuse")

    def carries(self, ip):
        """Whether a request of the host reaches the endpoint, or its reply the
        host; waits while the link hangs."""
        hung = False
        while self.modes.get(ip) == "hang":
            hung = True
            time.sleep(0.05)
        return not hung and self.modes.get(ip) != "reset"


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def setup(self):
        self.life = self.server.life
        super().setup()

    def _serve(self):
        size = int(self.headers.get("Content-Length", 0))
        content = self.rfile.read(size)
        reply = None
        if not self.server.has_ended(self.life):
            reply = self.server.respond(self, content)
        if reply is None or self.server.has_ended(self.life):
            self.close_connection = True
            return
        status, headers, body = reply
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    do_GET = do_POST = do_PUT = do_DELETE = _serve

    def log_message(self, *_):
        pass


def _wait_for_close(connection):
    """Returns once the peer has closed a connection."""
    try:
        while connection.recv(1):
            pass
    except OSError:
        """It was reset."""


def _send_half(request, reply):
    """Sends the head of a reply and half of its body."""
    status, headers, body = reply
    request.send_response(status)
    for name, value in headers.items():
        request.send_header(name, value)
    request.send_header("Content-Length", str(len(body)))
    request.end_headers()
    request.wfile.write(body[:len(body) // 2])


def _reset(connection):
    """Closes a connection with a reset."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                              struct.pack("ii", 1, 0))
        # Wakes its thread, which holds the socket open.
        connection.shutdown(socket.SHUT_RD)
        os.close(connection.detach())
    except OSError:
        """It was closed before."""


def _listen(ip, port, respond, links=None):
    class Server(http.server.ThreadingHTTPServer):
        daemon_threads = True
        request_queue_size = 64
        # How it is down, if it is, and how often it was started again.
        down = None
        life = 0

        def process_request(self, request, client_address):
            self.connections.append(request)
            super().process_request(request, client_address)

        def crash(self):
            """Ends as a process does that crashes: all connections are reset,
            and new ones refused, at once."""
            self.life += 1
            self.socket.shutdown(socket.SHUT_RDWR)
            for connection in self.connections:
                _reset(connection)
            self.shutdown()
            self.server_close()

        def go_down(self, form):
            """Ends as an endpoint does whose port stays open: with "reset" its
            connections are reset, new ones as soon as they are accepted; with
            "silent" nothing is read or written any more. Until start_again()."""
            self.down = form
            if form == "reset":
                for connection in self.connections:
                    _reset(connection)

        def verify_request(self, request, client_address):
            if self.down == "reset":
                _reset(request)
                return False
            return links is None or links.accepts(client_address[0])

        def start_again(self, respond):
            """Starts after go_down(), with the port still open."""
            self.life += 1
            connections, self.connections = self.connections, []
            for connection in connections:
                _reset(connection)
            self.respond = respond
            self.down = None

        def has_ended(self, life):
            """Whether the endpoint of a connection has ended, by the life in
            which that was accepted. Returns once it is not silent."""
            while self.down == "silent" and self.life == life:
                time.sleep(0.02)
            return self.life != life or self.down is not None

        def handle_error(self, request, client_address):
            """Peers that reset a connection are part of the tests."""

    server = Server((ip, port), Handler)
    server.connections = []
    server.respond = respond
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def serve_store(ip, port, store):
    """Serves the platform's store."""
    def respond(request, body):
        store.calls += 1
        time.sleep(store.delay_s)
        if store.down:
            return 503, {}, b""
        host = request.client_address[0]
        arrived_in = store.outage(host)
        if arrived_in in REJECTIONS:
            return REJECTIONS[arrived_in], {}, b""
        if arrived_in == "reset":
            _reset(request.connection)
            return None
        if arrived_in in ("silent", "dropped"):
            _wait_for_close(request.connection)
            return None
        reply = answer(request, body)
        # Of an outage in which it arrived, or which began while it waited.
        outage = arrived_in or store.outage(host)
        if outage == "lost" or (reply is NEVER_ANSWERED and outage != "reset"):
            _wait_for_close(request.connection)
            return None
        if reply is NEVER_ANSWERED:
            _reset(request.connection)
            return None
        if outage == "half":
            _send_half(request, reply)
            return None
        if outage == "slow":
            time.sleep(SLOW_REPLY_S)
        return reply

    def answer(request, body):
        era = {"Store-Era": str(store.era)}
        url = urllib.parse.urlsplit(request.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        kind, _, name = url.path[len(OBJECTS):].partition("/")
        if request.command == "GET" and "watch" in query:
            result = store.watch(kind, int(query["watch"]),
                                 int(query["wait_ms"]) / 1000,
                                 request.client_address[0])
            if result is NEVER_ANSWERED:
                return NEVER_ANSWERED
        elif request.command == "GET":
            result = store.list(kind)
        elif request.command == "DELETE":
            if not store.exists(kind, name):
                return 404, era, b"{}"
            store.delete(kind, name)
            result = {}
        elif name.endswith("/status"):
            value = json.loads(body)
            item, written = store.put_status(
                kind, name.removesuffix("/status"), value["status"],
                value["meta"]["revision"])
            if not written:
                return 404 if item is None else 409, era, json.dumps(
                    item).encode()
            result = item
        else:
            value = json.loads(body)
            name = name or value["meta"]["name"]
            if request.command == "POST" and store.exists(kind, name):
                return 409, era, b"{}"
            result = store.put(kind, name, value["spec"])
        if result is None:
            return 503, {"Store-Era": str(store.era)}, b""
        if result is GONE:
            return 410, era, b"{}"
        reply = json.dumps(result).encode()
        for mark, text in list(store.raw.items()):
            reply = reply.replace(mark, text)
        return 200, {"Content-Type": "application/json"} | era, reply

    return _listen(ip, port, respond)


def serve_endpoint(ip, port, endpoint, links=None):
    """Serves one endpoint."""
    return _listen(ip, port, endpoint_responder(endpoint, links), links)


def endpoint_responder(endpoint, links=None):
    """Returns the function that answers an endpoint's requests."""
    def respond(request, body):
        if links is not None and not links.carries(request.client_address[0]):
            return None
        notice = {"Server-Leaving": "1"} if endpoint.leaving else {}
        if endpoint.limit is not None:
            notice["Server-Limit"] = str(endpoint.limit)
        status, headers, reply = answer(request, body) or (None, {}, b"")
        if links is not None and not links.carries(request.client_address[0]):
            return None
        return None if status is None else (status, headers | notice, reply)

    def answer(request, body):
        if request.path == HEALTH_PATH:
            return 200, {"Trefoilmill-Instance-Id": endpoint.instance}, b""
        endpoint.arrivals.append(time.monotonic())
        identity = request.headers["Trefoilmill-Request-Id"]
        expected = request.headers.get("Trefoilmill-Expect-Instance")
        echo = {"Trefoilmill-Request-Id": identity}
        if expected not in (None, endpoint.instance):
            return 421, echo | {
                "Trefoilmill-Instance-Id": endpoint.instance}, b""
        if endpoint.refuses:
            headers = echo | {"Trefoilmill-Not-Executed": "1"}
            if endpoint.retry_after_s is not None:
                headers["Retry-After"] = str(endpoint.retry_after_s)
            return 503, headers, b""
        run = (identity, request.command, request.path, body)
        endpoint.runs.append(run)
        endpoint.headers[identity] = dict(request.headers)
        endpoint.run_times.append((time.monotonic(), run))
        fatal = endpoint.is_fatal(request.path)
        time.sleep(endpoint.delay_s)
        if fatal:
            endpoint.on_fatal()
            return None
        if endpoint.fails:
            return None
        headers = echo | {
            "Trefoilmill-Server-Stamp": f"{endpoint.instance}.{identity}"}
        failing = endpoint.error_every
        if failing and len(endpoint.runs) % failing == 0:
            return 500, headers, b""
        return 200, headers, endpoint.records

    return respond
