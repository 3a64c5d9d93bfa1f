#include "trefoilmilld/entry_task.h"

#include <xxhash.h>

#include <algorithm>
#include <type_traits>
#include <utility>
#include <vector>

#include "trefoilmill/wire/caller_codec.h"

namespace trefoilmill {
namespace {

/// Separates the entry's random choices from the other deciders'.
constexpr std::uint64_t kSeedOffset = 3;

/// Equal for resubmissions of one request, different for a key used again by
/// mistake.
std::uint64_t DigestOf(const caller_query& query) {
  caller_query essence;
  essence.all_services = query.all_services;
  essence.services = query.services;
  essence.body = query.body;
  const std::string text = WriteCallerQuery(essence);
  return XXH64(text.data(), text.size(), 0);
}

failure AlreadyRunning() {
  return {.outcome = verdict::kNotRun,
          .reason = reason_code::kBadRequest,
          .detail = "a query with this request_id is in progress"};
}

failure NotReady() {
  return {.outcome = verdict::kNotRun,
          .reason = reason_code::kNotReady,
          .detail = "no configuration is in force yet",
          .retry_after = std::chrono::milliseconds(500)};
}

std::string_view KindOf(const query_end& end) {
  struct naming {
    std::string_view operator()(const query_answer&) const {
      return "query_answered";
    }
    std::string_view operator()(const replayed_answer&) const {
      return "query_replayed";
    }
    std::string_view operator()(const query_refusal&) const {
      return "query_refused";
    }
  };
  return std::visit(naming{}, end);
}

std::string_view OutcomeOf(const query_end& end) {
  if (std::holds_alternative<query_refusal>(end)) {
    return "refused";
  }
  const auto* answer = std::get_if<query_answer>(&end);
  return answer == nullptr || answer->missing.empty() ? "whole" : "partial";
}

std::string DetailOf(const query_end& end) {
  struct naming {
    std::string operator()(const query_answer& answer) const {
      return "snapshot " + std::to_string(answer.snapshot.value()) + ", " +
             std::to_string(answer.results.size()) + " of " +
             std::to_string(answer.total) + " shards";
    }
    std::string operator()(const replayed_answer&) const { return {}; }
    std::string operator()(const query_refusal& refusal) const {
      return std::string(ToString(refusal.error.outcome)) + ", " +
             std::string(ToString(refusal.error.reason)) + ": " +
             refusal.error.detail;
    }
  };
  return std::visit(naming{}, end);
}

}  // namespace

entry_task::entry_task(event_loop& loop,
                       const daemon_settings& settings,
                       const fleet_task& fleet,
                       claim_task& claims,
                       telemetry& trace,
                       deliver to_owner)
    : loop_(loop),
      self_(settings.host),
      fleet_(fleet),
      claims_(claims),
      trace_(trace),
      to_owner_(std::move(to_owner)),
      context_(entry_context::Create(std::make_shared<const deployment>(),
                                     std::make_shared<const snapshot_catalog>(),
                                     direct_routing{.self = settings.host},
                                     settings.seed + kSeedOffset)) {}

void entry_task::OnDocuments(const documents_in_force& documents) {
  context_.endpoints.SetZoneStates(documents.zones);
  if (documents.catalog != nullptr) {
    context_.catalog = documents.catalog;
  }
  if (documents.config == nullptr || documents.config == context_.config) {
    return;
  }
  context_.Configure(documents.config);
  claims_.SetConfig(documents.config->scheduling);
  if (documents.config->scheduling.mode ==
      scheduling_config::routing::kDirect) {
    context_.route = direct_routing{.self = self_};
  } else {
    context_.route =
        owner_routing{.owner_of = [this](const endpoint_id& endpoint) {
          return fleet_.OwnerOf(endpoint);
        }};
  }
  if (admission_.has_value()) {
    admission_->Configure(*documents.config);
  } else {
    admission_.emplace(*documents.config);
  }
}

request_id entry_task::MakeRequestId() {
  return request_id(self_.value() + "-" +
                    std::to_string(loop_.SystemTimeMicros()) + "-" +
                    std::to_string(++last_query_));
}

request_id entry_task::Submit(caller_query query, on_end done) {
  const request_id id = query.request.value_or(MakeRequestId());
  query.request = id;
  if (!ready()) {
    done(query_refusal{.request = id, .error = NotReady()});
    return id;
  }
  auto active = std::make_unique<active_query>();
  active->arrived = loop_.Now();
  active->done = std::move(done);
  if (queries_.contains(id)) {
    active->done(query_refusal{.request = id, .error = AlreadyRunning()});
    return id;
  }
  queries_.emplace(id, std::move(active));
  Begin(id, std::move(query));
  return id;
}

void entry_task::Begin(const request_id& id, caller_query query) {
  const time_point now = loop_.Now();
  auto run = query_run::Create(now, query, context_);
  if (!run.has_value()) {
    End(id, query_refusal{.request = id, .error = std::move(run).error()});
    return;
  }
  auto ticket = admission_->Admit(now,
                                  {.caller = query.caller,
                                   .services = run.value().query().services,
                                   .priority = query.priority,
                                   .deadline = query.deadline},
                                  context_.latencies);
  if (!ticket.has_value()) {
    End(id, query_refusal{.request = id, .error = std::move(ticket).error()});
    return;
  }
  active_query& active = *queries_.at(id);
  active.ticket = std::move(ticket).value();
  active.run.emplace(std::move(run).value());
  if (query.idempotent || !query.key.has_value()) {
    Perform(id, active.run->Start(now));
    return;
  }
  claims_.Claim(*query.key, DigestOf(query), now + query.deadline,
                [this, id, query](claim_verdict said) {
                  BeginClaimed(id, query, std::move(said));
                });
}

void entry_task::BeginClaimed(const request_id& id,
                              const caller_query& /*query*/,
                              claim_verdict said) {
  const auto found = queries_.find(id);
  if (auto* granted = std::get_if<claim_granted>(&said); granted != nullptr) {
    if (found == queries_.end()) {
      // The caller withdrew it while the claim was on its way.
      claims_.Finish(granted->claim, {.outcome = verdict::kNotRun,
                                      .reason = reason_code::kCancelled});
      return;
    }
    found->second->claim = granted->claim;
    Perform(id, found->second->run->Start(loop_.Now()));
    return;
  }
  if (found == queries_.end()) {
    return;
  }
  if (auto* replayed = std::get_if<claim_replayed>(&said);
      replayed != nullptr) {
    const claim_outcome& recorded = replayed->recorded;
    if (recorded.outcome == verdict::kRan && !recorded.body.empty()) {
      End(id, replayed_answer{.request = id, .body = recorded.body});
      return;
    }
    End(id, query_refusal{.request = id,
                          .error = {.outcome = recorded.outcome,
                                    .reason = recorded.reason,
                                    .detail = "this key's request has ended "
                                              "before; its answer is not "
                                              "kept"}});
    return;
  }
  End(id,
      query_refusal{.request = id, .error = std::get<claim_refused>(said).why});
}

bool entry_task::Cancel(const request_id& request) {
  const auto found = queries_.find(request);
  if (found == queries_.end()) {
    return false;
  }
  active_query& active = *found->second;
  const bool started =
      active.claim.has_value() ||
      (active.run.has_value() && active.run->query().idempotent);
  if (!started) {
    // Still claiming its key: nothing was sent, and BeginClaimed() sees that
    // the query is gone.
    End(request, query_refusal{.request = request,
                               .error = {.outcome = verdict::kNotRun,
                                         .reason = reason_code::kCancelled,
                                         .detail = "withdrawn"}});
    return true;
  }
  Perform(request, active.run->Cancel(loop_.Now()));
  return true;
}

void entry_task::OnReplies(const host_id& owner,
                           const shard_reply_message& message) {
  context_.owners.OnReceived(loop_.Now(), owner);
  GiveReplies(message);
}

void entry_task::GiveReplies(const shard_reply_message& message) {
  const time_point now = loop_.Now();
  std::ranges::for_each(message.loads, [this, now](const auto& load) {
    context_.endpoints.OnLoadReport(now, load);
  });
  const auto found = queries_.find(message.request);
  if (found == queries_.end() || !found->second->run.has_value()) {
    return;
  }
  Perform(message.request, found->second->run->OnReplies(now, message.replies));
}

void entry_task::OnHedgeStarted(const host_id& owner,
                                const hedge_started_message& message) {
  context_.owners.OnReceived(loop_.Now(), owner);
  const auto found = queries_.find(message.request);
  if (found == queries_.end() || !found->second->run.has_value()) {
    return;
  }
  Perform(message.request,
          found->second->run->OnHedgeStarted(loop_.Now(), message.attempt));
}

void entry_task::OnHostLost(const host_id& host) {
  std::vector<request_id> running;
  for (const auto& [id, active] : queries_) {
    running.push_back(id);
  }
  for (const request_id& id : running) {
    const auto found = queries_.find(id);
    if (found != queries_.end() && found->second->run.has_value()) {
      Perform(id, found->second->run->OnHostLost(loop_.Now(), host));
    }
  }
}

void entry_task::Perform(const request_id& id, query_actions actions) {
  for (auto& action : actions) {
    std::visit([this, &id](auto& a) { Do(id, a); }, action);
  }
}

void entry_task::Do(const request_id& id, send_shards& action) {
  if (!to_owner_(action.owner, action.message)) {
    RefuseUnsent(id, action.message);
  }
}

/// Answers from the loop, as the run is in the middle of an event.
void entry_task::RefuseUnsent(const request_id& id,
                              const shard_query_message& message) {
  shard_reply_message refusals{.request = id};
  std::ranges::transform(message.shards, std::back_inserter(refusals.replies),
                         [](const shard_request& shard) {
                           return shard_reply{.attempt = shard.attempt,
                                              .outcome = verdict::kNotRun,
                                              .reason = reason_code::kHostLost};
                         });
  loop_.Post([this, refusals = std::move(refusals)] { GiveReplies(refusals); });
}

void entry_task::Do(const request_id& /*id*/, cancel_shards& action) {
  to_owner_(action.owner, std::move(action.message));
}

void entry_task::Do(const request_id& id, finish_answer& action) {
  End(id, std::move(action.answer));
}

void entry_task::Do(const request_id& id, finish_refusal& action) {
  End(id, query_refusal{.request = id, .error = std::move(action.error)});
}

void entry_task::Do(const request_id& id, wake_query_at& action) {
  const auto found = queries_.find(id);
  if (found == queries_.end()) {
    return;
  }
  found->second->wake = loop_.RunAfter(action.at - loop_.Now(), [this, id] {
    const auto active = queries_.find(id);
    if (active != queries_.end() && active->second->run.has_value()) {
      Perform(id, active->second->run->Tick(loop_.Now()));
    }
  });
}

void entry_task::End(const request_id& id, const query_end& end) {
  auto node = queries_.extract(id);
  if (node.empty()) {
    return;
  }
  active_query& query = *node.mapped();
  Trace(query, end);
  if (query.ticket.has_value()) {
    admission_->Release(
        loop_.Now(), *query.ticket,
        {.overloaded = query.run.has_value() ? query.run->OverloadedServices()
                                             : std::vector<service_id>()});
  }
  if (query.claim.has_value()) {
    EndClaim(*query.claim, end);
  }
  query.done(end);
  // The run may be in the middle of the event that ended it.
  loop_.Post(
      [ended = std::shared_ptr<active_query>(std::move(node.mapped()))] {});
}

void entry_task::EndClaim(claim_id claim, const query_end& end) {
  if (const auto* answer = std::get_if<query_answer>(&end); answer != nullptr) {
    claims_.Finish(claim, {.outcome = verdict::kRan,
                           .reason = reason_code::kNone,
                           .body = WriteAnswer(*answer)});
    return;
  }
  if (const auto* refusal = std::get_if<query_refusal>(&end);
      refusal != nullptr) {
    claims_.Finish(claim, {.outcome = refusal->error.outcome,
                           .reason = refusal->error.reason});
  }
}

void entry_task::Trace(const active_query& query, const query_end& end) {
  const request_id id =
      std::visit([](const auto& e) { return e.request; }, end);
  trace_.Record({.kind = std::string(KindOf(end)),
                 .request = id,
                 .length = loop_.Now() - query.arrived,
                 .detail = DetailOf(end)},
                log_level::kDebug);
  CountEnd(query, end);
}

void entry_task::CountEnd(const active_query& query, const query_end& end) {
  metrics& values = trace_.values();
  const std::string_view outcome = OutcomeOf(end);
  values.Increment(metric::kQueries, {outcome});
  values.Observe(metric::kQueryDuration, loop_.Now() - query.arrived,
                 {outcome});
  if (const auto* refusal = std::get_if<query_refusal>(&end)) {
    values.Increment(metric::kRefusals, {ToString(refusal->error.reason),
                                         ToString(refusal->error.outcome)});
  }
  if (const auto* answer = std::get_if<query_answer>(&end)) {
    values.Observe(
        metric::kQueryCoverage,
        static_cast<double>(answer->results.size()) /
            static_cast<double>(std::max<std::size_t>(answer->total, 1)));
    for (const missing_shard& missing : answer->missing) {
      values.Increment(metric::kMissingShards, {ToString(missing.reason)});
    }
  }
}

}  // namespace trefoilmill
