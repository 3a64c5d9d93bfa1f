"""The programs under test, and the processes of them that a cluster starts."""

import json
import os
import pathlib

from deployments import REPOSITORY
from processes import Process


def binaries():
    """Folder of the programs under test."""
    return pathlib.Path(os.environ.get("TREFOILMILL_BIN",
                                       REPOSITORY / "build" / "bin"))


class ProcessGroup:
    """Processes that end together, with their settings and their output in one
    folder."""

    def __init__(self, directory):
        self.directory = pathlib.Path(directory)
        self.directory.mkdir(parents=True, exist_ok=True)
        self._processes = []

    def spawn(self, name, program, config):
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(config, indent=1))
        return self.spawn_with(name, program, path)

    def spawn_with(self, name, program, path):
        """Starts a program whose settings are in the file `path`."""
        process = Process(name, [str(binaries() / program), "--config",
                                 str(path)],
                          self.directory / f"{name}.log")
        self._processes.append(process)
        return process

    def stop(self):
        """Ends every process that is left, daemons first."""
        for process in self._processes:
            if process.name.startswith("daemon"):
                process.kill()
        for process in reversed(self._processes):
            process.stop()
        self._processes.clear()
