/// What the entry process does with news: of the configuration, the endpoints,
/// zones that are out, and hosts; and what follows for this host's shares.
#include <algorithm>
#include <ranges>
#include <utility>

#include "platform/documents.h"
#include "trefoilmill/connection/connection_share.h"
#include "trefoilmill/process/entry_hosts.h"
#include "trefoilmill/wire/copy_codec.h"
#include "trefoilmill/wire/log_messages.h"
#include "trefoilmill_entry/entry_process.h"

namespace trefoilmill::entry {

void entry_process::OnReplaced(object_kind kind) {
  peers_->PublishDigests();
  switch (kind) {
    case object_kind::kConfiguration:
      AdoptConfiguration();
      break;
    case object_kind::kEndpoints:
      AdoptEndpoints();
      break;
    case object_kind::kZonesOut:
      AdoptZones();
      break;
    case object_kind::kHosts:
      AdoptHosts();
      break;
  }
}

void entry_process::OnChanged(object_kind kind, const object_event& event) {
  if (kind != object_kind::kEndpoints) {
    OnReplaced(kind);
    return;
  }
  if (event.deleted) {
    const endpoint_id id(event.object.name);
    trace_.log->Info(log_message::kEndpointWithdrawn,
                     {.endpoint = id, .at = event.object.at});
    Apply(shared_.registry.Withdraw(loop_.Now(), id));
  } else {
    PutEndpoint(event.object);
  }
  peers_->PublishDigests();
}

void entry_process::AdoptConfiguration() {
  const auto& objects = store_->Follower(object_kind::kConfiguration).objects();
  const auto found = objects.find(platform::kConfigurationName);
  if (found == objects.end()) {
    return;
  }
  auto decoded = platform::DecodeConfiguration(found->second.content);
  if (!decoded.has_value()) {
    trace_.log->Error(log_message::kConfigurationRefused,
                      {.at = found->second.at,
                       .reason = decoded.error().reason,
                       .detail = decoded.error().detail});
    return;
  }
  const bool older =
      table_ != nullptr && decoded.value().version <= table_->config().version;
  if (older) {
    return;
  }
  auto table = route_table::Create(std::move(decoded.value()));
  if (!table.has_value()) {
    trace_.log->Error(log_message::kConfigurationRefused,
                      {.at = found->second.at,
                       .reason = table.error().reason,
                       .detail = table.error().detail});
    return;
  }
  table_ = std::move(table.value());
  const routing_config& config = table_->config();
  trace_.log->Info(
      log_message::kConfigurationInForce,
      {.at = found->second.at,
       .inputs = {
           {"version", static_cast<std::int64_t>(config.version.value())},
           {"routes", static_cast<std::int64_t>(config.routes.size())}}});
  trace_.values->Set(metric::kConfigurationVersion,
                     static_cast<double>(config.version.value()));
  callers_->SetLimits(config.callers.max_header_bytes,
                      config.callers.max_body_bytes,
                      config.callers.idle_timeout * kIdleFactor);
  requests_->SetTable(table_);
  OnHostsChanged();
  ReportReady();
}

void entry_process::AdoptZones() {
  std::set<zone_id> out;
  for (const auto& name :
       std::views::keys(store_->Follower(object_kind::kZonesOut).objects())) {
    out.insert(zone_id(name));
    trace_.log->Info(log_message::kZoneOut, {.zone = zone_id(name)});
  }
  shared_.places.SetZonesOut(std::move(out));
}

void entry_process::AdoptHosts() {
  std::vector<host_record> hosts;
  for (const stored_object& object :
       std::views::values(store_->Follower(object_kind::kHosts).objects())) {
    auto record = ReadHostRecord(object.content);
    if (record.has_value()) {
      hosts.push_back(std::move(record.value()));
    } else {
      trace_.log->Warning("host's announcement unreadable",
                          {.document = document_id(object.name),
                           .detail = record.error().detail});
    }
  }
  peers_->SetListed(std::move(hosts));
}

void entry_process::AdoptEndpoints() {
  std::vector<endpoint_record> records;
  for (const stored_object& object : std::views::values(
           store_->Follower(object_kind::kEndpoints).objects())) {
    auto record = platform::DecodeEndpoint(object);
    if (record.has_value()) {
      records.push_back(std::move(record.value()));
    } else {
      trace_.log->Warning("endpoint's entry unreadable",
                          {.endpoint = endpoint_id(object.name),
                           .at = object.at,
                           .detail = record.error().detail});
    }
  }
  Apply(shared_.registry.Replace(loop_.Now(), records));
  endpoints_known_ = true;
  ReportReady();
}

void entry_process::PutEndpoint(const stored_object& object) {
  auto record = platform::DecodeEndpoint(object);
  if (!record.has_value()) {
    trace_.log->Warning("endpoint's entry unreadable",
                        {.endpoint = endpoint_id(object.name),
                         .at = object.at,
                         .detail = record.error().detail});
    return;
  }
  trace_.log->Info(
      log_message::kEndpointAnnounced,
      {.endpoint = record.value().id,
       .zone = record.value().zone,
       .at = object.at,
       .detail = record.value().draining ? "draining" : "ready",
       .inputs = {{"service", record.value().service.value()},
                  {"cold_for_us", record.value().cold_for.count()}}});
  Apply(shared_.registry.Put(loop_.Now(), record.value()));
}

void entry_process::Apply(const endpoint_registry::changes& changes) {
  struct visitor {
    entry_process& self;
    void operator()(const endpoint_registry::added& a) const { Link(a.id); }
    void operator()(const endpoint_registry::replaced& r) const {
      self.links_->Remove(r.id);
      self.shared_.places.Forget(r.id);
      Link(r.id);
    }
    void operator()(const endpoint_registry::removed& r) const {
      self.links_->Remove(r.id);
      self.shared_.places.Forget(r.id);
    }
    void Link(const endpoint_id& id) const {
      const endpoint_record& record = self.shared_.registry.Find(id)->record;
      self.links_->Add(id, record.address, self.MostConnections(record));
    }
  };
  for (const auto& change : changes) {
    std::visit(visitor{*this}, change);
  }
  if (!changes.empty()) {
    ShareOut();
  }
}

int entry_process::MostConnections(const endpoint_record& record) const {
  if (table_ == nullptr) {
    return 0;
  }
  return ConnectionShare(
      settings_.host, sharers_,
      {.replicas = shared_.registry.OfService(record.service),
       .endpoint = record.id,
       .max_connections = table_->RulesOf(record.service).max_connections,
       .slots = record.slots});
}

void entry_process::OnHostsChanged() {
  RefreshEntryHosts();
  ShareOut();
}

bool entry_process::RefreshEntryHosts() {
  // A host that leaves goes on serving as before.
  if (peers_ == nullptr || leaving_) {
    return false;
  }
  auto chosen = peers_->EntryHosts();
  if (chosen == entry_hosts_) {
    return false;
  }
  const bool was_named = IsNamed(settings_.host, entry_hosts_);
  entry_hosts_ = std::move(chosen);
  const bool is_named = IsNamed(settings_.host, entry_hosts_);
  if (is_named != was_named) {
    trace_.log->Info(
        is_named ? log_message::kNamedToCallers : log_message::kStandingBy,
        {.inputs = {{"named", static_cast<std::int64_t>(entry_hosts_.size())},
                    {"millicores", peers_->self().millicores}}});
  }
  return true;
}

void entry_process::ShareOut() {
  if (peers_ == nullptr) {
    return;
  }
  const auto known = peers_->KnownHosts();
  sharers_ = CountSendingHosts(settings_.host, entry_hosts_, known);
  shared_.extra_sends.SetHosts(sharers_);
  trace_.values->Set(metric::kHosts, static_cast<double>(known.size()),
                     {"known"});
  for (const auto& [id, held] : shared_.registry.entries()) {
    links_->SetMost(id, MostConnections(held.record));
  }
  links_->SetStandby(!sharers_.is_named);
}

}  // namespace trefoilmill::entry
