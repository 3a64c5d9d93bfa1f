"""What the folders of testsuite/ share: a small cluster, checks and the judged
run of a load with faults."""

import json
import sys
import tempfile
import traceback

from cluster import Cluster, ClusterSpec
from experiment_run import Run
from scenarios import MAX_DEADLINE_MS, Scenario

# Enough of each kind: lookups with one shard, a ledger with three, of which
# the last has two replicas.
SMALL_SERVICES = [
    {"name": "van-loading", "group": "lookup", "count": 2, "port_offset": 0},
    {"name": "kiosk-counter", "group": "lookup", "count": 2,
     "port_offset": 100},
    {"name": "office-ledger", "group": "ledger", "searchers": 8,
     "port_offset": 200},
]
SMALL_SHARDS = 7
SMALL_SPEC = {"services": SMALL_SERVICES, "hosts_per_zone": 2}


class Checks:
    """Counts what does not hold, and says what it was."""

    def __init__(self):
        self.failed = 0

    def that(self, holds, what):
        print(("ok      " if holds else "FAILED  ") + what, flush=True)
        self.failed += 0 if holds else 1

    def equal(self, found, wanted, what):
        self.that(found == wanted, f"{what}: {found!r}, wanted {wanted!r}")

    def no_violations(self, figures):
        broken = {name: count for name, count in figures["violations"].items()
                  if count}
        self.that(not broken, f"no promise broken, found {broken}")


def run_suite(test):
    """Calls `test(checks, directory)`; the process's exit status tells."""
    checks = Checks()
    with tempfile.TemporaryDirectory(prefix="trefoilmill-test-") as directory:
        try:
            test(checks, directory)
        except Exception:
            traceback.print_exc()
            checks.failed += 1
    sys.exit(1 if checks.failed else 0)


def small_cluster(directory, **changes):
    """A cluster with a handful of services."""
    overrides = {"query": {"max_deadline_ms": MAX_DEADLINE_MS}}
    spec = ClusterSpec("pemberton", overrides=overrides,
                       **{**SMALL_SPEC, **changes})
    return Cluster(spec, directory)


class JudgedRun:
    """A small cluster under load while things happen to it."""

    def __init__(self, directory, happenings, seconds, rate_per_s=20.0,
                 **load):
        scenario = Scenario("suite", "", happenings, rate_per_s=rate_per_s,
                            warmup_s=6.0, measure_idle=False, spec=SMALL_SPEC,
                            load=load)
        self._run = Run(scenario, "pemberton", 1, seconds, directory)
        self.warmup_s = scenario.warmup_s
        self.figures = None
        self.rows = []
        self.records = []

    @property
    def cluster(self):
        return self._run.cluster

    def __enter__(self):
        self.cluster.__enter__()
        return self

    def __exit__(self, *_):
        self.cluster.stop()

    def execute(self):
        """Loads the cluster; then figures, rows and records are there. Times
        count from the end of the warm-up."""
        self._run.prepare()
        self.figures = self._run.execute()
        self.rows = self._read("queries.jsonl")
        self.records = self._read("endpoint_records.jsonl")

    def _read(self, name):
        with open(self._run.directory / name) as lines:
            rows = [json.loads(line) for line in lines]
        for row in rows:
            row["at_s"] -= self.warmup_s
        return rows

    def not_whole(self, after_s=float("-inf")):
        """Queries after a time that ended otherwise than whole."""
        return [row for row in self.rows if row["at_s"] >= after_s
                and (row["end"] != "answered"
                     or row["answered"] != row["total"])]
