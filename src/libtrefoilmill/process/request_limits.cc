#include "trefoilmill/process/request_limits.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "../rendezvous.h"

namespace trefoilmill {
namespace {

/// The burst allowance of all hosts together: what the limit allows in this
/// time, and a few requests more, so that small limits can be shared, too.
constexpr duration kBurstTime = std::chrono::seconds(1);
constexpr double kBurstRequests = 4;
/// A lower limit counts as this one: without any request no host would learn
/// that the limit has ended.
constexpr request_rate kMinLimit = request_rate::PerSecond(0.2);
/// A host without a share uses the endpoint again if it heard nothing of the
/// limit for so long.
constexpr duration kMemoryWithoutShare = std::chrono::seconds(30);
/// How often a change is reported, as datagrams may be lost, and how often a
/// limit in force is.
constexpr int kChangeReports = 3;
constexpr duration kReportInterval = std::chrono::seconds(2);

/// Requests that all hosts together may send at once.
double BurstOf(request_rate limit) {
  return std::max(limit, kMinLimit).Over(kBurstTime) + kBurstRequests;
}

}  // namespace

void request_limits::SetSenders(const host_id& self,
                                const std::vector<host_id>& senders) {
  self_ = HashName(self.value());
  senders_.clear();
  std::ranges::transform(
      senders, std::back_inserter(senders_),
      [](const host_id& host) { return HashName(host.value()); });
  is_sender_ =
      senders.empty() || std::ranges::find(senders, self) != senders.end();
}

bool request_limits::OnResponse(time_point now,
                                const endpoint_id& id,
                                std::optional<request_rate> limit) {
  const auto found = states_.find(id);
  if (found == states_.end() && !limit.has_value()) {
    return false;
  }
  limit_state& state = states_[id];
  state.told_at = now;
  const bool is_news = Apply(now, state, now, limit);
  if (is_news) {
    state.reports_left = kChangeReports;
  }
  return is_news;
}

bool request_limits::OnPeerReport(time_point now,
                                  const endpoint_limit_report& report) {
  const time_point stated_at = now - std::max(report.age, duration::zero());
  const auto found = states_.find(report.endpoint);
  if (found == states_.end() && !report.per_thousand_seconds.has_value()) {
    return false;
  }
  if (found != states_.end() && found->second.stated_at >= stated_at) {
    return false;
  }
  std::optional<request_rate> limit;
  if (report.per_thousand_seconds.has_value()) {
    limit = request_rate::PerThousandSeconds(*report.per_thousand_seconds);
  }
  return Apply(now, states_[report.endpoint], stated_at, limit);
}

bool request_limits::Apply(time_point now,
                           limit_state& state,
                           time_point stated_at,
                           std::optional<request_rate> limit) {
  if (limit.has_value() && !state.limit.has_value()) {
    state.tokens = 0;
    state.refilled_at = now;
  }
  state.stated_at = stated_at;
  return std::exchange(state.limit, limit) != limit;
}

bool request_limits::AllowsSend(time_point now, const endpoint_id& id) const {
  const auto found = states_.find(id);
  if (found == states_.end() || !found->second.limit.has_value()) {
    return true;
  }
  const limit_state& state = found->second;
  if (TokensAt(now, id, state) >= 1) {
    return true;
  }
  return ShareOf(id, *state.limit).rate <= 0 &&
         now - state.stated_at > kMemoryWithoutShare;
}

void request_limits::OnSend(time_point now, const endpoint_id& id) {
  const auto found = states_.find(id);
  if (found == states_.end() || !found->second.limit.has_value()) {
    return;
  }
  limit_state& state = found->second;
  state.tokens = TokensAt(now, id, state) - 1;
  state.refilled_at = now;
  if (ShareOf(id, *state.limit).rate <= 0) {
    // The next request waits for this one's response.
    state.stated_at = now;
  }
}

void request_limits::OnSendCancelled(const endpoint_id& id) {
  const auto found = states_.find(id);
  if (found != states_.end()) {
    found->second.tokens += 1;
  }
}

std::optional<request_rate> request_limits::LimitOf(
    const endpoint_id& id) const {
  const auto found = states_.find(id);
  return found == states_.end() ? std::nullopt : found->second.limit;
}

bool request_limits::IsReportDue(time_point now,
                                 const limit_state& state) const {
  if (state.told_at != state.stated_at) {
    // A peer's statement is newer.
    return false;
  }
  if (state.reports_left > 0) {
    return true;
  }
  return state.limit.has_value() && SharersOf(*state.limit) < senders_.size() &&
         now - state.reported_at >= kReportInterval;
}

std::vector<endpoint_limit_report> request_limits::TakeReports(
    time_point now,
    std::size_t most) {
  std::vector<endpoint_limit_report> reports;
  for (auto& [id, state] : states_) {
    if (reports.size() >= most || !IsReportDue(now, state)) {
      continue;
    }
    state.reports_left = std::max(0, state.reports_left - 1);
    state.reported_at = now;
    endpoint_limit_report& report = reports.emplace_back();
    report.endpoint = id;
    report.age = now - state.stated_at;
    if (state.limit.has_value()) {
      report.per_thousand_seconds = state.limit->per_thousand_seconds();
    }
  }
  return reports;
}

std::size_t request_limits::SharersOf(request_rate limit) const {
  return std::clamp<std::size_t>(senders_.size(), 1,
                                 static_cast<std::size_t>(BurstOf(limit)));
}

request_limits::share request_limits::ShareOf(const endpoint_id& id,
                                              request_rate limit) const {
  const std::size_t sharers = SharersOf(limit);
  if (!IsSelected(id, sharers)) {
    return {};
  }
  const auto parts = static_cast<double>(sharers);
  return {.rate = std::max(limit, kMinLimit).per_second() / parts,
          .burst = BurstOf(limit) / parts};
}

bool request_limits::IsSelected(const endpoint_id& id,
                                std::size_t count) const {
  if (!is_sender_ || count >= senders_.size()) {
    return is_sender_;
  }
  const std::uint64_t key = HashName(id.value());
  const std::uint64_t own = RendezvousScore(key, self_);
  const auto higher = std::ranges::count_if(senders_, [&](std::uint64_t host) {
    return RendezvousScore(key, host) > own;
  });
  return static_cast<std::size_t>(higher) < count;
}

double request_limits::TokensAt(time_point now,
                                const endpoint_id& id,
                                const limit_state& state) const {
  const share own = ShareOf(id, *state.limit);
  const std::chrono::duration<double> elapsed = now - state.refilled_at;
  return std::min(own.burst, state.tokens + own.rate * elapsed.count());
}

}  // namespace trefoilmill
