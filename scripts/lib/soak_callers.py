"""Callers of a soak, all in one process. Each keeps one connection and goes on
using its host until nothing listens there any more, whatever the directory
says. Every attempt is recorded as one JSON line."""

import asyncio
import collections
import dataclasses
import http.client
import itertools
import json
import multiprocessing
import random
import socket
import time

import aiohttp

# How long a caller stays away from a host that refused a connection.
AVOID_S = 0.5
# Of a caller that reads slowly: its receive buffer, and how much it reads at once.
RECEIVE_BUFFER_BYTES = 8192
READ_BYTES = 65536
# A caller that gives up does so within this time.
GIVES_UP_WITHIN_S = 0.4
# How often the callers' process notes that it runs, and how long it keeps that.
BEAT_S = 0.01
KEPT_BEATS = 1000
# Longer answers are recorded by their size only.
RECORDED_BYTES = 512


@dataclasses.dataclass(frozen=True)
class RequestKind:
    """Requests on one route."""
    name: str
    path: str
    deadline_s: float
    # Longest pause between an answer and the next request.
    pause_s: float
    method: str = "GET"


@dataclasses.dataclass
class Attempt:
    """One request of a caller, as its socket saw it."""
    id: str
    kind: str
    host: str
    # When the attempt began, and when the request had left; 0 if it did not.
    began: float
    sent: float = 0.0
    ended: float = 0.0
    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    # The answer's size in bytes, and its content in hexadecimal if it is short.
    size: int = 0
    body: str = ""
    # The longest time in it in which the callers' process did not look at its
    # sockets: it may have sent and noticed things that much late.
    stalled: float = 0.0
    # "answer", "not_connected", "closed" (no or no whole answer), "deadline",
    # "gave_up" (before the deadline).
    end: str = "closed"

    def set_answer(self, body):
        self.end = "answer"
        self.size = len(body)
        self.body = recorded(body)


def recorded(body):
    """An answer's content as it is recorded."""
    return body.hex() if len(body) <= RECORDED_BYTES else ""


def _note_sent():
    """Notes in each attempt when its request was written to the socket."""
    async def on_headers_sent(_session, context, _parameters):
        context.trace_request_ctx.sent = time.monotonic()

    trace = aiohttp.TraceConfig()
    trace.on_request_headers_sent.append(on_headers_sent)
    return trace


def request_headers(identity, kind):
    return {"Host": "shop.example", "Trefoilmill-Request-Id": identity,
            "Trefoilmill-Deadline-Ms": str(int(1000 * kind.deadline_s))}


def ask_once(host, port, kind, identity, read_s=0.0):
    """One attempt on a connection of its own. The answer is read in small steps
    over `read_s` seconds."""
    attempt = Attempt(identity, kind.name, host, time.monotonic())
    connection = http.client.HTTPConnection(host, port)
    connection.sock = socket.socket()
    connection.sock.settimeout(kind.deadline_s)
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                               RECEIVE_BUFFER_BYTES)
    try:
        connection.sock.connect((host, port))
        connection.request(kind.method, kind.path,
                           headers=request_headers(identity, kind))
        attempt.sent = time.monotonic()
        reply = connection.getresponse()
        attempt.status = reply.status
        attempt.headers = dict(reply.getheaders())
        attempt.set_answer(_read_in_steps(reply, read_s))
    except ConnectionRefusedError:
        attempt.end = "not_connected"
    except TimeoutError:
        attempt.end = "deadline"
    except (http.client.HTTPException, OSError):
        attempt.end = "closed"
    finally:
        connection.close()
    attempt.ended = time.monotonic()
    return dataclasses.asdict(attempt)


def _read_in_steps(reply, read_s):
    body = b""
    steps = max(1, reply.length // READ_BYTES)
    while reply.length:
        part = reply.read(min(READ_BYTES, reply.length))
        if not part:
            raise http.client.IncompleteRead(body, reply.length)
        body += part
        time.sleep(read_s / steps)
    return body


class Callers:
    """The process of `count` callers; each keeps to one kind of request, and
    gives up a share of them before the deadline."""

    def __init__(self, hosts, port, kinds, count, seed, record_file, *,
                 given_up=0.0):
        self._hosts = hosts
        self._port = port
        self._kinds = kinds
        self._count = count
        self._seed = seed
        self._record_file = record_file
        self._given_up = given_up
        self._stopping = multiprocessing.Event()
        self.process = multiprocessing.Process(target=self._run, daemon=True)

    def start(self):
        self.process.start()

    def stop(self):
        """Lets each caller end its last request."""
        self._stopping.set()
        self.process.join()

    def _run(self):
        asyncio.run(self._call())

    async def _call(self):
        with open(self._record_file, "a", buffering=1) as self._records:
            self._beats = collections.deque(maxlen=KEPT_BEATS)
            beating = asyncio.create_task(self._beat())
            await asyncio.gather(*(self._caller(n)
                                   for n in range(self._count)))
            beating.cancel()

    async def _beat(self):
        while True:
            self._beats.append(time.monotonic())
            await asyncio.sleep(BEAT_S)

    def _longest_stall(self, since):
        """Between two beats, the later of which was after `since`."""
        beats = [*self._beats, time.monotonic()]
        return max(later - earlier for earlier, later in itertools.pairwise(beats)
                   if later >= since)

    async def _caller(self, number):
        rng = random.Random(f"{self._seed}/{number}")
        kind = self._kinds[number % len(self._kinds)]
        host = self._hosts[number % len(self._hosts)]
        connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=60)
        async with aiohttp.ClientSession(
                connector=connector, trace_configs=[_note_sent()]) as session:
            while not self._stopping.is_set():
                identity = f"{rng.getrandbits(64):016x}"
                patience_s = kind.deadline_s
                if rng.random() < self._given_up:
                    patience_s = rng.uniform(0, GIVES_UP_WITHIN_S)
                attempt = await self._attempt(session, identity, kind, host,
                                              patience_s)
                self._records.write(
                    json.dumps(dataclasses.asdict(attempt)) + "\n")
                if attempt.end == "not_connected":
                    host = rng.choice([h for h in self._hosts if h != host])
                    await asyncio.sleep(rng.uniform(0, AVOID_S))
                await asyncio.sleep(rng.uniform(0, kind.pause_s))

    async def _attempt(self, session, identity, kind, host, patience_s):
        attempt = Attempt(identity, kind.name, host, time.monotonic())
        try:
            async with session.request(
                    kind.method, f"http://{host}:{self._port}{kind.path}",
                    headers=request_headers(identity, kind),
                    timeout=aiohttp.ClientTimeout(patience_s),
                    trace_request_ctx=attempt) as reply:
                attempt.status = reply.status
                attempt.headers = dict(reply.headers)
                attempt.set_answer(await reply.read())
        except aiohttp.ClientConnectorError:
            attempt.end = "not_connected"
        except asyncio.TimeoutError:
            attempt.end = ("deadline" if patience_s == kind.deadline_s
                           else "gave_up")
        except (aiohttp.ClientError, OSError):
            attempt.end = "closed"
        attempt.ended = time.monotonic()
        if attempt.end == "closed":
            attempt.stalled = self._longest_stall(attempt.began)
        return attempt
