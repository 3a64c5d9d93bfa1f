#include "trefoilmill_entry/connection_pools.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "platform/endpoint_notice.h"
#include "platform/http_conversion.h"
#include "trefoilmill_entry/connection_pools_impl.h"

namespace trefoilmill::entry {
namespace {

/// Limit for opening a connection, and the delay after a failed attempt.
constexpr duration kConnectTimeout = std::chrono::milliseconds(400);
/// Limit for the response to a probe. An endpoint may let it wait for a slot.
constexpr duration kProbeTimeout = std::chrono::milliseconds(500);
/// Largest body of a reply that is accepted: 4 MiB.
constexpr std::size_t kMaxReplyBytes = 4 << 20;
/// Bounds of the exponential delay before a connection is opened after the
/// endpoint closed one unused, as it does above its connection limit.
constexpr duration kMinReopenDelay = std::chrono::milliseconds(250);
constexpr duration kMaxReopenDelay = std::chrono::seconds(4);

}  // namespace

connection_pools::connection_pools(
    event_loop& loop,
    std::string local_ip,
    endpoint_selector& endpoint_placement,
    telemetry& process_telemetry,
    std::function<void(const endpoint_id&)> on_idle)
    : loop_(loop),
      local_ip_(std::move(local_ip)),
      placement_(endpoint_placement),
      telemetry_(process_telemetry),
      on_idle_(std::move(on_idle)) {}

connection_pools::~connection_pools() = default;

void connection_pools::Add(const endpoint_id& id,
                           const socket_address& address,
                           int connection_limit) {
  auto created = std::make_unique<pool>();
  created->id = id;
  created->address = address;
  created->connection_limit = connection_limit;
  pool& p = *created;
  pools_[id] = std::move(created);
  EnsureIdleConnection(p);
  ReportIdleCount(p);
}

void connection_pools::RequestConnection(const endpoint_id& id) {
  const auto found = pools_.find(id);
  if (found != pools_.end()) {
    OpenIfAllowed(*found->second);
  }
}

bool connection_pools::CheckEndpoint(const endpoint_id& id,
                                     std::optional<probe> asked) {
  const auto found = pools_.find(id);
  if (found == pools_.end()) {
    return false;
  }
  pool& p = *found->second;
  const auto idle = p.FindIdle();
  if (idle != p.connections.end() && asked.has_value()) {
    p.probe = std::move(asked);
    SendProbe(p, **idle);
    EnsureIdleConnection(p);
    ReportIdleCount(p);
    return true;
  }
  if (!p.IsConnecting() &&
      static_cast<int>(p.connections.size()) >= p.connection_limit) {
    return false;
  }
  p.probe = std::move(asked);
  if (!p.IsConnecting()) {
    Open(p);
  }
  return true;
}

void connection_pools::Open(pool& p) {
  auto created = std::make_unique<connection>();
  connection& c = *created;
  c.connect_began = loop_.Now();
  c.http = http_connection::Create(loop_, p.address,
                                   {.connect_timeout = kConnectTimeout,
                                    .max_body_bytes = kMaxReplyBytes,
                                    .local_ip = local_ip_,
                                    .accept_close_delimited = true,
                                    .may_give_up_for_memory = true});
  p.connections.push_back(std::move(created));
  telemetry_.meter->Increment(metric::kConnectionsOpened);
  c.http->Connect(
      [this, &p, &c](bool connected) { OnConnected(p, c, connected); });
}

void connection_pools::OnConnected(pool& p, connection& c, bool connected) {
  c.connecting = false;
  if (!connected) {
    telemetry_.meter->Increment(metric::kConnectionFailures);
    placement_.OnConnectFailed(loop_.Now(), p.id);
    // One that fails sooner than its timeout was refused.
    if (loop_.Now() - c.connect_began < kConnectTimeout) {
      placement_.crashes().OnConnectRefused(loop_.Now(), p.id);
    }
    p.reopen_at = loop_.Now() + kConnectTimeout;
    p.probe.reset();
    Close(p, c);
    return;
  }
  c.idle_since = loop_.Now();
  c.http->OnClosed([this, &p, &c] { OnClosed(p, c, /*by_endpoint=*/true); });
  placement_.OnConnected(p.id);
  SendProbe(p, c);
  ReportIdleCount(p);
  on_idle_(p.id);
}

void connection_pools::OnClosed(pool& p,
                                const connection& c,
                                bool by_endpoint) {
  if (!c.has_replied) {
    p.reopen_delay =
        std::clamp(p.reopen_delay * 2, kMinReopenDelay, kMaxReopenDelay);
    p.reopen_at = loop_.Now() + p.reopen_delay;
    if (by_endpoint) {
      placement_.crashes().OnClosedUnused(loop_.Now(), p.id);
    }
  }
  Close(p, c);
}

bool connection_pools::Send(const endpoint_id& id,
                            attempt_id attempt,
                            const http_request& request,
                            duration timeout,
                            http_connection::result_callback done) {
  const auto found = pools_.find(id);
  if (found == pools_.end()) {
    return false;
  }
  pool& p = *found->second;
  const auto idle = p.FindIdle();
  if (idle == p.connections.end()) {
    return false;
  }
  connection& c = **idle;
  c.busy = true;
  c.attempt = attempt;
  c.request_id = platform::RequestIdOf(request);
  c.done = std::move(done);
  connections_by_attempt_[attempt] = &c;
  c.http->Send(request, timeout, [this, &p, &c](http_result exchange) {
    OnReply(p, c, std::move(exchange));
  });
  EnsureIdleConnection(p);
  ReportIdleCount(p);
  return true;
}

void connection_pools::OnReply(pool& p, connection& c, http_result exchange) {
  if (c.done == nullptr) {
    // Aborted while the reply was queued in the event loop.
    return;
  }
  connections_by_attempt_.erase(c.attempt);
  c.busy = false;
  c.idle_since = loop_.Now();
  const bool is_own = !exchange.response.has_value() ||
                      platform::IsResponseTo(c.request_id, *exchange.response);
  if (exchange.response.has_value()) {
    c.has_replied = true;
    p.reopen_delay = duration::zero();
  }
  if (!is_own) {
    telemetry_.meter->Increment(metric::kForeignResponses);
    exchange = {.failure_reason = http_failure::kMalformed};
  } else if (exchange.response.has_value()) {
    p.idle_timeout = platform::ParseKeepAliveTimeout(*exchange.response)
                         .value_or(p.idle_timeout);
  }
  const auto done = std::exchange(c.done, nullptr);
  const endpoint_id id = p.id;
  if (p.removed) {
    Close(p, c);
  } else if (!c.http->connected()) {
    OnClosed(p, c, exchange.failure_reason == http_failure::kConnectionLost);
  } else if (!is_own || c.has_carried_probe) {
    Close(p, c);
  } else {
    ReportIdleCount(p);
  }
  done(std::move(exchange));
  on_idle_(id);
}

void connection_pools::SendProbe(pool& p, connection& c) {
  if (!p.probe.has_value()) {
    return;
  }
  c.busy = true;
  c.attempt = {};
  c.request_id.reset();
  c.has_carried_probe = true;
  const probe sent = *std::exchange(p.probe, std::nullopt);
  c.done = sent.done;
  c.http->Send(sent.request, kProbeTimeout,
               [this, &p, &c](http_result exchange) {
                 OnReply(p, c, std::move(exchange));
               });
}

void connection_pools::Abort(attempt_id attempt) {
  const auto found = connections_by_attempt_.find(attempt);
  if (found == connections_by_attempt_.end()) {
    return;
  }
  connection* c = found->second;
  const auto contains = [c](const auto& p) {
    return std::ranges::any_of(
        p->connections, [c](const auto& other) { return other.get() == c; });
  };
  const auto done = std::exchange(c->done, nullptr);
  connections_by_attempt_.erase(found);
  const auto in_use = std::ranges::find_if(
      pools_, [&](const auto& entry) { return contains(entry.second); });
  const auto removed = std::ranges::find_if(removed_pools_, contains);
  if (in_use != pools_.end()) {
    Close(*in_use->second, *c);
  } else if (removed != removed_pools_.end()) {
    Close(**removed, *c);
  }
  done({.failure_reason = http_failure::kConnectionLost});
}

// This may run inside one of the connection's callbacks, so a task posted to
// the loop frees the connection.
void connection_pools::Close(pool& p, const connection& c) {
  const auto found = std::ranges::find_if(
      p.connections, [&c](const auto& other) { return other.get() == &c; });
  if (found == p.connections.end()) {
    return;
  }
  std::shared_ptr<connection> closed = std::move(*found);
  p.connections.erase(found);
  loop_.Post([closed] { closed->http.reset(); });
  if (p.removed) {
    if (p.connections.empty()) {
      const auto removed = std::ranges::find_if(
          removed_pools_,
          [&p](const auto& other) { return other.get() == &p; });
      if (removed != removed_pools_.end()) {
        std::shared_ptr<pool> emptied = std::move(*removed);
        removed_pools_.erase(removed);
        loop_.Post([emptied] {});
      }
    }
    return;
  }
  EnsureIdleConnection(p);
  ReportIdleCount(p);
}

void connection_pools::ReportIdleCount(pool& p) {
  if (p.removed) {
    return;
  }
  const auto idle = std::ranges::count_if(p.connections, [](const auto& c) {
    return !c->connecting && !c->busy && c->http->connected();
  });
  placement_.SetIdleConnections(p.id, static_cast<int>(idle));
}

void connection_pools::EnsureIdleConnection(pool& p) {
  if (!standby_ && !p.retired) {
    OpenIfAllowed(p);
  }
}

void connection_pools::OpenIfAllowed(pool& p) {
  if (p.removed || p.IsConnecting() || p.FindIdle() != p.connections.end() ||
      static_cast<int>(p.connections.size()) >= p.connection_limit ||
      loop_.Now() < p.reopen_at) {
    return;
  }
  Open(p);
}

}  // namespace trefoilmill::entry
