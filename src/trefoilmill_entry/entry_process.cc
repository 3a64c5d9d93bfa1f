#include "trefoilmill_entry/entry_process.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <random>
#include <ranges>
#include <sstream>
#include <utility>

#include "platform/documents.h"
#include "platform/headers.h"
#include "platform/http_dialect.h"
#include "trefoilmill/connection/connection_share.h"
#include "trefoilmill/entry_list.h"
#include "trefoilmill/process/entry_hosts.h"
#include "trefoilmill/wire/copy_codec.h"
#include "trefoilmill/wire/entry_settings_codec.h"

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
/// A part of the idle time that callers may use; connections stay open longer.
constexpr int kIdleFactor = 2;

std::string Slurp(const std::string& file) {
  std::ifstream input(file);
  std::stringstream text;
  text << input.rdbuf();
  return text.str();
}

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
  made->trace_.log->Info("process started", {.zone = settings.zone});
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
  auto callers = http_server::Listen(
      loop_, settings_.callers,
      {.max_body_bytes = caller_bounds().max_body_bytes,
       .target_only = true,
       .max_header_bytes = caller_bounds().max_header_bytes,
       .idle_timeout = caller_bounds().idle_timeout * kIdleFactor},
      [this](http_request request, const http_responder& responder) {
        requests_->Handle(std::move(request), responder);
      });
  if (!callers.has_value()) {
    return callers.error();
  }
  callers_ = std::move(callers.value());
  auto readiness = http_server::Listen(
      loop_, settings_.readiness, {},
      [this](const http_request& request, const http_responder& responder) {
        OnReadinessRequest(request, responder);
      });
  if (!readiness.has_value()) {
    return readiness.error();
  }
  readiness_ = std::move(readiness.value());
  auto directory = http_server::Listen(
      loop_, settings_.directory, {},
      [this](const http_request& request, const http_responder& responder) {
        OnDirectoryRequest(request, responder);
      });
  if (!directory.has_value()) {
    return directory.error();
  }
  directory_ = std::move(directory.value());
  return ListenForMetrics();
}

result<void> entry_process::ListenForMetrics() {
  if (settings_.metrics_port == 0) {
    return outcome::success();
  }
  auto metrics = http_server::Listen(
      loop_, {.ip = settings_.callers.ip, .port = settings_.metrics_port}, {},
      [this](const http_request& /*request*/, const http_responder& responder) {
        responder.Send({.status = 200,
                        .body = trace_.values->Text(),
                        .content_type = kMetricsContentType});
      });
  if (!metrics.has_value()) {
    return metrics.error();
  }
  metrics_ = std::move(metrics.value());
  return outcome::success();
}

void entry_process::OnReplaced(object_kind kind) {
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
  peers_->PublishDigests();
  if (kind == object_kind::kConfiguration) {
    OnHostsChanged();
  }
}

void entry_process::OnChanged(object_kind kind, const object_event& event) {
  if (kind != object_kind::kEndpoints) {
    OnReplaced(kind);
    return;
  }
  if (event.deleted) {
    const endpoint_id id(event.object.name);
    trace_.log->Info("endpoint withdrawn",
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
    trace_.log->Error("configuration refused; the last good one stays",
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
    trace_.log->Error("configuration refused; the last good one stays",
                      {.at = found->second.at,
                       .reason = table.error().reason,
                       .detail = table.error().detail});
    return;
  }
  table_ = std::move(table.value());
  const routing_config& config = table_->config();
  trace_.log->Info(
      "configuration in force",
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
  ShareOut();
  ReportReady();
}

void entry_process::AdoptZones() {
  std::set<zone_id> out;
  for (const auto& name :
       std::views::keys(store_->Follower(object_kind::kZonesOut).objects())) {
    out.insert(zone_id(name));
    trace_.log->Info("availability zone out", {.zone = zone_id(name)});
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
      "endpoint announced",
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

bool entry_process::IsEntryHost() const {
  return entry_hosts_.empty() ||
         std::ranges::find(entry_hosts_, settings_.host, &host_record::id) !=
             entry_hosts_.end();
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
  auto chosen = ChooseEntryHosts(peers_->ServingHosts());
  if (chosen == entry_hosts_) {
    return false;
  }
  const bool was_named = IsEntryHost();
  entry_hosts_ = std::move(chosen);
  peers_->SetEntryHosts(entry_hosts_);
  if (IsEntryHost() != was_named) {
    trace_.log->Info(
        was_named ? "standing by: callers are told of stronger hosts"
                  : "callers are told of this host",
        {.inputs = {{"named", static_cast<std::int64_t>(entry_hosts_.size())},
                    {"millicores", peers_->self().millicores}}});
  }
  return true;
}

void entry_process::ShareOut() {
  if (peers_ == nullptr) {
    return;
  }
  // Strong hosts that died lately may come back before others know of it.
  const auto known = peers_->KnownHosts();
  const std::size_t hosts = known.size();
  const std::size_t named = std::min(
      hosts, std::max(entry_hosts_.size(), ChooseEntryHosts(known).size()));
  sharers_ = {
      .named = named, .standing_by = hosts - named, .is_named = IsEntryHost()};
  shared_.extra_sends.SetHosts(sharers_);
  trace_.values->Set(metric::kHosts, static_cast<double>(hosts), {"known"});
  for (const auto& [id, held] : shared_.registry.entries()) {
    links_->SetMost(id, MostConnections(held.record));
  }
  links_->SetStandby(!IsEntryHost());
}

bool entry_process::is_ready() const {
  return table_ != nullptr && endpoints_known_ && !leaving_;
}

void entry_process::ReportReady() {
  trace_.values->Set(metric::kReady, is_ready() ? 1 : 0);
  if (is_ready() != was_ready_) {
    was_ready_ = is_ready();
    trace_.log->Info(was_ready_ ? "ready for callers" : "not ready");
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
      BuildEntryList(ChooseEntryHosts(peers_->ServingHosts()), {}, {}, caller,
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
  auto parsed = ParseEntrySettings(Slurp(settings_file_), settings_file_);
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
  trace_.log->Info("told to stop",
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
