"""Endpoints of a soak, all in one process. Each has a port of its own; a
control port changes how they behave while the soak runs. Every request that
arrives is recorded as one JSON line."""

import asyncio
import dataclasses
import json
import multiprocessing
import time

from aiohttp import web

NOT_EXECUTED = {"Trefoilmill-Not-Executed": "1"}


@dataclasses.dataclass
class Endpoint:
    """What one endpoint is and does."""
    name: str
    port: int
    records: bytes
    work_s: float
    # Work takes this many times longer.
    slowness: float = 1.0
    # Takes requests and never answers.
    silent: bool = False


class Endpoints:
    """The process that serves endpoints on one IP address."""

    def __init__(self, ip, control_port, endpoints, record_file):
        self._ip = ip
        self._control_port = control_port
        self._endpoints = {endpoint.name: endpoint for endpoint in endpoints}
        self._record_file = record_file
        self.process = multiprocessing.Process(target=self._run, daemon=True)

    def start(self):
        self.process.start()

    def stop(self):
        self.process.kill()
        self.process.join()

    def _run(self):
        asyncio.run(self._serve())

    async def _serve(self):
        with open(self._record_file, "a", buffering=1) as self._records:
            for endpoint in self._endpoints.values():
                await self._listen(endpoint.port, self._handler(endpoint))
            await self._listen(self._control_port, self._control)
            await asyncio.Event().wait()

    async def _listen(self, port, handler):
        server = web.Server(handler)
        runner = web.ServerRunner(server)
        await runner.setup()
        await web.TCPSite(runner, self._ip, port).start()

    async def _control(self, request):
        """Sets attributes of the endpoint named in the path."""
        endpoint = self._endpoints[request.path.strip("/")]
        for name, value in (await request.json()).items():
            setattr(endpoint, name, value)
        return web.Response()

    def _handler(self, endpoint):
        async def handle(request):
            arrived = time.monotonic()
            identity = request.headers["Trefoilmill-Request-Id"]
            result = "cut"
            try:
                response = await self._respond(endpoint, identity, request)
                result = str(response.status)
                return response
            finally:
                self._records.write(json.dumps({
                    "endpoint": endpoint.name, "id": identity,
                    "host_ip": request.remote, "arrived": arrived,
                    "ended": time.monotonic(), "result": result}) + "\n")
        return handle

    async def _respond(self, endpoint, identity, request):
        expected = request.headers.get("Trefoilmill-Expect-Instance")
        if expected not in (None, endpoint.name):
            return web.Response(status=421, headers=NOT_EXECUTED)
        if endpoint.silent:
            while request.transport is not None:
                await asyncio.sleep(0.05)
        await asyncio.sleep(endpoint.work_s * endpoint.slowness)
        return web.Response(body=endpoint.records, headers={
            "Trefoilmill-Request-Id": identity,
            "Trefoilmill-Server-Stamp": f"{endpoint.name}.{identity}"})
