"""Entry processes on loopback addresses, beside the stand-in of the platform:
what the tests of the entry process share. Each test uses a network of its own,
given by its first two numbers, as "127.12"."""

import contextlib
import http.client
import itertools
import json
import os
import pathlib
import signal
import subprocess
import tempfile
import threading
import time

import platform_standin as platform

BIN = pathlib.Path(os.environ["TREFOILMILL_BIN"])
STORE_PORT = 8229
SHARDS = [f"shard-{n}" for n in range(5)]
LIMIT_S = 15.0
FRONT, READY, DIRECTORY, PEERS, METRICS = 8226, 8227, 8225, 7740, 9464


def eventually(what, check, poll_s=0.05):
    until = time.monotonic() + LIMIT_S
    while not check():
        if time.monotonic() > until:
            raise AssertionError(f"never: {what}")
        time.sleep(poll_s)


def call(ip, port, path, headers=None, method="GET", body=None):
    connection = http.client.HTTPConnection(ip, port, timeout=10)
    try:
        connection.request(method, path, body, headers or {})
        reply = connection.getresponse()
        return reply.status, dict(reply.getheaders()), reply.read()
    except OSError:
        return 0, {}, b""
    finally:
        connection.close()


def configuration(version, *, extra=None):
    gather = {"name": "sweep", "hostname": "shop.example",
              "path_prefix": "/sweep/", "type": "idempotent",
              "timeout_ms": 3000, "slo_ms": 1000, "priority": 1,
              "fanout": SHARDS, "max_attempts": 2, "top_k": 4,
              "min_coverage": 0.8}
    book = {"name": "book", "hostname": "shop.example",
            "path_prefix": "/book/", "type": "non_idempotent",
            "timeout_ms": 3000, "slo_ms": 1000, "priority": 0,
            "backend": "shard-0", "max_attempts": 2}
    services = [{"name": name, "health_path": "/health", "max_conns": 20,
                 "warmup_s": 3.0, "warmup_per_s": 0.0} for name in SHARDS]
    routes = [gather, book, *(extra or [])]
    used = {name for r in routes for name in r.get("fanout", [r.get("backend")])}
    services += [services[0] | {"name": name}
                 for name in sorted(used - set(SHARDS))]
    return {"version": version, "routes": routes, "backends": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 10000,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


class Host:
    """One entry process."""

    def __init__(self, network, number, directory=None, program=None, **changes):
        """`changes` replace settings. The log is kept in `directory`, if it is
        given. `program` is run in place of the entry process under test."""
        self.ip = f"{network}.1.{number}"
        self.name = f"front-{number}"
        settings = {
            "host": self.name, "availability_zone": "perth",
            "callers": f"{self.ip}:{FRONT}", "readiness": f"{self.ip}:{READY}",
            "directory": f"{self.ip}:{DIRECTORY}", "peer_port": PEERS,
            "store": f"{network}.0.1:{STORE_PORT}",
            "seeds": [f"{network}.1.1:8224", f"{network}.1.2:8224"],
            "grace_s": 3, "drain_ms": 3000} | changes
        file = tempfile.NamedTemporaryFile("w", suffix=".jsonc", dir=directory,
                                           delete=False)
        with file:
            file.write("// a comment\n" + json.dumps(settings))
        self.log = tempfile.NamedTemporaryFile(
            "w+", prefix=f"{self.name}-", suffix=".log", dir=directory,
            delete=directory is None)
        # Libraries write there, and start-up errors go there.
        self.errors = tempfile.NamedTemporaryFile(
            "w+", prefix=f"{self.name}-", suffix=".errors", dir=directory,
            delete=directory is None)
        self.process = subprocess.Popen(
            [program or BIN / "trefoilmill_entry"], stdout=self.log, stderr=self.errors,
            env={**os.environ, "TREFOILMILL_CONFIG": file.name})

    def holds_signals(self):
        """Whether SIGTERM is held back or handled, which begins with main().
        Until then it ends any process."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        masks = [int(line.split()[1], 16) for line in status.splitlines()
                 if line.startswith(("SigBlk:", "SigCgt:"))]
        return any(mask >> (signal.SIGTERM - 1) & 1 for mask in masks)

    def ready(self):
        return call(self.ip, READY, "/trefoilmill/ready")[0] == 200

    def ask(self, path, request_id, method="GET", body=None, headers=None):
        return call(self.ip, FRONT, path,
                    {"Host": "shop.example",
                     "Trefoilmill-Request-Id": request_id,
                     "Trefoilmill-Deadline-Ms": "3000"} | (headers or {}),
                    method, body)

    def whole(self, request_id):
        """Whether a query over all shards gets a whole answer."""
        status, headers, _ = self.ask("/sweep/1", request_id)
        return status == 200 and headers["Trefoilmill-Missing-Parts"] == "0"

    def addresses(self):
        status, _, body = call(self.ip, DIRECTORY,
                               "/trefoilmill/resolve?name=shop.example")
        return set(json.loads(body)["addrs"]) if status == 200 else set()

    def lines(self, message=None):
        """The log's lines, or those with one message."""
        with open(self.log.name) as log:
            lines = [json.loads(line) for line in log]
        return [line for line in lines if message in (None, line["message"])]


def record(value):
    return bytes([value]) + bytes(15)


class Fleet:
    """The platform's stand-in with two endpoints a shard, and entry hosts."""

    def __init__(self, network, hosts, routes=(), settings=None,
                 programs=(None,)):
        self.network = network
        self.settings = settings or {}
        self.programs = programs
        self.store = platform.Store()
        platform.serve_store(f"{network}.0.1", STORE_PORT, self.store)
        self.endpoints = {}
        # When each endpoint crashed, by its name.
        self.crashes = {}
        self.links = platform.Links()
        for index, service in enumerate(SHARDS):
            for replica in range(2):
                name, port = f"{service}-{replica}", 9000 + 2 * index + replica
                self.endpoints[name] = platform.Endpoint(
                    name, record(index) + record(100 + index))
                platform.serve_endpoint(f"{network}.2.1", port,
                                        self.endpoints[name], self.links)
                self.register(name, service, port)
        self.store.put("config", "main", configuration(7, extra=routes))
        self.hosts = [self.start_host(number + 1) for number in range(hosts)]

    def serve_crashing(self, service, number, is_fatal, delay_s, down_s,
                       form="refuse"):
        """Adds an endpoint that crashes under the requests for whose path
        `is_fatal` is true, and is back after `down_s` with a new id. Meanwhile
        it refuses connections; for other forms see Server.go_down()."""
        port = 9500 + number
        lives = itertools.count()
        lock = threading.Lock()

        def start(server=None):
            name = f"{service}-{number}-life-{next(lives)}"
            endpoint = platform.Endpoint(name, record(1), delay_s)
            endpoint.is_fatal = is_fatal
            if server is None:
                server = platform.serve_endpoint(f"{self.network}.2.1", port,
                                                 endpoint)
            else:
                server.start_again(platform.endpoint_responder(endpoint))
            endpoint.on_fatal = lambda: crash(name, server)
            self.endpoints[name] = endpoint
            self.register(name, service, port, born=time.time_ns() // 1000000)

        def crash(name, server):
            with lock:
                if name in self.crashes:
                    return
                self.crashes[name] = time.monotonic()
            if form == "refuse":
                server.crash()
                server = None
            else:
                server.go_down(form)
            time.sleep(down_s)
            self.store.delete("servers", name)
            start(server)

        start()

    def start_host(self, number):
        program = self.programs[number % len(self.programs)]
        return Host(self.network, number, program=program, **self.settings)

    def serve(self, name, service, port, version="v1", born=1):
        """Adds an endpoint."""
        self.endpoints[name] = platform.Endpoint(name, record(1) + record(2))
        platform.serve_endpoint(f"{self.network}.2.1", port,
                                self.endpoints[name], self.links)
        self.register(name, service, port, born=born, version=version)

    def register(self, name, service, port, state="ready", zone="perth",
                 born=1, version="v1"):
        self.store.put("servers", name, {
            "backend": service, "address": f"{self.network}.2.1:{port}",
            "zone": zone, "version": version, "max_concurrency": 4,
            "state": state, "warmup_left_ms": 0, "sequence": 1,
            "born": born})

    def wait_until_ready(self):
        eventually("all are ready", lambda: all(h.ready() for h in self.hosts))
        all_addresses = {f"{h.ip}:{FRONT}" for h in self.hosts}
        eventually("each names all", lambda: all(
            h.addresses() == all_addresses for h in self.hosts))
        eventually("connections are made", lambda: all(
            h.whole("warm") for h in self.hosts))

    def stop(self):
        for host in self.hosts:
            if host.process.poll() is None:
                host.process.kill()
            host.process.wait()


@contextlib.contextmanager
def running(network, hosts, routes=(), settings=None, programs=(None,)):
    """`routes` are added to the configuration, `settings` to those of hosts, which
    run `programs` in turns; None is the entry process under test."""
    fleet = Fleet(network, hosts, routes, settings, programs)
    try:
        yield fleet
    finally:
        fleet.stop()
