"""A fleet for soaks: entry processes, endpoints and callers as separate
processes on loopback addresses, beside the stand-in of the platform's store."""

import contextlib
import json
import pathlib
import tempfile

import entry_fleet
import platform_standin as platform
from soak_callers import Callers, RequestKind
from soak_endpoints import Endpoint, Endpoints

SHARDS = [f"shard-{n}" for n in range(5)]
LEDGER = "ledger"
ARCHIVE = "archive"
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
# One large answer.
ARCHIVE_PULL = RequestKind("archive-pull", "/archive/1", deadline_s=8.0,
                           pause_s=1.0)


def configuration(version):
    gather = {"name": "sweep", "hostname": "shop.example",
              "path_prefix": "/sweep/", "type": "idempotent",
              "timeout_ms": 2000, "slo_ms": 200, "priority": 0,
              "fanout": SHARDS, "max_attempts": 3, "top_k": 5,
              "min_coverage": 0.75}
    relays = [{"name": service, "hostname": "shop.example",
               "path_prefix": f"/{service}/", "type": "idempotent",
               "timeout_ms": 8000, "slo_ms": 800, "priority": 1,
               "backend": service, "max_attempts": 3}
              for service in (LEDGER, ARCHIVE)]
    services = [{"name": name, "health_path": "/health",
                 "max_conns": MAX_CONNECTIONS, "warmup_s": 0.0,
                 "warmup_per_s": 0.0}
                for name in SHARDS + [LEDGER, ARCHIVE]]
    return {"version": version, "routes": [gather] + relays,
            "backends": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 10000,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def _record(value):
    return bytes([value]) + bytes(15)


def _read_lines(file):
    with open(file) as lines:
        return [json.loads(line) for line in lines]


class SoakFleet:
    """Entry hosts `network`.1.1 and up; endpoints on `network`.2.1."""

    def __init__(self, network, hosts, directory, grace_s):
        self.network = network
        self.grace_s = grace_s
        self._directory = pathlib.Path(directory)
        self._endpoint_records = self._directory / "endpoints.jsonl"
        self._caller_records = []
        self._callers = []
        self.store = platform.Store()
        platform.serve_store(f"{network}.0.1", entry_fleet.STORE_PORT,
                             self.store)
        self.endpoints = self._make_endpoints()
        self._endpoint_process = Endpoints(
            f"{network}.2.1", CONTROL_PORT, self.endpoints,
            self._endpoint_records)
        self._endpoint_process.start()
        self.store.put("config", "main", configuration(1))
        self.hosts = {}
        for number in range(1, hosts + 1):
            self.start_host(number)

    def _make_endpoints(self):
        planned = [(service, replica, 0.028, None) for service in SHARDS
                   for replica in range(REPLICAS)]
        planned += [(LEDGER, replica, 0.220, None)
                    for replica in range(LEDGER_ENDPOINTS)]
        planned += [(ARCHIVE, replica, 0.010, bytes(ARCHIVE_BYTES))
                    for replica in range(ARCHIVE_ENDPOINTS)]
        endpoints = []
        for index, (service, replica, work_s, body) in enumerate(planned):
            endpoint = Endpoint(f"{service}-{replica}", FIRST_PORT + index,
                                body or _record(index), work_s)
            endpoints.append(endpoint)
            self.store.put("servers", endpoint.name, {
                "backend": service,
                "address": f"{self.network}.2.1:{endpoint.port}",
                "zone": "perth", "version": "v1", "max_concurrency": 6,
                "state": "ready", "warmup_left_ms": 0, "sequence": 1,
                "born": 1})
        return endpoints

    def start_host(self, number):
        self.hosts[number] = entry_fleet.Host(
            self.network, number, grace_s=self.grace_s)
        return self.hosts[number]

    def endpoints_of(self, service):
        """Names of a service's endpoints."""
        return [endpoint.name for endpoint in self.endpoints
                if endpoint.name.startswith(service + "-")]

    def set_endpoint(self, name, **attributes):
        """Changes how an endpoint behaves."""
        status, _, _ = entry_fleet.call(
            f"{self.network}.2.1", CONTROL_PORT, f"/{name}", method="POST",
            headers={"Content-Type": "application/json"},
            body=json.dumps(attributes))
        assert status == 200, status

    def start_callers(self, count, seed, kinds=(LEDGER_PULL, SWEEP)):
        file = self._directory / f"callers-{len(self._callers)}.jsonl"
        ips = [host.ip for host in self.hosts.values()]
        callers = Callers(ips, entry_fleet.FRONT, kinds, count, seed, file)
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


@contextlib.contextmanager
def running(network, hosts, grace_s):
    with tempfile.TemporaryDirectory(prefix="trefoilmill-soak-") as directory:
        fleet = SoakFleet(network, hosts, directory, grace_s)
        try:
            yield fleet
        finally:
            fleet.stop()
