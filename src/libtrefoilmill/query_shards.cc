#include "query_shards.h"

#include <algorithm>
#include <utility>

namespace trefoilmill {

query_shards::query_shards(const snapshot_layout& layout,
                           std::span<const service_id> services)
    : version_(layout.version) {
  for (const service_id& service : services) {
    std::uint32_t number = 0;
    for (const shard_layout& shard : layout.services.at(service).shards) {
      shard_progress progress;
      progress.ref = {service, shard_id(number)};
      progress.layout = &shard;
      shards_.push_back(std::move(progress));
      ++number;
    }
  }
}

void query_shards::AddAttempt(attempt_id id, shard_attempt attempt) {
  shard_progress& shard = shards_[attempt.shard];
  shard.phase = shard_phase::kSent;
  shard.tried.push_back(attempt.endpoint);
  shard.outstanding.push_back(id);
  ++shard.attempts;
  attempts_.emplace(id, std::move(attempt));
}

shard_attempt* query_shards::FindAttempt(attempt_id id) {
  const auto found = attempts_.find(id);
  return found == attempts_.end() ? nullptr : &found->second;
}

const shard_attempt* query_shards::FindAttempt(attempt_id id) const {
  const auto found = attempts_.find(id);
  return found == attempts_.end() ? nullptr : &found->second;
}

shard_attempt query_shards::EndAttempt(attempt_id id) {
  const auto found = attempts_.find(id);
  shard_attempt attempt = std::move(found->second);
  attempts_.erase(found);
  ended_.insert(id);
  std::erase(shards_[attempt.shard].outstanding, id);
  return attempt;
}

std::vector<attempt_id> query_shards::OutstandingAt(const host_id& host) const {
  std::vector<attempt_id> ids;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.owner == host)
      ids.push_back(id);
  }
  std::ranges::sort(ids);
  return ids;
}

std::map<host_id, std::vector<attempt_id>> query_shards::OutstandingByOwner()
    const {
  std::map<host_id, std::vector<attempt_id>> by_owner;
  for (const auto& [id, attempt] : attempts_) {
    by_owner[attempt.owner].push_back(id);
  }
  for (auto& [owner, ids] : by_owner)
    std::ranges::sort(ids);
  return by_owner;
}

void query_shards::MarkAnswered(shard_progress& shard, std::string payload) {
  shard.phase = shard_phase::kAnswered;
  shard.outcome = verdict::kRan;
  shard.payload = std::move(payload);
  ++answered_;
  ++done_;
}

void query_shards::MarkMissing(shard_progress& shard, reason_code reason) {
  shard.phase = shard_phase::kMissing;
  shard.reason = reason;
  ++done_;
}

}  // namespace trefoilmill
