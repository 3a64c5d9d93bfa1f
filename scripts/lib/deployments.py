"""Reads an example deployment and works out its endpoints and shards.

The daemon has its own reader; this one only does what the stand-ins need in
order to play the endpoints that the deployment declares.
"""

import copy
import json
import math
import pathlib
import re
from dataclasses import dataclass, field

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
EXAMPLES = REPOSITORY / "examples"

# A string, or a comment to take out.
_TOKEN = re.compile(r'"(?:\\.|[^"\\])*"|//[^\n]*|/\*.*?\*/', re.DOTALL)

LIMIT_FIELDS = ("slots", "connections", "connection_cost_ms", "cold_slots",
                "cold_connections")
# The daemon's defaults for limits that a template leaves out.
DEFAULT_LIMITS = {"slots": 4, "connections": 50, "connection_cost_ms": 1,
                  "cold_slots": 1, "cold_connections": 2}


def parse_jsonc(text):
    """Parses JSON with // and /* */ comments."""
    def keep_strings(match):
        token = match.group(0)
        return token if token.startswith('"') else " "
    return json.loads(_TOKEN.sub(keep_strings, text))


@dataclass(frozen=True)
class Endpoint:
    """One endpoint, placed."""
    id: str
    zone: str
    service: str
    shard: int
    ip: str
    port: int
    limits: dict = field(hash=False)


def load_document(name):
    """The stored form of example NAME: template and parameters together."""
    path = EXAMPLES / f"{name}.jsonc"
    document = parse_jsonc(path.read_text())
    template_file = document.pop("template_file", None)
    if template_file:
        shared = parse_jsonc((path.parent / template_file).read_text())
        document["template"] = shared["template"]
    return document


def _expand(value, parameters, declared):
    """Puts parameters in the place of {"$param": name}."""
    if isinstance(value, dict) and set(value) == {"$param"}:
        name = value["$param"]
        if name in parameters:
            return parameters[name]
        return declared[name]["default"]
    if isinstance(value, dict):
        return {key: _expand(member, parameters, declared)
                for key, member in value.items()}
    if isinstance(value, list):
        return [_expand(member, parameters, declared) for member in value]
    return value


class Deployment:
    """A deployment document whose endpoints lie on addresses of one test."""

    def __init__(self, document, zone_ips, first_port):
        """Moves each zone to `zone_ips[index]`, ports from `first_port`."""
        self.document = copy.deepcopy(document)
        parameters = self.document["parameters"]
        for index, zone in enumerate(parameters["zones"]):
            zone["ip"] = zone_ips[index]
            zone["first_port"] = first_port
        self.organisation = parameters["organisation"]
        self.zones = [zone["name"] for zone in parameters["zones"]]

    def override(self, section, **values):
        """Sets fields of a section of the template, such as "scheduling"."""
        self.document["template"].setdefault(section, {}).update(values)

    def expanded(self):
        """The template with all parameters put in."""
        template = self.document["template"]
        return _expand(template, self.document["parameters"],
                       template.get("parameters", {}))

    def endpoints(self):
        """Every endpoint, in the deployment's order."""
        groups = self.expanded().get("service_groups", {})
        found = []
        for entry in self.document["parameters"]["services"]:
            shape = {**groups.get(entry.get("group"), {}), **entry}
            count = shape.get("count", 0)
            for index in range(max(count, 1)):
                number = f"-{index + 1}" if count else ""
                found += self._service(entry["name"] + number, shape, index)
        return found

    def _service(self, service, shape, index):
        zones = self.document["parameters"]["zones"]
        searchers = shape.get("searchers", 3)
        limits = {key: shape.get(key, DEFAULT_LIMITS[key])
                  for key in LIMIT_FIELDS}
        made = []
        for number in range(searchers):
            zone = zones[number % len(zones)]
            port = (zone["first_port"] + shape.get("port_offset", 0)
                    + index * searchers + number)
            made.append(Endpoint(
                id=f"{service}-{letter_suffix(number)}", zone=zone["name"],
                service=service, shard=number // len(zones), ip=zone["ip"],
                port=port, limits=limits))
        return made

    def layout(self, version):
        """One catalog version: neighbours in a service hold the same shard."""
        services = {}
        for endpoint in self.endpoints():
            shards = services.setdefault(endpoint.service, {"shards": []})
            if endpoint.shard == len(shards["shards"]):
                shards["shards"].append([])
            shards["shards"][endpoint.shard].append(endpoint.id)
        return {"version": version, "services": services}

    def service_names(self):
        return sorted({endpoint.service for endpoint in self.endpoints()})

    def capacity_per_s(self, service_ms):
        """Whole queries ("*") a second that the tightest service bears."""
        shards = {}
        for endpoint in self.endpoints():
            key = (endpoint.service, endpoint.shard)
            shards[key] = shards.get(key, 0) + endpoint.limits["slots"]
        return min(shards.values()) * 1000 / service_ms


def letter_suffix(index):
    """"a" to "z", then "aa" and so on."""
    suffix = ""
    while index >= 0:
        suffix = chr(ord("a") + index % 26) + suffix
        index = index // 26 - 1
    return suffix


def lognormal_mean(median, sigma):
    """Mean of a lognormal distribution."""
    return median * math.exp(sigma * sigma / 2)
