#include "trefoilmilld/endpoint_port.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "trefoilmill/wire/endpoint_codec.h"

namespace trefoilmill {
namespace {

constexpr duration kConnectTimeout = std::chrono::milliseconds(500);
/// Larger replies count as malformed.
constexpr std::size_t kMaxReplyBytes = 1 << 20;

search_request ToSearchRequest(const shard_task& task, duration remaining) {
  return {.attempt = task.attempt,
          .version = task.version,
          .shard = task.shard,
          .deadline = remaining,
          .idempotent = task.idempotent,
          .body = *task.body};
}

reply_kind KindOfFailure(http_failure failed) {
  switch (failed) {
    case http_failure::kNotConnected:
      return reply_kind::kNotSent;
    case http_failure::kTimeout:
      return reply_kind::kTimeout;
    case http_failure::kConnectionLost:
      return reply_kind::kReset;
    case http_failure::kMalformed:
      return reply_kind::kMalformed;
  }
  return reply_kind::kMalformed;
}

std::string_view NameOf(reply_kind kind) {
  switch (kind) {
    case reply_kind::kAnswer:
      return "answer";
    case reply_kind::kShed:
      return "shed";
    case reply_kind::kDraining:
      return "draining";
    case reply_kind::kCancelled:
      return "cancelled";
    case reply_kind::kDeadlineExceeded:
      return "deadline_exceeded";
    case reply_kind::kVersionGone:
      return "version_gone";
    case reply_kind::kError:
      return "error";
    case reply_kind::kMalformed:
      return "malformed";
    case reply_kind::kMismatch:
      return "mismatch";
    case reply_kind::kTimeout:
      return "timeout";
    case reply_kind::kReset:
      return "reset";
    case reply_kind::kNotSent:
      return "not_sent";
  }
  return "unknown";
}

endpoint_reply ToEndpointReply(const http_result& exchange,
                               const search_request& asked) {
  if (exchange.failure_reason.has_value()) {
    return {.kind = KindOfFailure(*exchange.failure_reason)};
  }
  return ParseSearchReply(exchange.response->status, exchange.response->body,
                          asked);
}

cancel_reply ToCancelReply(const http_result& exchange) {
  if (!exchange.response.has_value()) {
    return cancel_reply::kFailed;
  }
  return ParseAttemptCancelReply(exchange.response->status,
                                 exchange.response->body);
}

std::optional<health_report> ToHealthReport(const http_result& exchange) {
  if (!exchange.response.has_value()) {
    return std::nullopt;
  }
  const auto report =
      ParseHealthReport(exchange.response->status, exchange.response->body);
  if (!report.has_value()) {
    return std::nullopt;
  }
  return report.value();
}

}  // namespace

endpoint_port::endpoint_port(event_loop& loop,
                             endpoint_scheduler scheduler,
                             std::string local_ip,
                             const endpoint_port_events& events,
                             metrics& values)
    : loop_(loop),
      scheduler_(std::move(scheduler)),
      local_ip_(std::move(local_ip)),
      events_(events),
      values_(values) {}

endpoint_port::~endpoint_port() = default;

void endpoint_port::Submit(shard_task task) {
  Perform(scheduler_.Submit(loop_.Now(), std::move(task)));
}

void endpoint_port::Cancel(attempt_id attempt, cancel_scope scope) {
  Perform(scheduler_.Cancel(loop_.Now(), attempt, scope));
}

void endpoint_port::SetStanding(ownership_standing standing) {
  Perform(scheduler_.SetStanding(loop_.Now(), standing));
}

void endpoint_port::SetServingState(serving_state serving) {
  Perform(scheduler_.SetServingState(loop_.Now(), serving));
}

void endpoint_port::SetLimits(const endpoint_limits& limits,
                              const endpoint_scheduler_options& options) {
  Perform(scheduler_.SetLimits(loop_.Now(), limits));
  Perform(scheduler_.SetOptions(loop_.Now(), options));
}

void endpoint_port::SeedAllowance(const instance_id& instance, int allowance) {
  Perform(scheduler_.SeedAllowance(loop_.Now(), instance, allowance));
}

void endpoint_port::SetReplicaLatency(duration latency) {
  Perform(scheduler_.SetReplicaLatency(loop_.Now(), latency));
}

void endpoint_port::Perform(const scheduler_actions& actions) {
  for (const auto& action : actions) {
    std::visit([this](const auto& a) { Do(a); }, action);
  }
}

void endpoint_port::Do(const open_connection& action) {
  values_.Increment(metric::kConnectionsOpened);
  const connection_id id = action.connection;
  auto opened = http_connection::Create(loop_, scheduler_.config().address,
                                        {.connect_timeout = kConnectTimeout,
                                         .max_body_bytes = kMaxReplyBytes,
                                         .local_ip = local_ip_});
  http_connection* connection = opened.get();
  connections_.emplace(id, std::move(opened));
  connection->OnClosed([this, id] { OnClosed(id); });
  connection->Connect([this, id](bool connected) { OnOpened(id, connected); });
}

void endpoint_port::Do(const close_connection& action) {
  Discard(action.connection);
}

void endpoint_port::Do(const send_request& action) {
  http_connection* connection = Find(action.connection);
  const shard_task* task = scheduler_.task(action.attempt);
  if (connection == nullptr || task == nullptr) {
    return;
  }
  const http_request request{
      .method = "POST",
      .path = "/v1/search",
      .body = WriteSearchRequest(ToSearchRequest(*task, action.remaining))};
  connection->Send(
      request, action.timeout,
      [this, id = action.connection, asked = *task](
          const http_result& exchange) { OnSearchReply(id, asked, exchange); });
}

void endpoint_port::Do(const send_cancel& action) {
  http_connection* connection = Find(action.connection);
  if (connection == nullptr) {
    return;
  }
  const http_request request{.method = "POST",
                             .path = "/v1/cancel",
                             .body = WriteAttemptCancel(action.attempt)};
  connection->Send(request, action.timeout,
                   [this, id = action.connection](const http_result& exchange) {
                     if (Find(id) == nullptr) {
                       return;
                     }
                     const cancel_reply reply = ToCancelReply(exchange);
                     if (reply == cancel_reply::kFailed) {
                       Discard(id);
                     }
                     Perform(scheduler_.CancelReplied(loop_.Now(), id, reply));
                   });
}

void endpoint_port::Do(const check_health& action) {
  http_connection* connection = Find(action.connection);
  if (connection == nullptr) {
    return;
  }
  connection->Send({.method = "GET", .path = "/v1/health"}, action.timeout,
                   [this, id = action.connection](const http_result& exchange) {
                     if (Find(id) == nullptr) {
                       return;
                     }
                     const auto report = ToHealthReport(exchange);
                     if (!report.has_value()) {
                       Discard(id);
                     }
                     Perform(scheduler_.HealthReplied(loop_.Now(), id, report));
                   });
}

void endpoint_port::Do(const finish_task& action) {
  events_.finished(action);
}

void endpoint_port::Do(const hedge_started& action) {
  events_.hedge_started(action);
}

void endpoint_port::Do(const wake_at& action) {
  wake_ = loop_.RunAfter(action.at - loop_.Now(),
                         [this] { Perform(scheduler_.Tick(loop_.Now())); });
}

http_connection* endpoint_port::Find(connection_id connection) {
  const auto found = connections_.find(connection);
  return found == connections_.end() ? nullptr : found->second.get();
}

void endpoint_port::Discard(connection_id connection) {
  auto node = connections_.extract(connection);
  if (node.empty()) {
    return;
  }
  loop_.Post([closing = std::shared_ptr<http_connection>(
                  std::move(node.mapped()))] {});
}

void endpoint_port::OnOpened(connection_id connection, bool connected) {
  if (Find(connection) == nullptr) {
    return;
  }
  if (!connected) {
    values_.Increment(metric::kConnectionFailures, {"refused"});
    Discard(connection);
    Perform(scheduler_.ConnectionFailed(loop_.Now(), connection));
    return;
  }
  Perform(scheduler_.ConnectionOpened(loop_.Now(), connection));
}

void endpoint_port::OnClosed(connection_id connection) {
  const http_connection* closed = Find(connection);
  // A request that has just gone out reports the end by its own reply.
  if (closed == nullptr || closed->busy()) {
    return;
  }
  Discard(connection);
  Perform(scheduler_.ConnectionClosed(loop_.Now(), connection));
}

void endpoint_port::OnSearchReply(connection_id connection,
                                  const shard_task& asked,
                                  const http_result& exchange) {
  if (Find(connection) == nullptr) {
    return;
  }
  endpoint_reply reply =
      ToEndpointReply(exchange, ToSearchRequest(asked, duration::zero()));
  const bool lost =
      reply.kind == reply_kind::kReset || reply.kind == reply_kind::kNotSent;
  values_.Increment(metric::kEndpointReplies,
                    {asked.shard.service.value(), NameOf(reply.kind)});
  if (lost) {
    values_.Increment(metric::kConnectionFailures, {"reset"});
    Discard(connection);
  }
  Perform(scheduler_.Replied(loop_.Now(), connection, std::move(reply)));
}

}  // namespace trefoilmill
