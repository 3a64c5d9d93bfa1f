#!/usr/bin/python3
"""Starts the stand-in store, stand-in endpoints of three zones and seven
daemons, applies a shipped deployment, asks one query, stops everything.

Progress goes to standard error, the answer to standard output.
"""

import argparse
import atexit
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

TOP = pathlib.Path(__file__).resolve().parent.parent
DEPLOYMENT = TOP / "examples" / "pemberton.jsonc"
ORGANISATION = "pemberton"
SNAPSHOT = 7
STORE = ("127.50.0.1", 9000)
STORE_CONTROL = ("127.50.0.1", 9001)
HOSTS_PER_ZONE = {"perth": 3, "bunbury": 2, "northam": 2}
ZONE_NETWORK = {"perth": "127.50.1", "bunbury": "127.50.2",
                "northam": "127.50.3"}
FIRST_HOST_NUMBER = 11
START_LIMIT_S = 30
WHOLE_LIMIT_S = 90
STOP_LIMIT_S = 60


def say(text):
    print(f"demo: {text}", file=sys.stderr, flush=True)


def address(ip, port):
    return {"ip": ip, "port": port}


def text_of(pair):
    return f"{pair[0]}:{pair[1]}"


class Host:
    """One entry host and its settings."""

    def __init__(self, zone, number):
        self.name = f"{zone}-{number + 1}"
        self.zone = zone
        self.ip = f"{ZONE_NETWORK[zone]}.{FIRST_HOST_NUMBER + number}"
        self.callers = (self.ip, 8000)
        self.administration = (self.ip, 8001)
        self.peers = (self.ip, 8002)

    def settings(self, log_file):
        return {"organisation": ORGANISATION, "host": self.name,
                "zone": self.zone,
                "callers": address(*self.callers),
                "administration": address(*self.administration),
                "peers": address(*self.peers),
                "store": address(*STORE),
                "log_file": str(log_file)}

    def record(self):
        return {"host": self.name, "zone": self.zone,
                "peer": address(*self.peers),
                "callers": address(*self.callers),
                "administration": address(*self.administration),
                "state": "live"}


class Demo:
    """Owns every process that it starts."""

    def __init__(self, binaries, folder):
        self.bin = binaries
        self.folder = folder
        self.processes = []
        self.last_answer = ""
        self.hosts = [Host(zone, number)
                      for zone, count in HOSTS_PER_ZONE.items()
                      for number in range(count)]

    def start(self, name, *command):
        errors = open(self.folder / f"{name}.err", "wb")
        process = subprocess.Popen(command, stdout=subprocess.DEVNULL,
                                   stderr=errors)
        errors.close()
        self.processes.append((name, process))

    def stop(self):
        """SIGTERM, then SIGKILL for what is left. The daemons stop first: they
        finish what they have with the endpoints and the store."""
        limit = time.monotonic() + STOP_LIMIT_S
        self.stop_some([one for one in self.processes
                        if not one[0].startswith("tm_")], limit)
        self.stop_some(self.processes, limit)
        self.processes.clear()

    @staticmethod
    def stop_some(processes, limit):
        for _, process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for name, process in processes:
            try:
                process.wait(max(1, limit - time.monotonic()))
            except subprocess.TimeoutExpired:
                say(f"{name} did not stop; killing it")
                process.kill()
                process.wait()

    def write(self, name, value):
        path = self.folder / name
        path.write_text(json.dumps(value, indent=1))
        return path

    def ctl(self, *arguments, hosts=None):
        """Runs trefoilmillctl against `hosts`, by default against all."""
        asked = hosts or self.hosts
        callers = ",".join(text_of(host.callers) for host in asked)
        admin = ",".join(text_of(host.administration) for host in asked)
        return subprocess.run(
            [self.bin / "trefoilmillctl", "--callers", callers, "--admin",
             admin, *map(str, arguments)],
            capture_output=True, text=True, check=False, timeout=120)

    def render(self, *arguments):
        done = self.ctl("render", DEPLOYMENT, *arguments)
        if done.returncode != 0:
            raise RuntimeError(done.stderr)
        return json.loads(done.stdout)

    def start_store(self):
        catalog = self.render("--catalog", SNAPSHOT)
        settings = {"listen": address(*STORE),
                    "control": address(*STORE_CONTROL),
                    "hosts": [host.record() for host in self.hosts],
                    "objects": {f"trefoilmill/{ORGANISATION}/catalog": catalog}}
        self.start("tm_object_store", self.bin / "tm_object_store", "--config",
                   self.write("store.json", settings))

    def start_endpoints(self):
        by_zone = {zone: [] for zone in HOSTS_PER_ZONE}
        for service in self.render()["parameters"]["services"]:
            for endpoint in service["endpoints"]:
                by_zone[endpoint["zone"]].append(
                    self.endpoint_settings(service, endpoint))
        for zone, endpoints in by_zone.items():
            settings = {"control": address(f"{ZONE_NETWORK[zone]}.2", 9001),
                        "endpoints": endpoints}
            self.start(f"tm_endpoint-{zone}", self.bin / "tm_endpoint",
                       "--config", self.write(f"{zone}.json", settings))
        return sum(map(len, by_zone.values()))

    @staticmethod
    def endpoint_settings(service, endpoint):
        return {"id": endpoint["id"], "zone": endpoint["zone"],
                "service": service["name"], **endpoint["address"],
                "slots": service["slots"], "queue": service["slots"],
                "connections": service["connections"],
                "connection_cost_ms": service["connection_cost_ms"],
                "cold_slots": service["cold_slots"],
                "cold_connections": service["cold_connections"],
                "cold_ms": 2000, "versions": [SNAPSHOT],
                "service_ms": {"kind": "lognormal", "median": 5, "sigma": 0.4}}

    def start_daemons(self):
        for host in self.hosts:
            log = self.folder / f"{host.name}.log"
            path = self.write(f"{host.name}.json", host.settings(log))
            self.start(host.name, self.bin / "trefoilmilld", "--config", path)

    def until(self, what, limit, attempt):
        """Repeats `attempt` until it gives something; fails after `limit`."""
        end = time.monotonic() + limit
        while True:
            for name, process in self.processes:
                if process.poll() is not None:
                    errors = (self.folder / f"{name}.err").read_text()
                    raise RuntimeError(
                        f"{name} ended with {process.returncode}: {errors}")
            found = attempt()
            if found is not None:
                return found
            if time.monotonic() > end:
                raise RuntimeError(f"{what} took longer than {limit} s; the "
                                   f"last answer: {self.last_answer[:500]}")
            time.sleep(0.3)

    def all_answer(self):
        """Whether each daemon's administration address answers."""
        for host in self.hosts:
            done = self.ctl("status", "--json", hosts=[host])
            if done.returncode != 0:
                return None
        return True

    def apply(self):
        done = self.ctl("apply", DEPLOYMENT, "--wait")
        if done.returncode != 0:
            raise RuntimeError(f"apply: {done.stdout}{done.stderr}")
        say(" ".join((done.stdout + done.stderr).split()))

    def query(self):
        """A whole answer, or None; cold endpoints come in by and by."""
        done = self.ctl("query", "--body", "milk and papers", "--whole",
                        "--json")
        if done.returncode == 0:
            return json.loads(done.stdout)
        self.last_answer = (done.stdout + done.stderr).strip()
        if "bad_request" in done.stderr:
            raise RuntimeError(f"query: {self.last_answer}")
        return None

    def run(self):
        say("starting the object store")
        self.start_store()
        count = self.start_endpoints()
        say(f"started {count} endpoints in {len(HOSTS_PER_ZONE)} zones")
        self.start_daemons()
        self.until("the daemons' start", START_LIMIT_S, self.all_answer)
        say(f"{len(self.hosts)} daemons run")
        self.apply()
        say("asking all services; hosts first make sure of what they own")
        return self.until("a whole answer", WHOLE_LIMIT_S, self.query)


def keep(demo, answer):
    print(json.dumps(answer))
    admin = ",".join(text_of(h.administration) for h in demo.hosts)
    callers = ",".join(text_of(h.callers) for h in demo.hosts)
    say(f"export TREFOILMILL_ADMIN={admin} TREFOILMILL_CALLERS={callers} "
        f"PATH={os.path.abspath(demo.bin)}:$PATH")
    say(f"settings and logs are in {demo.folder}; Ctrl-C stops everything")
    try:
        signal.pause()
    except KeyboardInterrupt:
        pass


def main():
    arguments = argparse.ArgumentParser(description=__doc__)
    arguments.add_argument("--bin", type=pathlib.Path, required=True)
    arguments.add_argument("--keep", action="store_true")
    given = arguments.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    with tempfile.TemporaryDirectory(prefix="trefoilmill-demo-") as folder:
        demo = Demo(given.bin, pathlib.Path(folder))
        atexit.register(demo.stop)
        try:
            answer = demo.run()
            if given.keep:
                keep(demo, answer)
        except RuntimeError as error:
            say(error)
            return 1
        except KeyboardInterrupt:
            return 1
        finally:
            say("stopping everything")
            demo.stop()
    if not given.keep:
        coverage = answer["coverage"]
        say(f"snapshot {answer['snapshot']}, {coverage['answered']} of "
            f"{coverage['total']} shards, {answer['elapsed_ms']} ms")
        print(json.dumps(answer), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
