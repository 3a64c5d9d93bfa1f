#include "query_sender.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace trefoilmill {
namespace {

/// Time reserved before the deadline for the last reply to arrive.
constexpr duration kReplyMargin = std::chrono::milliseconds(10);
/// With little time left, the margin is this fraction (1/10) of it instead.
constexpr int kReplyMarginDivisor = 10;

}  // namespace

duration RemainingAfterReplyMargin(time_point now, time_point deadline) {
  const duration left = deadline - now;
  return left - std::min(kReplyMargin, left / kReplyMarginDivisor);
}

query_sender::query_sender(time_point now,
                           time_point deadline,
                           const caller_query& query,
                           entry_context& context,
                           query_shards& shards)
    : now_(now),
      deadline_(deadline),
      query_(query),
      context_(context),
      shards_(shards) {}

bool query_sender::Send(std::size_t index, attempt_kind kind) {
  return SendToReplica(index, kind, std::nullopt);
}

bool query_sender::SendHedge(std::size_t index, attempt_id original) {
  return SendToReplica(index, attempt_kind::kHedge, original);
}

bool query_sender::SendConcurrentRetry(std::size_t index, attempt_id original) {
  return SendToReplica(index, attempt_kind::kRetry, original);
}

bool query_sender::SendToReplica(std::size_t index,
                                 attempt_kind kind,
                                 std::optional<attempt_id> hedge_of) {
  const shard_progress& shard = shards_.shards()[index];
  std::vector<endpoint_id> excluded = shard.tried;
  excluded.insert(excluded.end(), shard.without_version.begin(),
                  shard.without_version.end());
  std::optional<endpoint_id> fallback;
  for (;;) {
    auto endpoint =
        ChooseReplica(now_, context_.endpoints, shard.layout->replicas,
                      excluded, kind, context_.random);
    // If no other replica is left, use one with an unresponsive owner.
    const bool use_fallback = !endpoint;
    if (use_fallback)
      endpoint = std::exchange(fallback, std::nullopt);
    if (!endpoint)
      return false;
    const auto owner = HostFor(context_.route, *endpoint);
    if (!owner) {
      excluded.push_back(*endpoint);
      continue;
    }
    const bool skip_owner = !use_fallback && !messages_.contains(*owner) &&
                            context_.owners.IsUnresponsive(now_, *owner);
    if (skip_owner) {
      excluded.push_back(*endpoint);
      fallback = endpoint;
      continue;
    }
    const attempt_id id = NewAttemptId();
    MessageFor(*owner).shards.push_back({.attempt = id,
                                         .endpoint = *endpoint,
                                         .shard = shard.ref,
                                         .hedge_of = hedge_of});
    shards_.AddAttempt(id, {.shard = index,
                            .endpoint = *endpoint,
                            .owner = *owner,
                            .sent_at = now_,
                            .kind = kind});
    context_.endpoints.OnSent(*endpoint);
    CountAttempt(kind);
    return true;
  }
}

attempt_id query_sender::NewAttemptId() {
  for (;;) {
    const attempt_id id(context_.random());
    if (shards_.FindAttempt(id) == nullptr && !shards_.HasEnded(id))
      return id;
  }
}

shard_query_message& query_sender::MessageFor(const host_id& owner) {
  const auto [entry, is_new] = messages_.try_emplace(owner);
  shard_query_message& message = entry->second;
  if (is_new) {
    context_.owners.OnSent(now_, owner);
    message.request = *query_.request;
    message.version = shards_.version();
    message.remaining = RemainingAfterReplyMargin(now_, deadline_);
    message.priority = query_.priority;
    message.idempotent = query_.idempotent;
    message.body = query_.body;
  }
  return message;
}

void query_sender::CountAttempt(attempt_kind kind) {
  switch (kind) {
    case attempt_kind::kFirstAttempt:
      ++context_.counters.first_attempts;
      return;
    case attempt_kind::kRetry:
      ++context_.counters.retries;
      return;
    case attempt_kind::kHedge:
      ++context_.counters.hedges;
      return;
  }
}

void query_sender::CancelAttempt(attempt_id attempt, bool only_queued) {
  const shard_attempt* found = shards_.FindAttempt(attempt);
  if (found == nullptr)
    return;
  shard_cancel_message& message = cancels_[{found->owner, only_queued}];
  message.request = *query_.request;
  message.only_queued = only_queued;
  message.attempts.push_back(attempt);
}

query_actions query_sender::TakeActions() {
  query_actions actions;
  for (auto& [owner, message] : messages_) {
    actions.emplace_back(send_shards{owner, std::move(message)});
  }
  for (auto& [key, message] : cancels_) {
    actions.emplace_back(cancel_shards{key.first, std::move(message)});
  }
  messages_.clear();
  cancels_.clear();
  return actions;
}

}  // namespace trefoilmill
