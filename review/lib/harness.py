"""Stand-ins for the scripts of this review: the platform's store, searchers,
clients, and the start of entry processes with the command of the deploy file.
All of them run in one asyncio loop; entry processes are separate processes."""

import asyncio
import json
import os
import pathlib
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

TOP = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FRONT, READINESS, CONTROL, DIRECTORY = 8226, 8227, 8224, 8225
STORE_PORT = 8229
OBJECTS = "/trefoilmill/objects/"
REGION = "great-lakes"
ZONES = ["cleveland", "toledo", "erie"]
HOSTNAME = "shop.example"

HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.began = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


# ---------------------------------------------------------------- HTTP

class Message:
    """A request or a response: its first line, headers in order, and body."""

    def __init__(self, line, headers, body):
        self.line, self.headers, self.body = line, headers, body

    def header(self, name, default=None):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def status(self):
        return int(self.line.split()[1])


async def read_head(reader):
    """The first line and the headers; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("ended inside a message") from error
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name, value.strip()))
    return lines[0], headers


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            while await reader.readuntil(b"\r\n") != b"\r\n":
                pass
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_message(reader, is_response=False, no_body=False):
    head = await read_head(reader)
    if head is None:
        return None
    message = Message(*head, b"")
    if no_body:
        return message
    length = message.header("Content-Length")
    if (message.header("Transfer-Encoding") or "").lower() == "chunked":
        message.body = await read_chunks(reader)
    elif length is not None:
        message.body = await reader.readexactly(int(length))
    elif is_response:
        message.body = await reader.read()
    return message


def make_response(status, headers, body):
    lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in headers),
             f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer):
    """Closes with a reset."""
    sock = writer.get_extra_info("socket")
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack("ii", 1, 0))
    except OSError:
        return  # It was closed before.
    writer.transport.abort()


# --------------------------------------------------------------- store

class Store:
    """The platform's store, as the pages describe it."""

    def __init__(self, ip):
        self.ip = ip
        self.revision = 1
        self.objects = {}
        self.events = []
        self.changed = asyncio.Condition()
        # Called with the caller's IP number; may wait, or return a status.
        self.hook = None

    @property
    def address(self):
        return f"{self.ip}:{STORE_PORT}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip,
                                                 STORE_PORT)

    async def put(self, kind, name, spec):
        self.revision += 1
        item = {"meta": {"name": name, "revision": self.revision,
                         "created": self.revision, "finalizers": [],
                         "deletion": False},
                "spec": spec, "status": None}
        self.objects[(kind, name)] = item
        self.events.append((self.revision, kind, item, False))
        async with self.changed:
            self.changed.notify_all()
        return item

    async def delete(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item is None:
            return
        self.revision += 1
        item = item | {"meta": item["meta"] | {"revision": self.revision}}
        self.events.append((self.revision, kind, item, True))
        async with self.changed:
            self.changed.notify_all()

    async def watch(self, kind, since, wait_s):
        until = time.monotonic() + wait_s
        while True:
            events = [{"object": item, "deleted": deleted}
                      for at, k, item, deleted in self.events
                      if k == kind and at > since]
            left = until - time.monotonic()
            if events or left <= 0:
                return {"events": events, "as_of": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def respond(self, request):
        method, target, _ = request.line.split(" ")
        path, _, query_text = target.partition("?")
        query = dict(p.partition("=")[::2] for p in query_text.split("&"))
        kind, _, name = path[len(OBJECTS):].partition("/")
        if method == "GET" and "watch" in query:
            return 200, await self.watch(kind, int(query["watch"]),
                                         int(query["wait_ms"]) / 1000)
        if method == "GET":
            items = [item for (k, n), item in sorted(self.objects.items())
                     if k == kind and n > query.get("after", "")]
            return 200, {"items": items, "has_more": False,
                         "as_of": self.revision}
        if method == "DELETE":
            if (kind, name) not in self.objects:
                return 404, {}
            await self.delete(kind, name)
            return 200, {}
        value = json.loads(request.body)
        name = name or value["meta"]["name"]
        present = self.objects.get((kind, name))
        if method == "POST" and present is not None:
            return 409, present
        if method == "PUT" and present is None:
            return 404, {}
        if method == "PUT" and present["spec"] == value["spec"]:
            return 200, present
        return 200, await self.put(kind, name, value["spec"])

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                status = None
                if self.hook is not None:
                    ip = writer.get_extra_info("peername")[0]
                    status = await self.hook(ip, request)
                if status is None:
                    status, body = await self.respond(request)
                else:
                    body = {}
                writer.write(make_response(
                    status, [("Content-Type", "application/json"),
                             ("Store-Era", "1")], json.dumps(body).encode()))
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


# ------------------------------------------------------------ searchers

class Run:
    """A request that a searcher began to run."""

    def __init__(self, searcher, request):
        method, target, _ = request.line.split(" ", 2)
        self.searcher, self.request = searcher, request
        self.id = request.header("Trefoilmill-Request-Id")
        self.method, self.target, self.body = method, target, request.body
        self.at = time.monotonic()


class Searcher:
    """One searcher. `behave`, if set, is called with (run, reader, writer) and
    may answer by itself; it returns None, bytes to send, or "reset"."""

    runs = []
    # IP numbers of machines that are partitioned from all searchers: what they
    # send, and what is sent to them, is held up until the partition ends.
    cut = set()

    def __init__(self, record, service, name, ip, port, zone, work_s=0.02,
                 slots=4):
        self.record, self.service, self.name = record, service, name
        self.ip, self.port, self.zone = ip, port, zone
        self.work_s, self.slots = work_s, slots
        self.behave = None
        self.writers = set()
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0

    def entry(self, state="ready"):
        self.sequence += 1
        return {"backend": self.service, "address": f"{self.ip}:{self.port}",
                "zone": self.zone, "version": "v1",
                "max_concurrency": self.slots, "state": state,
                "warmup_left_ms": 0, "sequence": self.sequence,
                "born": self.born}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    def good_answer(self, run, status=200, headers=()):
        records = b"".join(
            bytes([100 + n]) + self.name.encode()[:15].ljust(15, b"-")
            for n in range(2))
        return make_response(status, [
            ("Trefoilmill-Request-Id", run.id),
            ("Trefoilmill-Server-Stamp", f"{self.name}.{run.id}"), *headers],
            records)

    @staticmethod
    async def until_healed(writer):
        ip = writer.get_extra_info("peername")[0]
        while ip in Searcher.cut:
            await asyncio.sleep(0.02)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                await self.until_healed(writer)
                if not await self.answer(request, reader, writer):
                    break
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, reader, writer):
        """Returns whether the connection goes on."""
        target = request.line.split(" ")[1]
        if target == "/health":
            writer.write(make_response(
                200, [("Trefoilmill-Instance-Id", self.name)], b""))
            return True
        identity = request.header("Trefoilmill-Request-Id")
        expected = request.header("Trefoilmill-Expect-Instance")
        if identity is None:
            writer.write(make_response(
                400, [("Trefoilmill-Not-Executed", "1")], b""))
            return True
        if expected not in (None, self.name):
            writer.write(make_response(
                421, [("Trefoilmill-Request-Id", identity),
                      ("Trefoilmill-Not-Executed", "1")], b""))
            return True
        run = Run(self, request)
        Searcher.runs.append(run)
        self.record(f"run    {self.name} {request.line!r} id {run.id} "
                    f"body {run.body[:60]!r}")
        if self.behave is not None:
            reply = await self.behave(run, reader, writer)
        else:
            await asyncio.sleep(self.work_s)
            reply = self.good_answer(run)
        await self.until_healed(writer)
        if reply == "reset":
            reset(writer)
            return False
        if reply is None:
            return False
        if run.method == "HEAD":
            reply = reply.partition(b"\r\n\r\n")[0] + b"\r\n\r\n"
        writer.write(reply)
        await writer.drain()
        return True


# ------------------------------------------------------- entry processes

def lookup(fields, path):
    value = fields
    for key in path.split("."):
        if isinstance(value, list):
            value = value[int(key)] if int(key) < len(value) else None
        else:
            value = value.get(key) if isinstance(value, dict) else None
    return value


def render(template, fields):
    """The template, filled in as DEPLOY.md says, as far as it is used here."""
    def section(match):
        return match[2] if lookup(fields, match[1]) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                  flags=re.S)

    def value(match):
        found = lookup(fields, match[1])
        if match[2]:
            return json.dumps(found)
        if isinstance(found, list):
            return ",".join(map(str, found))
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


class Entry:
    """One machine with an entry process."""

    def __init__(self, fleet, number):
        self.fleet, self.number = fleet, number
        self.ip = f"{fleet.network}.1.{number + 1}"
        self.zone = ZONES[number % len(ZONES)]
        self.name = f"front-{self.zone}-{number + 1}"
        self.process = None
        self.starts = 0

    def fields(self):
        return {
            "node_name": self.name, "role": "entry", "machine_class": "front",
            "serves": ["front", "directory", "control"], "ip": self.ip,
            "zone": self.zone, "region": REGION,
            "listen": {"front": f"{self.ip}:{FRONT}",
                       "readiness": f"{self.ip}:{READINESS}",
                       "control": f"{self.ip}:{CONTROL}",
                       "directory": f"{self.ip}:{DIRECTORY}"},
            "internal_ports": [7740, 7755],
            "seeds": [f"{self.fleet.network}.1.{n + 1}:{CONTROL}"
                      for n in range(3)],
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260},
            "bounds": self.fleet.bounds,
            "platform": {"address": self.fleet.store.address}}

    def start(self):
        deploy = tomllib.loads((TOP / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["entry"]
        template = (TOP / role["template"]).read_text()
        path = self.fleet.folder / f"{self.name}.yaml"
        path.write_text(render(template, self.fields()))
        self.log = self.fleet.folder / f"{self.name}-{self.starts}.log"
        self.starts += 1
        with open(self.log, "wb") as out:
            self.process = subprocess.Popen(
                role["run"].split(" "), cwd=TOP, stdout=out, stderr=out,
                env={"PATH": os.environ.get("PATH", ""),
                     "HOME": str(self.fleet.folder), "LANG": "C.UTF-8",
                     "TREFOILMILL_CONFIG": str(path)})
        self.fleet.record(f"start  {self.name}")

    def signal(self, number):
        self.fleet.record(f"signal {signal.Signals(number).name} to "
                          f"{self.name}")
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def log_text(self):
        return self.log.read_text(errors="replace")


# -------------------------------------------------------------- clients

class Client:
    """A kept connection of a client to a front address."""

    def __init__(self, record, ip, local_ip=None):
        self.record, self.ip, self.local_ip = record, ip, local_ip

    async def connect(self, timeout=1.0):
        local = None if self.local_ip is None else (self.local_ip, 0)
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.ip, FRONT, local_addr=local), timeout)
        return self

    def close(self):
        self.writer.close()

    def send(self, identity, target, method="GET", body=b"", deadline_ms=2000,
             headers=(), length=True):
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOSTNAME}",
                 f"Trefoilmill-Request-Id: {identity}",
                 f"Trefoilmill-Deadline-Ms: {deadline_ms}",
                 *(f"{k}: {v}" for k, v in headers)]
        if body and length:
            lines.append(f"Content-Length: {len(body)}")
        self.record(f"send   {identity} {method} {target} body {body[:80]!r}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    async def receive(self, timeout, identity="", no_body=False):
        """The next response; None if the connection ended without one, and
        "nothing" if nothing came in time."""
        try:
            reply = await asyncio.wait_for(
                read_message(self.reader, True, no_body), timeout)
        except asyncio.TimeoutError:
            self.record(f"answer {identity}: nothing")
            return "nothing"
        except (OSError, asyncio.IncompleteReadError) as error:
            self.record(f"answer {identity}: broken ({error!r})")
            return None
        if reply is None:
            self.record(f"answer {identity}: connection closed")
            return None
        self.record(f"answer {identity}: {reply.line} {reply.headers} "
                    f"{len(reply.body)} bytes")
        return reply


async def ask(record, ip, identity, target, **options):
    """One request on a connection of its own."""
    timeout = options.get("deadline_ms", 2000) / 1000 + 1.0
    try:
        client = await Client(record, ip).connect()
    except (OSError, asyncio.TimeoutError):
        record(f"answer {identity}: no connection")
        return None
    try:
        client.send(identity, target, **options)
        return await client.receive(timeout, identity)
    finally:
        client.close()


async def http_get(ip, port, target):
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(ip, port), 1.0)
    except (OSError, asyncio.TimeoutError):
        return None
    try:
        writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        return await asyncio.wait_for(read_message(reader, True), 1.0)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        writer.close()


# ----------------------------------------------------------------- fleet

class NotRunnable(Exception):
    """The case could not run."""


class Fleet:
    """A small deployment: three shards and one single service, with three
    searchers each, and some entry processes."""

    bounds = {"grace_s": 6, "drain_ms": 3000, "retry_budget_ratio": 0.2,
              "budget_slack": 58, "budget_window_s": 10}

    def __init__(self, folder, machines=3, shards=3, replicas=3):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self.temporary.name)
        self.network = self.free_network()
        self.store = Store(f"{self.network}.0.1")
        self.shards = [f"desk-console-{n}" for n in range(shards)]
        self.single = "billing-hub"
        self.searchers = []
        port = 9000
        for service in [*self.shards, self.single]:
            for replica in range(replicas):
                self.searchers.append(Searcher(
                    self.record, service, f"i-{service}-{replica}",
                    f"{self.network}.2.{replica + 1}", port,
                    ZONES[replica % len(ZONES)]))
                port += 1
        self.entries = [Entry(self, n) for n in range(machines)]

    @staticmethod
    def free_network():
        for _ in range(100):
            network = f"127.{random.randrange(20, 250)}"
            try:
                for ip, port in ((f"{network}.0.1", STORE_PORT),
                                 (f"{network}.1.1", FRONT)):
                    with socket.socket() as probe:
                        probe.bind((ip, port))
                return network
            except OSError:
                continue
        raise NotRunnable("no free network")

    def configuration(self, version=10, extra=(), **changes):
        common = {"hostname": HOSTNAME, "timeout_ms": 2000, "slo_ms": 400,
                  "max_attempts": 3, "priority": 1}
        routes = [
            common | {"name": "sweep", "path_prefix": "/sweep/",
                      "type": "idempotent", "fanout": self.shards,
                      "top_k": 50, "min_coverage": 0.6},
            common | {"name": "ledger", "path_prefix": "/ledger/",
                      "type": "idempotent", "backend": self.single},
            common | {"name": "book", "path_prefix": "/book/",
                      "type": "non_idempotent", "backend": self.single},
            *extra]
        services = [{"name": name, "health_path": "/health", "max_conns": 26,
                     "warmup_s": 3.0, "warmup_per_s": 20.0}
                    for name in self.shards]
        services.append(services[0] | {"name": self.single, "max_conns": 45})
        return {"version": version, "routes": routes, "backends": services,
                "limits": {"max_header_bytes": 16384,
                           "max_body_bytes": 262144,
                           "header_timeout_ms": 3000,
                           "idle_timeout_ms": 15000}} | changes

    async def start(self):
        await self.store.start()
        for searcher in self.searchers:
            await searcher.start()
            await self.store.put("servers", searcher.name, searcher.entry())
        await self.store.put("config", "main", self.configuration())
        for entry in self.entries:
            entry.start()
        await self.until("all machines are ready and serve", self.all_serve)

    async def all_serve(self):
        for entry in self.entries:
            if not await self.serves(entry):
                return False
        return True

    async def serves(self, entry):
        ready = await http_get(entry.ip, READINESS, "/trefoilmill/ready")
        if ready is None or ready.status != 200:
            return False
        reply = await ask(self.record, entry.ip,
                          f"warm-{random.randrange(10**9)}", "/sweep/warm")
        if not isinstance(reply, Message) or reply.status != 200 or (
                reply.header("Trefoilmill-Missing-Parts") != "0"):
            return False
        reply = await ask(self.record, entry.ip,
                          f"warm-{random.randrange(10**9)}", "/ledger/warm")
        return isinstance(reply, Message) and reply.status == 200

    async def until(self, what, check, limit_s=20.0):
        until = time.monotonic() + limit_s
        while not await check():
            if time.monotonic() > until:
                raise NotRunnable(f"never: {what}")
            await asyncio.sleep(0.1)

    def searchers_of(self, service):
        return [s for s in self.searchers if s.service == service]

    def end(self):
        for entry in self.entries:
            entry.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for entry in self.entries:
                for log in self.folder.glob(f"{entry.name}-*.log"):
                    (pathlib.Path(keep) / log.name).write_bytes(
                        log.read_bytes())
        self.temporary.cleanup()


def main(folder, case, **shape):
    """Runs `case(fleet)`, which returns a list of findings, and exits with the
    verdict."""
    async def play():
        fleet = Fleet(folder, **shape)
        try:
            await fleet.start()
            findings = await asyncio.wait_for(case(fleet), float(os.environ.get("CASE_LIMIT_S", "90")))
        finally:
            fleet.end()
        for finding in findings:
            fleet.record(f"BROKEN {finding}")
            print(f"broken: {finding}")
        fleet.record("verdict: " + ("broken" if findings else "held"))
        return BROKEN if findings else HELD

    def stop(*_):
        raise NotRunnable("told to stop")

    signal.signal(signal.SIGTERM, stop)
    try:
        code = asyncio.run(play())
    except Exception as error:  # Whatever it is, nothing was judged.
        print(f"could not run: {error!r}")
        code = NOT_RUN
    print("verdict:", ("held", "broken", "could not run")[code])
    sys.exit(code)
