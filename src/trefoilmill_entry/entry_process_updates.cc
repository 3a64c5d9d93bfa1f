/// How the entry process applies changes of the endpoints, the zones that are
/// out and the hosts, and updates this host's shares.
#include <algorithm>
#include <ranges>
#include <utility>
#include <variant>

#include "platform/documents.h"
#include "trefoilmill/connection/connection_share.h"
#include "trefoilmill/process/entry_hosts.h"
#include "trefoilmill/wire/copy_codec.h"
#include "trefoilmill/wire/log_messages.h"
#include "trefoilmill_entry/entry_process.h"

namespace trefoilmill::entry {
namespace {

/// Whether a listed record tells more than what is known of the endpoint.
bool IsNews(const endpoint_registry::entry* known,
            const endpoint_record& listed) {
  return known == nullptr || known->record.draining != listed.draining ||
         known->record.started_ms != listed.started_ms;
}

}  // namespace

void entry_process::OnObjectsReplaced(object_kind kind) {
  peers_->PublishDigests();
  switch (kind) {
    case object_kind::kConfiguration:
      UpdateConfiguration();
      break;
    case object_kind::kEndpoints:
      UpdateEndpoints();
      break;
    case object_kind::kZonesOut:
      UpdateZonesOut();
      break;
    case object_kind::kHosts:
      UpdateHosts();
      break;
    case object_kind::kRollouts:
      peers_->OnRolloutOrdersChanged();
      break;
    case object_kind::kQuarantinedRequests:
      // quarantine_sync reads them once; no copy is kept.
      break;
  }
}

void entry_process::OnObjectChanged(object_kind kind,
                                    const object_event& event) {
  if (kind != object_kind::kEndpoints) {
    OnObjectsReplaced(kind);
    return;
  }
  if (event.deleted) {
    const endpoint_id id(event.object.name);
    telemetry_.log->Info(log_message::kEndpointWithdrawn,
                         {.endpoint = id, .at = event.object.at});
    decoded_endpoints_.erase(event.object.name);
    ApplyEndpointChanges(shared_state_.registry.Withdraw(loop_.Now(), id));
  } else {
    UpdateEndpoint(event.object);
  }
  peers_->PublishDigests();
}

void entry_process::UpdateZonesOut() {
  const store_follower& follower = store_->Follower(object_kind::kZonesOut);
  std::set<zone_id> listed;
  for (const auto& name : std::views::keys(follower.objects())) {
    listed.insert(zone_id(name));
  }
  zones_out_.Replace(loop_.Now(), follower.changed_at().era(),
                     std::move(listed));
  ApplyZonesOut();
}

void entry_process::ApplyZonesOut() {
  std::set<zone_id> out = zones_out_.InEffect(loop_.Now());
  if (out == zones_out_in_effect_) {
    return;
  }
  for (const zone_id& zone : out) {
    if (!zones_out_in_effect_.contains(zone)) {
      telemetry_.log->Info(log_message::kZoneOut, {.zone = zone});
    }
  }
  for (const zone_id& zone : zones_out_in_effect_) {
    if (!out.contains(zone)) {
      telemetry_.log->Info(log_message::kZoneBack, {.zone = zone});
    }
  }
  zones_out_in_effect_ = out;
  shared_state_.selector.SetZonesOutOfService(std::move(out));
}

void entry_process::UpdateHosts() {
  hosts_listed_ = true;
  std::vector<host_record> hosts;
  for (const stored_object& object :
       std::views::values(store_->Follower(object_kind::kHosts).objects())) {
    auto record = ReadHostRecord(object.content);
    if (record.has_value()) {
      hosts.push_back(std::move(record.value()));
    } else {
      telemetry_.log->Warning("malformed host record ignored",
                              {.document = document_id(object.name),
                               .detail = record.error().detail});
    }
  }
  peers_->SetListedHosts(std::move(hosts));
}

void entry_process::LogAnnounced(const endpoint_record& record, revision at) {
  telemetry_.log->Info(log_message::kEndpointAnnounced,
                       {.endpoint = record.id,
                        .zone = record.zone,
                        .at = at,
                        .detail = record.draining ? "draining" : "ready",
                        .inputs = {{"service", record.service.value()},
                                   {"cold_for_us", record.cold_for.count()}}});
}

void entry_process::OnEndpointLeaving(const endpoint_id& id) {
  pools_->Retire(id);
  const auto* entry = shared_state_.registry.Find(id);
  peers_->ReportDeparture(
      {.endpoint = id, .started_ms = entry->record.started_ms});
}

void entry_process::OnPeerDeparture(const host_id& from,
                                    const endpoint_departure& departure) {
  if (!shared_state_.registry.MarkLeaving(departure.endpoint,
                                          departure.started_ms)) {
    return;
  }
  pools_->Retire(departure.endpoint);
  telemetry_.log->Info(log_message::kEndpointLeaving,
                       {.endpoint = departure.endpoint,
                        .peer = from,
                        .detail = "reported by a peer"});
}

result<endpoint_record> entry_process::DecodeEndpoint(
    const stored_object& object) {
  const auto known = decoded_endpoints_.find(object.name);
  if (known != decoded_endpoints_.end() && known->second.at == object.at) {
    return known->second.record;
  }
  auto record = platform::DecodeEndpoint(object);
  if (record.has_value()) {
    decoded_endpoints_[object.name] = {.at = object.at,
                                       .record = record.value()};
  }
  return record;
}

void entry_process::UpdateEndpoints() {
  const auto& listed = store_->Follower(object_kind::kEndpoints).objects();
  std::erase_if(decoded_endpoints_, [&](const auto& decoded) {
    return !listed.contains(decoded.first);
  });
  const auto& registry = shared_state_.registry;
  std::vector<endpoint_record> records;
  for (const stored_object& object : std::views::values(listed)) {
    auto record = DecodeEndpoint(object);
    if (record.has_value()) {
      // The first list is the state at the start, not news.
      if (endpoints_known_ &&
          IsNews(registry.Find(record.value().id), record.value())) {
        LogAnnounced(record.value(), object.at);
      }
      records.push_back(std::move(record.value()));
    } else {
      telemetry_.log->Warning("malformed endpoint record ignored",
                              {.endpoint = endpoint_id(object.name),
                               .at = object.at,
                               .detail = record.error().detail});
      // As when it comes as an event, the last readable one goes on.
      const auto readable = decoded_endpoints_.find(object.name);
      if (readable != decoded_endpoints_.end()) {
        records.push_back(readable->second.record);
      }
    }
  }
  ApplyEndpointChanges(shared_state_.registry.ReplaceAll(loop_.Now(), records));
  RetireDrainingPools();
  endpoints_known_ = true;
  ReportReadiness();
}

void entry_process::UpdateEndpoint(const stored_object& object) {
  auto record = DecodeEndpoint(object);
  if (!record.has_value()) {
    telemetry_.log->Warning("malformed endpoint record ignored",
                            {.endpoint = endpoint_id(object.name),
                             .at = object.at,
                             .detail = record.error().detail});
    return;
  }
  LogAnnounced(record.value(), object.at);
  ApplyEndpointChanges(shared_state_.registry.Put(loop_.Now(), record.value()));
  RetireDrainingPools();
}

void entry_process::ApplyEndpointChanges(
    const endpoint_registry::changes& changes) {
  struct visitor {
    entry_process& self;
    void operator()(const endpoint_registry::added& endpoint) const {
      AddPool(endpoint.id);
    }
    void operator()(const endpoint_registry::replaced& endpoint) const {
      Drop(endpoint.id);
      AddPool(endpoint.id);
    }
    void operator()(const endpoint_registry::removed& endpoint) const {
      Drop(endpoint.id);
    }
    void Drop(const endpoint_id& id) const {
      self.pools_->Remove(id);
      self.shared_state_.selector.Forget(id);
      self.shared_state_.responses.Forget(id);
    }
    void AddPool(const endpoint_id& id) const {
      const endpoint_record& record =
          self.shared_state_.registry.Find(id)->record;
      self.pools_->Add(id, record.address, self.ConnectionLimit(record));
    }
  };
  for (const auto& change : changes) {
    std::visit(visitor{*this}, change);
  }
  if (!changes.empty()) {
    shared_state_.selector.reach().SetKnownEndpoints(
        shared_state_.registry.entries().size());
    UpdateConnectionLimits();
    crash_checker_->OnEndpointsChanged();
  }
}

void entry_process::RetireDrainingPools() {
  for (const auto& [id, entry] : shared_state_.registry.entries()) {
    if (entry.record.draining) {
      pools_->Retire(id);
    }
  }
}

int entry_process::ConnectionLimit(const endpoint_record& record) const {
  if (route_table_ == nullptr) {
    return 0;
  }
  return ConnectionShare(
      settings_.host, sending_hosts_,
      {.replicas = shared_state_.registry.EndpointsOf(record.service),
       .endpoint = record.id,
       .max_connections =
           route_table_->SettingsOf(record.service).max_connections,
       .slots = record.slots});
}

void entry_process::ApplyHostChanges() {
  if (!std::exchange(hosts_changed_, false)) {
    return;
  }
  UpdateEntryHosts();
  const sending_hosts before = sending_hosts_;
  CountHosts();
  if (sending_hosts_ != before) {
    UpdateConnectionLimits();
  }
}

void entry_process::UpdateEntryHosts() {
  // During shutdown this host goes on serving with the entry hosts it knew.
  if (peers_ == nullptr || stop_->begun()) {
    return;
  }
  auto entry_hosts = peers_->SharingHosts();
  if (entry_hosts == entry_hosts_) {
    return;
  }
  const bool was_named = IsAdvertised(settings_.host, entry_hosts_);
  entry_hosts_ = std::move(entry_hosts);
  const bool is_advertised = IsAdvertised(settings_.host, entry_hosts_);
  if (is_advertised != was_named) {
    telemetry_.log->Info(
        is_advertised ? log_message::kNamedToCallers : log_message::kStandingBy,
        {.inputs = {{"named", static_cast<std::int64_t>(entry_hosts_.size())},
                    {"millicores", peers_->self().millicores}}});
  }
}

void entry_process::CountHosts() {
  if (peers_ == nullptr) {
    return;
  }
  const auto known = peers_->KnownHosts();
  sending_hosts_ = CountSendingHosts(settings_.host, entry_hosts_, known);
  shared_state_.extra_sends.SetHosts(sending_hosts_);
  const std::vector<host_id> senders = SelectSenders(entry_hosts_, known);
  shared_state_.selector.limits().SetSenders(settings_.host, senders);
  shared_state_.quotas.SetHosts(loop_.Now(), settings_.host, senders);
  telemetry_.meter->Set(metric::kHosts, static_cast<double>(known.size()),
                        {"known"});
  shared_state_.selector.SetChoosingHosts(static_cast<std::size_t>(
      std::ranges::count(entry_hosts_, settings_.zone, &host_record::zone)));
  pools_->SetStandby(!sending_hosts_.is_advertised ||
                     LeavesConnectionsToOthers(loop_.Now() - started_at_,
                                               settings_.host, hosts_listed_,
                                               known));
}

void entry_process::UpdateConnectionLimits() {
  for (const auto& [id, entry] : shared_state_.registry.entries()) {
    pools_->SetConnectionLimit(id, ConnectionLimit(entry.record));
  }
}

}  // namespace trefoilmill::entry
