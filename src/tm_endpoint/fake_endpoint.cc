#include "tm_endpoint/fake_endpoint.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace trefoilmill {

namespace {

// For how long an endpoint that fell over refuses connections.
constexpr duration kFallOverPause = std::chrono::milliseconds(500);
// Pause before another try to listen on an address that is still taken.
constexpr duration kListenPause = std::chrono::milliseconds(10);

constexpr std::array<std::string_view, 16> kControlFields{"endpoint",
                                                          "service_ms",
                                                          "slow_factor",
                                                          "cold_ms",
                                                          "restart",
                                                          "down",
                                                          "drain",
                                                          "shed_share",
                                                          "lie",
                                                          "reset_share",
                                                          "truncate_share",
                                                          "wrong_version_share",
                                                          "versions",
                                                          "duplicate_share",
                                                          "late_reply_ms",
                                                          "shards_by_version"};

bool IsKnownField(const std::string& name) {
  return std::ranges::find(kControlFields, name) != kControlFields.end();
}

void TakeShare(const nlohmann::json& change, const char* name, double& share) {
  share = change.value(name, share);
}

}  // namespace

fake_endpoint::fake_endpoint(event_loop& loop,
                             record_log& log,
                             endpoint_settings settings)
    : loop_(loop),
      log_(log),
      settings_(std::move(settings)),
      generator_(settings_.seed) {}

fake_endpoint::~fake_endpoint() = default;

result<std::unique_ptr<fake_endpoint>> fake_endpoint::Create(
    event_loop& loop,
    record_log& log,
    endpoint_settings settings) {
  std::unique_ptr<fake_endpoint> made(
      new fake_endpoint(loop, log, std::move(settings)));
  if (const auto listening = made->Listen(); !listening) {
    return listening.error();
  }
  made->StartInstance();
  return made;
}

result<void> fake_endpoint::Listen() {
  socket_address address = settings_.address;
  if (port_ != 0) {
    address.port = port_;
  }
  auto made = http_server::Listen(
      loop_, address, {},
      [this](const http_request& request, const http_responder& responder) {
        OnRequest(request, responder);
      });
  if (!made) {
    return made.error();
  }
  server_ = std::move(made).value();
  port_ = server_->port();
  server_->SetAcceptFilter([this] { return Admit(); });
  server_->OnConnectionClosed([this] { Record("connection_closed"); });
  return outcome::success();
}

void fake_endpoint::StartInstance() {
  if (server_ == nullptr && !Listen()) {
    lifecycle_ = loop_.RunAfter(kListenPause, [this] { StartInstance(); });
    return;
  }
  began_ = loop_.Now();
  work_done_ = {};
  instance_ = instance_id(settings_.id.value() + "-" +
                          std::to_string(loop_.SystemTimeMicros()));
  up_ = true;
  Record("started");
}

// May be called from within the server's own callbacks; the server itself goes
// only when the loop is back.
void fake_endpoint::Crash(duration refuse_for) {
  up_ = false;
  if (server_ != nullptr) {
    server_->CloseAllConnections();
  }
  tasks_.clear();
  late_replies_.clear();
  known_connections_.clear();
  lifecycle_ = loop_.RunAfter(duration(0), [this, refuse_for] {
    server_.reset();
    if (!down_) {
      lifecycle_ = loop_.RunAfter(refuse_for, [this] { StartInstance(); });
    }
  });
}

void fake_endpoint::Restart() {
  Crash(duration(0));
}

void fake_endpoint::SetDown(bool down) {
  if (down == down_) {
    return;
  }
  down_ = down;
  // Going up, it waits like a crash, in which the old server may still go.
  Crash(duration(0));
}

bool fake_endpoint::Admit() {
  const std::size_t count = server_->open_connections() + 1;
  if (!up_) {
    Record("connection_refused", {{"reason", "down"}});
    return false;
  }
  if (count > settings_.connections) {
    Record("connection_overrun", {{"count", count}});
    Record("connection_refused", {{"reason", "limit"}});
    return false;
  }
  if (IsCold() && count > settings_.cold_connections) {
    Record("cold_overload", {{"cold_connections", count}});
    FallOver("connections");
    return false;
  }
  Record("accepted", {{"connections", count}});
  return true;
}

void fake_endpoint::FallOver(const char* cause) {
  Record("fell_over", {{"reason", cause}});
  Crash(kFallOverPause);
}

bool fake_endpoint::IsCold() const {
  const duration warmed =
      settings_.warmed_by == warm_up::kTime ? loop_.Now() - began_ : work_done_;
  return warmed < settings_.cold;
}

std::string fake_endpoint::State() const {
  if (faults_.drain) {
    return "draining";
  }
  return IsCold() ? "cold" : "warm";
}

bool fake_endpoint::Control(const nlohmann::json& change) {
  for (const auto& [name, value] : change.items()) {
    if (!IsKnownField(name)) {
      return false;
    }
  }
  if (change.contains("service_ms")) {
    settings_.service_times = ParseServiceTime(change.at("service_ms"));
  }
  if (change.contains("cold_ms")) {
    settings_.cold = FromMilliseconds(change.at("cold_ms").get<double>());
  }
  if (change.contains("versions")) {
    settings_.versions = change.at("versions").get<std::set<std::uint64_t>>();
  }
  if (change.contains("shards_by_version")) {
    settings_.shards_by_version = ParseShards(change.at("shards_by_version"));
  }
  if (change.contains("late_reply_ms")) {
    faults_.late_reply =
        FromMilliseconds(change.at("late_reply_ms").get<double>());
  }
  faults_.slow_factor = change.value("slow_factor", faults_.slow_factor);
  faults_.drain = change.value("drain", faults_.drain);
  faults_.lie = change.value("lie", faults_.lie);
  TakeShare(change, "shed_share", faults_.shed_share);
  TakeShare(change, "reset_share", faults_.reset_share);
  TakeShare(change, "truncate_share", faults_.truncate_share);
  TakeShare(change, "wrong_version_share", faults_.wrong_version_share);
  TakeShare(change, "duplicate_share", faults_.duplicate_share);
  SetDown(change.value("down", down_));
  if (change.value("restart", false)) {
    Restart();
  }
  return true;
}

void fake_endpoint::Record(const char* event, const nlohmann::json& fields) {
  nlohmann::json record = {
      {"event", event},
      {"endpoint", settings_.id.value()},
      {"instance", instance_.value()},
      {"zone", settings_.zone.value()},
      {"in_flight", tasks_.size()},
      {"connections", server_ == nullptr ? 0 : server_->open_connections()},
      {"state", State()},
  };
  if (fields.is_object()) {
    record.update(fields);
  }
  log_.Append(std::move(record), loop_.SystemTimeMicros());
}

void fake_endpoint::RecordTask(const char* event,
                               const search_request& request,
                               const nlohmann::json& fields) {
  nlohmann::json record = {
      {"attempt", request.attempt},
      {"version", request.version},
      {"service", request.shard.service.value()},
      {"shard", request.shard.shard.value()},
      {"idempotent", request.idempotent},
      {"body", request.body},
  };
  if (fields.is_object()) {
    record.update(fields);
  }
  Record(event, record);
}

}  // namespace trefoilmill
