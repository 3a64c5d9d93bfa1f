"""Carries out the plan of a soak: signals hosts, changes endpoints, writes the
store. Everything it does is recorded as one JSON line."""

import concurrent.futures
import itertools
import json
import random
import signal
import subprocess
import threading
import time

import entry_fleet
import soak_callers
import soak_checks
import soak_fleet
import soak_plan
from soak_record import SETTLED_S

# When the operator writes again what a restored store has lost.
WRITTEN_AGAIN_AFTER_S = 1.0
WHOLE_LINK = {"stall": "none", "refuse": False, "reset_share": 0.0,
              "delay_ms": 0}
PROBE_PAUSE_S = 0.1
SIGNALS_POLL_S = 0.001
# Past the time by which whole answers must return.
RECOVERY_LIMIT_S = soak_checks.RECOVERY_S + 2.0


class Operator:
    """Plays steps on a fleet and probes its hosts; `directory` gets the records."""

    def __init__(self, fleet, directory, seed):
        self._fleet = fleet
        self._seed = seed
        self._events = open(directory / "operator.jsonl", "a", buffering=1)
        self._probes = open(directory / "probes.jsonl", "a", buffering=1)
        self._lock = threading.Lock()
        self._version = 1
        # The store's copy, and what was written since; None without a copy.
        self._copy = None
        self._written = []
        self._probing = threading.Event()
        self._whole_in_a_row = dict.fromkeys(fleet.hosts, 0)
        # Probes that began before do not count as answered after all faults.
        self._counted_from = 0.0
        for endpoint in fleet.endpoints.values():
            self._note("endpoint", name=endpoint.name, service=endpoint.service,
                       size=len(endpoint.body),
                       body=soak_callers.recorded(endpoint.body))
        for host in fleet.hosts.values():
            self._note("started", host=host.ip)
        self._note("configured", version=1, began=time.monotonic())

    def play(self, plan):
        """Plays all lanes at once; returns when each has ended."""
        began = time.monotonic()
        lanes = {}
        for step in plan:
            lanes.setdefault(step.lane, []).append(step)
        with concurrent.futures.ThreadPoolExecutor(len(lanes) or 1) as pool:
            played = [pool.submit(self._play_lane, steps, began)
                      for steps in lanes.values()]
        try:
            for lane in played:
                lane.result()
        except Exception:
            # Its threads would keep a soak from ending that has failed.
            self._probing.set()
            raise

    def _play_lane(self, steps, began):
        for step in steps:
            time.sleep(max(0.0, began + step.at_s - time.monotonic()))
            getattr(self, f"_{step.action}")(**step.arguments)

    def _note(self, event, **fields):
        line = {"at": time.monotonic(), "event": event} | fields
        with self._lock:
            self._events.write(json.dumps(line) + "\n")

    # Hosts.

    def _start(self, number):
        """Starts a host; a signal that comes next finds it in main()."""
        self._note("started", host=self._fleet.hosts[number].ip)
        host = self._fleet.start_host(number)
        entry_fleet.eventually("signals are held back", host.holds_signals,
                               SIGNALS_POLL_S)

    def _tell(self, number, further):
        """Tells a host to stop and waits until it has ended."""
        host = self._fleet.hosts[number]
        self._note("told", host=host.ip)
        until = time.monotonic() + self._fleet.grace_s
        host.process.send_signal(signal.SIGTERM)
        for delay_s, name in further:
            time.sleep(delay_s)
            host.process.send_signal(getattr(signal, name))
        try:
            host.process.wait(max(0.0, until - time.monotonic()))
        except subprocess.TimeoutExpired:
            host.process.kill()
        self._note("ended", host=host.ip, exit_status=host.process.wait())

    def _stop(self, number, further, down_s):
        self._tell(number, further)
        time.sleep(down_s)
        self._start(number)

    def _kill(self, number, down_s):
        host = self._fleet.hosts[number]
        self._note("killed", host=host.ip)
        host.process.kill()
        self._note("ended", host=host.ip, exit_status=host.process.wait())
        time.sleep(down_s)
        self._start(number)

    def _pause(self, number, for_s):
        host = self._fleet.hosts[number]
        self._note("paused", host=host.ip)
        host.process.send_signal(signal.SIGSTOP)
        time.sleep(for_s)
        host.process.send_signal(signal.SIGCONT)
        self._note("resumed", host=host.ip)

    def _reload(self, number):
        self._fleet.hosts[number].process.send_signal(signal.SIGHUP)

    # Links to the store.

    def _break_links(self, numbers, fault, for_s):
        for number in numbers:
            self._note("link_broken", host=self._fleet.hosts[number].ip)
            self._fleet.links.change(number, **soak_plan.LINK_FAULTS[fault])
        time.sleep(for_s)
        for number in numbers:
            self._fleet.links.change(number, **WHOLE_LINK)
            self._note("link_mended", host=self._fleet.hosts[number].ip)

    # Endpoints.

    def _change_endpoints(self, endpoints, for_s, attribute, value, normal):
        for name in endpoints:
            self._fleet.set_endpoint(name, **{attribute: value})
        time.sleep(for_s)
        for name in endpoints:
            self._fleet.set_endpoint(name, **{attribute: normal})

    def _slow(self, endpoints, for_s, slowness):
        self._change_endpoints(endpoints, for_s, "slowness", slowness, 1.0)

    def _silent(self, endpoints, for_s):
        self._change_endpoints(endpoints, for_s, "silent", True, False)

    def _reset(self, endpoints, for_s):
        self._change_endpoints(endpoints, for_s, "resetting", True, False)

    def _refuse(self, endpoints, for_s):
        self._change_endpoints(endpoints, for_s, "refusing", True, False)

    def _ask_pause(self, endpoints, for_s, pause_s):
        self._change_endpoints(endpoints, for_s, "pause_s", pause_s, 0.0)

    # The store's content.

    def _write(self, kind, name, spec, event, **fields):
        """Writes an object, or deletes it if `spec` is None; notes `event` once
        the store has acknowledged it."""
        began = time.monotonic()
        if spec is None:
            self._fleet.store.delete(kind, name)
        else:
            self._fleet.store.put(kind, name, spec)
        self._note(event, began=began, **fields)
        if self._copy is not None:
            self._written.append((kind, name, spec, event, fields))

    def _configure(self, version):
        self._write("config", "main", soak_fleet.configuration(version),
                    "configured", version=version)
        self._version = version
        time.sleep(SETTLED_S)

    def _drain(self, endpoint):
        known = self._fleet.endpoints[endpoint]
        self._write("servers", known.instance,
                    self._fleet.entry(known, "draining"), "drained",
                    instance=known.instance)
        time.sleep(SETTLED_S)

    def _leave(self, endpoint):
        self._fleet.set_endpoint(endpoint, leaving=True)
        self._note("leaving", instance=self._fleet.endpoints[endpoint].instance)

    def _replace(self, endpoint):
        """Another instance takes an endpoint's address."""
        known = self._fleet.endpoints[endpoint]
        former, known.instance = known.instance, known.instance + "-next"
        self._write("servers", former, None, "removed", instance=former)
        self._fleet.set_endpoint(endpoint, leaving=False,
                                 instance=known.instance)
        self._write("servers", known.instance, self._fleet.entry(known),
                    "announced", instance=known.instance)
        time.sleep(SETTLED_S)

    def _zone_out(self, zone):
        self._write("evacuations", zone, {}, "zone_out", zone=zone)
        time.sleep(SETTLED_S)

    def _zone_in(self, zone):
        self._write("evacuations", zone, None, "zone_in", zone=zone)
        time.sleep(SETTLED_S)

    # The store's faults.

    def _store_down(self, for_s):
        self._break_store(for_s, down=True)

    def _store_slow(self, for_s, delay_s):
        self._break_store(for_s, delay_s=delay_s)

    def _break_store(self, for_s, **fault):
        self._note("store_broken", **fault)
        self._fleet.store.configure(**fault)
        time.sleep(for_s)
        self._fleet.store.configure(down=False, delay_s=0.0)
        self._note("store_mended")

    def _silence_store(self, form, for_s):
        self._note("store_silent", form=form)
        self._fleet.store.fail(form)
        time.sleep(for_s)
        self._fleet.store.mend()
        self._note("store_answers")

    def _store_back_up(self):
        self._copy, self._written = self._fleet.store.backup(), []

    def _store_restore(self):
        """The store goes back to its copy; what it lost is written again."""
        copy, self._copy = self._copy, None
        if copy is None:
            return
        self._fleet.store.restore(copy)
        self._note("store_restored", lost=len(self._written))
        time.sleep(WRITTEN_AGAIN_AFTER_S)
        for kind, name, spec, event, fields in self._written:
            self._write(kind, name, spec, event, **fields)
        time.sleep(SETTLED_S)

    # Probes.

    @property
    def recovered(self):
        return (min(self._whole_in_a_row.values()) >=
                soak_checks.WHOLE_IN_A_ROW)

    def start_probes(self):
        pool = concurrent.futures.ThreadPoolExecutor(len(self._fleet.hosts))
        self._probers = [pool.submit(self._probe, number)
                         for number in self._fleet.hosts]

    def _probe(self, number):
        """Asks one host for the newest two versions' routes and all shards."""
        rng = random.Random(f"{self._seed}/probe/{number}")
        host = self._fleet.hosts[number].ip
        while not self._probing.wait(PROBE_PAUSE_S):
            version = self._version
            for kind in (soak_fleet.version_kind(version),
                         soak_fleet.version_kind(version - 1),
                         soak_fleet.SWEEP):
                attempt = soak_callers.ask_once(
                    host, entry_fleet.FRONT, kind, f"{rng.getrandbits(64):016x}")
                with self._lock:
                    self._probes.write(json.dumps(attempt) + "\n")
            whole = (attempt["began"] >= self._counted_from and
                     attempt["headers"].get("Trefoilmill-Missing-Parts") == "0")
            self._whole_in_a_row[number] = (
                self._whole_in_a_row[number] + 1 if whole else 0)

    # The end.

    def end(self):
        """Ends all faults, waits for whole answers, and stops all hosts."""
        self._note("faults_ended")
        self._counted_from = time.monotonic()
        self._whole_in_a_row = dict.fromkeys(self._fleet.hosts, 0)
        until = time.monotonic() + RECOVERY_LIMIT_S
        while not self.recovered and time.monotonic() < until:
            time.sleep(PROBE_PAUSE_S)
        self._probing.set()
        for prober in self._probers:
            prober.result()
        with concurrent.futures.ThreadPoolExecutor(
                len(self._fleet.hosts)) as pool:
            list(pool.map(self._tell, self._fleet.hosts, itertools.repeat(())))

    def wait_for_quiet(self):
        """Waits until no endpoint has a request: then all are recorded."""
        entry_fleet.eventually(
            "endpoints have no request",
            lambda: self._fleet.requests_under_way() == 0)
        self._events.close()
        self._probes.close()
