"""What must hold in a soak, judged from what callers and endpoints saw."""

import collections
import dataclasses

# A request that crosses the close of its connection is allowed to end without
# an answer this soon after it was sent, if no endpoint got it.
CROSSING_S = 0.2


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
        waited = attempt["ended"] - (attempt["sent"] or attempt["ended"])
        if stop is None or not (arrived or waited > CROSSING_S):
            continue
        lost.append(describe(attempt, stop, arrived))
    return lost


def describe(attempt, stop, arrived):
    sent = (attempt["sent"] or attempt["began"]) - stop.told
    ended = attempt["ended"] - stop.told
    text = (f"{attempt['id']} {attempt['kind']} at {attempt['host']}: sent "
            f"{sent:+.3f} s, closed {ended:+.3f} s from SIGTERM, process ended "
            f"{stop.ended - stop.told:+.3f} s, status {attempt['status']}")
    for arrival in arrived:
        text += (f"; {arrival['endpoint']} {arrival['arrived'] - stop.told:+.3f}"
                 f"..{arrival['ended'] - stop.told:+.3f} {arrival['result']}")
    return text


def ends(attempts):
    """How often attempts ended in which way."""
    return collections.Counter(
        f"{a['end']}/{a['status']}" if a["end"] == "answer" else a["end"]
        for a in attempts)
