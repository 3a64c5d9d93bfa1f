"""Endpoints of a soak, all in one process. Each has a port of its own; a
control port changes how they behave while the soak runs. Every request that
arrives is recorded as one JSON line."""

import asyncio
import dataclasses
import json
import multiprocessing
import time

from aiohttp import web

HEALTH_PATH = "/health"
NOT_EXECUTED = {"Trefoilmill-Not-Executed": "1"}


@dataclasses.dataclass
class Endpoint:
    """What one endpoint is and does."""
    name: str
    service: str
    zone: str
    port: int
    body: bytes
    work_s: float
    # Its ID in the store; another one after each restart.
    instance: str
    # Work takes this many times longer.
    slowness: float = 1.0
    # Takes requests and never answers.
    silent: bool = False
    # Runs requests and resets the connection in place of an answer.
    resetting: bool = False
    # Runs nothing.
    refusing: bool = False
    # Runs nothing, and asks for a pause of this length.
    pause_s: float = 0.0
    # Says so in each answer.
    leaving: bool = False


class Endpoints:
    """The process that serves endpoints on one IP address."""

    def __init__(self, ip, control_port, endpoints, record_file):
        self._ip = ip
        self._control_port = control_port
        self._endpoints = {endpoint.name: endpoint for endpoint in endpoints}
        self._record_file = record_file
        self._under_way = 0
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
        """Sets attributes of the endpoint named in the path; GET answers how
        many requests are under way."""
        if request.method == "GET":
            return web.Response(text=str(self._under_way))
        endpoint = self._endpoints[request.path.strip("/")]
        for name, value in (await request.json()).items():
            setattr(endpoint, name, value)
        return web.Response()

    def _handler(self, endpoint):
        async def handle(request):
            if request.path == HEALTH_PATH:
                return web.Response()
            arrival = {"endpoint": endpoint.name,
                       "instance": request.headers.get(
                           "Trefoilmill-Expect-Instance", endpoint.instance),
                       "id": request.headers["Trefoilmill-Request-Id"],
                       "host_ip": request.remote, "arrived": time.monotonic(),
                       "ran": False, "result": "cut", "leaving": False,
                       "pause_s": 0.0}
            self._under_way += 1
            try:
                response = await self._respond(endpoint, arrival, request)
                arrival["result"] = str(response.status)
                return response
            finally:
                self._under_way -= 1
                arrival["ended"] = time.monotonic()
                self._records.write(json.dumps(arrival) + "\n")
        return handle

    async def _respond(self, endpoint, arrival, request):
        response = await self._answer(endpoint, arrival, request)
        response.headers["Trefoilmill-Request-Id"] = arrival["id"]
        if endpoint.leaving:
            arrival["leaving"] = True
            response.headers["Server-Leaving"] = "1"
        return response

    async def _answer(self, endpoint, arrival, request):
        if arrival["instance"] != endpoint.instance:
            return web.Response(status=421, headers=NOT_EXECUTED)
        if endpoint.pause_s:
            arrival["pause_s"] = endpoint.pause_s
            return web.Response(status=503, headers=NOT_EXECUTED | {
                "Retry-After": str(endpoint.pause_s)})
        if endpoint.refusing:
            return web.Response(status=503, headers=NOT_EXECUTED)
        instance = endpoint.instance
        arrival["ran"] = True
        if endpoint.silent:
            while request.transport is not None:
                await asyncio.sleep(0.05)
        await asyncio.sleep(endpoint.work_s * endpoint.slowness)
        if endpoint.resetting and request.transport is not None:
            request.transport.abort()
        return web.Response(body=endpoint.body, headers={
            "Trefoilmill-Server-Stamp": f"{instance}.{arrival['id']}"})
