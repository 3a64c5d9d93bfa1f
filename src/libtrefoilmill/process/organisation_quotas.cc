#include "trefoilmill/process/organisation_quotas.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <ranges>

#include "../rendezvous.h"

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Hosts that issue the permits of one organisation: one for so many requests a
/// second, within bounds. Of a small quota many would each have less than a
/// permit; of a few, the loss of one leaves two thirds.
constexpr double kRatePerIssuer = 1.5;
constexpr double kMinIssuers = 3;
constexpr double kMaxIssuers = 8;
/// Permits that all issuers together save up beyond the burst, so that each can
/// hold more than one.
constexpr double kSharedPermits = 9;
/// Permits that all issuers together begin with.
constexpr double kStartPermits = 9;
/// This many times the rate is issued, as some permits are lost with messages.
constexpr double kIssueFactor = 1.06;
/// A host that starts issues permits this much later, when the others have
/// heard of it.
constexpr duration kIssueDelay = milliseconds(700);
/// Lent permits are given back after this time.
constexpr duration kLentLife = milliseconds(120);
/// A host keeps permits for its callers' requests of this time.
constexpr duration kStockTime = milliseconds(80);
/// An issuer keeps those of this time when it lends.
constexpr duration kReserveTime = milliseconds(100);
/// How often the issuers are asked; the interval doubles up to the second one
/// while they have nothing to lend.
constexpr duration kMinAskInterval = milliseconds(40);
constexpr duration kMaxAskInterval = milliseconds(320);
/// More is asked for than is missing, and of several issuers at once, as some
/// have little; what is not used is given back.
constexpr double kAskFactor = 1.2;
constexpr std::size_t kMinAsked = 2;
/// Time constant of the averages of demand.
constexpr duration kDemandTime = seconds(1);
/// State is discarded after this time without use, if all that can be saved up
/// has been: a state made anew begins like that.
constexpr duration kIdleTime = seconds(60);
/// Bounds of the time after which a refused caller may return.
constexpr duration kMinReturn = milliseconds(100);
constexpr duration kMaxReturn = milliseconds(2000);
constexpr double kMilli = 1000;

double SecondsOf(duration d) {
  return std::chrono::duration<double>(d).count();
}

}  // namespace

void organisation_quotas::SetHosts(time_point now,
                                   const host_id& self,
                                   const std::vector<host_id>& hosts) {
  const bool is_candidate = std::ranges::find(hosts, self) != hosts.end();
  if (!is_candidate) {
    issues_from_.reset();
  } else if (!issues_from_.has_value()) {
    issues_from_ = now + kIssueDelay;
  }
  if (self == self_ && hosts == hosts_) {
    return;
  }
  self_ = self;
  self_hash_ = HashName(self.value());
  hosts_ = hosts;
  for (auto& [id, state] : states_) {
    Refresh(now, state);
    const bool was_issuer = state.is_issuer;
    ChooseIssuers(id, state);
    // Permits that it would have saved up were another host's.
    state.own = was_issuer ? std::min(state.own, OwnCap(state)) : 0;
  }
}

void organisation_quotas::ChooseIssuers(const organisation_id& id,
                                        quota_state& state) const {
  const std::uint64_t key = HashName(id.value());
  std::vector<host_id> issuers = hosts_;
  std::ranges::sort(issuers, std::greater<>(), [key](const host_id& host) {
    return RendezvousScore(key, HashName(host.value()));
  });
  const double wanted = std::clamp(state.quota.rate_per_s / kRatePerIssuer,
                                   kMinIssuers, kMaxIssuers);
  issuers.resize(std::min(issuers.size(), static_cast<std::size_t>(wanted)));
  state.is_issuer = std::erase(issuers, self_) > 0;
  state.other_issuers = std::move(issuers);
}

double organisation_quotas::IssuedPart(const quota_state& state) const {
  if (!state.is_issuer || !issues_from_.has_value()) {
    return 0;
  }
  return 1.0 / static_cast<double>(state.other_issuers.size() + 1);
}

double organisation_quotas::OwnCap(const quota_state& state) const {
  return (state.quota.burst + kSharedPermits) * IssuedPart(state);
}

void organisation_quotas::Refresh(time_point now, quota_state& state) const {
  if (!issues_from_.has_value() || now < *issues_from_) {
    return;
  }
  if (state.issued_at < *issues_from_) {
    state.own += kStartPermits * IssuedPart(state);
    state.issued_at = *issues_from_;
  }
  state.own += kIssueFactor * state.quota.rate_per_s * IssuedPart(state) *
               SecondsOf(now - state.issued_at);
  state.own = std::min(state.own, OwnCap(state));
  state.issued_at = now;
}

organisation_quotas::quota_state& organisation_quotas::StateOf(
    time_point now,
    const organisation_id& id,
    const request_quota& quota) {
  const auto [found, is_new] = states_.try_emplace(id);
  quota_state& state = found->second;
  if (is_new || state.quota != quota) {
    state.quota = quota;
    ChooseIssuers(id, state);
  }
  if (is_new) {
    state.ask_interval = kMinAskInterval;
    state.demand_at = now;
  }
  Refresh(now, state);
  Decay(now, state);
  state.used_at = now;
  return state;
}

void organisation_quotas::Decay(time_point now, quota_state& state) {
  const double kept =
      std::exp(-SecondsOf(now - state.demand_at) / SecondsOf(kDemandTime));
  state.demand *= kept;
  state.refusals *= kept;
  state.demand_at = now;
}

double organisation_quotas::Missing(time_point now, const quota_state& state) {
  // A stock for callers that come rarely would mostly expire.
  const double stock = std::floor(state.demand * SecondsOf(kStockTime));
  const double held = state.own + Lent(now, state);
  return std::ceil(std::max(0.0, stock - held)) + state.lacking;
}

double organisation_quotas::Lent(time_point now, const quota_state& state) {
  double sum = 0;
  for (const lent_permits& lent : state.lent) {
    sum += lent.expires_at > now ? lent.amount : 0;
  }
  return sum;
}

void organisation_quotas::GiveBack(
    time_point now,
    const organisation_id& id,
    quota_state& state,
    std::map<host_id, std::vector<permit_amount>>& out) {
  for (const lent_permits& lent : state.lent) {
    if (lent.expires_at <= now && !lent.lender.value().empty()) {
      out[lent.lender].push_back(
          {.organisation = id,
           .milli = -static_cast<std::int64_t>(lent.amount * kMilli)});
    }
  }
  std::erase_if(state.lent, [now](const lent_permits& lent) {
    return lent.expires_at <= now;
  });
}

duration organisation_quotas::RetryAfter(const quota_state& state) {
  // Callers that were refused within the last second come first.
  const double rate = std::max(state.quota.rate_per_s, 1e-3);
  const auto wait =
      std::chrono::duration_cast<duration>(std::chrono::duration<double>(
          std::min((1 + state.refusals) / rate, SecondsOf(kMaxReturn))));
  return std::clamp<duration>(wait, kMinReturn, kMaxReturn);
}

organisation_quotas::decision organisation_quotas::Take(
    time_point now,
    const organisation_id& id,
    const request_quota& quota,
    bool has_waited) {
  if (!quota.is_limited()) {
    return granted{};
  }
  quota_state& state = StateOf(now, id, quota);
  if (!has_waited) {
    state.demand += 1 / SecondsOf(kDemandTime);
  }
  const auto usable = std::ranges::find_if(
      state.lent,
      [now](const lent_permits& lent) { return lent.expires_at > now; });
  if (usable != state.lent.end()) {
    usable->amount -= 1;
    if (usable->amount < 1) {
      state.lent.erase(usable);
    }
    return granted{};
  }
  if (state.own >= 1) {
    state.own -= 1;
    return granted{};
  }
  if (!state.other_issuers.empty() && now >= state.depleted_until) {
    state.lacking += has_waited ? 0 : 1;
    return pending{};
  }
  state.refusals += 1;
  return refused{.retry_after = RetryAfter(state)};
}

void organisation_quotas::Return(time_point now, const organisation_id& id) {
  const auto found = states_.find(id);
  if (found != states_.end()) {
    found->second.lent.push_back(
        {.lender = {}, .amount = 1, .expires_at = now + kLentLife});
  }
}

std::map<host_id, std::vector<permit_amount>> organisation_quotas::TakeWants(
    time_point now) {
  std::map<host_id, std::vector<permit_amount>> wants;
  for (auto& [id, state] : states_) {
    if (!state.lent.empty()) {
      GiveBack(now, id, state, wants);
    }
    if (now < state.ask_at || state.other_issuers.empty() ||
        now - state.used_at > kMaxAskInterval) {
      continue;
    }
    Refresh(now, state);
    Decay(now, state);
    const double missing = Missing(now, state);
    if (missing <= 0) {
      continue;
    }
    // Replies may be lost: the next round begins without them then.
    state.ask_at = now + state.ask_interval;
    state.lacking = 0;
    Ask(id, state, missing, wants);
  }
  return wants;
}

void organisation_quotas::Ask(
    const organisation_id& id,
    quota_state& state,
    double missing,
    std::map<host_id, std::vector<permit_amount>>& out) {
  const std::size_t issuers = state.other_issuers.size();
  const double wanted = kAskFactor * missing;
  const std::size_t asked =
      std::min(issuers, std::max(kMinAsked, static_cast<std::size_t>(wanted)));
  const double each = std::ceil(wanted / static_cast<double>(asked));
  for (std::size_t n = 0; n < asked; ++n) {
    const host_id& issuer = state.other_issuers[state.next_issuer++ % issuers];
    out[issuer].push_back({.organisation = id,
                           .milli = static_cast<std::int64_t>(each * kMilli)});
  }
  state.unanswered = asked;
}

permit_amount organisation_quotas::Lend(time_point now,
                                        const permit_amount& wanted,
                                        const request_quota& quota) {
  permit_amount lent{.organisation = wanted.organisation};
  if (!quota.is_limited()) {
    return lent;
  }
  quota_state& state = StateOf(now, wanted.organisation, quota);
  if (wanted.milli <= 0) {
    const double returned = static_cast<double>(-wanted.milli) / kMilli;
    state.own = std::min(OwnCap(state), state.own + returned);
    return lent;
  }
  const double reserve = state.demand * SecondsOf(kReserveTime);
  const double spare = std::max(0.0, state.own - reserve);
  const double permits =
      std::floor(std::min(spare, static_cast<double>(wanted.milli) / kMilli));
  state.own -= permits;
  lent.milli = static_cast<std::int64_t>(permits * kMilli);
  return lent;
}

void organisation_quotas::OnLent(time_point now,
                                 const host_id& lender,
                                 const permit_amount& lent) {
  const auto found = states_.find(lent.organisation);
  if (found == states_.end()) {
    return;
  }
  quota_state& state = found->second;
  state.unanswered -= std::min<std::size_t>(1, state.unanswered);
  if (lent.milli <= 0) {
    OnNothingLent(now, state);
    return;
  }
  state.empty_replies = 0;
  state.ask_interval = kMinAskInterval;
  state.lent.push_back({.lender = lender,
                        .amount = static_cast<double>(lent.milli) / kMilli,
                        .expires_at = now + kLentLife});
}

void organisation_quotas::OnNothingLent(time_point now, quota_state& state) {
  if (++state.empty_replies < state.other_issuers.size()) {
    // Another one may have some. Rounds do not overlap, so that asking does not
    // multiply.
    state.lacking += 1;
    state.ask_at = state.unanswered == 0 ? now : state.ask_at;
    return;
  }
  state.empty_replies = 0;
  state.lacking = 0;
  state.depleted_until = now + state.ask_interval;
  state.ask_at = state.depleted_until;
  state.ask_interval = std::min(state.ask_interval * 2, kMaxAskInterval);
}

void organisation_quotas::RemoveIdle(time_point now) {
  std::erase_if(states_, [&](const auto& entry) {
    quota_state state = entry.second;
    Refresh(now, state);
    return now - state.used_at > kIdleTime && state.own >= OwnCap(state);
  });
}

double organisation_quotas::PermitsOf(time_point now,
                                      const organisation_id& id) const {
  const auto found = states_.find(id);
  if (found == states_.end()) {
    return 0;
  }
  quota_state state = found->second;
  Refresh(now, state);
  return state.own + Lent(now, state);
}

}  // namespace trefoilmill
