/// How the entry process loads configurations and puts them in force.
#include <algorithm>
#include <utility>
#include <variant>

#include "platform/documents.h"
#include "trefoilmill/wire/log_messages.h"
#include "trefoilmill_entry/entry_process.h"

namespace trefoilmill::entry {
namespace {

/// Added to the headers of a request that is passed on to another host.
constexpr std::size_t kForwardingHeaderBytes = 256;
/// Other hosts' requests for parts have bodies of this size at most.
constexpr std::size_t kMaxPartsRequestBytes = 16 << 10;
/// Parts of a configuration that are loaded in one turn of the loop: some
/// milliseconds of work for a host with an eighth of a core.
constexpr std::size_t kPartsPerTurn = 64;

}  // namespace

void entry_process::UpdateConfiguration() {
  const auto& objects = store_->Follower(object_kind::kConfiguration).objects();
  const auto found = objects.find(platform::kConfigurationObjectName);
  if (found == objects.end()) {
    return;
  }
  const stored_object& object = found->second;
  if (object.parts == nullptr) {
    const auto malformed = platform::SplitConfiguration(object.content);
    OnLoadStep(configuration_loader::refused{
        .at = object.at,
        .error = malformed.has_value() ? failure{} : malformed.error()});
    return;
  }
  configuration_.SetTarget(*object.parts, object.at);
  LoadConfiguration();
}

void entry_process::LoadConfiguration() {
  std::visit([this](const auto& step) { OnLoadStep(step); },
             configuration_.Step(kPartsPerTurn));
}

void entry_process::OnLoadStep(
    const configuration_loader::in_progress& /*step*/) {
  if (configuration_.has_target()) {
    load_timer_ =
        loop_.RunAfter(duration::zero(), [this] { LoadConfiguration(); });
  }
}

void entry_process::OnLoadStep(const configuration_loader::loaded& step) {
  const bool is_first = route_table_ == nullptr;
  route_table_ = step.table;
  telemetry_.log->Info(
      log_message::kConfigurationInForce,
      {.at = step.at,
       .inputs = {
           {"version",
            static_cast<std::int64_t>(route_table_->version().value())},
           {"routes", static_cast<std::int64_t>(route_table_->route_count())},
           {"organisations",
            static_cast<std::int64_t>(route_table_->organisation_count())},
           {"keys_required", std::int64_t{route_table_->requires_keys()}},
           {"changed_parts", static_cast<std::int64_t>(step.changed_parts)}}});
  telemetry_.meter->Set(metric::kConfigurationVersion,
                        static_cast<double>(route_table_->version().value()));
  ApplyCallerLimits(route_table_->callers());
  requests_->SetRouteTable(route_table_);
  peers_->quotas().SetRouteTable(route_table_);
  if (step.organisations_changed) {
    shared_state_.shares.SetWeights(route_table_->OrganisationsWithoutKeys());
  }
  if (is_first) {
    hosts_changed_ = true;
    ApplyHostChanges();
  }
  if (is_first || step.services_changed) {
    UpdateConnectionLimits();
  }
  ReportReadiness();
}

void entry_process::OnLoadStep(const configuration_loader::refused& step) {
  telemetry_.log->Error(log_message::kConfigurationRefused,
                        {.at = step.at,
                         .reason = step.error.reason,
                         .detail = step.error.detail});
}

void entry_process::OnLoadStep(const configuration_loader::outdated& step) {
  telemetry_.log->Warning(
      "older configuration ignored; the newer one stays in force",
      {.at = step.at,
       .inputs = {{"version", static_cast<std::int64_t>(step.version.value())},
                  {"version_in_force", static_cast<std::int64_t>(
                                           route_table_->version().value())}}});
}

void entry_process::ApplyCallerLimits(const caller_limits& limits) {
  const duration idle_timeout = limits.idle_timeout * kIdleTimeoutFactor;
  const duration header_timeout = limits.header_timeout * kHeaderTimeoutFactor;
  caller_server_->SetLimits(limits.max_header_bytes, limits.max_body_bytes,
                            idle_timeout, header_timeout);
  peers_->server().SetLimits(
      limits.max_header_bytes + kForwardingHeaderBytes,
      std::max(limits.max_body_bytes, kMaxPartsRequestBytes), idle_timeout,
      header_timeout);
}

}  // namespace trefoilmill::entry
