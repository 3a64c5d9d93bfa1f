"""The platform's object store of a soak, as a process of its own."""

import multiprocessing.managers

import platform_standin


def _serve(ip, port):
    store = platform_standin.Store()
    platform_standin.serve_store(ip, port, store)
    return store


class _Manager(multiprocessing.managers.BaseManager):
    """Calls the store's methods from the process that started it."""


_Manager.register("serve", _serve,
                  exposed=("backup", "restore", "put", "delete", "configure",
                           "fail", "mend"))


class StoreProcess:
    """Serves the store; `content` changes it as an operator does."""

    def __init__(self, ip, port):
        self._manager = _Manager()
        self._manager.start()
        self.content = self._manager.serve(ip, port)

    def stop(self):
        self._manager.shutdown()
