#include "deployment_sections.h"

#include <utility>

namespace trefoilmill {
namespace {

using enum presence;
using std::chrono::hours;
using std::chrono::milliseconds;
using routing = scheduling_config::routing;

constexpr time_range kDeadlines = {milliseconds(1), milliseconds(600000)};
constexpr time_range kProbeTimes = {milliseconds(10), milliseconds(60000)};
constexpr time_range kSlacks = {milliseconds(0), milliseconds(60000)};
constexpr time_range kClaimTimes = {milliseconds(60000), hours(24 * 30)};
constexpr integer_range kBodyBytes = {1, 1 << 24};
constexpr integer_range kQueries = {1, 1000000};
constexpr integer_range kQueues = {1, 100000};
constexpr integer_range kClaims = {0, 100000};
constexpr integer_range kIndirectProbes = {0, 20};
constexpr integer_range kEntryCounts = {1, 100};
constexpr number_range kShares = {0, 1};
constexpr number_range kQuantiles = {0.5, 0.9999};
constexpr number_range kHoldQuantiles = {0, 0.95};

const std::vector<choice<answer_policy>>& Policies() {
  static const std::vector<choice<answer_policy>> policies = {
      {"coverage_first", answer_policy::kCoverageFirst},
      {"latency_first", answer_policy::kLatencyFirst}};
  return policies;
}

const std::vector<choice<routing>>& Routings() {
  static const std::vector<choice<routing>> routings = {
      {"owner", routing::kOwner}, {"direct", routing::kDirect}};
  return routings;
}

template <class value>
std::string NameOf(const std::vector<choice<value>>& choices, value wanted) {
  for (const auto& one : choices) {
    if (one.means == wanted) {
      return one.name;
    }
  }
  return "";
}

void ReadQuery(object_reader& reader, query_config& out) {
  reader.Choice("policy", Policies(), kOptional, out.policy);
  reader.Milliseconds("default_deadline_ms", kDeadlines, kOptional,
                      out.default_deadline);
  reader.Milliseconds("max_deadline_ms", kDeadlines, kOptional,
                      out.max_deadline);
  reader.Milliseconds("latency_target_ms", kDeadlines, kOptional,
                      out.latency_target);
  reader.Number("min_coverage", kShares, kOptional, out.min_coverage);
  reader.Integer("max_body_bytes", kBodyBytes, kOptional, out.max_body_bytes);
  if (out.default_deadline > out.max_deadline) {
    reader.AddError("default_deadline_ms",
                    "must not exceed \"max_deadline_ms\"");
  }
  if (out.latency_target > out.max_deadline) {
    reader.AddError("latency_target_ms", "must not exceed \"max_deadline_ms\"");
  }
}

void ReadScheduling(object_reader& reader, scheduling_config& out) {
  reader.Choice("routing", Routings(), kOptional, out.mode);
  reader.Flag("hedging", kOptional, out.hedging);
  reader.Number("hedge_budget", kShares, kOptional, out.hedge_budget);
  reader.Number("retry_budget", kShares, kOptional, out.retry_budget);
  reader.Number("hedge_quantile", kQuantiles, kOptional, out.hedge_quantile);
  reader.Number("reply_hold_quantile", kHoldQuantiles, kOptional,
                out.reply_hold_quantile);
  reader.Integer("max_queries", kQueries, kOptional, out.max_queries);
  reader.Integer("max_queue_per_endpoint", kQueues, kOptional,
                 out.max_queue_per_endpoint);
  reader.Number("max_ejected_share", kShares, kOptional, out.max_ejected_share);
  reader.Integer("max_claims_per_second", kClaims, kOptional,
                 out.max_claims_per_second);
  reader.Milliseconds("claim_ttl_ms", kClaimTimes, kOptional, out.claim_ttl);
}

void ReadMembership(object_reader& reader, membership_config& out) {
  reader.Milliseconds("probe_interval_ms", kProbeTimes, kOptional,
                      out.probe_interval);
  reader.Milliseconds("probe_timeout_ms", kProbeTimes, kOptional,
                      out.probe_timeout);
  reader.Milliseconds("suspicion_timeout_ms", kProbeTimes, kOptional,
                      out.suspicion_timeout);
  reader.Integer("indirect_probes", kIndirectProbes, kOptional,
                 out.indirect_probes);
  reader.Milliseconds("clock_slack_ms", kSlacks, kOptional, out.clock_slack);
  if (out.probe_timeout >= out.probe_interval) {
    reader.AddError("probe_timeout_ms", "must be below \"probe_interval_ms\"");
  }
}

void ReadEntries(object_reader& reader, entries_config& out) {
  reader.Milliseconds("ttl_ms", kDeadlines, kOptional, out.ttl);
  reader.Integer("count", kEntryCounts, kOptional, out.count);
}

template <class section>
void ReadSection(object_reader& shared_template,
                 const std::string& key,
                 void (*read)(object_reader&, section&),
                 section& out) {
  const json* member = shared_template.Member(key, kOptional);
  if (member == nullptr) {
    return;
  }
  object_reader reader(*member, shared_template.PathOf(key),
                       shared_template.errors());
  read(reader, out);
  reader.Finish();
}

json QueryJson(const query_config& value) {
  return {{"policy", NameOf(Policies(), value.policy)},
          {"default_deadline_ms", ToMilliseconds(value.default_deadline)},
          {"max_deadline_ms", ToMilliseconds(value.max_deadline)},
          {"latency_target_ms", ToMilliseconds(value.latency_target)},
          {"min_coverage", value.min_coverage},
          {"max_body_bytes", value.max_body_bytes}};
}

json SchedulingJson(const scheduling_config& value) {
  return {{"routing", NameOf(Routings(), value.mode)},
          {"hedging", value.hedging},
          {"hedge_budget", value.hedge_budget},
          {"retry_budget", value.retry_budget},
          {"hedge_quantile", value.hedge_quantile},
          {"reply_hold_quantile", value.reply_hold_quantile},
          {"max_queries", value.max_queries},
          {"max_queue_per_endpoint", value.max_queue_per_endpoint},
          {"max_ejected_share", value.max_ejected_share},
          {"max_claims_per_second", value.max_claims_per_second},
          {"claim_ttl_ms", ToMilliseconds(value.claim_ttl)}};
}

json MembershipJson(const membership_config& value) {
  return {{"probe_interval_ms", ToMilliseconds(value.probe_interval)},
          {"probe_timeout_ms", ToMilliseconds(value.probe_timeout)},
          {"suspicion_timeout_ms", ToMilliseconds(value.suspicion_timeout)},
          {"indirect_probes", value.indirect_probes},
          {"clock_slack_ms", ToMilliseconds(value.clock_slack)}};
}

}  // namespace

void ReadSections(object_reader& shared_template, deployment& out) {
  ReadSection(shared_template, "query", &ReadQuery, out.query);
  ReadSection(shared_template, "scheduling", &ReadScheduling, out.scheduling);
  ReadSection(shared_template, "membership", &ReadMembership, out.membership);
  ReadSection(shared_template, "entries", &ReadEntries, out.entries);
}

json SectionsJson(const deployment& value) {
  return {{"query", QueryJson(value.query)},
          {"scheduling", SchedulingJson(value.scheduling)},
          {"membership", MembershipJson(value.membership)},
          {"entries",
           {{"ttl_ms", ToMilliseconds(value.entries.ttl)},
            {"count", value.entries.count}}}};
}

}  // namespace trefoilmill
