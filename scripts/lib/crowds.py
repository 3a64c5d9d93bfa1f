"""Clients that keep to no limit: many connections at once that send what no
client may, or do not read. Each crowd is bounded in connections, bytes and time,
and stays connected until it is closed."""

import collections
import selectors
import socket
import threading
import time

# What each connection of a crowd says: a beginning, then the same again and
# again up to so many bytes. Zero bytes: the beginning alone.
Speech = collections.namedtuple("Speech", "beginning repeated most_bytes")

FILLER = b"a" * 16384
HEAD = b"POST /sweep/1 HTTP/1.1\r\nHost: shop.example\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
GET = b" HTTP/1.1\r\nHost: shop.example\r\n\r\n"
BEYOND = 3 << 20
MAX_HEAD, MAX_BODY = 16384, 262144


def body_but_one(size):
    """A body of which the last byte never comes."""
    beginning = HEAD + b"Content-Length: %d\r\n\r\n" % size
    return Speech(beginning, FILLER, size - 1)


def speeches(path):
    """By name. `path` is what an ordinary request to the listener asks for."""
    get = b"GET " + path.encode() + GET
    return {
        "request line": Speech(b"GET /", FILLER, BEYOND),
        "header line": Speech(HEAD + b"X: ", FILLER, BEYOND),
        "short header lines": Speech(HEAD, b"a:\r\n" * 4096, BEYOND),
        "empty lines": Speech(b"", b"\r\n" * 8192, BEYOND),
        "bare line feeds": Speech(b"", b"\n" * 16384, BEYOND),
        "announced body": Speech(
            HEAD + b"Content-Length: 9000000000000\r\n\r\n", FILLER, BEYOND),
        "chunks": Speech(CHUNKED, b"4000\r\n" + FILLER + b"\r\n", BEYOND),
        "short chunks": Speech(CHUNKED, b"1\r\na\r\n" * 2048, BEYOND),
        "chunk length": Speech(CHUNKED, b"0" * 16384, BEYOND),
        "trailers": Speech(CHUNKED + b"0\r\n", b"a:\r\n" * 4096, BEYOND),
        "body over the limit": body_but_one(4 * MAX_BODY - 1024),
        "body within the limit": body_but_one(MAX_BODY),
        "head within the limit": Speech(
            HEAD, b"a:\r\n" * 1024, MAX_HEAD - 256),
        "requests one behind the other": Speech(get, get * 64, BEYOND),
        "idle": Speech(b"", b"", 0),
        "one byte": Speech(b"G", b"", 0),
    }


class Member:
    """One connection of a crowd."""

    def __init__(self, address, speech):
        self.speech = speech
        self.sent = 0
        self.closed = False
        self.pending = speech.beginning
        self.socket = socket.socket()
        self.socket.setblocking(False)
        try:
            self.socket.connect(address)
        except BlockingIOError:
            pass

    def done(self):
        return self.closed or (not self.pending and
                               self.sent >= self.speech.most_bytes)

    def send(self):
        """Sends as much as the socket takes; returns how much that was."""
        if not self.pending:
            left = self.speech.most_bytes - self.sent
            self.pending = self.speech.repeated[:left]
            self.sent += len(self.pending)
        try:
            count = self.socket.send(self.pending)
        except BlockingIOError:
            return 0
        except OSError:
            self.closed = True
            return 0
        self.pending = self.pending[count:]
        return count


class Crowd:
    """So many connections to each address."""

    def __init__(self, addresses, connections, speech_of):
        self.members = [Member(address, speech_of(address))
                        for _ in range(connections) for address in addresses]

    def close(self):
        for member in self.members:
            member.socket.close()

    def send(self, limit_s, quiet_s=1.0):
        """Sends until all is sent, nobody takes more, or the time is up."""
        until = time.monotonic() + limit_s
        last_sent = time.monotonic()
        with selectors.DefaultSelector() as writable:
            for member in self.members:
                writable.register(member.socket, selectors.EVENT_WRITE, member)
            while writable.get_map() and time.monotonic() < min(
                    until, last_sent + quiet_s):
                for key, _ in writable.select(0.1):
                    if key.data.send() > 0:
                        last_sent = time.monotonic()
                    if key.data.done():
                        writable.unregister(key.fileobj)


class FloodingEndpoint:
    """Answers each request with a beginning and then bytes without end, until
    the connection closes or so many bytes are sent."""

    MOST_BYTES = 32 << 20

    def __init__(self, ip, port, beginning):
        self.beginning = beginning
        self.listener = socket.create_server((ip, port), backlog=256)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,),
                             daemon=True).start()

    def _serve(self, connection):
        sent = 0
        with connection:
            try:
                if not connection.recv(65536):
                    return
                connection.sendall(self.beginning)
                while sent < self.MOST_BYTES:
                    connection.sendall(FILLER)
                    sent += len(FILLER)
            except OSError:
                pass

    def close(self):
        self.listener.close()


FLOODS = {
    "endpoints: head": b"HTTP/1.1 200 OK\r\nX: ",
    "endpoints: body": b"HTTP/1.1 200 OK\r\nContent-Length: 4000000\r\n\r\n",
    "endpoints: body without a length":
        b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
}


def send_malformed(address, times):
    """Sends one malformed request after another, each on its connection."""
    for _ in range(times):
        with socket.create_connection(address, timeout=10) as connection:
            connection.sendall(b"NOT-HTTP\r\n\r\n")
            try:
                connection.recv(4096)
            except OSError:
                pass
