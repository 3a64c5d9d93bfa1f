"""What a daemon's /metrics says of the cost of control."""

import re
import urllib.request
from dataclasses import dataclass

from cluster_network import ADMINISTRATION_PORT

_BYTES = re.compile(
    r'^trefoilmill_peer_bytes_total\{(?=[^}]*use="control")[^}]*\} (\S+)',
    re.M)
_MESSAGES = re.compile(
    r'^trefoilmill_peer_messages_total\{(?=[^}]*use="control")'
    r'(?=[^}]*direction="sent")[^}]*\} (\S+)', re.M)
_STORE_CALLS = re.compile(r"^trefoilmill_store_calls_total\{[^}]*\} (\S+)",
                          re.M)


@dataclass
class ControlTraffic:
    """Counts since the daemon's start."""
    # To and from other daemons, without queries.
    bytes: float
    messages_sent: float
    store_calls: float


def control_traffic(host):
    url = f"http://{host.ip}:{ADMINISTRATION_PORT}/metrics"
    with urllib.request.urlopen(url, timeout=10) as reply:
        text = reply.read().decode()
    return ControlTraffic(*(sum(map(float, pattern.findall(text)))
                            for pattern in (_BYTES, _MESSAGES, _STORE_CALLS)))
