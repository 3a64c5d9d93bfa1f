#include "trefoilmill_entry/connection_pools.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "platform/http_dialect.h"

namespace trefoilmill::entry {
namespace {

constexpr duration kConnectTimeout = std::chrono::milliseconds(400);
/// An idle connection is closed this long before the endpoint would close it,
/// so that no request crosses that close.
constexpr duration kIdleMargin = std::chrono::milliseconds(1500);
/// Assumed while an endpoint does not say how long it keeps connections.
constexpr duration kUnstatedIdleTimeout = std::chrono::seconds(30);
/// How long a host that stands by keeps an idle connection.
constexpr duration kStandbyIdle = std::chrono::seconds(4);
constexpr std::size_t kMaxReplyBytes = 4 << 20;
/// Pauses before a new attempt after the endpoint closed a connection unused:
/// it has more connections than it accepts.
constexpr duration kFirstReopenPause = std::chrono::milliseconds(250);
constexpr duration kLongestReopenPause = std::chrono::seconds(4);

}  // namespace

struct endpoint_links::link {
  std::unique_ptr<http_connection> connection;
  bool connecting = true;
  bool busy = false;
  /// Has carried a reply.
  bool proven = false;
  time_point idle_since;
  attempt_id attempt;
  http_connection::on_reply done;
};

struct endpoint_links::pool {
  endpoint_id id;
  socket_address address;
  int most = 1;
  bool removed = false;
  duration idle_timeout = kUnstatedIdleTimeout;
  time_point reopen_at;
  duration reopen_pause{};
  std::vector<std::unique_ptr<link>> links;

  auto Idle() {
    return std::ranges::find_if(links, [](const auto& l) {
      return !l->connecting && !l->busy && l->connection->connected();
    });
  }
  bool IsOpening() const {
    return std::ranges::any_of(links,
                               [](const auto& l) { return l->connecting; });
  }
};

endpoint_links::endpoint_links(event_loop& loop,
                               std::string local_ip,
                               placement& places,
                               telemetry& trace,
                               std::function<void(const endpoint_id&)> on_free)
    : loop_(loop),
      local_ip_(std::move(local_ip)),
      places_(places),
      trace_(trace),
      on_free_(std::move(on_free)) {}

endpoint_links::~endpoint_links() = default;

void endpoint_links::Add(const endpoint_id& id,
                         const socket_address& address,
                         int most) {
  auto made = std::make_unique<pool>();
  made->id = id;
  made->address = address;
  made->most = most;
  pool& p = *made;
  pools_[id] = std::move(made);
  EnsureSpare(p);
  Publish(p);
}

void endpoint_links::SetMost(const endpoint_id& id, int most) {
  const auto found = pools_.find(id);
  if (found != pools_.end()) {
    found->second->most = most;
  }
}

void endpoint_links::SetStandby(bool standby) {
  if (standby == standby_) {
    return;
  }
  standby_ = standby;
  for (auto& p : pools_ | std::views::values) {
    EnsureSpare(*p);
  }
}

void endpoint_links::OpenFor(const endpoint_id& id) {
  const auto found = pools_.find(id);
  if (found != pools_.end()) {
    OpenIfAllowed(*found->second);
  }
}

void endpoint_links::Remove(const endpoint_id& id) {
  const auto found = pools_.find(id);
  if (found == pools_.end()) {
    return;
  }
  std::unique_ptr<pool> p = std::move(found->second);
  pools_.erase(found);
  p->removed = true;
  std::erase_if(p->links, [](const auto& l) { return !l->busy; });
  if (!p->links.empty()) {
    retiring_.push_back(std::move(p));
  }
}

void endpoint_links::Open(pool& p) {
  auto made = std::make_unique<link>();
  link& l = *made;
  l.connection = http_connection::Create(loop_, p.address,
                                         {.connect_timeout = kConnectTimeout,
                                          .max_body_bytes = kMaxReplyBytes,
                                          .local_ip = local_ip_,
                                          .accept_close_delimited = true});
  p.links.push_back(std::move(made));
  trace_.values->Count(metric::kConnectionsOpened);
  l.connection->Connect(
      [this, &p, &l](bool connected) { OnConnected(p, l, connected); });
}

void endpoint_links::OnConnected(pool& p, link& l, bool connected) {
  l.connecting = false;
  if (!connected) {
    trace_.values->Count(metric::kConnectionFailures);
    places_.OnConnectFailed(loop_.Now(), p.id);
    p.reopen_at = loop_.Now() + kConnectTimeout;
    Drop(p, l);
    return;
  }
  l.idle_since = loop_.Now();
  l.connection->OnClosed([this, &p, &l] { OnClosedByPeer(p, l); });
  places_.OnConnected(p.id);
  Publish(p);
  on_free_(p.id);
}

void endpoint_links::OnClosedByPeer(pool& p, const link& l) {
  if (!l.proven) {
    p.reopen_pause =
        std::clamp(p.reopen_pause * 2, kFirstReopenPause, kLongestReopenPause);
    p.reopen_at = loop_.Now() + p.reopen_pause;
  }
  Drop(p, l);
}

bool endpoint_links::Send(const endpoint_id& id,
                          attempt_id attempt,
                          const http_request& request,
                          duration timeout,
                          http_connection::on_reply done) {
  const auto found = pools_.find(id);
  if (found == pools_.end()) {
    return false;
  }
  pool& p = *found->second;
  const auto idle = p.Idle();
  if (idle == p.links.end()) {
    return false;
  }
  link& l = **idle;
  l.busy = true;
  l.attempt = attempt;
  l.done = std::move(done);
  carrying_[attempt] = &l;
  l.connection->Send(request, timeout, [this, &p, &l](http_exchange exchange) {
    OnReply(p, l, std::move(exchange));
  });
  EnsureSpare(p);
  Publish(p);
  return true;
}

void endpoint_links::OnReply(pool& p, link& l, http_exchange exchange) {
  if (l.done == nullptr) {
    // Abandoned while the reply was on its way through the loop.
    return;
  }
  carrying_.erase(l.attempt);
  l.busy = false;
  l.idle_since = loop_.Now();
  if (exchange.response.has_value()) {
    l.proven = true;
    p.reopen_pause = duration::zero();
    if (const auto timeout = platform::IdleTimeoutOf(*exchange.response)) {
      p.idle_timeout = *timeout;
    }
  }
  const auto done = std::exchange(l.done, nullptr);
  const endpoint_id id = p.id;
  if (p.removed) {
    Drop(p, l);
  } else if (!l.connection->connected()) {
    OnClosedByPeer(p, l);
  } else {
    Publish(p);
  }
  done(std::move(exchange));
  on_free_(id);
}

void endpoint_links::Abandon(attempt_id attempt) {
  const auto found = carrying_.find(attempt);
  if (found == carrying_.end()) {
    return;
  }
  link* l = found->second;
  const auto holds = [l](const auto& p) {
    return std::ranges::any_of(p->links,
                               [l](const auto& one) { return one.get() == l; });
  };
  const auto done = std::exchange(l->done, nullptr);
  carrying_.erase(found);
  const auto pool_at = std::ranges::find_if(
      pools_, [&](const auto& e) { return holds(e.second); });
  const auto retired = std::ranges::find_if(retiring_, holds);
  if (pool_at != pools_.end()) {
    Drop(*pool_at->second, *l);
  } else if (retired != retiring_.end()) {
    Drop(**retired, *l);
  }
  done({.failed = http_failure::kReset});
}

// The link and its callbacks are freed by a later task: this may run in one.
void endpoint_links::Drop(pool& p, const link& l) {
  const auto found = std::ranges::find_if(
      p.links, [&l](const auto& one) { return one.get() == &l; });
  if (found == p.links.end()) {
    return;
  }
  std::shared_ptr<link> gone = std::move(*found);
  p.links.erase(found);
  loop_.Post([gone] { gone->connection.reset(); });
  if (p.removed) {
    if (p.links.empty()) {
      const auto whole = std::ranges::find_if(
          retiring_, [&p](const auto& one) { return one.get() == &p; });
      if (whole != retiring_.end()) {
        std::shared_ptr<pool> ended = std::move(*whole);
        retiring_.erase(whole);
        loop_.Post([ended] {});
      }
    }
    return;
  }
  EnsureSpare(p);
  Publish(p);
}

void endpoint_links::Publish(pool& p) {
  if (p.removed) {
    return;
  }
  const auto idle = std::ranges::count_if(p.links, [](const auto& l) {
    return !l->connecting && !l->busy && l->connection->connected();
  });
  places_.SetFree(p.id, static_cast<int>(idle));
}

void endpoint_links::EnsureSpare(pool& p) {
  if (!standby_) {
    OpenIfAllowed(p);
  }
}

void endpoint_links::OpenIfAllowed(pool& p) {
  if (p.removed || p.IsOpening() || p.Idle() != p.links.end() ||
      static_cast<int>(p.links.size()) >= p.most || loop_.Now() < p.reopen_at) {
    return;
  }
  Open(p);
}

void endpoint_links::Tick() {
  const time_point now = loop_.Now();
  for (auto& p : pools_ | std::views::values) {
    const duration kept = p->idle_timeout - kIdleMargin;
    const duration longest = standby_ ? std::min(kept, kStandbyIdle) : kept;
    std::vector<link*> expired;
    for (const auto& l : p->links) {
      const bool idle = !l->connecting && !l->busy;
      const bool surplus =
          static_cast<int>(p->links.size() - expired.size()) > p->most;
      if (idle && (now - l->idle_since > longest || surplus)) {
        expired.push_back(l.get());
      }
    }
    for (const link* l : expired) {
      Drop(*p, *l);
    }
    EnsureSpare(*p);
  }
}

std::size_t endpoint_links::open_connections() const {
  std::size_t open = 0;
  for (const auto& p : pools_ | std::views::values) {
    open += p->links.size();
  }
  return open;
}

}  // namespace trefoilmill::entry
