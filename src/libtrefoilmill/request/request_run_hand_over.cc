/// How request_run gives a request up for another host, and what it says of the
/// shards that failed or were late.
#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

#include "trefoilmill/request/request_run.h"

namespace trefoilmill {

bool request_run::TryHandOver(time_point now, shared_request_state& shared) {
  if (finished_ || counts_.answered > 0 ||
      route_->retry != retry_rule::kIdempotent) {
    return false;
  }
  std::vector<service_id> sent_to;
  for (const shard& s : shards_) {
    if (!s.tried_endpoints.empty()) {
      sent_to.push_back(s.service);
    }
  }
  finished_ = shared.extra_sends.TrySpendEach(now, sent_to);
  return finished_;
}

earlier_attempts request_run::Attempts() const {
  earlier_attempts attempts = other_attempts_;
  for (const shard& s : shards_) {
    std::vector<endpoint_id> used = s.tried_elsewhere;
    std::ranges::copy_if(s.tried_endpoints, std::back_inserter(used),
                         [&s](const auto& id) {
                           return std::ranges::find(s.tried_elsewhere, id) ==
                                  s.tried_elsewhere.end();
                         });
    if (!used.empty()) {
      attempts.push_back({.service = s.service, .endpoints = std::move(used)});
    }
  }
  return attempts;
}

std::vector<shard_trouble> request_run::Troubles(std::size_t limit) const {
  std::vector<const shard*> troubled;
  for (const shard& s : shards_) {
    if (!s.reply.has_value() || s.next_hedge_at.has_value()) {
      troubled.push_back(&s);
    }
  }
  std::ranges::stable_partition(
      troubled, [](const shard* s) { return !s->reply.has_value(); });
  std::vector<shard_trouble> out;
  for (const shard* s : troubled | std::views::take(limit)) {
    out.push_back({.service = s->service,
                   .endpoint = s->tried_endpoints.empty()
                                   ? endpoint_id()
                                   : s->tried_endpoints.back(),
                   .obstacle = s->obstacle});
  }
  return out;
}

}  // namespace trefoilmill
