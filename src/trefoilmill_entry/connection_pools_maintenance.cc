/// How pools change with their endpoint and this host, and lose connections
/// that are not needed.
#include <algorithm>
#include <functional>
#include <memory>
#include <ranges>
#include <utility>
#include <vector>

#include "trefoilmill_entry/connection_pools_impl.h"

namespace trefoilmill::entry {
namespace {

/// An idle connection is closed this long before the endpoint would close it,
/// so that no request is sent while the endpoint closes it.
constexpr duration kIdleMargin = std::chrono::milliseconds(1500);
/// Idle timeout while this host is on standby.
constexpr duration kStandbyIdleTimeout = std::chrono::seconds(4);

}  // namespace

void connection_pools::SetConnectionLimit(const endpoint_id& id,
                                          int connection_limit) {
  const auto found = pools_.find(id);
  if (found != pools_.end()) {
    found->second->connection_limit = connection_limit;
  }
}

void connection_pools::SetStandby(bool standby) {
  if (standby == standby_) {
    return;
  }
  standby_ = standby;
  for (auto& p : pools_ | std::views::values) {
    EnsureIdleConnection(*p);
  }
}

void connection_pools::Retire(const endpoint_id& id) {
  const auto found = pools_.find(id);
  if (found == pools_.end() || found->second->retired) {
    return;
  }
  pool& p = *found->second;
  p.retired = true;
  CloseIdle(p, [](const connection& /*c*/) { return true; });
}

void connection_pools::Remove(const endpoint_id& id) {
  const auto found = pools_.find(id);
  if (found == pools_.end()) {
    return;
  }
  std::unique_ptr<pool> p = std::move(found->second);
  pools_.erase(found);
  p->removed = true;
  std::erase_if(p->connections, [](const auto& c) { return !c->busy; });
  if (!p->connections.empty()) {
    removed_pools_.push_back(std::move(p));
  }
}

void connection_pools::MaintainConnections() {
  const time_point now = loop_.Now();
  for (auto& p : pools_ | std::views::values) {
    const duration longest_idle = p->idle_timeout - kIdleMargin;
    const bool rarely_used = standby_ || p->retired;
    const duration idle_limit =
        rarely_used ? std::min(longest_idle, kStandbyIdleTimeout)
                    : longest_idle;
    int open = static_cast<int>(p->connections.size());
    CloseIdle(*p, [&](const connection& c) {
      const bool surplus = open > p->connection_limit;
      const bool closes = now - c.idle_since > idle_limit || surplus;
      open -= closes ? 1 : 0;
      return closes;
    });
    EnsureIdleConnection(*p);
  }
}

void connection_pools::CloseIdle(
    pool& p,
    const std::function<bool(const connection&)>& closes) {
  std::vector<connection*> chosen;
  for (const auto& c : p.connections) {
    if (!c->connecting && !c->busy && closes(*c)) {
      chosen.push_back(c.get());
    }
  }
  for (const connection* c : chosen) {
    Close(p, *c);
  }
}

std::size_t connection_pools::open_connections() const {
  std::size_t open = 0;
  for (const auto& p : pools_ | std::views::values) {
    open += p->connections.size();
  }
  return open;
}

}  // namespace trefoilmill::entry
