"""Planned restarts of hosts, one after the other, under load."""

from scenarios import Act
from suite import JudgedRun

# A stop takes the entries' time to live and the longest deadline.
STOP_LIMIT_S = 20.0
STOP_S = 9.0
RESTARTED = 2


def restart_in_turn(checks, directory, gap_s, settle):
    """Restarts hosts `gap_s` apart; `settle` waits after each start until
    every endpoint has a certain owner."""
    exits = []

    def happenings(cluster, _seconds):
        acts = []
        for index, host in enumerate(cluster.hosts[:RESTARTED]):
            def start_again(host=host):
                exits.append(host.process.wait(STOP_LIMIT_S))
                cluster.start_host(host)
                if settle:
                    cluster.wait_ready()
            at_s = 1 + gap_s * index
            acts.append(Act(at_s, f"{host.name} stops",
                            host.process.terminate, stops=host))
            acts.append(Act(at_s + STOP_S, f"{host.name} starts",
                            start_again))
        return acts

    with JudgedRun(directory, happenings, gap_s * RESTARTED + 4) as run:
        run.execute()
        checks.no_violations(run.figures)
        checks.equal(run.figures["violations"]["cut_request"], 0,
                     "requests that were cut")
        checks.equal(exits, [0] * RESTARTED, "exit statuses of the hosts")
        checks.equal(run.figures["failed"], 0, "queries that failed")
        checks.equal(run.not_whole(), [], "queries that were not whole")
