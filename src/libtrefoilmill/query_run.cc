#include "trefoilmill/query_run.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "query_state.h"

namespace trefoilmill {
namespace {

failure NotRun(reason_code reason, std::string detail) {
  return {.outcome = verdict::kNotRun,
          .reason = reason,
          .detail = std::move(detail),
          .retry_after = std::nullopt};
}

/// Services of the deployment that occur in at least one index version.
std::vector<service_id> AllServices(const entry_context& context) {
  std::vector<service_id> services;
  for (const auto& [service, settings] : context.config->services) {
    const bool indexed = std::ranges::any_of(
        context.catalog->versions, [&](const snapshot_layout& layout) {
          return layout.services.contains(service);
        });
    if (indexed)
      services.push_back(service);
  }
  return services;
}

result<void> Check(const caller_query& query, const entry_context& context) {
  if (!query.request) {
    return NotRun(reason_code::kBadRequest, "query has no request id");
  }
  if (query.services.empty()) {
    return NotRun(reason_code::kBadRequest, "query names no service");
  }
  if (query.deadline <= duration{0}) {
    return NotRun(reason_code::kDeadlineExceeded,
                  "query deadline has already passed");
  }
  for (const service_id& service : query.services) {
    if (!context.config->services.contains(service)) {
      return NotRun(reason_code::kUnknownService,
                    "unknown service " + service.value());
    }
  }
  const std::set<service_id> distinct(query.services.begin(),
                                      query.services.end());
  if (distinct.size() != query.services.size()) {
    return NotRun(reason_code::kBadRequest,
                  "query names a service more than once");
  }
  return outcome::success();
}

}  // namespace

query_run::query_run(std::unique_ptr<state> run) : state_(std::move(run)) {}
query_run::~query_run() = default;
query_run::query_run(query_run&&) noexcept = default;
query_run& query_run::operator=(query_run&&) noexcept = default;

result<query_run> query_run::Create(time_point now,
                                    caller_query query,
                                    entry_context& context) {
  if (!context.config || !context.catalog) {
    return NotRun(reason_code::kNotReady, "no configuration is in force yet");
  }
  if (query.all_services)
    query.services = AllServices(context);
  if (query.all_services && query.services.empty()) {
    return NotRun(reason_code::kNoSnapshot, "no index version is published");
  }
  auto checked = Check(query, context);
  if (!checked)
    return std::move(checked).error();
  std::ranges::sort(query.services);
  return query_run(std::make_unique<state>(now, std::move(query), context));
}

query_actions query_run::Start(time_point now) {
  return state_->Start(now);
}

query_actions query_run::OnReplies(time_point now,
                                   std::vector<shard_reply> replies) {
  return state_->OnReplies(now, std::move(replies));
}

query_actions query_run::OnHedgeStarted(time_point now, attempt_id attempt) {
  return state_->OnHedgeStarted(now, attempt);
}

query_actions query_run::OnHostLost(time_point now, const host_id& host) {
  return state_->OnHostLost(now, host);
}

query_actions query_run::Cancel(time_point now) {
  return state_->Cancel(now);
}

query_actions query_run::Tick(time_point now) {
  return state_->Tick(now);
}

bool query_run::finished() const {
  return state_->finished();
}

const caller_query& query_run::query() const {
  return state_->query();
}

std::vector<service_id> query_run::OverloadedServices() const {
  return state_->overloaded_services();
}

}  // namespace trefoilmill
