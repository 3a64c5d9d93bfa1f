"""A proxy on each host's connections to the store of a soak: single hosts lose the
store while others keep it."""

import json

import entry_fleet
import processes

CONTROL_PORT = 8998


class StoreLinks:
    """One listener for each host, at `network`.3.1 and up."""

    def __init__(self, network, hosts, directory):
        self._network = network
        self._control_ip = f"{network}.3.254"
        settings = directory / "proxy.json"
        settings.write_text(json.dumps({
            "control": {"ip": self._control_ip, "port": CONTROL_PORT},
            "listeners": [self._listener(number) for number in hosts]}))
        self._process = processes.Process(
            "proxy", [entry_fleet.BIN / "tm_fault_proxy", "--config", settings],
            directory / "proxy.log")
        processes.wait_for_port(self._process, self._control_ip, CONTROL_PORT)

    def _listener(self, number):
        port = entry_fleet.STORE_PORT
        return {"name": str(number),
                "listen": {"ip": f"{self._network}.3.{number}", "port": port},
                "upstream": {"ip": f"{self._network}.0.1", "port": port}}

    def address(self, number):
        """Where a host reaches the store."""
        return f"{self._network}.3.{number}:{entry_fleet.STORE_PORT}"

    def change(self, number, **faults):
        """Puts faults into one host's link, or ends them."""
        status, reply, _ = processes.call(
            self._control_ip, CONTROL_PORT, "POST", "/control",
            {"listener": str(number)} | faults)
        assert status == 200, reply

    def stop(self):
        self._process.stop()
