/// The reply of `GET /v1/status`.
#include <algorithm>
#include <array>
#include <utility>

#include "trefoilmill/wire/admin_codec.h"
#include "wire_json.h"

namespace trefoilmill {
namespace {

constexpr std::array kStates = {member_state::kAlive,    member_state::kSuspect,
                                member_state::kLeaving,  member_state::kLeft,
                                member_state::kReleased, member_state::kDead};

json DocumentJson(const document_report& document) {
  json out = {{"document", document.id.value()},
              {"revision", document.in_force.value()},
              {"watcher", document.watcher},
              {"store_failures", document.store_failures}};
  if (document.rejected.has_value()) {
    out["rejected_revision"] = document.rejected->value();
    out["rejection"] = document.rejection;
  }
  return out;
}

json HostJson(const host_report& report) {
  json documents = json::object();
  for (const document_digest& digest : report.documents) {
    documents[digest.id.value()] = digest.in_force.value();
  }
  return {{"host", report.host.id.value()},
          {"zone", report.host.zone.value()},
          {"state", ToString(report.state)},
          {"incarnation", report.life.value()},
          {"callers", AddressJson(report.host.callers)},
          {"administration", AddressJson(report.host.administration)},
          {"peer", AddressJson(report.host.peer)},
          {"documents", std::move(documents)}};
}

json EndpointJson(const endpoint_report& report) {
  json out = {
      {"endpoint", report.id.value()}, {"service", report.service.value()},
      {"zone", report.zone.value()},   {"owner", report.owner.value()},
      {"standing", report.standing},   {"connections", report.connections}};
  if (report.load.has_value()) {
    out["instance"] = report.load->instance.value();
    out["in_flight"] = report.load->in_flight;
    out["queued"] = report.load->queued;
    out["allowance"] = report.load->allowance;
    out["cold"] = report.load->cold;
    out["draining"] = report.load->draining;
    out["latency_ms"] = ToMilliseconds(report.load->latency);
  }
  return out;
}

template <class report>
json ListJson(const std::vector<report>& reports,
              json (*write)(const report&)) {
  json list = json::array();
  std::ranges::transform(reports, std::back_inserter(list), write);
  return list;
}

/// @name Reading; a member of another type keeps its default
/// @{
bool FlagOf(const json& value, const char* key) {
  const json* member = FindMember(value, key);
  return member != nullptr && member->is_boolean() && member->get<bool>();
}

int CountOf(const json& value, const char* key) {
  constexpr std::uint64_t kMost = 1U << 30U;
  return static_cast<int>(
      std::min(FindUnsigned(value, key).value_or(0), kMost));
}

std::string TextOf(const json& value, const char* key) {
  return FindText(value, key).value_or("");
}

revision RevisionOf(const json& value, const char* key) {
  return revision(FindUnsigned(value, key).value_or(0));
}

socket_address AddressOf(const json& value, const char* key) {
  const json* member = FindMember(value, key);
  if (member == nullptr) {
    return {};
  }
  return {.ip = TextOf(*member, "ip"),
          .port = static_cast<std::uint16_t>(CountOf(*member, "port"))};
}

document_report ReadDocument(const json& value) {
  document_report out;
  out.id = document_id(TextOf(value, "document"));
  out.in_force = RevisionOf(value, "revision");
  out.watcher = FlagOf(value, "watcher");
  out.store_failures = CountOf(value, "store_failures");
  if (FindUnsigned(value, "rejected_revision").has_value()) {
    out.rejected = RevisionOf(value, "rejected_revision");
  }
  out.rejection = TextOf(value, "rejection");
  return out;
}

host_report ReadHost(const json& value) {
  host_report out;
  out.host.id = host_id(TextOf(value, "host"));
  out.host.zone = zone_id(TextOf(value, "zone"));
  out.host.callers = AddressOf(value, "callers");
  out.host.administration = AddressOf(value, "administration");
  out.host.peer = AddressOf(value, "peer");
  out.life = incarnation(FindUnsigned(value, "incarnation").value_or(0));
  const std::string state = TextOf(value, "state");
  const auto* found = std::ranges::find_if(
      kStates, [&state](member_state one) { return ToString(one) == state; });
  out.state = found == kStates.end() ? member_state::kDead : *found;
  const json* documents = FindMember(value, "documents");
  if (documents != nullptr && documents->is_object()) {
    for (const auto& [name, at] : documents->items()) {
      out.documents.push_back(
          {.id = document_id(name),
           .in_force = RevisionOf(*documents, name.c_str())});
    }
  }
  return out;
}

endpoint_report ReadEndpoint(const json& value) {
  endpoint_report out;
  out.id = endpoint_id(TextOf(value, "endpoint"));
  out.service = service_id(TextOf(value, "service"));
  out.zone = zone_id(TextOf(value, "zone"));
  out.owner = host_id(TextOf(value, "owner"));
  out.standing = TextOf(value, "standing");
  out.connections = CountOf(value, "connections");
  if (FindMember(value, "in_flight") != nullptr) {
    out.load = endpoint_load{
        .endpoint = out.id,
        .instance = instance_id(TextOf(value, "instance")),
        .in_flight = CountOf(value, "in_flight"),
        .queued = CountOf(value, "queued"),
        .allowance = CountOf(value, "allowance"),
        .cold = FlagOf(value, "cold"),
        .draining = FlagOf(value, "draining"),
        .latency = FindMilliseconds(value, "latency_ms").value_or(duration())};
  }
  return out;
}

template <class report>
std::vector<report> ReadList(const json& reply,
                             const char* key,
                             report (*read)(const json&)) {
  std::vector<report> reports;
  const json* list = FindMember(reply, key);
  if (list != nullptr && list->is_array()) {
    std::ranges::transform(*list, std::back_inserter(reports), read);
  }
  return reports;
}

std::string ReadText(const json& value) {
  return value.is_string() ? value.get<std::string>() : "";
}

snapshot_version ReadVersion(const json& value) {
  return snapshot_version(
      value.is_number_unsigned() ? value.get<std::uint64_t>() : 0);
}
/// @}

}  // namespace

std::string WriteStatus(const status_report& status) {
  json out_zones = json::array();
  for (const zone_id& zone : status.zones.out) {
    out_zones.push_back(zone.value());
  }
  json snapshots = json::array();
  for (const snapshot_version version : status.snapshots) {
    snapshots.push_back(version.value());
  }
  return Dump({{"host", status.host.value()},
               {"zone", status.zone.value()},
               {"organisation", status.organisation.value()},
               {"ready", status.ready},
               {"leaving", status.leaving},
               {"documents", ListJson(status.documents, &DocumentJson)},
               {"hosts", ListJson(status.hosts, &HostJson)},
               {"endpoints", ListJson(status.endpoints, &EndpointJson)},
               {"zones_out", std::move(out_zones)},
               {"snapshots", std::move(snapshots)},
               {"problems", status.problems}});
}

result<status_report> ParseStatus(const std::string& body) {
  const json reply = ParseStrictJson(body);
  if (reply.is_discarded() || !FindText(reply, "host").has_value()) {
    return Malformed(reason_code::kMalformedReply, "no status");
  }
  status_report out;
  out.host = host_id(TextOf(reply, "host"));
  out.zone = zone_id(TextOf(reply, "zone"));
  out.organisation = organisation_id(TextOf(reply, "organisation"));
  out.ready = FlagOf(reply, "ready");
  out.leaving = FlagOf(reply, "leaving");
  out.documents = ReadList(reply, "documents", &ReadDocument);
  out.hosts = ReadList(reply, "hosts", &ReadHost);
  out.endpoints = ReadList(reply, "endpoints", &ReadEndpoint);
  for (const std::string& zone : ReadList(reply, "zones_out", &ReadText)) {
    out.zones.out.emplace(zone);
  }
  out.snapshots = ReadList(reply, "snapshots", &ReadVersion);
  out.problems = ReadList(reply, "problems", &ReadText);
  return out;
}

}  // namespace trefoilmill
