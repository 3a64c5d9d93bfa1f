"""What callers, endpoints and the operator of a soak saw, and what follows from it
about each process of a host."""

import collections
import dataclasses
import json
import math

# A process that was paused is excused until this long after it went on.
EXCUSED_S = 3.0
# A write is known to some host this soon, if the store answers.
SETTLED_S = 1.0


@dataclasses.dataclass
class Life:
    """One process of a host, from its start to its end."""
    host: str
    started: float
    told: float = math.inf
    ended: float = math.inf
    exit_status: int = None
    killed: bool = False
    # Begin and end of each pause.
    pauses: list = dataclasses.field(default_factory=list)

    def undisturbed(self, begin, end):
        """Whether it ran all that time, and was not paused shortly before."""
        return (self.started <= begin and end <= self.ended and
                not any(paused <= end and begin <= resumed + EXCUSED_S
                        for paused, resumed in self.pauses))


def _follow(lives, event):
    """Applies one event of the operator to the lives of its host, by time."""
    at, name = event["at"], event["event"]
    if name == "started":
        lives.append(Life(event["host"], at))
        return
    life = lives[-1]
    if name == "told":
        life.told = at
    elif name == "killed":
        life.killed = True
    elif name == "paused":
        life.pauses.append([at, math.inf])
    elif name == "resumed":
        life.pauses[-1][1] = at
    elif name == "ended":
        life.ended, life.exit_status = at, event["exit_status"]


class Record:
    """All that a soak's checks read."""

    def __init__(self, attempts, arrivals, events):
        self.attempts = attempts
        self.arrivals = arrivals
        self._events = collections.defaultdict(list)
        self._lives = collections.defaultdict(list)
        # Begin and end of each fault of a host's link to the store.
        self._link_faults = collections.defaultdict(list)
        for event in sorted(events, key=lambda event: event["at"]):
            self._events[event["event"]].append(event)
            if event["event"] == "link_broken":
                self._link_faults[event["host"]].append([event["at"], math.inf])
            elif event["event"] == "link_mended":
                self._link_faults[event["host"]][-1][1] = event["at"]
            elif "host" in event:
                _follow(self._lives[event["host"]], event)
        # Begin and end of each silence, and of other outages of the store.
        self.silences = self._spans("store_silent", "store_answers")
        self._broken = self._spans("store_broken", "store_mended")
        self.endpoints = {event["name"]: event
                          for event in self.events("endpoint")}
        # By request ID.
        self.arrivals_of = collections.defaultdict(list)
        for arrival in arrivals:
            self.arrivals_of[arrival["id"]].append(arrival)

    def _spans(self, begin, end):
        """Pairs of times from one event to the next of another name."""
        ends = [event["at"] for event in self.events(end)]
        return [(event["at"], min((at for at in ends if at > event["at"]),
                                  default=math.inf))
                for event in self.events(begin)]

    def events(self, name):
        """The operator's events of one name, by time."""
        return self._events[name]

    @property
    def lives(self):
        return [life for lives in self._lives.values() for life in lives]

    def life(self, host, at):
        """The process of a host at that time, or None."""
        return next((life for life in self._lives[host]
                     if life.started <= at <= life.ended), None)

    def runs_of(self, identity):
        """Arrivals of a request that an endpoint ran or began to run."""
        return [arrival for arrival in self.arrivals_of[identity]
                if arrival["ran"]]

    def _reaches_store(self, life, begin, end):
        """Whether it ran and its link to the store was whole all that time."""
        return life.undisturbed(begin, end) and not any(
            broken <= end and begin <= mended
            for broken, mended in self._link_faults[life.host])

    def _told_to_some(self, since):
        """Whether some host was sure to hear what was written then; the others
        hear it from it."""
        return any(self._reaches_store(life, since, since + EXCUSED_S)
                   for life in self.lives)

    def _past_outages(self, at):
        """From when a change made `at` had to become known: outages of the store
        that it fell into, or met before it had to be known, excuse until their end.
        Other outages than silences come later than SETTLED_S after a change, when
        some host knows of it unless the store was silent shortly before."""
        for begin, end in sorted(self.silences + self._broken):
            follows_silence = any(silent - EXCUSED_S <= at <= answers + EXCUSED_S
                                  for silent, answers in self.silences)
            margin = EXCUSED_S if follows_silence else SETTLED_S
            if begin <= at + margin and at < end:
                at = end
        return at

    def _first_known(self, written):
        """From when what was acknowledged at the times `written` had to be known; a
        store that was restored before that had lost what it had until then."""
        since = self._past_outages(written[0])
        for restored in self.events("store_restored"):
            if written[0] <= restored["at"] <= since:
                again = [time for time in written if time > restored["at"]]
                return self._first_known(again) if again else None
        return since

    def known_since(self, life, written, at):
        """From when `life` had to know what was acknowledged at each of the times
        `written`, as of `at`; None if it did not have to. A process that started
        later has only what the store shows, which a restored store may lack."""
        if not written or written[0] > at:
            return None
        if life.started <= written[0]:
            since = self._first_known(written)
            if since is None:
                return None
        else:
            latest = max(time for time in written if time <= at)
            if any(latest <= event["at"] <= at
                   for event in self.events("store_restored")):
                return None
            since = self._past_outages(max(latest, life.started))
        return since if self._told_to_some(since) else None


def read_lines(file):
    with open(file) as lines:
        return [json.loads(line) for line in lines]


def read_record(directory):
    """Reads what a soak has left in its directory."""
    attempts = [row for file in sorted(directory.glob("callers-*.jsonl"))
                for row in read_lines(file)]
    return Record(attempts + read_lines(directory / "probes.jsonl"),
                  read_lines(directory / "endpoints.jsonl"),
                  read_lines(directory / "operator.jsonl"))
