"""The stand-ins of a cluster: the platform's store, the endpoints, and the
network between hosts. Each has a control address, at which a test changes how
it behaves."""

from cluster_network import CONTROL_PORT, PROXY_PORT_OFFSET, STORE_PORT
from processes import call, wait_for_port


class StoreStandin:
    """The platform's store."""

    def __init__(self, processes, ip, deployment):
        self.ip = ip
        self._processes = processes
        self._deployment = deployment

    def start(self, host_records):
        process = self._processes.spawn("store", "tm_object_store", {
            "listen": {"ip": self.ip, "port": STORE_PORT},
            "control": {"ip": self.ip, "port": CONTROL_PORT},
            "hosts": host_records})
        wait_for_port(process, self.ip, CONTROL_PORT)

    def key(self, document):
        return f"trefoilmill/{self._deployment.organisation}/{document}"

    def call(self, method, path, body=None, headers=None):
        return call(self.ip, STORE_PORT, method, path, body, headers=headers)

    def put_document(self, document, body):
        """Writes a document as the platform or an operator would."""
        path = f"/v1/objects/{self.key(document)}"
        status, _, headers = self.call("GET", path)
        known = {name.lower(): value for name, value in headers.items()}
        match = ({"If-Match": known["etag"]} if status == 200
                 else {"If-None-Match": "*"})
        status, reply, _ = self.call("PUT", path, body, match)
        if status != 200:
            raise RuntimeError(f"store refused {document}: {status} {reply}")

    def publish(self, versions):
        """Publishes index versions, all of the deployment's layout."""
        self.put_document("catalog", {"versions": [
            self._deployment.layout(version) for version in versions]})

    def control(self, **change):
        """Changes how the store behaves."""
        status, reply, _ = call(self.ip, CONTROL_PORT, "POST", "/control", change)
        if status != 200:
            raise RuntimeError(f"control of the store: {status} {reply}")

    def records(self):
        return fetch_records(self.ip)


class EndpointStandins:
    """The endpoints: one process for each availability zone."""

    def __init__(self, processes, ips, deployment):
        """`ips` has the address of each availability zone."""
        self.ips = ips
        self._processes = processes
        self._deployment = deployment

    def start(self, spec):
        by_zone = {zone: [] for zone in self._deployment.zones}
        for endpoint in self._deployment.endpoints():
            by_zone[endpoint.zone].append(endpoint_config(endpoint, spec))
        started = []
        for zone, endpoints in by_zone.items():
            ip = self.ips[zone]
            process = self._processes.spawn(
                f"endpoints-{zone}", "tm_endpoint", {
                    "control": {"ip": ip, "port": CONTROL_PORT},
                    "endpoints": endpoints})
            started.append((process, ip))
        for process, ip in started:
            wait_for_port(process, ip, CONTROL_PORT)

    def control(self, endpoint, **change):
        """`endpoint` is an id, "*", {"zone": z} or {"service": s}."""
        changed = False
        for ip in self.ips.values():
            status, reply, _ = call(ip, CONTROL_PORT, "POST", "/control",
                                    {"endpoint": endpoint, **change})
            if status not in (200, 404):
                raise RuntimeError(f"endpoint control: {status} {reply}")
            changed = changed or status == 200
        if not changed:
            raise RuntimeError(f"no endpoint {endpoint}")

    def records(self):
        """All that arrived, over all zones, in order of wall-clock time."""
        records = []
        for ip in self.ips.values():
            records += fetch_records(ip)
        return sorted(records, key=lambda record: record["wall_us"])


class FaultProxy:
    """The links between daemons and to callers, each with a latency."""

    def __init__(self, processes, ip):
        self.ip = ip
        self._processes = processes

    def start(self, listeners):
        process = self._processes.spawn("proxy", "tm_fault_proxy", {
            "control": {"ip": self.ip, "port": CONTROL_PORT},
            "listeners": listeners})
        wait_for_port(process, self.ip, CONTROL_PORT)

    def control(self, listener, **change):
        control(self.ip, {"listener": listener, **change})


def endpoint_config(endpoint, spec):
    return {"id": endpoint.id, "zone": endpoint.zone,
            "service": endpoint.service,
            "ip": endpoint.ip, "port": endpoint.port,
            **endpoint.limits,
            "cold_ms": spec.cold_ms,
            "versions": [spec.snapshot],
            "shards_by_version": {str(spec.snapshot): [endpoint.shard]},
            "service_ms": {"median": spec.service_median_ms,
                           "sigma": spec.service_sigma}}


def proxy_listener(name, ip, port, delay_ms):
    return {"name": name,
            "listen": {"ip": ip, "port": port + PROXY_PORT_OFFSET},
            "upstream": {"ip": ip, "port": port}, "delay_ms": delay_ms}


def control(ip, change):
    status, reply, _ = call(ip, CONTROL_PORT, "POST", "/control", change)
    if status != 200:
        raise RuntimeError(f"control of {ip}: {status} {reply}")


def fetch_records(ip):
    records = []
    after = 0
    while True:
        _, page, _ = call(ip, CONTROL_PORT, "GET",
                          f"/control/records?after={after}", timeout_s=30)
        if not page["records"]:
            return records
        records += page["records"]
        after = page["next"]
