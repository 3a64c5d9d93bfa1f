"""Where the processes of a cluster listen.

Addresses are 127.NET.RUN.*: NET comes from the environment variable
TREFOILMILL_LOOPBACK_NET (default 40), RUN is the first that no other test
holds, so several tests may run at once.
"""

import fcntl
import os
import pathlib
import tempfile

STORE_PORT = 9000
CONTROL_PORT = 9001
CALLERS_PORT = 8000
ADMINISTRATION_PORT = 8001
PEERS_PORT = 7000
PROXY_PORT_OFFSET = 10000
FIRST_ENDPOINT_PORT = 20000


class AddressRange:
    """Exclusive use of 127.NET.RUN.* among the tests of this machine."""

    def __init__(self):
        net = int(os.environ.get("TREFOILMILL_LOOPBACK_NET", "40"))
        for run in range(1, 250):
            path = pathlib.Path(tempfile.gettempdir(),
                                f"trefoilmill-{net}-{run}.lock")
            self._lock = open(path, "w")
            try:
                fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                self._lock.close()
                continue
            self._prefix = f"127.{net}.{run}."
            return
        raise RuntimeError("all address ranges are in use")

    def ip(self, last):
        return self._prefix + str(last)

    def release(self):
        self._lock.close()
