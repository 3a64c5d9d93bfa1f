"""What happens in a soak and when. The plan follows from the seed alone. Each lane
of it is carried out in order; lanes overlap."""

import dataclasses
import random

import soak_fleet

OPERATOR = "operator"
FURTHER_SIGNALS = ("SIGTERM", "SIGHUP", "SIGINT")
# How often each kind of fault is drawn, against the others of its lane.
HOST_FAULTS = {"stop": 4, "kill": 1, "pause": 2, "reload": 1}
ENDPOINT_FAULTS = {"slow": 2, "silent": 1, "reset": 1, "refuse": 2, "ask_pause": 2}
OPERATOR_STEPS = {"configure": 4, "drain": 2, "leave": 1, "zone_out": 1,
                  "store_down": 1, "store_slow": 1, "store_restore": 1}
STORE_FAULTS = ("store_down", "store_slow", "store_restore")
# Each so manieth seed leaves hosts, and the store but for its silences, without
# faults: a host that starts, or whose calls fail, asks the store anew, and hides
# that others wait for replies in vain.
CALM_HOSTS_EVERY = 5
# Of a host's link to the store.
LINK_FAULTS = {"stall": {"stall": "both"}, "refuse": {"refuse": True, "cut": True},
               "reset": {"reset_share": 0.3}, "delay": {"delay_ms": 300}}
# Lanes of endpoint faults; each has the replicas of its own number.
ENDPOINT_LANES = 3
FAULTY_SERVICES = (*soak_fleet.SHARDS, soak_fleet.LEDGER, soak_fleet.BOOKING)
# The time at which a draining endpoint is replaced; past the drain time.
REPLACED_AFTER_S = (4.0, 6.0)
# How the store is silent towards calls that arrive, and those that wait already.
SILENCES = ("silent", "dropped")


@dataclasses.dataclass(frozen=True)
class Step:
    """One thing that the operator does, or a fault."""
    at_s: float
    lane: str
    action: str
    arguments: dict = dataclasses.field(default_factory=dict)

    def __str__(self):
        arguments = " ".join(f"{name}={value}"
                             for name, value in self.arguments.items())
        return f"{self.at_s:6.2f} s {self.lane}: {self.action} {arguments}"


def make_plan(seed, seconds, hosts):
    """Steps by time, none later than `seconds`."""
    rng = random.Random(seed)
    calm = seed % CALM_HOSTS_EVERY == 0
    lanes = [] if calm else [_host_lane(rng, number, seconds)
                             for number in range(1, hosts + 1)]
    lanes += [_endpoint_lane(rng, number, seconds)
              for number in range(ENDPOINT_LANES)]
    lanes.append(_operator_lane(rng, seconds, () if calm else STORE_FAULTS))
    if not calm:
        lanes.append(_link_lane(rng, hosts, seconds))
        lanes += _herds(rng, hosts, seconds)
    lanes += _silence_lanes(random.Random(f"{seed}/silences"), seconds)
    return sorted((step for lane in lanes for step in lane),
                  key=lambda step: (step.at_s, step.lane))


def _draw(rng, weights):
    return rng.choices(list(weights), list(weights.values()))[0]


def _uniform(rng, least, most):
    return round(rng.uniform(least, most), 2)


def _host_lane(rng, number, seconds):
    at = _uniform(rng, 0.5, 4)
    while at < seconds:
        yield _host_step(rng, at, number, _draw(rng, HOST_FAULTS))
        at += _uniform(rng, 2, 9)


def _herds(rng, hosts, seconds):
    """The same fault at several hosts at once."""
    at = _uniform(rng, 3, 10)
    while at < seconds:
        action = _draw(rng, HOST_FAULTS)
        numbers = rng.sample(range(1, hosts + 1), rng.randint(1, hosts))
        yield [_host_step(rng, at, number, action) for number in numbers]
        at += _uniform(rng, 8, 15)


def _host_step(rng, at, number, action):
    arguments = {"number": number}
    if action == "stop":
        arguments["further"] = [
            (_uniform(rng, 0, 0.6), rng.choice(FURTHER_SIGNALS))
            for _ in range(rng.randrange(4))]
    if action == "pause":
        arguments["for_s"] = _uniform(rng, 0.1, 3)
    if action in ("stop", "kill"):
        arguments["down_s"] = _uniform(rng, 0, 2)
    return Step(at, f"host-{number}", action, arguments)


def _endpoint_lane(rng, replica, seconds):
    at = _uniform(rng, 0.5, 2)
    while at < seconds:
        services = rng.sample(FAULTY_SERVICES, rng.randint(1, 4))
        for_s = _uniform(rng, 0.5, 5)
        arguments = {"endpoints": [f"{service}-{replica}"
                                   for service in services], "for_s": for_s}
        action = _draw(rng, ENDPOINT_FAULTS)
        if action == "slow":
            arguments["slowness"] = rng.choice((3.0, 8.0))
        if action == "ask_pause":
            arguments["pause_s"] = rng.choice((1.0, 2.5))
        yield Step(at, f"endpoints-{replica}", action, arguments)
        at += for_s + _uniform(rng, 0.2, 2)


def _link_lane(rng, hosts, seconds):
    """Links of at most half of the hosts to the store fail at once."""
    at = _uniform(rng, 0.5, 3)
    while at < seconds:
        arguments = {"numbers": rng.sample(range(1, hosts + 1),
                                           rng.randint(1, max(1, hosts // 2))),
                     "fault": rng.choice(list(LINK_FAULTS)),
                     "for_s": _uniform(rng, 0.5, 6)}
        yield Step(at, "links", "break_links", arguments)
        at += arguments["for_s"] + _uniform(rng, 0.5, 4)


def _silence_lanes(rng, seconds):
    """The store falls silent while endpoints come and go: some drain just before,
    in and after each silence, and are replaced. A lane for the silences, and one
    for each endpoint."""
    silences, drains = [], []
    at = _uniform(rng, 1.5, 4)
    while at < seconds:
        for_s = _uniform(rng, 0.3, 5)
        silences.append(Step(at, "silence", "silence_store",
                             {"form": rng.choice(SILENCES), "for_s": for_s}))
        end = at + for_s
        drains += [at - _uniform(rng, 0.02, 0.3), _uniform(rng, at, end),
                   end + _uniform(rng, 0.05, 1), end + _uniform(rng, 1.5, 4)]
        at = end + _uniform(rng, 0.5, 6)
    lanes = [[] for _ in range(soak_fleet.ROTA_ENDPOINTS)]
    for index, at in enumerate(sorted(drains)):
        lane = lanes[index % len(lanes)]
        # Its endpoint is back from its last drain by then.
        if at >= seconds or (lane and at < lane[-1].at_s + 1):
            continue
        name = f"{soak_fleet.ROTA}-{index % len(lanes)}"
        for when, action in ((at, "drain"),
                             (at + _uniform(rng, *REPLACED_AFTER_S), "replace")):
            lane.append(Step(round(when, 2), name, action, {"endpoint": name}))
    return [silences, *lanes]


def _operator_lane(rng, seconds, store_faults):
    """What the operator does; also the store's faults, as nothing can be written
    during them."""
    steps = {action: weight for action, weight in OPERATOR_STEPS.items()
             if action not in STORE_FAULTS or action in store_faults}
    at, version, zone_back = 1.0, 1, 0.0
    endpoints = [f"{service}-{replica}" for service in FAULTY_SERVICES
                 for replica in range(ENDPOINT_LANES)]
    rng.shuffle(endpoints)
    action = "configure"
    while at < seconds:
        if action == "configure":
            version += 1
            yield Step(at, OPERATOR, action, {"version": version})
            at += _uniform(rng, 0, 3)
        elif action in ("drain", "leave") and endpoints:
            arguments = {"endpoint": endpoints.pop()}
            replaced = at + _uniform(rng, *REPLACED_AFTER_S)
            yield Step(at, OPERATOR, action, arguments)
            yield Step(replaced, OPERATOR, "replace", arguments)
        elif action == "zone_out" and at > zone_back:
            zone_back = at + _uniform(rng, 0.5, 4)
            arguments = {"zone": rng.choice(soak_fleet.ZONES)}
            yield Step(at, OPERATOR, action, arguments)
            yield Step(zone_back, OPERATOR, "zone_in", arguments)
        elif action == "store_restore":
            yield Step(at, OPERATOR, "store_back_up")
            yield Step(at + _uniform(rng, 1, 5), OPERATOR, action)
        elif action in ("store_down", "store_slow"):
            arguments = {"for_s": _uniform(rng, 0.5, 4)}
            if action == "store_slow":
                arguments["delay_s"] = _uniform(rng, 0.1, 0.7)
            yield Step(at, OPERATOR, action, arguments)
            at += arguments["for_s"]
        at += _uniform(rng, 1, 3)
        action = _draw(rng, steps)
