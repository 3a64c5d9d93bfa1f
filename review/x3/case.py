"""A searcher that has run a request that isn't idempotent, and then fails with
status 503, 429 or 408, without Trefoilmill-Not-Executed. With TROUBLE=0 it
fails with status 500."""

import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from harness import TROUBLE, Message, Searcher, ask, main  # noqa: E402

PROMISES = (408, 421, 429, 503)
PER_STATUS = 4


async def case(fleet):
    answers = {}
    for status in (503, 429, 408):
        returned = status if TROUBLE else 500

        async def fail(run, _reader, _writer, returned=returned):
            if run.method != "POST":
                return run.searcher.good_answer(run)
            return run.searcher.good_answer(run, returned)

        for searcher in fleet.searchers_of(fleet.single):
            searcher.behave = fail
        for number in range(PER_STATUS):
            identity = f"book-{status}-{number}"
            entry = fleet.entries[number % len(fleet.entries)]
            answers[identity] = await ask(
                fleet.record, entry.ip, identity, "/book/unit-7",
                method="POST", body=b"one reorder")
    findings = []
    for identity, reply in answers.items():
        runs = [run for run in Searcher.runs if run.id == identity]
        if isinstance(reply, Message) and reply.status in PROMISES and runs:
            findings.append(
                f"REFUSED: {identity} was answered {reply.status}, which says "
                f"that it has not run, but {runs[0].searcher.name} ran it")
        if len(runs) > 1:
            findings.append(f"TWICE: {identity} ran {len(runs)} times")
    return findings


main(FOLDER, case)
