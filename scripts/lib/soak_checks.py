"""What must hold in a soak, judged from what callers, endpoints and the operator
saw. Each promise counts how often it was tested and what broke it."""

import collections
import dataclasses
import itertools

import soak_fleet

# A request that crosses the close of its connection is allowed to end without
# an answer this soon after it was sent, if no endpoint got it.
CROSSING_S = 0.2
# An endpoint that drains or leaves gets nothing later than this.
DRAIN_S = 3.0
# A configuration is in force this soon after its write.
CONFIG_APPLY_S = 3.0
# A pause that an endpoint asks for is heeded from this long after it; until its
# end few requests may still come.
PAUSE_HEARD_S = 0.5
REQUESTS_IN_PAUSE = 2
# Whole answers return this soon after all faults have ended.
RECOVERY_S = 12.0
WHOLE_IN_A_ROW = 5
# As the configuration says of the gather route.
LEAST_PARTS = 4
RECORD_BYTES = 16
NOT_RUN = (429, 503)
OK, NOT_FOUND = 200, 404
VERSION_KIND = "version-"


@dataclasses.dataclass
class Verdict:
    """How often one promise was tested, and a line on each time it was broken."""
    promise: str
    tested: int = 0
    broken: list = dataclasses.field(default_factory=list)

    def test(self, fault):
        """Counts one test; `fault` says what was wrong, if anything."""
        self.tested += 1
        if fault:
            self.broken.append(fault)


@dataclasses.dataclass
class Stop:
    """One planned stop of a host."""
    host: str
    told: float
    ended: float = 0.0
    exit_status: int = None


def lost_requests(attempts, arrivals, stops):
    """Requests around a planned stop that a host took and whose connection
    ended without a whole answer, as lines of text."""
    passed_on = collections.defaultdict(list)
    for arrival in arrivals:
        passed_on[arrival["id"], arrival["host_ip"]].append(arrival)
    lost = []
    for attempt in attempts:
        if attempt["end"] != "closed":
            continue
        stop = next((s for s in stops if s.host == attempt["host"] and
                     s.told <= attempt["ended"] <= s.ended + 1.0), None)
        arrived = passed_on.get((attempt["id"], attempt["host"]), [])
        if stop is None:
            continue
        waited = _closed_at(attempt, stop) - (attempt["sent"] or attempt["ended"])
        if not arrived and waited <= CROSSING_S:
            continue
        lost.append(describe(attempt, stop, arrived))
    return lost


def _closed_at(attempt, stop):
    """When the connection was closed: callers may notice it late, but the end of
    the process that had it closes it."""
    sent_to_stopped = attempt["sent"] <= stop.ended
    return min(attempt["ended"], stop.ended) if sent_to_stopped else \
        attempt["ended"]


def describe(attempt, stop, arrived):
    sent = (attempt["sent"] or attempt["began"]) - stop.told
    ended = attempt["ended"] - stop.told
    text = (f"{attempt['id']} {attempt['kind']} at {attempt['host']}: sent "
            f"{sent:+.3f} s, closed {ended:+.3f} s from SIGTERM, process ended "
            f"{stop.ended - stop.told:+.3f} s, status {attempt['status']}, "
            f"callers stalled for {attempt.get('stalled', 0):.3f} s")
    for arrival in arrived:
        text += (f"; {arrival['endpoint']} {arrival['arrived'] - stop.told:+.3f}"
                 f"..{arrival['ended'] - stop.told:+.3f} {arrival['result']}")
    return text


def ends(attempts):
    """How often attempts ended in which way."""
    return collections.Counter(
        f"{a['end']}/{a['status']}" if a["end"] == "answer" else a["end"]
        for a in attempts)


def lateness_s(attempts):
    """How late callers' processes noticed what happened, at most: on loopback a
    connection is refused at once."""
    return max((a["ended"] - a["began"] for a in attempts
                if a["end"] == "not_connected"), default=0.0)


def answered_around_stops(record):
    """A request that a host took gets a whole answer, also while it stops."""
    verdict = Verdict("answered around planned stops")
    stops = [Stop(life.host, life.told, life.ended, life.exit_status)
             for life in record.lives
             if life.told <= life.ended and not life.killed and
             life.undisturbed(life.told, life.ended)]
    verdict.tested = sum(
        stop.host == attempt["host"] and attempt["ended"] >= stop.told and
        attempt["began"] <= stop.ended and attempt["end"] in ("answer", "closed")
        for attempt in record.attempts for stop in stops)
    verdict.broken = lost_requests(
        [attempt for attempt in record.attempts
         if not _sent_to_killed(record, attempt)], record.arrivals, stops)
    return verdict


def _sent_to_killed(record, attempt):
    """Whether the process that ran when a request was sent was killed later, as
    one may be that replaces a stopped one."""
    life = record.life(attempt["host"], attempt["sent"] or attempt["ended"])
    return life is not None and life.killed


def stops_end_in_time(record):
    """A planned stop ends with status 0 within the grace time."""
    verdict = Verdict("planned stops end in time")
    for life in record.lives:
        if life.told <= life.ended and life.undisturbed(life.told, life.ended):
            verdict.test(life.exit_status and
                         f"{life.host} ended {life.ended - life.told:.3f} s "
                         f"after SIGTERM with {life.exit_status}")
    return verdict


def answers_are_true(record):
    """An answer is whole, or says what is missing."""
    verdict = Verdict("answers whole or truly partial")
    for attempt in record.attempts:
        if attempt["end"] != "answer" or attempt["status"] != OK:
            continue
        fault = (_fault_of_merged(record, attempt)
                 if attempt["kind"] == soak_fleet.SWEEP.name
                 else _fault_of_relayed(record, attempt))
        verdict.test(fault and f"{attempt['id']} {attempt['kind']} at "
                     f"{attempt['host']}: {fault}")
    return verdict


def _endpoint_of(record, attempt, stamp):
    """The endpoint that gave a stamp to this request, or None."""
    instance, _, identity = stamp.rpartition(".")
    return next((record.endpoints[arrival["endpoint"]]
                 for arrival in record.runs_of(attempt["id"])
                 if identity == attempt["id"] and
                 arrival["instance"] == instance), None)


def _fault_of_merged(record, attempt):
    stamps = [stamp for stamp in attempt["headers"].get(
        "Trefoilmill-Part-Stamps", "").split(", ") if stamp]
    parts = [_endpoint_of(record, attempt, stamp) for stamp in stamps]
    if None in parts:
        return f"no endpoint ran what is stamped: {stamps}"
    services = {part["service"] for part in parts}
    if len(services) < len(parts) or not services <= set(soak_fleet.SHARDS):
        return f"parts are not of one shard each: {stamps}"
    missing = attempt["headers"].get("Trefoilmill-Missing-Parts")
    if missing != str(len(soak_fleet.SHARDS) - len(parts)):
        return f"{len(parts)} parts, {missing} said to be missing"
    if len(parts) < LEAST_PARTS:
        return f"only {len(parts)} parts"
    if attempt["body"] != _greatest_records(parts):
        return f"not the greatest records of {stamps}"
    return None


def _greatest_records(parts):
    size = 2 * RECORD_BYTES
    records = [part["body"][at:at + size] for part in parts
               for at in range(0, len(part["body"]), size)]
    return "".join(sorted(records, reverse=True)[:soak_fleet.TOP_K])


def _fault_of_relayed(record, attempt):
    stamp = attempt["headers"].get("Trefoilmill-Server-Stamp", "")
    endpoint = _endpoint_of(record, attempt, stamp)
    if endpoint is None:
        return f"no endpoint ran what is stamped: {stamp}"
    if (attempt["size"], attempt["body"]) != (endpoint["size"], endpoint["body"]):
        return f"not the answer of {stamp}"
    return None


def runs_at_most_once(record):
    """A request that must not run twice does not."""
    verdict = Verdict("at most one run")
    for attempt in record.attempts:
        if attempt["kind"] != soak_fleet.BOOK.name:
            continue
        runs = record.runs_of(attempt["id"])
        if runs:
            verdict.test(len(runs) > 1 and f"{attempt['id']} at "
                         f"{attempt['host']} ran at "
                         f"{[run['instance'] for run in runs]}")
    return verdict


def refused_did_not_run(record):
    """What is refused as not run has not run and never does."""
    verdict = Verdict("refused means not run")
    for attempt in record.attempts:
        if attempt["end"] != "answer" or attempt["status"] not in NOT_RUN:
            continue
        runs = record.runs_of(attempt["id"])
        verdict.test(runs and f"{attempt['id']} {attempt['kind']} at "
                     f"{attempt['host']}: {attempt['status']}, ran at "
                     f"{[run['instance'] for run in runs]}")
    return verdict


def _late_at_leaving(record):
    """For each endpoint that drains or leaves and each process that had to know: the
    service, and a line on the requests that came late, if any did."""
    drained = collections.defaultdict(list)
    for event in record.events("drained"):
        drained[event["instance"]].append(event["at"])
    arrivals = collections.defaultdict(list)
    for arrival in record.arrivals:
        arrivals[arrival["instance"]].append(arrival)
    for instance in drained.keys() | {a["instance"] for a in record.arrivals
                                      if a["leaving"]}:
        for life in record.lives:
            since = _told_to_leave_alone(record, life, drained[instance],
                                         arrivals[instance])
            if since is None or not life.undisturbed(since, since + DRAIN_S):
                continue
            late = [a["arrived"] - since for a in arrivals[instance]
                    if a["host_ip"] == life.host and
                    since + DRAIN_S < a["arrived"] and
                    life.undisturbed(since, a["arrived"])]
            yield (_service_of(instance),
                   late and f"{instance} got {len(late)} requests of "
                   f"{life.host}, the last {max(late):.3f} s after {since:.3f}")


def _service_of(instance):
    """The service of an endpoint, by the name of one of its instances."""
    return instance.removesuffix("-next").rpartition("-")[0]


def draining_gets_nothing(record):
    """An endpoint that drains or leaves gets nothing after the drain time."""
    verdict = Verdict("draining endpoints get nothing")
    for service, fault in _late_at_leaving(record):
        if service != soak_fleet.ROTA:
            verdict.test(fault)
    return verdict


def known_around_silences(record):
    """What the store is told around a silence of it is known within the drain time of
    the change, or of the silence's end."""
    verdict = Verdict("changes around a silent store are known")
    for service, fault in _late_at_leaving(record):
        if service == soak_fleet.ROTA:
            verdict.test(fault)
    return verdict


def _told_to_leave_alone(record, life, drained, arrivals):
    """When this process had to know that an endpoint takes no more work."""
    since = record.known_since(life, drained, life.ended)
    answers = [a for a in arrivals if a["leaving"]]
    first = min((a["ended"] for a in answers), default=None)
    if first is not None and first < life.started:
        # Only its own endpoints' answers tell a process that started later.
        first = min((a["ended"] for a in answers if a["host_ip"] == life.host and
                     life.started <= a["ended"] <= life.ended), default=None)
    return min((time for time in (since, first)
                if time is not None and time <= life.ended), default=None)


def pauses_are_heeded(record):
    """A host that an endpoint asks for a pause grants it. What starts in its
    place asks for none."""
    verdict = Verdict("pauses are heeded")
    arrivals = collections.defaultdict(list)
    for arrival in record.arrivals:
        arrivals[arrival["host_ip"], arrival["instance"]].append(arrival)
    for (host, instance), from_host in arrivals.items():
        heeded_until = 0.0
        for asked in sorted(from_host, key=lambda a: a["ended"]):
            begin = asked["ended"] + PAUSE_HEARD_S
            end = asked["ended"] + asked["pause_s"]
            life = record.life(host, asked["ended"])
            if (end <= max(begin, heeded_until) or life is None or
                    not life.undisturbed(asked["ended"], end)):
                continue
            heeded_until = end
            count = sum(begin <= a["arrived"] < end for a in from_host)
            verdict.test(count > REQUESTS_IN_PAUSE and
                         f"{instance} got {count} requests of {host} in a pause "
                         f"of {asked['pause_s']} s from {asked['ended']:.3f}")
    return verdict


def _versions(record):
    """Times of acknowledgement of each version, and when the next one was first
    written."""
    written = collections.defaultdict(list)
    for event in record.events("configured"):
        written[event["version"]].append(event["at"])
    replaced = {}
    for event in record.events("configured"):
        replaced.setdefault(event["version"] - 1, event["began"])
    return written, replaced


def _version_answers(record):
    """Attempts on routes of single versions, with version and process."""
    for attempt in record.attempts:
        life = record.life(attempt["host"], attempt["began"])
        if (attempt["kind"].startswith(VERSION_KIND) and life and
                attempt["end"] == "answer"):
            version = int(attempt["kind"].removeprefix(VERSION_KIND))
            yield attempt, version, life


def new_routes_are_served(record):
    """A new version's route is served by every running host."""
    verdict = Verdict("new routes are served in time")
    written, replaced = _versions(record)
    for attempt, version, life in _version_answers(record):
        since = record.known_since(life, written[version], attempt["began"])
        if (since is None or attempt["began"] < since + CONFIG_APPLY_S or
                attempt["ended"] > replaced.get(version, attempt["ended"]) or
                not life.undisturbed(since, attempt["ended"]) or
                attempt["status"] not in (OK, NOT_FOUND)):
            continue
        verdict.test(attempt["status"] == NOT_FOUND and
                     f"{attempt['id']}: {life.host} lacks version {version} "
                     f"{attempt['began'] - since:.3f} s after {since:.3f}")
    return verdict


def versions_never_fall(record):
    """A process never goes back to an older configuration."""
    verdict = Verdict("versions never fall")
    answers = sorted(_version_answers(record), key=lambda a: a[0]["began"])
    for life in record.lives:
        served = []
        for attempt, version, of in answers:
            if of is not life or attempt["status"] != OK:
                continue
            newest = max((v for ended, v in served
                          if ended <= attempt["began"]), default=None)
            if newest is not None:
                verdict.test(version < newest and
                             f"{attempt['id']}: {life.host} serves version "
                             f"{version} after {newest}")
            served.append((attempt["ended"], version))
    return verdict


def whole_answers_return(record):
    """After all faults each host gives whole answers again."""
    verdict = Verdict("whole answers return")
    for ended in record.events("faults_ended"):
        for life in record.lives:
            if life.ended < ended["at"]:
                continue
            sweeps = sorted(
                (a for a in record.attempts if a["host"] == life.host and
                 a["kind"] == soak_fleet.SWEEP.name and
                 ended["at"] <= a["began"] and
                 a["ended"] <= ended["at"] + RECOVERY_S),
                key=lambda a: a["ended"])
            whole = [a["headers"].get("Trefoilmill-Missing-Parts") == "0"
                     for a in sweeps]
            longest = max((len(list(run)) for is_whole, run
                           in itertools.groupby(whole) if is_whole), default=0)
            verdict.test(longest < WHOLE_IN_A_ROW and
                         f"{life.host} gave {longest} whole answers in a row of "
                         f"{len(sweeps)}")
    return verdict


PROMISES = (answered_around_stops, stops_end_in_time, answers_are_true,
            runs_at_most_once, refused_did_not_run, draining_gets_nothing,
            known_around_silences, pauses_are_heeded, new_routes_are_served,
            versions_never_fall, whole_answers_return)


def judge(record):
    """The verdict on each promise."""
    return [promise(record) for promise in PROMISES]
