#include "trefoilmill/process/fair_shares.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <ranges>
#include <utility>

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;

/// Time over which demand is averaged: long enough to see several requests of a
/// small organisation, short enough to notice a burst before endpoints' queues
/// are full.
constexpr duration kDemandTime = std::chrono::seconds(1);
/// How long a sum of demands is used. A burst grows little within it.
constexpr duration kSumLifetime = milliseconds(20);
/// A report is used for this long, so that a few lost ones do not matter.
constexpr duration kReportLifetime = milliseconds(1200);
/// Half-life of a runnable fraction below 1 without further ones.
constexpr duration kFractionHalfLife = milliseconds(250);
constexpr double kFractionWeight = 0.1;
/// Endpoints are short below this fraction, and are taken for short until some
/// time after it.
constexpr double kShortFraction = 0.95;
constexpr duration kShortTime = std::chrono::seconds(2);
/// Demand below this is negligible, in microseconds of endpoint time per
/// second.
constexpr double kNegligibleDemand = 1;
/// Weight of an organisation that the configuration does not have.
constexpr double kDefaultWeight = 1;

double Seconds(duration length) {
  return std::chrono::duration<double>(length).count();
}

}  // namespace

void fair_shares::demand::Add(const demand& added) {
  urgent += added.urgent;
  other += added.other;
}

fair_shares::demand fair_shares::own_demand::Value(time_point now) const {
  const double left =
      std::exp(-Seconds(now - updated_at) / Seconds(kDemandTime));
  return {.urgent = average.urgent * left, .other = average.other * left};
}

bool fair_shares::received_report::IsValid(time_point now) const {
  return now - received_at < kReportLifetime;
}

void fair_shares::SetWeights(const std::vector<organisation>& organisations) {
  weights_.clear();
  double sum = 0;
  for (const organisation& weighted : organisations) {
    if (weighted.quota.is_limited()) {
      weights_[weighted.id] = weighted.quota.rate_per_s;
      sum += weighted.quota.rate_per_s;
    }
  }
  const double mean = weights_.empty()
                          ? kDefaultWeight
                          : sum / static_cast<double>(weights_.size());
  for (const organisation& weighted : organisations) {
    weights_.try_emplace(weighted.id, mean);
  }
}

void fair_shares::OnRequest(time_point now,
                            const organisation_id& id,
                            bool is_urgent,
                            duration endpoint_time) {
  own_demand& own = own_[id];
  own.average = own.Value(now);
  own.updated_at = now;
  (is_urgent ? own.average.urgent : own.average.other) +=
      static_cast<double>(endpoint_time.count()) / Seconds(kDemandTime);
}

void fair_shares::OnRunnableFraction(time_point now, double fraction) {
  const double before = RunnableFraction(now);
  fraction_ = before + kFractionWeight * (fraction - before);
  fraction_at_ = now;
  if (fraction_ < kShortFraction) {
    short_at_ = now;
  }
}

double fair_shares::RunnableFraction(time_point now) const {
  const double half_lives =
      Seconds(now - fraction_at_) / Seconds(kFractionHalfLife);
  return 1 - (1 - fraction_) * std::exp2(-half_lives);
}

bool fair_shares::IsShort(time_point now) const {
  return short_at_ != time_point() && now - short_at_ < kShortTime;
}

double fair_shares::AdmittedFraction(time_point now,
                                     const organisation_id& id,
                                     bool is_urgent,
                                     double runnable) {
  if (runnable >= 1) {
    return 1;
  }
  Refresh(now);
  const auto found = sum_.find(id);
  if (found == sum_.end()) {
    return 1;
  }
  const demand& asked = found->second;
  const double share = std::min(asked.total(), Level(runnable) * WeightOf(id));
  if (is_urgent) {
    return std::min(1.0, share / std::max(asked.urgent, kNegligibleDemand));
  }
  return std::clamp(
      (share - asked.urgent) / std::max(asked.other, kNegligibleDemand), 0.0,
      1.0);
}

bool fair_shares::IsOverShare(time_point now, const organisation_id& id) {
  const double runnable = RunnableFraction(now);
  if (runnable >= kShortFraction) {
    return false;
  }
  Refresh(now);
  const auto found = sum_.find(id);
  return found != sum_.end() &&
         found->second.total() > Level(runnable) * WeightOf(id);
}

void fair_shares::OnReport(time_point now,
                           const demand_source& source,
                           std::vector<organisation_demand> report) {
  for (organisation_demand& reported : report) {
    reported.urgent = std::max<std::int64_t>(reported.urgent, 0);
    reported.other = std::max<std::int64_t>(reported.other, 0);
  }
  reports_[source] = {.demands = std::move(report), .received_at = now};
}

std::vector<organisation_demand> fair_shares::OwnDemands(
    time_point now,
    std::size_t limit) const {
  demand_table table;
  for (const auto& [id, own] : own_) {
    table.emplace(id, own.Value(now));
  }
  return Greatest(table, limit);
}

std::vector<organisation_demand> fair_shares::ZoneDemands(
    time_point now,
    std::size_t limit) const {
  return Greatest(Sum(now, /*with_zones=*/false), limit);
}

void fair_shares::RemoveIdle(time_point now) {
  std::erase_if(own_, [now](const auto& entry) {
    return entry.second.Value(now).total() < kNegligibleDemand;
  });
  std::erase_if(reports_, [now](const auto& entry) {
    return !entry.second.IsValid(now);
  });
}

void fair_shares::Refresh(time_point now) {
  if (!sum_.empty() && now - summed_at_ < kSumLifetime) {
    return;
  }
  sum_ = Sum(now, /*with_zones=*/true);
  summed_at_ = now;
  totals_.clear();
  std::ranges::transform(
      sum_, std::back_inserter(totals_), [this](const auto& entry) {
        return weighted_demand{.total = entry.second.total(),
                               .weight = WeightOf(entry.first)};
      });
  std::ranges::sort(totals_, {}, &weighted_demand::per_weight);
}

fair_shares::demand_table fair_shares::Sum(time_point now,
                                           bool with_zones) const {
  demand_table table;
  for (const auto& [id, own] : own_) {
    table[id].Add(own.Value(now));
  }
  for (const auto& [source, report] : reports_) {
    const bool counted = with_zones || std::holds_alternative<host_id>(source);
    if (!counted || !report.IsValid(now)) {
      continue;
    }
    for (const organisation_demand& reported : report.demands) {
      table[reported.organisation].Add(
          {.urgent = static_cast<double>(reported.urgent),
           .other = static_cast<double>(reported.other)});
    }
  }
  return table;
}

double fair_shares::Level(double runnable) const {
  double left = 0;
  double sharing = 0;
  for (const weighted_demand& asked : totals_) {
    left += runnable * asked.total;
    sharing += asked.weight;
  }
  for (const weighted_demand& asked : totals_) {
    const double level = left / sharing;
    if (asked.per_weight() > level) {
      return level;
    }
    left -= asked.total;
    sharing -= asked.weight;
  }
  return totals_.empty() ? 0 : totals_.back().per_weight();
}

double fair_shares::WeightOf(const organisation_id& id) const {
  const auto found = weights_.find(id);
  return found == weights_.end() ? kDefaultWeight : found->second;
}

std::vector<organisation_demand> fair_shares::Greatest(
    const demand_table& table,
    std::size_t limit) {
  std::vector<organisation_demand> greatest;
  for (const auto& [id, asked] : table) {
    if (asked.total() >= kNegligibleDemand) {
      greatest.push_back({.organisation = id,
                          .urgent = std::llround(asked.urgent),
                          .other = std::llround(asked.other)});
    }
  }
  const auto total = [](const organisation_demand& d) {
    return d.urgent + d.other;
  };
  if (greatest.size() > limit) {
    std::ranges::nth_element(
        greatest, greatest.begin() + static_cast<std::ptrdiff_t>(limit),
        std::greater(), total);
    greatest.resize(limit);
  }
  return greatest;
}

}  // namespace trefoilmill
