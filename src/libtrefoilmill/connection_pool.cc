#include "connection_pool.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace trefoilmill {
namespace {

/// How long a locally closed connection still counts; by then the endpoint has
/// surely seen the close.
constexpr duration kCloseGrace = std::chrono::milliseconds(100);

/// Whether the connection carries an exchange.
bool HasExchange(const pooled_connection& connection) {
  return connection.used_for != connection_use::kOpening &&
         connection.used_for != connection_use::kIdle;
}

}  // namespace

connection_id connection_pool::AddOpening() {
  const connection_id id(++last_id_);
  pooled_connection opening;
  opening.id = id;
  open_.push_back(std::move(opening));
  return id;
}

pooled_connection* connection_pool::Find(connection_id id) {
  const auto found = std::ranges::find(open_, id, &pooled_connection::id);
  return found == open_.end() ? nullptr : &*found;
}

pooled_connection* connection_pool::FindIdle(
    const std::function<bool(const pooled_connection&)>& predicate) {
  const auto found = std::ranges::find_if(open_, [&](const auto& candidate) {
    return candidate.used_for == connection_use::kIdle && predicate(candidate);
  });
  return found == open_.end() ? nullptr : &*found;
}

int connection_pool::Count(
    const std::function<bool(const pooled_connection&)>& predicate) const {
  return static_cast<int>(std::ranges::count_if(open_, predicate));
}

int connection_pool::Count(connection_use use) const {
  return static_cast<int>(
      std::ranges::count(open_, use, &pooled_connection::used_for));
}

const pooled_connection* connection_pool::FindOverdue(time_point now) const {
  const auto found = std::ranges::find_if(open_, [now](const auto& candidate) {
    return HasExchange(candidate) && candidate.exchange_deadline <= now;
  });
  return found == open_.end() ? nullptr : &*found;
}

std::optional<time_point> connection_pool::next_exchange_deadline() const {
  std::optional<time_point> next;
  for (const pooled_connection& candidate : open_) {
    if (HasExchange(candidate)) {
      next = std::min(next.value_or(candidate.exchange_deadline),
                      candidate.exchange_deadline);
    }
  }
  return next;
}

connection_id connection_pool::FindOpening() const {
  const auto found = std::ranges::find(open_, connection_use::kOpening,
                                       &pooled_connection::used_for);
  return found == open_.end() ? connection_id() : found->id;
}

void connection_pool::OnClosedByEndpoint(connection_id id) {
  std::erase_if(open_, [id](const auto& open) { return open.id == id; });
}

void connection_pool::Close(time_point now, connection_id id) {
  OnClosedByEndpoint(id);
  grace_ends_.push_back(now + kCloseGrace);
}

void connection_pool::ExpireClosed(time_point now) {
  std::erase_if(grace_ends_, [now](time_point until) { return until <= now; });
}

std::optional<time_point> connection_pool::next_close_expiry() const {
  if (grace_ends_.empty()) {
    return std::nullopt;
  }
  return *std::ranges::min_element(grace_ends_);
}

}  // namespace trefoilmill
