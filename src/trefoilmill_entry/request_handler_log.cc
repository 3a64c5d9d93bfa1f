/// What request_handler logs and counts of requests and their answers.
#include <algorithm>
#include <ranges>
#include <string>
#include <string_view>
#include <variant>

#include "request_handler_impl.h"
#include "trefoilmill/wire/log_messages.h"

namespace trefoilmill::entry {
namespace {

/// Shards that the log line of a late or incomplete answer names at most.
constexpr std::size_t kMaxLoggedTroubles = 4;
/// Services that the log line of a request which is handed over names at most.
constexpr std::size_t kMaxLoggedServices = 4;

/// For example "shelf-3@i-7 budget, shelf-9 no_replica": shard, endpoint tried
/// last, and why it was not sent again.
std::string DescribeTroubles(const request_run& run) {
  std::string text;
  for (const shard_trouble& trouble : run.Troubles(kMaxLoggedTroubles)) {
    text += text.empty() ? "" : ", ";
    text += trouble.service.value();
    if (trouble.endpoint != endpoint_id()) {
      text += "@" + trouble.endpoint.value();
    }
    text += " " + std::string(ToString(trouble.obstacle));
  }
  return text;
}

/// For example "shelf-3@i-7,i-9 shelf-4@i-8": the endpoints that a request was
/// sent to.
std::string DescribeAttempts(const earlier_attempts& attempts) {
  std::string text;
  for (const service_attempts& sent :
       attempts | std::views::take(kMaxLoggedServices)) {
    text += (text.empty() ? "" : " ") + sent.service.value();
    char separator = '@';
    for (const endpoint_id& endpoint : sent.endpoints) {
      text += separator + endpoint.value();
      separator = ',';
    }
  }
  return text;
}

}  // namespace

void request_handler::LogHandOver(const active_request& active,
                                  const earlier_attempts& attempts) {
  const request_run::summary& counts = active.run.counts();
  telemetry_.log->Info(
      log_message::kRequestHandedOver,
      {.request = active.id,
       .detail = DescribeAttempts(attempts),
       .inputs = {{"sends", static_cast<std::int64_t>(counts.sends)},
                  {"hedges", static_cast<std::int64_t>(counts.hedges)},
                  {"retries", static_cast<std::int64_t>(counts.retries)},
                  {"limit", active.run.matched().max_endpoints},
                  {"age_us", (loop_.Now() - active.arrived).count()}}});
}

void request_handler::LogDisconnected(const active_request& active) {
  telemetry_.log->Info(
      "caller disconnected before its answer",
      {.request = active.id,
       .inputs = {
           {"took_us", (loop_.Now() - active.arrived).count()},
           {"in_flight", static_cast<std::int64_t>(active.attempts.size())},
           {"closed_by_this_host",
            active.responder.closed_by_server() ? 1 : 0}}});
}

void request_handler::LogUnanswered() {
  for (const auto& active : active_requests_ | std::views::values) {
    if (active->answered) {
      continue;
    }
    telemetry_.log->Warning(
        "request cut by the stop",
        {.request = active->id,
         .inputs = {{"route", active->run.matched().id.value()},
                    {"took_us", (loop_.Now() - active->arrived).count()},
                    {"in_flight",
                     static_cast<std::int64_t>(active->attempts.size())}}});
  }
}

void request_handler::OnAnswerLost(const request_id& id, lost_response lost) {
  telemetry_.meter->Increment(metric::kAnswersLost);
  telemetry_.log->Info("answer lost with the caller's connection",
                       {.request = id,
                        .inputs = {{"unsent_bytes", static_cast<std::int64_t>(
                                                        lost.unsent_bytes)}}});
}

void request_handler::CountForOrganisation(const organisation_id& id,
                                           std::string_view outcome) {
  if (!id.value().empty()) {
    telemetry_.meter->Increment(
        metric::kOrganisationRequests,
        {organisation_labels_.CountRequest(id), outcome});
  }
}

void request_handler::CountCrossZoneBytes(
    const endpoint_id& id,
    std::string_view what,
    const std::vector<http_header>& headers,
    std::size_t other_bytes) {
  const auto* entry = shared_state_.registry.Find(id);
  if (entry == nullptr || entry->record.zone == shared_state_.selector.zone()) {
    return;
  }
  const std::size_t bytes = HeaderBytes(headers) + other_bytes;
  telemetry_.meter->Increment(metric::kCrossZoneBytes, {what},
                              static_cast<double>(bytes));
}

void request_handler::RecordAnswer(const active_request& active,
                                   const caller_answer& answer) {
  struct outcome_name {
    std::string_view operator()(const gathered_answer& a) const {
      return a.missing == 0 ? "whole" : "partial";
    }
    std::string_view operator()(const relayed_answer&) const {
      return "relayed";
    }
    std::string_view operator()(const refused_answer&) const {
      return "refused";
    }
    std::string_view operator()(const failed_answer&) const { return "failed"; }
  };
  const std::string_view outcome = std::visit(outcome_name{}, answer);
  const duration took = loop_.Now() - active.arrived;
  telemetry_.meter->Increment(metric::kCallerRequests, {outcome});
  telemetry_.meter->Observe(metric::kCallerRequestDuration, took, {outcome});
  CountForOrganisation(active.organisation, outcome);
  const auto& counts = active.run.counts();
  telemetry_.meter->Increment(metric::kSendBudgetRefusals, {},
                              static_cast<double>(counts.budget_refusals));
  if (const auto* refused = std::get_if<refused_answer>(&answer)) {
    telemetry_.meter->Increment(metric::kRefusals,
                                {ToString(refused->reason), "not_run"});
  }
  const bool complete = outcome == "whole" || outcome == "relayed";
  if (complete && took <= active.run.matched().objective) {
    return;
  }
  const bool may_have_run = !std::holds_alternative<refused_answer>(answer);
  const auto number = [](std::size_t n) {
    return static_cast<std::int64_t>(n);
  };
  telemetry_.log->Info(
      "request ended late or incomplete",
      {.request = active.id,
       .reason = counts.last_failure,
       .outcome = may_have_run ? verdict::kMayHaveRun : verdict::kNotRun,
       .detail = std::string(outcome),
       .inputs = {{"route", active.run.matched().id.value()},
                  {"took_us", took.count()},
                  {"objective_us", active.run.matched().objective.count()},
                  {"shards", number(counts.shards)},
                  {"answered", number(counts.answered)},
                  {"without_endpoint", number(counts.without_endpoint)},
                  {"sends", number(counts.sends)},
                  {"hedges", number(counts.hedges)},
                  {"retries", number(counts.retries)},
                  {"budget_refusals", number(counts.budget_refusals)},
                  {"hosts_warned", static_cast<std::int64_t>(counts.warned)},
                  {"over_share", std::int64_t{shared_state_.shares.IsOverShare(
                                     loop_.Now(), active.organisation)}},
                  {"troubles", DescribeTroubles(active.run)}}});
}

}  // namespace trefoilmill::entry
