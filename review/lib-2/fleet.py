"""Entry processes on loopback addresses for the cases of the second review: the
program of the deploy file, the project's own stand-in of the platform's store,
free ports, a temporary folder. Standard library only."""

import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "scripts" / "lib"))
import platform_standin  # noqa: E402  the project's own store

# http.server looks up the name of its address, which may take long without a network.
socket.getfqdn = lambda name="": name

PROGRAM = ROOT / "target" / "bin" / "trefoilmill_entry"
HOST_NAME = "shop.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played."""


def free_port(ip, given=set()):
    """A port that is free for TCP and UDP, is not in the range that the system
    gives to outgoing connections, and was not given before."""
    for _ in range(200):
        port = random.randrange(15000, 30000)
        with socket.socket() as tcp, socket.socket(
                socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((ip, port))
                udp.bind((ip, port))
            except OSError:
                continue
        if port not in given:
            given.add(port)
            return port
    raise CannotRun(f"no free port on {ip}")


def eventually(what, check, limit_s=20.0):
    until = time.monotonic() + limit_s
    while not check():
        if time.monotonic() > until:
            raise CannotRun(f"never: {what}")
        time.sleep(0.05)


class Entry:
    """One entry process, started with the command of the deploy file."""

    def __init__(self, fleet, number):
        self.ip = f"{fleet.network}.1.{number}"
        self.name = f"front-perth-yard-{number}"
        self.front = free_port(self.ip)
        self.readiness = free_port(self.ip)
        directory = free_port(self.ip)
        settings = {
            "host": self.name, "availability_zone": "perth-yard",
            "callers": f"{self.ip}:{self.front}",
            "readiness": f"{self.ip}:{self.readiness}",
            "directory": f"{self.ip}:{directory}",
            "peer_port": fleet.peer_port, "metrics_port": free_port(self.ip),
            "store": f"{fleet.store_ip}:{fleet.store_port}",
            "seeds": [f"{fleet.network}.1.{n}:8224" for n in (1, 2, 3)],
            "processor_share": 0.25, "processor_speed": 1,
            "grace_s": fleet.grace_s, "drain_ms": 3000,
            "extra_send_ratio": 0.2, "extra_send_slack": 54,
            "extra_send_window_s": 10}
        file = fleet.folder / f"{self.name}.jsonc"
        file.write_text(json.dumps(settings))
        self.log = open(fleet.folder / f"{self.name}.log", "wb")
        self.process = subprocess.Popen(
            [PROGRAM], stdout=self.log, stderr=subprocess.STDOUT, cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""), "LANG": "C.UTF-8",
                 "TREFOILMILL_CONFIG": str(file)})

    def ready(self):
        if self.process.poll() is not None:
            raise CannotRun(f"{self.name} ended: {self.process.returncode}")
        return call(self.ip, self.readiness, "/trefoilmill/ready")[0] == 200


def call(ip, port, path, headers=None, method="GET", body=None, timeout=5):
    """One HTTP call on a connection of its own: status, headers, body; the
    status is 0 if there is no complete answer."""
    connection = http.client.HTTPConnection(ip, port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        reply = connection.getresponse()
        return reply.status, dict(reply.getheaders()), reply.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b""
    finally:
        connection.close()


class Fleet:
    """The store and some entry processes. Use it in a `with` statement."""

    def __init__(self, entries, configuration, grace_s=6):
        self.grace_s = grace_s
        self.wanted = entries
        self.configuration = configuration
        self.entries = []

    def __enter__(self):
        if not PROGRAM.exists():
            raise CannotRun("target/bin/trefoilmill_entry is not built")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-2-"))
        self.network = f"127.{random.randrange(20, 250)}"
        self.store_ip = f"{self.network}.0.1"
        self.store_port = free_port(self.store_ip)
        self.peer_port = free_port(f"{self.network}.1.1")
        self.store = platform_standin.Store()
        platform_standin.serve_store(self.store_ip, self.store_port, self.store)
        self.store.put("config", "main", self.configuration)
        return self

    def start(self):
        """Starts the entry processes and waits until all are ready."""
        self.entries = [Entry(self, n + 1) for n in range(self.wanted)]
        eventually("all are ready", lambda: all(e.ready() for e in self.entries))
        time.sleep(3)

    def register(self, name, service, address, slots, state="ready", born=None):
        self.store.put("servers", name, {
            "backend": service, "address": address, "zone": "perth-yard",
            "version": "v1", "max_concurrency": slots, "state": state,
            "warmup_left_ms": 0, "sequence": 1,
            "born": born or int(time.time() * 1000)})

    def __exit__(self, *_):
        for entry in self.entries:
            if entry.process.poll() is None:
                entry.process.send_signal(signal.SIGCONT)
                entry.process.kill()
            entry.process.wait()
            entry.log.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version, routes, services, **more):
    """A configuration as the operator writes it."""
    return {"version": version, "routes": routes, "backends": [
        {"name": name, "health_path": "/health", "max_conns": 46,
         "protocol": "h1", "tls": False, "warmup_s": 3.0, "warmup_per_s": 0.0}
        for name in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}} | more


def main(case, record_file):
    """Runs `case(record)`, which returns the breaks of the rule as texts. What it
    records goes to `record_file`. Returns 10 if the rule was broken, 0 if it held, 2
    if the case could not run; run.sh makes the status of these."""
    # Told to stop, it ends the processes that it started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    with open(record_file, "w") as file:
        def record(*what):
            print(*what, file=file, flush=True)

        record("trouble" if TROUBLE else "no trouble")
        try:
            breaks = case(record)
        except Exception:  # whatever it is, it is no break of the rule
            error = traceback.format_exc()
            record("could not run:", error)
            print("could not run:", error)
            return 2
        for text in breaks:
            record("broken:", text)
        summary = f"{len(breaks)} breaks of the rule"
        record(summary)
        print(summary)
        return 10 if breaks else 0
