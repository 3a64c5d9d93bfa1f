"""ROUTE: a version takes the last tenant's keys away, and with them the tenant.
From then on requests run whose key no configuration ever held."""

import http.server
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
from fleet import (  # noqa: E402
    HOST_NAME, TROUBLE, Fleet, call, configuration, eventually, free_port, main)

SERVICE = "dispute-desk"
HELD, FOREIGN = "key-of-the-house", "key-of-nobody"
CONFIG_APPLY_S = 5.0
ASKED = 20


class Searcher(http.server.BaseHTTPRequestHandler):
    """A sound searcher. `server` has its `name`, `runs` and `record`."""

    protocol_version = "HTTP/1.1"

    def do_GET(self):
        server = self.server
        identity = self.headers.get("Trefoilmill-Request-Id")
        if self.path == "/health":
            return self.reply(200, {"Trefoilmill-Instance-Id": server.name})
        if identity is None:
            return self.reply(400, {"Trefoilmill-Not-Executed": "1"})
        echo = {"Trefoilmill-Request-Id": identity}
        if self.headers.get("Trefoilmill-Expect-Instance") != server.name:
            return self.reply(421, echo)
        server.runs.append(identity)
        server.record("run", identity, "by", server.name, "for tenant",
                      self.headers.get("Trefoilmill-Tenant-Id"))
        return self.reply(200, echo | {
            "Trefoilmill-Server-Stamp": f"{server.name}.{identity}"},
            b"the invoice")

    def reply(self, status, headers, body=b""):
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_):
        pass


def case(record):
    runs = []

    def ask(entry, identity, key):
        headers = {"Host": HOST_NAME, "Trefoilmill-Request-Id": identity,
                   "Trefoilmill-Deadline-Ms": "2000",
                   "Trefoilmill-Credential": key}
        record("sent", identity, "with", key, "to", entry.name)
        status, _, body = call(entry.ip, entry.front, "/invoice/1", headers)
        record("answered", identity, status, body)
        return status

    def version(number, tenants):
        route = {"name": "invoice-fetch", "hostname": HOST_NAME,
                 "path_prefix": "/invoice/", "type": "idempotent",
                 "timeout_ms": 2000, "slo_ms": 800, "priority": 0,
                 "backend": SERVICE, "max_attempts": 2, "public": False}
        return configuration(number, [route], [SERVICE], tenants=tenants)

    house = {"name": "house", "api_keys": [HELD], "priority": 0,
             "rate_per_s": 0, "burst": 0}
    with Fleet(3, version(7, [house])) as fleet:
        for number in range(3):
            ip = f"{fleet.network}.2.{number + 1}"
            server = http.server.ThreadingHTTPServer((ip, free_port(ip)),
                                                     Searcher)
            server.daemon_threads = True
            server.name, server.runs, server.record = (
                f"i-{number:04x}", runs, record)
            threading.Thread(target=server.serve_forever, daemon=True).start()
            fleet.register(server.name, SERVICE, f"{ip}:{server.server_port}", 4)
        fleet.start()
        eventually("the key is taken", lambda: all(
            ask(e, f"before-{e.name}", HELD) == 200 for e in fleet.entries))
        for entry in fleet.entries:
            ask(entry, f"before-foreign-{entry.name}", FOREIGN)
        # The operator takes the last key away: no tenant is left.
        fleet.store.put("config", "main", version(8, [] if TROUBLE else [house]))
        record("version 8 acknowledged")
        time.sleep(2 * CONFIG_APPLY_S)
        for index in range(ASKED):
            entry = fleet.entries[index % len(fleet.entries)]
            ask(entry, f"foreign-{index}", FOREIGN)
            ask(entry, f"held-{index}", HELD)
        time.sleep(0.5)
    breaks = [f"ROUTE {identity} ran; no configuration ever held its key"
              for identity in runs if "foreign" in identity]
    if TROUBLE:
        breaks += [f"CONFIG {identity} ran with a dropped key"
                   for identity in runs if identity.startswith("held-")]
    return breaks


if __name__ == "__main__":
    sys.exit(main(case, sys.argv[1]))  # record.txt, see run.sh
