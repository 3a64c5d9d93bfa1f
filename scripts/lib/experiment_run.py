"""Runs one scenario against one cluster and collects the figures."""

import json
import pathlib
import subprocess
import sys
import threading
import time

import scenarios
from cluster import Cluster
from cluster_network import ADMINISTRATION_PORT
from daemon_metrics import control_traffic
from process_group import binaries

# Idle time over which the daemons' own cost is measured.
CONTROL_SAMPLE_S = 5.0
# The load tool reads all records after the last query.
LOAD_GRACE_S = 120.0

FIGURES = ("queries", "answered", "refused", "failed", "coverage_mean",
           "coverage_whole_share", "p50_ms", "p99_ms", "p999_ms",
           "p99_before_ms", "p99_change_ms", "floor_p99_ms",
           "extra_load_ratio", "config_in_force_s", "violations")


def progress(text):
    print(text, file=sys.stderr, flush=True)


class ControlCost:
    """What the daemons cost without queries: the highest of all daemons."""

    def __init__(self, cluster):
        self._cluster = cluster
        self._usage = {host.name: host.process.usage()
                       for host in cluster.hosts}
        self._calls = len(cluster.store.records())
        self._bytes = self._control_bytes()
        self._began = time.monotonic()

    def _control_bytes(self):
        return {host.name: control_traffic(host).bytes
                for host in self._cluster.hosts}

    def finish(self):
        elapsed = time.monotonic() - self._began
        cpu, rss = 0.0, 0.0
        for host in self._cluster.hosts:
            before, now = self._usage[host.name], host.process.usage()
            cpu = max(cpu, (now[0] - before[0]) / elapsed)
            rss = max(rss, now[1] / 2**20)
        calls = len(self._cluster.store.records()) - self._calls
        sent = self._control_bytes()
        most = max(sent[name] - self._bytes[name] for name in sent)
        return {"cpu_share": round(cpu, 5), "rss_mb": round(rss, 1),
                "bytes_per_s": round(most / elapsed),
                "store_calls_per_s":
                    round(calls / elapsed / len(self._cluster.hosts), 3)}


class Run:
    """One cluster under one scenario."""

    def __init__(self, scenario, deployment, seed, seconds, directory,
                 alternative=None):
        self.name = alternative or "chosen"
        self.directory = pathlib.Path(directory)
        self._scenario = scenario
        self._seed = seed
        self._seconds = seconds
        self.directory.mkdir(parents=True, exist_ok=True)
        spec = scenarios.spec_for(scenario, deployment, seed, alternative)
        self.cluster = Cluster(spec, self.directory / "processes")
        self.happenings = []
        self.control = None

    def prepare(self):
        """Waits until the cluster serves, and measures what it costs idle."""
        progress(f"[{self.name}] waiting until every endpoint is owned")
        self.cluster.wait_ready()
        if not self._scenario.measure_idle:
            return
        cost = ControlCost(self.cluster)
        time.sleep(CONTROL_SAMPLE_S)
        self.control = cost.finish()

    def execute(self):
        """Loads the cluster, and returns the figures."""
        self.happenings = self._scenario.happenings(self.cluster,
                                                    self._seconds)
        config = self.directory / "load.json"
        config.write_text(json.dumps(self._load_config(), indent=1))
        command = [str(binaries() / "trefoilmill_load"), "--config",
                   str(config), "--out", str(self.directory)]
        with open(self.directory / "load.log", "w") as log:
            child = subprocess.Popen(command, stdout=subprocess.PIPE,
                                     stderr=log, text=True)
        began = time.monotonic()
        actor = threading.Thread(target=self._act, args=(began,))
        actor.start()
        limit = self._seconds + self._scenario.warmup_s + LOAD_GRACE_S
        try:
            output, _ = child.communicate(timeout=limit)
        except subprocess.TimeoutExpired:
            child.kill()
            raise
        finally:
            actor.join()
        if child.returncode not in (0, 2):
            raise RuntimeError("trefoilmill_load failed: "
                               + (self.directory / "load.log").read_text())
        summary = json.loads(output.strip().splitlines()[-1])
        figures = {name: summary.get(name) for name in FIGURES}
        return {**figures, "control": self.control}

    def _act(self, began):
        acts = sorted((one for one in self.happenings
                       if isinstance(one, scenarios.Act)),
                      key=lambda one: one.at_s)
        for act in acts:
            due = began + self._scenario.warmup_s + act.at_s
            time.sleep(max(0.0, due - time.monotonic()))
            progress(f"[{self.name}] {act.at_s:6.1f} s  {act.label}")
            act.action()

    def _load_config(self):
        cluster, scenario = self.cluster, self._scenario
        warmup_s = scenario.warmup_s
        controls = cluster.control_addresses()
        calls = [one for one in self.happenings
                 if isinstance(one, scenarios.Call)]
        stops = [one for one in self.happenings
                 if isinstance(one, scenarios.Act) and one.stops]
        addresses = {host.name: address for host, address in
                     zip(cluster.hosts, cluster.caller_addresses())}
        versions = [cluster.spec.snapshot, cluster.spec.snapshot + 1]
        return {
            "entries": cluster.caller_addresses(),
            "services": "*", "rate_per_s": scenario.rate_per_s,
            "seconds": self._seconds + warmup_s,
            "warmup_s": warmup_s, "seed": self._seed,
            "deadline_ms": scenario.deadline_ms,
            "endpoint_controls": controls["endpoints"],
            "store_control": controls["store"],
            "administration": [{"ip": host.ip, "port": ADMINISTRATION_PORT}
                               for host in cluster.hosts],
            "network_ms": {"client": cluster.spec.caller_latency_ms},
            "catalog": {"versions": [cluster.deployment.layout(version)
                                     for version in versions]},
            "events": [{"at_s": call.at_s + warmup_s,
                        "target": {"ip": call.ip, "port": call.port},
                        "method": call.method, "path": call.path,
                        "body": call.body} for call in calls],
            "leave_marks": [{"at_s": stop.at_s + warmup_s,
                             **addresses[stop.stops.name]} for stop in stops],
            **scenario.load}
