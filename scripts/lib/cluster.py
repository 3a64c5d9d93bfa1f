"""One whole system on loopback: store, endpoints, fault proxy and daemons.

    spec = ClusterSpec("pemberton", hosts_per_zone=3)
    with Cluster(spec, directory) as cluster:
        cluster.wait_ready()
        status, answer = cluster.query({"services": "*", "body": "milk"})

Latencies between availability zones and to callers are put in by the fault
proxy: every link between daemons and every caller's connection passes through
one of its listeners, which adds the deployment's one-way latency. The proxy
cannot tell who connects, so links within a zone are delayed as well; that is
on the safe side for owner routing. Endpoints are reached without the proxy:
with routing "direct" the hop between zones is therefore missing, which favours
that alternative.
"""

import json
import pathlib
import random
from dataclasses import dataclass, field

from cluster_network import (
    ADMINISTRATION_PORT, CALLERS_PORT, CONTROL_PORT, FIRST_ENDPOINT_PORT,
    PEERS_PORT, PROXY_PORT_OFFSET, STORE_PORT, AddressRange)
from cluster_standins import (
    EndpointStandins, FaultProxy, StoreStandin, proxy_listener)
from deployments import Deployment, load_document
from process_group import ProcessGroup
from processes import Process, call, wait_for_port, wait_until

# One-way, from the customers' sizes.
ZONE_LATENCY_MS = {"pemberton": 1.5, "lakeshore": 0.5}
CALLER_LATENCY_MS = 3.0

READY_TIMEOUT_S = 60.0


@dataclass
class ClusterSpec:
    """What to start."""
    deployment: str
    hosts_per_zone: int = 3
    seed: int = 1
    # Service times are lognormal.
    service_median_ms: float = 8.0
    service_sigma: float = 0.4
    # How long an endpoint stays cold after a start.
    cold_ms: float = 2000.0
    # One-way latencies; None takes the customer's.
    zone_latency_ms: float | None = None
    caller_latency_ms: float = CALLER_LATENCY_MS
    # Sections of the template to change: {"scheduling": {"hedging": False}}.
    overrides: dict = field(default_factory=dict)
    # Settings of every daemon to change.
    daemon_settings: dict = field(default_factory=dict)
    snapshot: int = 7
    # In place of the example's services; None keeps them.
    services: list | None = None


@dataclass
class Host:
    """One daemon, running or not."""
    name: str
    zone: str
    ip: str
    settings_path: pathlib.Path
    process: Process | None = None

    def running(self):
        return self.process is not None and self.process.running()

    def admin(self, method, path, body=None, timeout_s=5.0):
        """A call to the administration address: (status, JSON)."""
        status, reply, _ = call(self.ip, ADMINISTRATION_PORT, method, path,
                                body, timeout_s)
        return status, reply


class Cluster:
    """Starts everything in __enter__ and leaves nothing after __exit__."""

    def __init__(self, spec, directory):
        self.spec = spec
        self._processes = ProcessGroup(directory)
        self._random = random.Random(spec.seed)
        self._range = AddressRange()
        document = load_document(spec.deployment)
        if spec.services is not None:
            document["parameters"]["services"] = spec.services
        zone_ips = [self._range.ip(200 + i)
                    for i in range(len(document["parameters"]["zones"]))]
        self.deployment = Deployment(document, zone_ips,
                                     FIRST_ENDPOINT_PORT)
        for section, values in spec.overrides.items():
            self.deployment.override(section, **values)
        self.store = StoreStandin(self._processes, self._range.ip(2),
                                  self.deployment)
        self.proxy = FaultProxy(self._processes, self._range.ip(3))
        self.endpoints = EndpointStandins(
            self._processes, dict(zip(self.deployment.zones, zone_ips)),
            self.deployment)
        self.hosts = self._plan_hosts()

    # Life span.

    def __enter__(self):
        try:
            self._start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    def _start(self):
        self.store.start([self._host_record(host) for host in self.hosts])
        self.endpoints.start(self.spec)
        self.proxy.start(self._proxy_listeners())
        self.store.publish([self.spec.snapshot])
        self.store.put_document("deployment", self.deployment.document)
        self.store.put_document("zones", {"out": []})
        for host in self.hosts:
            self.start_host(host, wait=False)
        for host in self.hosts:
            wait_for_port(host.process, host.ip, ADMINISTRATION_PORT)

    def stop(self):
        """Ends every process that is left, daemons first."""
        self._processes.stop()
        self._range.release()

    def _proxy_listeners(self):
        zone_ms = self.spec.zone_latency_ms
        if zone_ms is None:
            zone_ms = ZONE_LATENCY_MS[self.spec.deployment]
        listeners = []
        for host in self.hosts:
            listeners.append(proxy_listener(
                f"callers-{host.name}", host.ip, CALLERS_PORT,
                self.spec.caller_latency_ms))
            listeners.append(proxy_listener(
                f"peers-{host.name}", host.ip, PEERS_PORT, zone_ms))
        return listeners

    # Daemons.

    def _plan_hosts(self):
        hosts = []
        for number in range(self.spec.hosts_per_zone):
            for zone in self.deployment.zones:
                index = len(hosts) + 1
                name = f"h{index}"
                hosts.append(Host(name, zone, self._range.ip(10 + index),
                                  self._processes.directory /
                                  f"daemon-{name}.json"))
        return hosts

    @staticmethod
    def _host_record(host):
        return {"host": host.name, "zone": host.zone,
                "peer": {"ip": host.ip,
                         "port": PEERS_PORT + PROXY_PORT_OFFSET},
                "callers": {"ip": host.ip,
                            "port": CALLERS_PORT + PROXY_PORT_OFFSET},
                "administration": {"ip": host.ip,
                                   "port": ADMINISTRATION_PORT},
                "state": "live"}

    def _write_settings(self, host):
        settings = {
            "organisation": self.deployment.organisation,
            "host": host.name, "zone": host.zone,
            "callers": {"ip": host.ip, "port": CALLERS_PORT},
            "administration": {"ip": host.ip, "port": ADMINISTRATION_PORT},
            "peers": {"ip": host.ip, "port": PEERS_PORT},
            "advertised_peers": {"ip": host.ip,
                                 "port": PEERS_PORT + PROXY_PORT_OFFSET},
            "advertised_callers": {"ip": host.ip,
                                   "port": CALLERS_PORT + PROXY_PORT_OFFSET},
            "store": {"ip": self.store.ip, "port": STORE_PORT},
            "seed": self._random.randrange(1, 1 << 31),
            **self.spec.daemon_settings}
        host.settings_path.write_text(json.dumps(settings, indent=1))

    def start_host(self, host, wait=True):
        self._write_settings(host)
        host.process = self._processes.spawn_with(
            f"daemon-{host.name}", "trefoilmilld", host.settings_path)
        if wait:
            wait_for_port(host.process, host.ip, ADMINISTRATION_PORT)

    def live_hosts(self):
        return [host for host in self.hosts if host.running()]

    def any_host(self):
        return self.live_hosts()[0]

    # Waiting.

    def wait_ready(self, timeout_s=READY_TIMEOUT_S):
        """Until every host has its configuration and sees all others, and
        every endpoint has a certain owner."""
        wait_until(lambda: all(map(self._host_ready, self.live_hosts())),
                   timeout_s, "all hosts ready and seeing each other")
        wanted = len(self.deployment.endpoints())
        wait_until(lambda: self.certain_endpoints() >= wanted, timeout_s,
                   f"{wanted} endpoints with a certain owner")

    def _host_ready(self, host):
        try:
            status, health = host.admin("GET", "/v1/health")
            if status != 200 or not health.get("ready"):
                return False
            _, view = host.admin("GET", "/v1/status")
        except OSError:
            return False
        alive = [one for one in view["hosts"] if one["state"] == "alive"]
        # A host may or may not list itself.
        others = {one["host"] for one in alive} - {host.name}
        return len(others) >= len(self.live_hosts()) - 1

    def certain_endpoints(self):
        """Endpoints that some host owns for certain."""
        owned = set()
        for host in self.live_hosts():
            try:
                _, view = host.admin("GET", "/v1/status")
            except OSError:
                continue
            owned |= {one["endpoint"] for one in view.get("endpoints", [])
                      if one.get("standing") == "certain"}
        return len(owned)

    # Calls.

    def query(self, body, host=None, timeout_s=15.0, headers=None):
        """A caller's query: (status, JSON)."""
        target = host or self.any_host()
        status, reply, _ = call(target.ip, CALLERS_PORT + PROXY_PORT_OFFSET,
                                "POST", "/v1/query", body, timeout_s, headers)
        return status, reply

    def set_zone(self, zone, state, host=None):
        """Declares a zone "out" or "in_service"."""
        status, reply = (host or self.any_host()).admin(
            "POST", "/v1/zones", {"zone": zone, "state": state})
        if status != 200:
            raise RuntimeError(f"zone change refused: {status} {reply}")
        return reply

    def caller_addresses(self, hosts=None):
        return [{"ip": host.ip, "port": CALLERS_PORT + PROXY_PORT_OFFSET}
                for host in (hosts or self.hosts)]

    def control_addresses(self):
        return {
            "endpoints": [{"ip": ip, "port": CONTROL_PORT}
                          for ip in self.endpoints.ips.values()],
            "store": {"ip": self.store.ip, "port": CONTROL_PORT}}
