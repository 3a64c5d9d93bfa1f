"""A fleet for soaks: entry processes, endpoints and callers as separate
processes on loopback addresses, beside the stand-in of the platform's store."""

import contextlib
import json
import pathlib
import tempfile
import time

import entry_fleet
from soak_callers import Callers, RequestKind
from soak_endpoints import Endpoint, Endpoints
from soak_links import StoreLinks
from soak_store import StoreProcess

ZONES = ("perth", "bunbury", "northam")
SHARDS = [f"shard-{n}" for n in range(5)]
TOP_K = 5
LEDGER = "ledger"
ARCHIVE = "archive"
# Takes requests that must not run twice.
BOOKING = "booking"
# Its endpoints stay without faults, so that a version's route can be seen.
STEADY = "steady"
# Its endpoints come and go around silences of the store, and have no other faults.
ROTA = "rota"
ROTA_ENDPOINTS = 10
REPLICAS = 3
LEDGER_ENDPOINTS = 8
ARCHIVE_ENDPOINTS = 2
ARCHIVE_BYTES = 4_190_000
CONTROL_PORT = 8999
FIRST_PORT = 9000
MAX_CONNECTIONS = 100

# Kinds of request, at the proportions of work and deadline of phd-restock.
SWEEP = RequestKind("sweep", "/sweep/1", deadline_s=2.0, pause_s=0.3)
LEDGER_PULL = RequestKind("ledger-pull", "/ledger/1", deadline_s=8.0,
                          pause_s=0.2)
ROTA_PULL = RequestKind("rota-pull", "/rota/1", deadline_s=2.0, pause_s=0.1)
# One large answer.
ARCHIVE_PULL = RequestKind("archive-pull", "/archive/1", deadline_s=8.0,
                           pause_s=1.0)
# Must not run twice.
BOOK = RequestKind("book", "/book/1", deadline_s=3.0, pause_s=0.3,
                   method="POST")


def version_kind(version):
    """Requests on the route that exists in this version only."""
    return RequestKind(f"version-{version}", f"/version-{version}/1",
                       deadline_s=2.0, pause_s=0.1)


def configuration(version):
    gather = {"name": "sweep", "hostname": "shop.example",
              "path_prefix": "/sweep/", "type": "idempotent",
              "timeout_ms": 2000, "slo_ms": 200, "priority": 0,
              "fanout": SHARDS, "max_attempts": 3, "top_k": TOP_K,
              "min_coverage": 0.75}
    relays = [_relay(service, service, "idempotent")
              for service in (LEDGER, ARCHIVE, ROTA)]
    relays.append(_relay("book", BOOKING, "non_idempotent"))
    relays.append(_relay(f"version-{version}", STEADY, "idempotent"))
    services = [{"name": name, "health_path": "/health",
                 "max_conns": MAX_CONNECTIONS, "warmup_s": 0.0,
                 "warmup_per_s": 0.0}
                for name in SHARDS + [LEDGER, ARCHIVE, BOOKING, STEADY, ROTA]]
    return {"version": version, "routes": [gather] + relays,
            "backends": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 10000,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def _relay(name, service, kind):
    return {"name": name, "hostname": "shop.example",
            "path_prefix": f"/{name}/", "type": kind, "timeout_ms": 8000,
            "slo_ms": 800, "priority": 1, "backend": service,
            "max_attempts": 3}


def _records(value):
    """Two records, of which a merged answer holds the greater one."""
    return bytes([value]) + bytes(15) + bytes([100 + value]) + bytes(15)


def _read_lines(file):
    with open(file) as lines:
        return [json.loads(line) for line in lines]


class SoakFleet:
    """Entry hosts `network`.1.1 and up; endpoints on `network`.2.1. With
    `store_links` each host reaches the store through a link of its own."""

    def __init__(self, network, hosts, directory, grace_s, store_links):
        self.network = network
        self.grace_s = grace_s
        self._directory = pathlib.Path(directory)
        self._endpoint_records = self._directory / "endpoints.jsonl"
        self._caller_records = []
        self._callers = []
        self._store_process = StoreProcess(f"{network}.0.1",
                                           entry_fleet.STORE_PORT)
        self.store = self._store_process.content
        self.endpoints = self._make_endpoints()
        # When each instance started, in ms.
        self._born = {}
        self._endpoint_process = Endpoints(
            f"{network}.2.1", CONTROL_PORT, self.endpoints.values(),
            self._endpoint_records)
        self._endpoint_process.start()
        for endpoint in self.endpoints.values():
            self.store.put("servers", endpoint.instance, self.entry(endpoint))
        self.store.put("config", "main", configuration(1))
        self.links = (StoreLinks(network, range(1, hosts + 1),
                                 self._directory) if store_links else None)
        self.hosts = {}
        for number in range(1, hosts + 1):
            self.start_host(number)

    def _make_endpoints(self):
        planned = [(service, replica, 0.028) for service in SHARDS
                   for replica in range(REPLICAS)]
        planned += [(LEDGER, replica, 0.220)
                    for replica in range(LEDGER_ENDPOINTS)]
        planned += [(ARCHIVE, replica, 0.010)
                    for replica in range(ARCHIVE_ENDPOINTS)]
        planned += [(service, replica, 0.050) for service in (BOOKING, STEADY)
                    for replica in range(REPLICAS)]
        planned += [(ROTA, replica, 0.010)
                    for replica in range(ROTA_ENDPOINTS)]
        endpoints = {}
        for index, (service, replica, work_s) in enumerate(planned):
            name = f"{service}-{replica}"
            body = (bytes(ARCHIVE_BYTES) if service == ARCHIVE
                    else _records(index))
            endpoints[name] = Endpoint(
                name, service, ZONES[replica % len(ZONES)], FIRST_PORT + index,
                body, work_s, instance=name)
        return endpoints

    def entry(self, endpoint, state="ready"):
        """What the store says of an endpoint."""
        return {"backend": endpoint.service,
                "address": f"{self.network}.2.1:{endpoint.port}",
                "zone": endpoint.zone, "version": "v1", "max_concurrency": 6,
                "state": state, "warmup_left_ms": 0, "sequence": 1,
                "born": self._born.setdefault(
                    endpoint.instance, int(1000 * time.monotonic()))}

    def start_host(self, number):
        link = {"store": self.links.address(number)} if self.links else {}
        self.hosts[number] = entry_fleet.Host(
            self.network, number, self._directory, grace_s=self.grace_s,
            availability_zone=ZONES[number % len(ZONES)], **link)
        return self.hosts[number]

    def endpoints_of(self, service):
        """Names of a service's endpoints."""
        return [endpoint.name for endpoint in self.endpoints.values()
                if endpoint.service == service]

    def set_endpoint(self, name, **attributes):
        """Changes how an endpoint behaves."""
        status, _, _ = entry_fleet.call(
            f"{self.network}.2.1", CONTROL_PORT, f"/{name}", method="POST",
            headers={"Content-Type": "application/json"},
            body=json.dumps(attributes))
        assert status == 200, status

    def requests_under_way(self):
        """How many requests endpoints have and did not answer yet."""
        return int(entry_fleet.call(
            f"{self.network}.2.1", CONTROL_PORT, "/")[2])

    def start_callers(self, count, seed, kinds=(LEDGER_PULL, SWEEP), *,
                      given_up=0.0):
        file = self._directory / f"callers-{len(self._callers)}.jsonl"
        ips = [host.ip for host in self.hosts.values()]
        callers = Callers(ips, entry_fleet.FRONT, kinds, count, seed, file,
                          given_up=given_up)
        self._caller_records.append(file)
        self._callers.append(callers)
        callers.start()

    def stop_callers(self):
        for callers in self._callers:
            callers.stop()

    def wait_until_ready(self):
        entry_fleet.eventually("all hosts are ready", lambda: all(
            host.ready() for host in self.hosts.values()))
        entry_fleet.eventually("connections are made", lambda: all(
            host.whole("warm") for host in self.hosts.values()))

    def attempts(self):
        """What the callers saw, in no order."""
        return [row for file in self._caller_records
                for row in _read_lines(file)]

    def arrivals(self):
        """What the endpoints saw. Requests under way are not in yet."""
        return _read_lines(self._endpoint_records)

    def stop(self):
        for host in self.hosts.values():
            if host.process.poll() is None:
                host.process.kill()
            host.process.wait()
        self._endpoint_process.stop()
        if self.links:
            self.links.stop()
        self._store_process.stop()


@contextlib.contextmanager
def running(network, hosts, grace_s, directory=None, *, store_links=False):
    """A fleet whose records go to `directory`, by default one that is deleted
    afterwards."""
    with contextlib.ExitStack() as stack:
        if directory is None:
            directory = stack.enter_context(
                tempfile.TemporaryDirectory(prefix="trefoilmill-soak-"))
        fleet = SoakFleet(network, hosts, directory, grace_s, store_links)
        stack.callback(fleet.stop)
        yield fleet
