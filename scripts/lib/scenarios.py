"""The experiments: what is started, what load it gets and what happens to it.

A scenario's `happenings` are of two kinds: Call is an HTTP call that the load
tool makes, so that its judge knows of it; Act is done to processes by the
experiment itself.
"""

from dataclasses import dataclass, field
from typing import Callable

from cluster import Cluster, ClusterSpec
from cluster_network import ADMINISTRATION_PORT, CONTROL_PORT

# Before this the load only warms connections and endpoints up.
DEFAULT_WARMUP_S = 10.0
# Share of the endpoints that straggle, and how much.
STRAGGLER_EVERY = 10
STRAGGLER_FACTOR = 10
# Of the accepted configuration changes a day, scaled to a run.
STORM_INTERVAL_S = 1.0


@dataclass
class Call:
    """An HTTP call at `at_s` after the warm-up."""
    at_s: float
    label: str
    ip: str
    port: int
    method: str
    path: str
    body: dict


@dataclass
class Act:
    """Something done to processes at `at_s` after the warm-up."""
    at_s: float
    label: str
    action: Callable[[], None]
    # A host that this stops gracefully.
    stops: object = None


@dataclass
class Scenario:
    """One experiment; the callables get the running cluster."""
    name: str
    about: str
    happenings: Callable[[Cluster, float], list]
    rate_per_s: float = 40.0
    seconds: float = 30.0
    warmup_s: float = DEFAULT_WARMUP_S
    deadline_ms: float = 1000.0
    # Whether the daemons' own cost is measured before the load.
    measure_idle: bool = True
    spec: dict = field(default_factory=dict)
    load: dict = field(default_factory=dict)


def _endpoints(cluster, at_s, label, selector, **change):
    """One call per zone that has such endpoints."""
    members = cluster.deployment.endpoints()
    if isinstance(selector, str) and selector != "*":
        zones = [e.zone for e in members if e.id == selector]
    elif isinstance(selector, dict) and "zone" in selector:
        zones = [selector["zone"]]
    else:
        zones = cluster.deployment.zones
    return [Call(at_s, label if index == 0 else "",
                 cluster.endpoints.ips[zone], CONTROL_PORT, "POST", "/control",
                 {"endpoint": selector, **change})
            for index, zone in enumerate(zones)]


def _store(cluster, at_s, label, **change):
    return Call(at_s, label, cluster.store.ip, CONTROL_PORT, "POST",
                "/control", change)


def _zone(cluster, at_s, zone, state):
    host = cluster.hosts[0]
    return Call(at_s, f"{zone} {state}", host.ip, ADMINISTRATION_PORT, "POST",
                "/v1/zones", {"zone": zone, "state": state})


def _steady(_cluster, _seconds):
    return []


def _straggler(cluster, _seconds):
    slow = cluster.deployment.endpoints()[::STRAGGLER_EVERY]
    calls = []
    for endpoint in slow:
        calls += _endpoints(cluster, -DEFAULT_WARMUP_S / 2, "", endpoint.id,
                            slow_factor=STRAGGLER_FACTOR)
    return calls


def _cold_start(cluster, seconds):
    service = cluster.deployment.service_names()[0]
    zone = cluster.deployment.zones[0]
    calls = []
    for at_s in (seconds * 0.2, seconds * 0.4):
        calls += _endpoints(cluster, at_s, f"{service} restarts",
                            {"service": service}, restart=True)
    return calls + _endpoints(cluster, seconds * 0.65, f"all of {zone} restart",
                              {"zone": zone}, restart=True)


def _zone_out_in(cluster, seconds):
    zone = cluster.deployment.zones[1]
    out_at, back_at = seconds * 0.3, seconds * 0.6
    # An endpoint that rested starts cold again.
    return [_zone(cluster, out_at, zone, "out"),
            *_endpoints(cluster, back_at - 0.5, "", {"zone": zone},
                        restart=True),
            _zone(cluster, back_at, zone, "in_service")]


def _host_killed(cluster, seconds):
    victim = cluster.hosts[-1]
    return [Act(seconds * 0.4, f"{victim.name} killed", victim.process.kill)]


def _restart(cluster, host, gap_s):
    """A graceful stop, and a new start once it has ended."""
    def start_again():
        host.process.wait(gap_s)
        cluster.start_host(host)
    return start_again


def _rolling_restart(cluster, seconds):
    # Longer than the entries' time to live and the longest deadline.
    gap_s = max(6.0, seconds / (len(cluster.hosts) + 1))
    acts = []
    for index, host in enumerate(cluster.hosts):
        at_s = gap_s * index + 1
        if at_s + gap_s > seconds:
            break
        acts.append(Act(at_s, f"{host.name} stops",
                        lambda host=host: host.process.terminate(),
                        stops=host))
        acts.append(Act(at_s + gap_s * 0.9, f"{host.name} starts",
                        _restart(cluster, host, gap_s)))
    return acts


def _store_down(cluster, seconds):
    return [_store(cluster, 1, "store down", outage=True),
            _store(cluster, seconds - 2, "store back", outage=False)]


def _config_storm(cluster, seconds):
    calls = []
    count = int((seconds - 6) / STORM_INTERVAL_S)
    for number in range(count):
        document = {**cluster.deployment.document}
        template = {**document["template"]}
        template["scheduling"] = {**template.get("scheduling", {}),
                                  "max_queries": 1000 + number}
        document["template"] = template
        host = cluster.hosts[number % len(cluster.hosts)]
        calls.append(Call(1 + number * STORM_INTERVAL_S,
                          "change" if number == 0 else "", host.ip,
                          ADMINISTRATION_PORT, "POST", "/v1/config",
                          {"document": document,
                           "expected_revision": "$REVISION"}))
    return calls


def _repartition(cluster, seconds):
    first = cluster.spec.snapshot
    second = first + 1
    # New work runs on the new version before the old one goes.
    def publish():
        cluster.store.publish([first, second])

    def retire():
        cluster.store.publish([second])
    calls = _endpoints(cluster, seconds * 0.2, "", "*",
                       versions=[first, second])
    calls += _endpoints(cluster, seconds * 0.6, f"{first} vanishes", "*",
                        versions=[second])
    return calls + [Act(seconds * 0.3, f"{second} published", publish),
                    Act(seconds * 0.7, f"{first} retired", retire)]


def _split_view(cluster, seconds):
    lone = cluster.hosts[0]
    def stall(direction):
        return lambda: cluster.proxy.control(f"peers-{lone.name}",
                                             stall=direction)
    frozen = cluster.hosts[1]
    return [Act(seconds * 0.2, f"{lone.name} hears no one",
                stall("to_upstream")),
            Act(seconds * 0.5, "heals", stall("none")),
            Act(seconds * 0.6, f"{frozen.name} paused",
                frozen.process.freeze),
            Act(seconds * 0.75, f"{frozen.name} resumes",
                frozen.process.thaw)]


def _non_idempotent(cluster, seconds):
    return [*_endpoints(cluster, seconds * 0.2, "resets", "*",
                        reset_share=0.02),
            *_endpoints(cluster, seconds * 0.5, "no resets", "*",
                        reset_share=0),
            Act(seconds * 0.7, f"{cluster.hosts[-1].name} killed",
                cluster.hosts[-1].process.kill)]


# Half of what the tightest shard bears with slow endpoints, times four.
OVERLOAD_SERVICE_MS = 200.0
OVERLOAD_RATE_PER_S = 110.0

SCENARIOS = {scenario.name: scenario for scenario in [
    Scenario("steady", "nothing happens", _steady),
    Scenario("straggler", "one endpoint in ten is ten times slower",
             _straggler),
    Scenario("cold_start", "a service's replicas, then a whole zone, restart",
             _cold_start),
    Scenario("zone_out_in", "a zone is taken out and comes back cold",
             _zone_out_in, seconds=40),
    Scenario("host_killed", "one host is killed", _host_killed),
    Scenario("rolling_restart", "every host is restarted in turn",
             _rolling_restart, seconds=90),
    Scenario("store_down", "the store is down for the whole run",
             _store_down),
    Scenario("config_storm", "a change of the configuration each second",
             _config_storm),
    Scenario("overload", "twice the load that the endpoints bear", _steady,
             rate_per_s=OVERLOAD_RATE_PER_S,
             spec={"service_median_ms": OVERLOAD_SERVICE_MS}),
    Scenario("repartition", "a new index version, and the old one vanishes",
             _repartition),
    Scenario("split_view", "a host that hears no one, then a paused one",
             _split_view, seconds=40),
    Scenario("non_idempotent", "resets and a lost host under queries that "
             "must not run twice", _non_idempotent, rate_per_s=10,
             load={"non_idempotent_share": 0.5, "resubmit_unknown": True}),
]}

# Alternatives that --compare runs beside the chosen design.
ALTERNATIVES = {
    "direct": {"scheduling": {"routing": "direct"}},
    "no_hedging": {"scheduling": {"hedging": False}},
    "hold_95": {"scheduling": {"reply_hold_quantile": 0.95}},
    "hold_none": {"scheduling": {"reply_hold_quantile": 0}},
    "no_ejection": {"scheduling": {"max_ejected_share": 0}},
}

# Longest deadline in the experiments; the quiet period follows from it.
MAX_DEADLINE_MS = 2000


def spec_for(scenario, deployment, seed, alternative=None):
    """The cluster of a scenario, or of its alternative."""
    overrides = {"query": {"max_deadline_ms": MAX_DEADLINE_MS}}
    for section, values in ALTERNATIVES.get(alternative, {}).items():
        overrides.setdefault(section, {}).update(values)
    return ClusterSpec(deployment, seed=seed, overrides=overrides,
                       **scenario.spec)
