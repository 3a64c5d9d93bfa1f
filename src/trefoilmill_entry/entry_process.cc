#include "trefoilmill_entry/entry_process.h"

#include <algorithm>
#include <csignal>
#include <random>
#include <ranges>
#include <utility>

#include "platform/headers.h"
#include "platform/http_dialect.h"
#include "trefoilmill/entry_list.h"
#include "trefoilmill/wire/copy_codec.h"
#include "trefoilmill/wire/entry_settings_codec.h"
#include "trefoilmill/wire/log_messages.h"

namespace trefoilmill::entry {
namespace {

/// Housekeeping: idle connections, lapsed entries, log lines, loop delay.
constexpr duration kTickInterval = std::chrono::milliseconds(100);
constexpr int kTicksPerHostCheck = 5;
/// An entry that vanished is kept at most this long: endpoints that lapsed
/// during an outage of the store are back within two seconds of its return.
constexpr duration kForgetAfter = std::chrono::milliseconds(2200);
/// An endpoint that left gets nothing this long before its drain time ends:
/// room for a lost feed, whose gap is filled within a second.
constexpr duration kDrainMargin = std::chrono::milliseconds(1300);
/// How long callers may keep the addresses they got.
constexpr duration kDirectoryTtl = std::chrono::seconds(1);
/// Addresses in one answer, at most.
constexpr int kMaxAddresses = 64;
/// Before the end of the grace time: stop taking requests, and end in any case.
constexpr duration kStopTakingBefore = std::chrono::milliseconds(1500);
constexpr duration kEndBefore = std::chrono::milliseconds(300);
constexpr duration kQuietCheck = std::chrono::milliseconds(50);
/// Lines a second of one message in the log.
constexpr int kLogLinesPerSecond = 10;

duration ForgetAfter(const entry_settings& settings) {
  const duration longest = settings.drain - kDrainMargin;
  return std::clamp(kForgetAfter, duration::zero(),
                    std::max(longest, duration::zero()));
}

traffic MakeTraffic(const entry_settings& settings) {
  return {.registry = endpoint_registry(ForgetAfter(settings)),
          .places =
              placement(settings.zone, std::mt19937_64(std::random_device()())),
          .extra_sends = extra_send_budget(settings.extra_sends),
          .latencies = {}};
}

result<void> Keep(std::unique_ptr<http_server>& kept,
                  result<std::unique_ptr<http_server>> made) {
  if (!made.has_value()) {
    return made.error();
  }
  kept = std::move(made.value());
  return outcome::success();
}

}  // namespace

entry_process::entry_process(event_loop& loop,
                             const entry_settings& settings,
                             std::string settings_file)
    : loop_(loop),
      settings_(settings),
      settings_file_(std::move(settings_file)),
      shared_(MakeTraffic(settings)) {}

entry_process::~entry_process() = default;

result<std::unique_ptr<entry_process>> entry_process::Create(
    event_loop& loop,
    const entry_settings& settings,
    std::string settings_file) {
  std::unique_ptr<entry_process> made(
      new entry_process(loop, settings, std::move(settings_file)));
  auto log = logger::Create({.level = settings.log,
                             .to_stdout = true,
                             .lines_per_second = kLogLinesPerSecond,
                             .host = settings.host});
  if (!log.has_value()) {
    return log.error();
  }
  made->trace_.log = std::move(log.value());
  made->trace_.values = metrics::Create();
  made->trace_.log->Info(log_message::kProcessStarted, {.zone = settings.zone});
  std::mt19937_64 random(std::random_device{}());
  entry_process* self = made.get();
  made->links_ = std::make_unique<endpoint_links>(
      loop, settings.callers.ip, made->shared_.places, made->trace_,
      [self](const endpoint_id& id) { self->requests_->OnFree(id); });
  made->requests_ =
      std::make_unique<request_task>(loop, made->shared_, *made->links_,
                                     made->trace_, std::mt19937_64(random()));
  made->store_ = std::make_unique<store_task>(
      loop, settings.store, settings.callers.ip, made->trace_,
      store_task::events{
          .replaced = [self](object_kind kind) { self->OnReplaced(kind); },
          .changed =
              [self](object_kind kind, const object_event& event) {
                self->OnChanged(kind, event);
              },
          .learned =
              [self](object_kind kind, revision from,
                     const object_changes& changes) {
                self->peers_->Feed(kind, from, changes);
              }},
      std::mt19937_64(random()));
  auto listening = made->Listen();
  if (!listening.has_value()) {
    return listening.error();
  }
  auto peers = peer_task::Create(
      loop, settings, *made->store_, made->shared_.places, made->trace_,
      [self] { self->OnHostsChanged(); }, std::mt19937_64(random()));
  if (!peers.has_value()) {
    return peers.error();
  }
  made->peers_ = std::move(peers.value());
  made->store_->Start();
  made->store_->Announce(object_kind::kHosts, settings.host.value(),
                         WriteHostRecord(made->peers_->self()));
  made->last_tick_ = loop.Now();
  made->tick_ = loop.Every(kTickInterval, [self] { self->Tick(); });
  loop.OnSignal(SIGTERM, [self] { self->Leave(); });
  loop.OnSignal(SIGINT, [self] { self->Leave(); });
  loop.OnSignal(SIGHUP, [self] { self->Reload(); });
  return made;
}

result<void> entry_process::Listen() {
  auto listening =
      Keep(callers_,
           http_server::Listen(
               loop_, settings_.callers,
               {.max_body_bytes = caller_bounds().max_body_bytes,
                .target_only = true,
                .max_header_bytes = caller_bounds().max_header_bytes,
                .idle_timeout = caller_bounds().idle_timeout * kIdleFactor},
               [this](http_request request, const http_responder& responder) {
                 requests_->Handle(std::move(request), responder);
               }));
  if (!listening.has_value()) {
    return listening;
  }
  listening = Keep(readiness_,
                   http_server::Listen(loop_, settings_.readiness, {},
                                       [this](const http_request& request,
                                              const http_responder& responder) {
                                         OnReadinessRequest(request, responder);
                                       }));
  if (!listening.has_value()) {
    return listening;
  }
  listening = Keep(directory_,
                   http_server::Listen(loop_, settings_.directory, {},
                                       [this](const http_request& request,
                                              const http_responder& responder) {
                                         OnDirectoryRequest(request, responder);
                                       }));
  return listening.has_value() ? ListenForMetrics() : listening;
}

result<void> entry_process::ListenForMetrics() {
  if (settings_.metrics_port == 0) {
    return outcome::success();
  }
  const socket_address address{.ip = settings_.callers.ip,
                               .port = settings_.metrics_port};
  return Keep(metrics_,
              http_server::Listen(loop_, address, {},
                                  [this](const http_request& /*request*/,
                                         const http_responder& responder) {
                                    responder.Send(
                                        {.status = 200,
                                         .body = trace_.values->Text(),
                                         .content_type = kMetricsContentType});
                                  }));
}

bool entry_process::is_ready() const {
  return table_ != nullptr && endpoints_known_ && !leaving_;
}

void entry_process::ReportReady() {
  trace_.values->Set(metric::kReady, is_ready() ? 1 : 0);
  if (is_ready() != was_ready_) {
    was_ready_ = is_ready();
    trace_.log->Info(was_ready_ ? log_message::kReady : log_message::kNotReady);
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
  const auto zone = request.query.find(platform::kCallerZoneField);
  const std::string from = zone == request.query.end() ? "" : zone->second;
  // Stable for the callers of a zone at this host, different at others.
  const caller_id caller(settings_.host.value() + "/" + from);
  const entry_list list =
      BuildEntryList(peers_->EntryHosts(), {}, {}, caller,
                     {.ttl = kDirectoryTtl, .count = kMaxAddresses});
  std::vector<socket_address> addresses;
  std::ranges::transform(list.hosts, std::back_inserter(addresses),
                         &host_record::callers);
  if (addresses.empty()) {
    responder.Send({.status = 503});
    return;
  }
  responder.Send(platform::EntryAddresses(addresses, list.ttl));
}

void entry_process::Tick() {
  const time_point now = loop_.Now();
  const duration late = now - last_tick_ - kTickInterval;
  last_tick_ = now;
  requests_->SetLoopDelay(std::max(late, duration::zero()));
  trace_.values->Observe(metric::kLoopDelay, std::max(late, duration::zero()));
  Apply(shared_.registry.Tick(now));
  links_->Tick();
  // Hosts that become ready do not change their state.
  if (++ticks_ % kTicksPerHostCheck == 0 && RefreshEntryHosts()) {
    ShareOut();
  }
  trace_.values->Set(metric::kEndpointsKnown,
                     static_cast<double>(shared_.registry.entries().size()));
  trace_.values->Set(metric::kLogLinesDropped,
                     static_cast<double>(trace_.log->dropped()));
  trace_.log->Flush();
}

void entry_process::Reload() {
  auto parsed = ReadSettingsFile(settings_file_, ParseEntrySettings);
  for (const auto& error : parsed.errors) {
    trace_.log->Error("settings refused; the last good ones stay",
                      {.detail = ToString(error)});
  }
  if (!parsed.value.has_value()) {
    return;
  }
  settings_.grace = parsed.value->grace;
  settings_.extra_sends = parsed.value->extra_sends;
  shared_.extra_sends.SetBound(settings_.extra_sends);
  trace_.log->Info("settings read again");
}

void entry_process::Leave() {
  if (leaving_) {
    return;
  }
  leaving_ = true;
  end_by_ = loop_.Now() + settings_.grace - kEndBefore;
  trace_.log->Info(log_message::kToldToStop,
                   {.inputs = {{"unanswered", static_cast<std::int64_t>(
                                                  requests_->unanswered())}}});
  trace_.values->Set(metric::kLeaving, 1);
  ReportReady();
  peers_->Leave();
  callers_->CloseAfterReplies();
  stop_taking_ = loop_.After(settings_.grace - kStopTakingBefore,
                             [this] { StopTaking(); });
}

void entry_process::StopTaking() {
  callers_->StopAccepting();
  EndIfQuiet();
}

void entry_process::EndIfQuiet() {
  callers_->CloseIdle();
  const bool quiet =
      requests_->unanswered() == 0 && callers_->requests_in_progress() == 0;
  if (quiet || loop_.Now() >= end_by_) {
    End();
    return;
  }
  end_ = loop_.After(kQuietCheck, [this] { EndIfQuiet(); });
}

void entry_process::End() {
  peers_->Stop();
  trace_.log->Info("process stops",
                   {.inputs = {{"unanswered", static_cast<std::int64_t>(
                                                  requests_->unanswered())}}});
  trace_.log->Flush();
  loop_.Stop();
}

}  // namespace trefoilmill::entry
