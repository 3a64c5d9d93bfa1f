"""Requests that crash each searcher that begins to run them, beside other
requests that run on sound searchers. With TROUBLE=0 they crash none."""

import asyncio
import itertools
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from harness import (  # noqa: E402
    HOSTNAME, TROUBLE, Message, Searcher, ask, main, reset)

ROUNDS = 6
PULLS_PER_ROUND = 3
# The site file's figures for ledger-pull: 90 ms of work on average, 540 ms at
# most.
PULL_WORK_S = 0.45
CRASH_AFTER_S = 0.04
DOWN_S = 3.0
ROUND_S = 6.0
# Other sweeps, so that at most 0.03 of all sweeps are deadly.
SWEEPS_PER_S = 6
# "More than three requests of clients run ... on more searchers than their
# route's max_attempts".
ALLOWED = 3


class Crashes:
    """Ends a searcher as a crash does, and starts it again with a new id."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.ended = set()
        self.lives = itertools.count(1)
        self.tasks = []

    def end(self, searcher):
        if searcher.name in self.ended:
            return
        self.ended.add(searcher.name)
        self.fleet.record(f"crash  {searcher.name}")
        searcher.server.close()
        for writer in list(searcher.writers):
            reset(writer)
        self.tasks.append(asyncio.create_task(self.start_again(searcher)))

    async def start_again(self, searcher):
        await asyncio.sleep(DOWN_S)
        await self.fleet.store.delete("servers", searcher.name)
        again = Searcher(self.fleet.record, searcher.service,
                         f"{searcher.name.split('.')[0]}.{next(self.lives)}",
                         searcher.ip, searcher.port, searcher.zone)
        again.behave = searcher.behave
        self.fleet.searchers.append(again)
        await again.start()
        await self.fleet.store.put("servers", again.name, again.entry())


async def case(fleet):
    crashes = Crashes(fleet)

    async def behave(run, _reader, _writer):
        if "/deadly" in run.target and TROUBLE:
            await asyncio.sleep(CRASH_AFTER_S)
            crashes.end(run.searcher)
            return "reset"
        await asyncio.sleep(PULL_WORK_S if run.target.startswith("/pull/")
                            else run.searcher.work_s)
        return run.searcher.good_answer(run)

    for searcher in fleet.searchers:
        searcher.behave = behave
    await fleet.store.put("config", "main", fleet.configuration(12, extra=[{
        "name": "pull", "hostname": HOSTNAME, "path_prefix": "/pull/",
        "type": "idempotent", "backend": fleet.single, "timeout_ms": 2000,
        "slo_ms": 400, "priority": 1, "max_attempts": 1}]))

    async def has_pull():
        replies = [await ask(fleet.record, e.ip, f"warm-pull-{e.number}",
                             "/pull/warm") for e in fleet.entries]
        return all(isinstance(r, Message) and r.status == 200
                   for r in replies)

    await fleet.until("the route is in force", has_pull)
    sweeps = []

    async def send_sweeps():
        for number in itertools.count():
            entry = fleet.entries[number % len(fleet.entries)]
            sweeps.append(asyncio.create_task(ask(
                fleet.record, entry.ip, f"other-{number}", "/sweep/unit")))
            await asyncio.sleep(1 / SWEEPS_PER_S)

    others = asyncio.create_task(send_sweeps())
    pulls = []
    for number in range(ROUNDS):
        entry = fleet.entries[number % len(fleet.entries)]
        began = time.monotonic()
        asked = []
        for which in range(PULLS_PER_ROUND):
            identity = f"pull-{number}-{which}"
            pulls.append(identity)
            asked.append(ask(fleet.record, entry.ip, identity,
                             f"/pull/unit-{which}"))
        asked.append(later(0.05, ask(fleet.record, entry.ip,
                                     f"sweep-{number}",
                                     f"/sweep/deadly-{number}")))
        await asyncio.gather(*asked)
        await asyncio.sleep(max(0, ROUND_S - (time.monotonic() - began)))
    others.cancel()
    await asyncio.gather(*sweeps, *crashes.tasks)
    over = {}
    for identity in pulls:
        ran_on = [run.searcher.name for run in Searcher.runs
                  if run.id == identity]
        if len(set(ran_on)) > 1 and not crashes.ended.intersection(ran_on):
            over[identity] = ran_on
    fleet.record(f"{len(over)} of {len(pulls)} requests ran on more searchers "
                 f"than their route allows: {over}")
    if len(over) > ALLOWED:
        return [f"BUDGET: {len(over)} of {len(pulls)} requests of a route "
                f"with max_attempts 1 ran on two searchers, none of which "
                f"ended, such as {next(iter(over.items()))}"]
    return []


async def later(delay_s, task):
    await asyncio.sleep(delay_s)
    return await task


main(FOLDER, case, shards=10)
