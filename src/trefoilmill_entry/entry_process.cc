#include "trefoilmill_entry/entry_process.h"

#include <algorithm>
#include <csignal>
#include <random>
#include <ranges>
#include <utility>

#include "platform/documents.h"
#include "platform/headers.h"
#include "platform/http_conversion.h"
#include "trefoilmill/entry_list.h"
#include "trefoilmill/wire/copy_codec.h"
#include "trefoilmill/wire/entry_settings_codec.h"
#include "trefoilmill/wire/log_messages.h"
#include "trefoilmill_entry/rejected_requests.h"

namespace trefoilmill::entry {
namespace {

/// How often to maintain connections, remove expired endpoints, measure the
/// loop delay and flush the log.
constexpr duration kHousekeepingInterval = std::chrono::milliseconds(100);
/// Housekeeping runs between two checks of the hosts named to callers.
constexpr int kHousekeepingRunsPerHostCheck = 5;
/// An endpoint that vanished from the store is kept for at most this long:
/// those that expired during an outage of the store are back within two seconds
/// of its return.
constexpr duration kMaxVanishedRetention = std::chrono::milliseconds(2200);
/// A withdrawn endpoint gets no requests this long before its drain time ends:
/// changes that were missed with a lost feed are recovered within a second.
constexpr duration kDrainMargin = std::chrono::milliseconds(1300);
/// How long callers may cache the addresses that the directory returned.
constexpr duration kDirectoryTtl = std::chrono::seconds(1);
/// Most addresses in one directory response.
constexpr int kMaxDirectoryAddresses = 64;
/// Limit for the log lines of each message, per second.
constexpr int kLogLinesPerSecond = 10;

/// How long an endpoint that vanished from the store is kept.
duration VanishedRetention(const entry_settings& settings) {
  const duration drain_limit = settings.drain - kDrainMargin;
  return std::clamp(kMaxVanishedRetention, duration::zero(),
                    std::max(drain_limit, duration::zero()));
}

shared_request_state CreateSharedState(const entry_settings& settings,
                                       time_point now) {
  return {
      .registry = endpoint_registry(VanishedRetention(settings)),
      .selector = endpoint_selector(settings.zone,
                                    std::mt19937_64(std::random_device()())),
      .extra_sends = extra_send_budget(settings.extra_sends, now),
      .latencies = {},
      .admission = deadline_admission(std::mt19937_64(std::random_device()())),
      .waiting = {},
      .longest_waits = {},
      .answer_by = {},
      .rollouts = rollout_table(settings.rollout_exposure,
                                std::mt19937_64(std::random_device()()))};
}

/// Assigns the created server, or returns the error.
result<void> AssignOrError(std::unique_ptr<http_server>& target,
                           result<std::unique_ptr<http_server>> created) {
  if (!created.has_value()) {
    return created.error();
  }
  target = std::move(created.value());
  return outcome::success();
}

}  // namespace

entry_process::entry_process(event_loop& loop,
                             const entry_settings& settings,
                             std::string settings_file)
    : loop_(loop),
      settings_(settings),
      settings_file_(std::move(settings_file)),
      shared_state_(CreateSharedState(settings, loop.Now())),
      configuration_(platform::DecodeConfigurationPart),
      started_at_(loop.Now()) {}

entry_process::~entry_process() = default;

result<std::unique_ptr<entry_process>> entry_process::Create(
    event_loop& loop,
    const entry_settings& settings,
    std::string settings_file) {
  std::unique_ptr<entry_process> process(
      new entry_process(loop, settings, std::move(settings_file)));
  auto log = logger::Create({.level = settings.log,
                             .to_stdout = true,
                             .max_lines_per_second = kLogLinesPerSecond,
                             .host = settings.host});
  if (!log.has_value()) {
    return log.error();
  }
  process->telemetry_.log = std::move(log.value());
  process->telemetry_.meter = metrics::Create();
  process->LimitConnections();
  std::mt19937_64 random(std::random_device{}());
  entry_process* self = process.get();
  process->pools_ = std::make_unique<connection_pools>(
      loop, settings.callers.ip, process->shared_state_.selector,
      process->telemetry_,
      [self](const endpoint_id& id) { self->requests_->OnConnectionIdle(id); });
  process->pools_->SetStandby(true);
  process->requests_ = std::make_unique<request_handler>(
      loop, process->shared_state_, *process->pools_, process->telemetry_,
      settings.callers.ip, std::mt19937_64(random()));
  process->prober_ = std::make_unique<reach_prober>(loop, settings.callers.ip,
                                                    process->shared_state_,
                                                    std::mt19937_64(random()));
  process->crash_checker_ = std::make_unique<crash_checker>(
      loop, process->shared_state_, *process->pools_, process->telemetry_,
      [self](const service_id& service) {
        return self->route_table_ == nullptr
                   ? std::string()
                   : self->route_table_->SettingsOf(service).health_path;
      },
      [self] { self->peers_->ShareQuarantineNews(); },
      std::mt19937_64(random()));
  process->requests_->OnWarned(
      [self] { self->peers_->ScheduleQuarantineNews(); });
  process->requests_->OnReplyLost([self] {
    self->crash_checker_->OnReplyLost();
    self->peers_->ShareQuarantineNews();
  });
  process->requests_->OnEndpointLeaving(
      [self](const endpoint_id& id) { self->OnEndpointLeaving(id); });
  process->store_ = std::make_unique<store_sync>(
      loop, settings.store, settings.callers.ip,
      process->shared_state_.rollouts.is_enabled(), process->telemetry_,
      store_sync::callbacks{
          .on_replaced =
              [self](object_kind kind) { self->OnObjectsReplaced(kind); },
          .on_changed =
              [self](object_kind kind, const object_event& event) {
                self->OnObjectChanged(kind, event);
              },
          .on_store_changes =
              [self](object_kind kind,
                     const store_sync::store_changes& changes) {
                self->peers_->ForwardStoreChanges(kind, changes);
              }},
      std::mt19937_64(random()));
  auto listening = process->Listen();
  if (!listening.has_value()) {
    return listening.error();
  }
  auto peers = peer_gossip::Create(
      loop, settings, *process->store_, process->shared_state_,
      process->telemetry_,
      peer_gossip::callbacks{
          .on_hosts_changed = [self] { self->hosts_changed_ = true; },
          .on_departure =
              [self](const host_id& from, const endpoint_departure& departure) {
                self->OnPeerDeparture(from, departure);
              },
          .on_forwarded =
              [self](http_request request, const http_responder& responder,
                     const forwarded_mark& mark) {
                self->requests_->HandleForwarded(std::move(request), responder,
                                                 mark);
              },
          .on_permits_lent = [self] { self->requests_->OnPermitsLent(); }},
      std::mt19937_64(random()));
  if (!peers.has_value()) {
    return peers.error();
  }
  process->peers_ = std::move(peers.value());
  ReportRejections(process->peers_->server(), "peers", process->telemetry_);
  if (process->metrics_server_ != nullptr) {
    ReportRejections(*process->metrics_server_, "metrics", process->telemetry_);
  }
  process->requests_->OnPermitsNeeded(
      [self] { self->peers_->quotas().SendWants(); });
  process->requests_->SetForwardingPeers(process->peers_->ForwardingPeers());
  process->stop_ = std::make_unique<planned_stop>(
      loop,
      std::vector{process->caller_server_.get(),
                  process->directory_server_.get(), &process->peers_->server()},
      *process->requests_, [self] { self->StopProcess(); });
  process->store_->Start();
  process->store_->Announce(object_kind::kHosts, settings.host.value(),
                            WriteHostRecord(process->peers_->self()));
  process->last_housekeeping_ = loop.Now();
  process->housekeeping_timer_ =
      loop.RunEvery(kHousekeepingInterval, [self] { self->RunHousekeeping(); });
  loop.OnSignal(SIGTERM, [self] { self->BeginShutdown(); });
  loop.OnSignal(SIGINT, [self] { self->BeginShutdown(); });
  loop.OnSignal(SIGHUP, [self] { self->ReloadSettings(); });
  return process;
}

result<void> entry_process::Listen() {
  auto listening = AssignOrError(
      caller_server_,
      http_server::Listen(
          loop_, settings_.callers,
          {.max_body_bytes = caller_limits().max_body_bytes,
           .target_only = true,
           .max_header_bytes = caller_limits().max_header_bytes,
           .idle_timeout = caller_limits().idle_timeout * kIdleTimeoutFactor,
           .header_timeout =
               caller_limits().header_timeout * kHeaderTimeoutFactor},
          [this](http_request request, const http_responder& responder) {
            requests_->Handle(std::move(request), responder);
          }));
  if (!listening.has_value()) {
    return listening;
  }
  listening = AssignOrError(
      readiness_server_,
      http_server::Listen(
          loop_, settings_.readiness, {},
          [this](const http_request& request, const http_responder& responder) {
            OnReadinessRequest(request, responder);
          }));
  if (!listening.has_value()) {
    return listening;
  }
  listening = AssignOrError(
      directory_server_,
      http_server::Listen(
          loop_, settings_.directory, {},
          [this](const http_request& request, const http_responder& responder) {
            OnDirectoryRequest(request, responder);
          }));
  if (!listening.has_value()) {
    return listening;
  }
  ReportRejections(*caller_server_, "callers", telemetry_);
  ReportRejections(*readiness_server_, "readiness", telemetry_);
  ReportRejections(*directory_server_, "directory", telemetry_);
  return ListenForMetrics();
}

std::vector<http_server*> entry_process::Servers() const {
  std::vector<http_server*> servers = {
      caller_server_.get(), readiness_server_.get(), directory_server_.get()};
  if (metrics_server_ != nullptr) {
    servers.push_back(metrics_server_.get());
  }
  if (peers_ != nullptr) {
    servers.push_back(&peers_->server());
  }
  return servers;
}

result<void> entry_process::ListenForMetrics() {
  if (settings_.metrics_port == 0) {
    return outcome::success();
  }
  const socket_address address{.ip = settings_.callers.ip,
                               .port = settings_.metrics_port};
  return AssignOrError(
      metrics_server_,
      http_server::Listen(loop_, address, {},
                          [this](const http_request& /*request*/,
                                 const http_responder& responder) {
                            responder.Send(
                                {.status = 200,
                                 .body = telemetry_.meter->Serialize(),
                                 .content_type = kMetricsContentType});
                          }));
}

bool entry_process::is_ready() const {
  return route_table_ != nullptr && endpoints_known_ && !stop_->begun();
}

void entry_process::ReportReadiness() {
  telemetry_.meter->Set(metric::kReady, is_ready() ? 1 : 0);
  if (is_ready() != was_ready_) {
    was_ready_ = is_ready();
    telemetry_.log->Info(was_ready_ ? log_message::kReady
                                    : log_message::kNotReady);
  }
}

void entry_process::OnReadinessRequest(const http_request& request,
                                       const http_responder& responder) {
  if (request.path != platform::kReadyPath) {
    responder.Send({.status = 404});
    return;
  }
  responder.Send({.status = is_ready() ? 200 : 503});
}

void entry_process::OnDirectoryRequest(const http_request& request,
                                       const http_responder& responder) {
  if (request.path != platform::kEntryAddressesPath) {
    responder.Send({.status = 404});
    return;
  }
  const auto zone = request.query.find(platform::kCallerZoneParameter);
  const std::string caller_zone =
      zone == request.query.end() ? "" : zone->second;
  // Callers of a zone get the same list from this host, and other lists from
  // other hosts.
  const caller_id caller(settings_.host.value() + "/" + caller_zone);
  const entry_list list =
      BuildEntryList(peers_->EntryHosts(), {}, {}, caller,
                     {.ttl = kDirectoryTtl, .count = kMaxDirectoryAddresses});
  std::vector<socket_address> addresses;
  std::ranges::transform(list.hosts, std::back_inserter(addresses),
                         &host_record::callers);
  if (addresses.empty()) {
    responder.Send({.status = 503});
    return;
  }
  responder.Send(platform::MakeEntryAddressesResponse(addresses, list.ttl));
}

void entry_process::RunHousekeeping() {
  const time_point now = loop_.Now();
  const duration delay = now - last_housekeeping_ - kHousekeepingInterval;
  last_housekeeping_ = now;
  requests_->SetLoopDelay(std::max(delay, duration::zero()));
  telemetry_.meter->Observe(metric::kLoopDelay,
                            std::max(delay, duration::zero()));
  ApplyEndpointChanges(shared_state_.registry.RemoveExpired(now));
  ApplyZonesOut();
  peers_->RunHousekeeping();
  pools_->MaintainConnections();
  UpdateReach(now);
  // A host that becomes ready does not change its membership state, so the
  // entry hosts have to be checked periodically.
  if (++housekeeping_runs_ % kHousekeepingRunsPerHostCheck == 0) {
    hosts_changed_ = true;
    std::ranges::for_each(Servers(), &http_server::RejectSlowRequests);
  }
  ApplyHostChanges();
  telemetry_.meter->Set(
      metric::kEndpointsKnown,
      static_cast<double>(shared_state_.registry.entries().size()));
  telemetry_.meter->Set(metric::kConnectionBytes,
                        static_cast<double>(loop_.connections().bytes()));
  telemetry_.meter->Set(metric::kInboundConnections,
                        static_cast<double>(loop_.connections().inbound()));
  telemetry_.meter->Set(metric::kLogLinesDropped,
                        static_cast<double>(telemetry_.log->dropped_lines()));
  telemetry_.log->Flush();
}

void entry_process::UpdateReach(time_point now) {
  endpoint_reach& reach = shared_state_.selector.reach();
  reach.Update(now);
  if (route_table_ != nullptr) {
    prober_->Run(now, *route_table_);
  }
  if (reach.is_cut_off() == was_cut_off_) {
    return;
  }
  was_cut_off_ = reach.is_cut_off();
  if (was_cut_off_) {
    requests_->HandOverUnanswered();
  }
  telemetry_.meter->Set(metric::kCutOff, was_cut_off_ ? 1 : 0);
  telemetry_.log->Warning(
      was_cut_off_ ? log_message::kCutOff : log_message::kEndpointsReached,
      {.inputs = {
           {"unanswered", static_cast<std::int64_t>(reach.unanswered())},
           {"endpoints", static_cast<std::int64_t>(
                             shared_state_.registry.entries().size())}}});
}

void entry_process::ReloadSettings() {
  auto parsed = ReadSettingsFile(settings_file_, ParseEntrySettings);
  for (const auto& error : parsed.errors) {
    telemetry_.log->Error(
        "settings rejected; the previous settings stay in force",
        {.detail = ToString(error)});
  }
  if (!parsed.value.has_value()) {
    return;
  }
  settings_.grace = parsed.value->grace;
  settings_.extra_sends = parsed.value->extra_sends;
  shared_state_.extra_sends.SetLimit(settings_.extra_sends);
  telemetry_.log->Info("settings reloaded");
}

void entry_process::BeginShutdown() {
  if (stop_->begun()) {
    return;
  }
  // The grace time may have changed without a signal.
  ReloadSettings();
  stop_->Begin(loop_.Now(), settings_.grace);
  telemetry_.log->Info(
      log_message::kToldToStop,
      {.inputs = {{"unanswered",
                   static_cast<std::int64_t>(requests_->unanswered())}}});
  telemetry_.meter->Set(metric::kLeaving, 1);
  ReportReadiness();
  peers_->AnnounceLeaving();
}

void entry_process::StopProcess() {
  peers_->AnnounceStop();
  requests_->LogUnanswered();
  telemetry_.log->Info(
      "process stops",
      {.inputs = {
           {"unanswered", static_cast<std::int64_t>(requests_->unanswered())},
           {"unsent_connections",
            static_cast<std::int64_t>(caller_server_->unsent_connections())}}});
  telemetry_.log->Flush();
  loop_.Stop();
}

}  // namespace trefoilmill::entry
