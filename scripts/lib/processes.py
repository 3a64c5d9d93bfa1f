"""Starts, signals and ends the processes of one test, each by its pid."""

import http.client
import json
import os
import signal
import socket
import subprocess
import time

STOP_TIMEOUT_S = 5.0
START_TIMEOUT_S = 20.0
POLL_S = 0.02


class StartFailed(RuntimeError):
    """A process ended or did not listen in time."""


class Process:
    """One child process whose output goes to a file."""

    def __init__(self, name, command, log_path):
        self.name = name
        self.log_path = log_path
        self._log = open(log_path, "ab")
        self._child = subprocess.Popen(command, stdout=self._log,
                                       stderr=subprocess.STDOUT,
                                       stdin=subprocess.DEVNULL)
        self._frozen = False

    @property
    def pid(self):
        return self._child.pid

    def running(self):
        return self._child.poll() is None

    def exit_code(self):
        return self._child.poll()

    def terminate(self):
        """Asks for a graceful shutdown."""
        if self.running():
            self._child.send_signal(signal.SIGTERM)

    def kill(self):
        if self.running():
            self._child.kill()
            self._child.wait()

    def freeze(self):
        self._child.send_signal(signal.SIGSTOP)
        self._frozen = True

    def thaw(self):
        self._child.send_signal(signal.SIGCONT)
        self._frozen = False

    def wait(self, timeout_s):
        """The exit code; None if it still runs after the time."""
        try:
            return self._child.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def stop(self, timeout_s=STOP_TIMEOUT_S):
        """Ends the process, with force after the time."""
        if self._frozen:
            self.thaw()
        self.terminate()
        if self.wait(timeout_s) is None:
            self.kill()
        self._log.close()

    def tail(self, lines=15):
        with open(self.log_path, errors="replace") as log:
            return "".join(log.readlines()[-lines:])

    def usage(self):
        """Processor seconds, resident bytes; None once it has ended."""
        try:
            with open(f"/proc/{self.pid}/stat") as stat:
                fields = stat.read().rpartition(")")[2].split()
            with open(f"/proc/{self.pid}/statm") as statm:
                pages = int(statm.read().split()[1])
        except (FileNotFoundError, ProcessLookupError, IndexError):
            return None
        ticks = int(fields[11]) + int(fields[12])
        return (ticks / os.sysconf("SC_CLK_TCK"),
                pages * os.sysconf("SC_PAGE_SIZE"))


def wait_for_port(process, ip, port, timeout_s=START_TIMEOUT_S):
    """Waits until the process listens there."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        if not process.running():
            raise StartFailed(f"{process.name} ended with "
                              f"{process.exit_code()}:\n{process.tail()}")
        try:
            socket.create_connection((ip, port), timeout=1).close()
            return
        except OSError:
            time.sleep(POLL_S)
    raise StartFailed(f"{process.name} does not listen on {ip}:{port}:\n"
                      f"{process.tail()}")


def call(ip, port, method, path, body=None, timeout_s=5.0, headers=None):
    """One HTTP call; returns (status, parsed JSON or text, headers).

    Raises OSError if there is no reply.
    """
    connection = http.client.HTTPConnection(ip, port, timeout=timeout_s)
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        text = response.read().decode(errors="replace")
        found = dict(response.getheaders())
    except http.client.HTTPException as error:
        raise OSError(f"{ip}:{port}: {error!r}") from error
    finally:
        connection.close()
    try:
        return response.status, json.loads(text), found
    except ValueError:
        return response.status, text, found


def wait_until(condition, timeout_s, what):
    """Polls `condition` until it holds; raises TimeoutError naming `what`."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise TimeoutError(f"after {timeout_s} s still not: {what}")
