#include "caller.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "caller_messages.h"

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;

constexpr duration kEntriesTimeout = milliseconds(500);
/// Beyond the deadline, before a query counts as timed out.
constexpr duration kReplyGrace = milliseconds(500);
constexpr duration kRetryPause = milliseconds(5);
/// Until the next attempt after no host gave a list.
constexpr duration kRefreshPause = milliseconds(200);

}  // namespace

caller::caller(event_loop& loop,
               const load_config& config,
               std::string name,
               bool stale)
    : loop_(loop),
      config_(config),
      name_(std::move(name)),
      stale_(stale),
      client_(loop) {}

void caller::Ask(query_row row, on_done done) {
  const std::uint64_t number = row.number;
  const time_point now = loop_.Now();
  pending_[number] = {.row = std::move(row),
                      .done = std::move(done),
                      .deadline = now + config_.deadline,
                      .retry = {}};
  const bool expired = now >= refresh_at_ && !stale_;
  if (list_.empty() || expired) {
    Refresh();
  }
  if (list_.empty()) {
    waiting_.push_back(number);
    return;
  }
  SendTry(number);
}

void caller::Refresh() {
  if (refreshing_) {
    return;
  }
  refreshing_ = true;
  candidates_ = list_;
  std::ranges::copy(config_.entries, std::back_inserter(candidates_));
  const auto offset = std::hash<std::string>{}(name_) % config_.entries.size();
  const auto seeds =
      candidates_.end() - static_cast<std::ptrdiff_t>(config_.entries.size());
  std::rotate(seeds, seeds + static_cast<std::ptrdiff_t>(offset),
              candidates_.end());
  Fetch(0);
}

void caller::Fetch(std::size_t candidate) {
  if (candidate == candidates_.size()) {
    refreshing_ = false;
    refresh_at_ = loop_.Now() + kRefreshPause;
    for (const std::uint64_t number : std::exchange(waiting_, {})) {
      Finish(number);
    }
    return;
  }
  http_request request;
  request.method = "GET";
  request.path = "/v1/entries";
  request.query["caller"] = name_;
  client_.Send(candidates_[candidate], request, kEntriesTimeout,
               [this, candidate](const http_result& exchange) {
                 TakeList(exchange, candidate);
               });
}

void caller::TakeList(const http_result& exchange, std::size_t candidate) {
  auto list = ParseEntries(exchange);
  if (!list.has_value()) {
    Fetch(candidate + 1);
    return;
  }
  refreshing_ = false;
  list_ = std::move(list->addresses);
  refresh_at_ = loop_.Now() + list->ttl;
  for (const std::uint64_t number : std::exchange(waiting_, {})) {
    SendTry(number);
  }
}

void caller::SendTry(std::uint64_t number) {
  pending& query = pending_.at(number);
  const std::size_t position = query.row.tries.size();
  const std::string suffix =
      std::to_string(number) + "-" + std::to_string(position + 1);
  query_try sent;
  sent.body = "q" + std::to_string(config_.seed) + "-" + suffix;
  sent.request = "r" + std::to_string(config_.seed) + "-" + suffix;
  sent.host = list_[position % list_.size()];
  sent.sent = loop_.SystemTimeMicros();
  const duration remaining = query.deadline - loop_.Now();
  const http_request request =
      MakeQuery(config_, name_, query.row, sent, remaining);
  query.row.tries.push_back(sent);
  client_.Send(sent.host, request, remaining + kReplyGrace,
               [this, number](const http_result& exchange) {
                 TryEnded(number, exchange);
               });
}

void caller::TryEnded(std::uint64_t number, const http_result& exchange) {
  pending& query = pending_.at(number);
  query_try& sent = query.row.tries.back();
  sent.ended = loop_.SystemTimeMicros();
  TakeExchange(exchange, sent);
  if (sent.end == try_end::kNoConnection && !stale_) {
    Refresh();
  }
  const auto hint = sent.refused.value_or(refusal{}).retry_after_ms;
  const duration pause = std::max<duration>(kRetryPause, milliseconds(hint));
  if (!MayTryAgain(query) || loop_.Now() + pause >= query.deadline) {
    Finish(number);
    return;
  }
  query.retry = loop_.RunAfter(pause, [this, number] { SendTry(number); });
}

bool caller::MayTryAgain(const pending& query) const {
  const auto tries = static_cast<int>(query.row.tries.size());
  if (tries >= config_.max_tries) {
    return false;
  }
  const query_try& last = query.row.tries.back();
  if (last.end == try_end::kNoConnection) {
    return true;
  }
  if (last.end == try_end::kRefused) {
    return last.refused->outcome == verdict::kNotRun &&
           last.refused->reason != reason_code::kBadRequest;
  }
  const bool unknown = last.end != try_end::kAnswered;
  return unknown && !query.row.idempotent && config_.resubmit_unknown;
}

void caller::Finish(std::uint64_t number) {
  auto ended = pending_.extract(number);
  ended.mapped().done(std::move(ended.mapped().row));
}

}  // namespace trefoilmill
