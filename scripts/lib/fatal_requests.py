"""Requests that come again and again, some of which end the endpoints that run
them: what the tests of the quarantine share."""

import random
import threading
import time


class Repeater:
    """Sends requests again and again to hosts drawn at random."""

    def __init__(self, fleet, seed, gap_s, make_path, method="POST"):
        self.fleet, self.gap_s, self.make_path = fleet, gap_s, make_path
        self.method = method
        self.random = random.Random(seed)
        # When it was asked, the path, the status and how long it took.
        self.results = []
        # When each request was sent, by its id.
        self.sent = {}
        # Results that were whole.
        self.whole = 0
        self.stopped = False
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        number = 0
        while not self.stopped:
            host = self.random.choice(self.fleet.hosts)
            number += 1
            path = self.make_path(number)
            asked = time.monotonic()
            # A caller comes twice, at another host the second time.
            for attempt in range(2):
                identity = f"{path}-{asked}-{attempt}"
                self.sent[identity] = time.monotonic()
                status, headers, _ = host.ask(path, identity, self.method,
                                              b"content")
                whole = headers.get("Trefoilmill-Missing-Parts", "0") == "0"
                if status == 200:
                    break
                host = self.random.choice(self.fleet.hosts)
            self.results.append((asked, path, status,
                                 time.monotonic() - asked))
            self.whole += status == 200 and whole
            time.sleep(self.gap_s)

    def stop(self):
        self.stopped = True
        self.thread.join()


def arrivals(fleet, path):
    """When the request arrived at endpoints and was run, in order."""
    return sorted(at for endpoint in list(fleet.endpoints.values())
                  for at, (_, _, run_path, _) in list(endpoint.run_times)
                  if run_path == path)


def ends(fleet, path):
    """When endpoints ended that ran the request, in order."""
    return sorted(at for name, at in list(fleet.crashes.items())
                  if any(run[2] == path for run in fleet.endpoints[name].runs))


def late_retries(fleet, repeater, path, contact_s):
    """Requests for the path that were sent later than `contact_s` after it had
    ended the third endpoint, and that reached endpoints."""
    third = ends(fleet, path)[2]
    reached = {run[0] for endpoint in list(fleet.endpoints.values())
               for run in list(endpoint.runs)}
    return [identity for identity, at in repeater.sent.items()
            if at > third + contact_s and identity in reached]


class Sender(Repeater):
    """Sends one request each `gap_s`, whether earlier ones are answered or
    not."""

    def _run(self):
        number = 0
        while not self.stopped:
            number += 1
            threading.Thread(target=self._send, args=(number,),
                             daemon=True).start()
            time.sleep(self.gap_s)

    def _send(self, number):
        host = self.random.choice(self.fleet.hosts)
        path = self.make_path(number)
        identity = f"{path}-{number}"
        asked = time.monotonic()
        self.sent[identity] = asked
        status, _, _ = host.ask(path, identity, self.method, b"content")
        self.results.append((asked, path, status, time.monotonic() - asked))
