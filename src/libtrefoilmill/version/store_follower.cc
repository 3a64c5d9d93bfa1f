#include "trefoilmill/version/store_follower.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <ranges>
#include <utility>

namespace trefoilmill {
namespace {

/// Delays are drawn uniformly between this fraction of their length and the
/// full length, so that hosts do not call the store simultaneously.
constexpr double kMinJitterFraction = 0.6;
/// Bounds the shift that computes the backoff; max_backoff is reached earlier.
constexpr int kMaxBackoffDoublings = 10;
/// A reply may arrive this long after the requested wait of a watch.
constexpr duration kWatchReplyGrace = std::chrono::milliseconds(700);
/// Watches of the configuration are short because they also show that the
/// store answers, and its revision. Longer watches need fewer calls.
constexpr duration kConfigurationWatchWait = std::chrono::milliseconds(1700);
/// Pause after changes of endpoints, so that one call fetches several:
/// endpoints change often, a few at a time, and may go on serving for seconds.
constexpr duration kEndpointsSettleDelay = std::chrono::milliseconds(250);

}  // namespace

std::string_view ToString(object_kind kind) {
  switch (kind) {
    case object_kind::kConfiguration:
      return "configuration";
    case object_kind::kEndpoints:
      return "endpoints";
    case object_kind::kZonesOut:
      return "zones_out";
    case object_kind::kHosts:
      return "hosts";
    case object_kind::kRollouts:
      return "rollouts";
    case object_kind::kQuarantinedRequests:
      return "quarantined_requests";
  }
  return "unknown";
}

store_follower::config store_follower::ConfigOf(object_kind kind) {
  config settings;
  if (kind == object_kind::kConfiguration) {
    settings.max_watch_wait = kConfigurationWatchWait;
  }
  if (kind == object_kind::kEndpoints) {
    settings.change_delay = kEndpointsSettleDelay;
  }
  return settings;
}

store_follower::store_follower(const config& settings, std::mt19937_64 random)
    : config_(settings), random_(random) {}

store_follower::actions store_follower::Start() {
  return StartNextCall();
}

store_follower::actions store_follower::StartNextCall() {
  check_stage_ = check_stage::kNone;
  if (relist_pending_ && list_after_.empty()) {
    relist_pending_ = false;
    requires_latest_list_ = true;
    listed_ = false;
  }
  if (listed_ && !watch_enabled_) {
    stage_ = stage::kIdle;
    probe_sent_ = false;
    return {};
  }
  if (listed_) {
    stage_ = stage::kWatching;
    // The first watch returns at once to prove that the store answers.
    const duration wait =
        probe_sent_ ? config_.max_watch_wait : duration::zero();
    const duration limit = probe_sent_ ? wait + kReplyMargin : kCallLimit;
    probe_sent_ = true;
    return {watch{.since = as_of_, .wait = wait, .limit = limit}};
  }
  stage_ = stage::kListing;
  return {
      list_page{.after = list_after_, .may_be_stale = !requires_latest_list_}};
}

store_follower::actions store_follower::SetWatching(bool watching) {
  watch_enabled_ = watching;
  if (watching && stage_ == stage::kIdle) {
    return StartNextCall();
  }
  return {};
}

store_follower::action store_follower::StartDelay(time_point now,
                                                  duration length) {
  std::uniform_real_distribution<double> fraction(kMinJitterFraction, 1);
  const auto jittered_length =
      static_cast<double>(length.count()) * fraction(random_);
  stage_ = stage::kDelaying;
  check_stage_ = check_stage::kNone;
  resume_at_ = now + duration(static_cast<duration::rep>(jittered_length));
  return wake{resume_at_};
}

store_follower::actions store_follower::OnPage(time_point now,
                                               object_page page) {
  consecutive_failures_ = 0;
  last_reply_at_ = now;
  if (list_after_.empty()) {
    list_items_.clear();
    list_as_of_ = page.as_of;
  }
  std::ranges::move(page.items, std::back_inserter(list_items_));
  if (page.has_more && !list_items_.empty()) {
    list_after_ = list_items_.back().name;
    return StartNextCall();
  }
  list_after_.clear();
  listed_ = true;
  requires_latest_list_ = false;
  actions out;
  // A peer may have supplied a later revision while the list was read.
  if (list_as_of_ >= as_of_) {
    ReplaceContent(std::exchange(list_items_, {}), list_as_of_, out);
  }
  list_items_.clear();
  out.push_back(StartDelay(now, config_.change_delay));
  return out;
}

// An unchanged list does not update changed_at_, so that peers do not fetch the
// same content again.
void store_follower::ReplaceContent(std::vector<stored_object> objects,
                                    revision as_of,
                                    actions& out) {
  const bool first = !has_content();
  std::map<std::string, stored_object> listed;
  for (stored_object& object : objects) {
    std::string name = object.name;
    listed.insert_or_assign(std::move(name), std::move(object));
  }
  as_of_ = as_of;
  if (!first && listed == objects_) {
    return;
  }
  objects_ = std::move(listed);
  changed_at_ = as_of;
  out.emplace_back(content_replaced{});
}

store_follower::actions store_follower::Relist() {
  if (stage_ != stage::kIdle) {
    return {};
  }
  listed_ = false;
  return StartNextCall();
}

store_follower::actions store_follower::RelistLatest() {
  requires_latest_list_ = true;
  if (stage_ == stage::kIdle) {
    return Relist();
  }
  relist_pending_ = true;
  return {};
}

store_follower::actions store_follower::OnWatch(time_point now,
                                                watch_result result) {
  consecutive_failures_ = 0;
  last_reply_at_ = now;
  if (const auto* changes = std::get_if<object_changes>(&result);
      changes != nullptr && changes->as_of.era() < as_of_.era()) {
    return StartNextCall();
  }
  if (std::holds_alternative<history_compacted>(result)) {
    listed_ = false;
    requires_latest_list_ = true;
    list_after_.clear();
    return StartNextCall();
  }
  auto& changes = std::get<object_changes>(result);
  actions out;
  const bool has_changes = !changes.events.empty();
  ApplyEvents(std::move(changes.events), out);
  as_of_ = std::max(as_of_, changes.as_of);
  if (!out.empty()) {
    changed_at_ = as_of_;
  }
  if (has_changes) {
    out.push_back(StartDelay(now, config_.change_delay));
    return out;
  }
  return StartNextCall();
}

// The content reflects all changes up to as_of_: an object written before that
// and not there any more was deleted since.
void store_follower::ApplyEvents(std::vector<object_event> events,
                                 actions& out) {
  for (object_event& event : events) {
    if (!event.deleted && event.object.at <= as_of_) {
      continue;
    }
    const auto existing = objects_.find(event.object.name);
    if (existing != objects_.end() && existing->second.at > event.object.at) {
      continue;
    }
    if (event.deleted) {
      objects_.erase(event.object.name);
    } else {
      objects_.insert_or_assign(event.object.name, event.object);
    }
    out.emplace_back(object_changed{std::move(event)});
  }
}

store_follower::actions store_follower::OnPeerChanges(revision from,
                                                      object_changes changes) {
  if (!has_content() || as_of_ < from || changes.as_of <= as_of_) {
    return {};
  }
  actions out;
  ApplyEvents(std::move(changes.events), out);
  as_of_ = changes.as_of;
  changed_at_ = as_of_;
  return out;
}

bool store_follower::OnPeerPatch(const object_patch& patch, actions& out) {
  const auto found = objects_.find(patch.name);
  if (patch.at <= as_of_ || found == objects_.end() ||
      found->second.parts == nullptr ||
      found->second.parts->digest() != patch.base_digest) {
    return false;
  }
  auto patched = std::make_shared<part_set>(*found->second.parts);
  for (const part_digest digest : patch.removed) {
    patched->Erase(digest);
  }
  for (const shared_part& added : patch.added) {
    patched->Insert(added);
  }
  if (patched->digest() != patch.digest) {
    return false;
  }
  found->second.at = patch.at;
  found->second.parts = std::move(patched);
  as_of_ = patch.at;
  changed_at_ = patch.at;
  out.emplace_back(object_changed{{.object = found->second, .deleted = false}});
  return true;
}

store_follower::actions store_follower::OnStoreRestored(store_era era) {
  list_after_.clear();
  list_items_.clear();
  probe_sent_ = false;
  check_stage_ = check_stage::kNone;
  requires_latest_list_ = true;
  if (as_of_.era() < era) {
    const bool learns_from_peers = listed_ && !watch_enabled_;
    listed_ = false;
    if (learns_from_peers) {
      stage_ = stage::kIdle;
      return {};
    }
  }
  return StartNextCall();
}

store_follower::actions store_follower::OnRevisionStated(time_point now,
                                                         revision at) {
  if (stage_ != stage::kWatching || check_stage_ != check_stage::kNone ||
      at <= as_of_) {
    return {};
  }
  check_stage_ = check_stage::kScheduled;
  check_at_ = now + config_.check_delay;
  stated_ = at;
  return {wake{check_at_}};
}

store_follower::actions store_follower::CheckIfDue(time_point now) {
  if (check_stage_ != check_stage::kScheduled) {
    return {};
  }
  if (now < check_at_) {
    return {wake{check_at_}};
  }
  if (as_of_ >= stated_) {
    check_stage_ = check_stage::kNone;
    return {};
  }
  check_stage_ = check_stage::kInProgress;
  return {check{.since = as_of_, .until = stated_}};
}

store_follower::actions store_follower::OnCheck(time_point now,
                                                watch_result result) {
  if (check_stage_ != check_stage::kInProgress) {
    return {};
  }
  check_stage_ = check_stage::kNone;
  const auto* changes = std::get_if<object_changes>(&result);
  if (changes != nullptr && changes->events.empty()) {
    last_reply_at_ = now;
    as_of_ = std::max(as_of_, changes->as_of);
    return {};
  }
  actions out = {abandon_call{}};
  std::ranges::move(OnWatch(now, std::move(result)), std::back_inserter(out));
  return out;
}

store_follower::actions store_follower::OnCheckFailed(time_point now) {
  if (check_stage_ != check_stage::kInProgress) {
    return {};
  }
  actions out = {abandon_call{}};
  std::ranges::move(OnFailed(now), std::back_inserter(out));
  return out;
}

store_follower::actions store_follower::OnFailed(time_point now) {
  const int doublings = std::min(consecutive_failures_, kMaxBackoffDoublings);
  return RetryAfter(now, std::min(config_.max_backoff,
                                  config_.initial_backoff * (1 << doublings)));
}

store_follower::actions store_follower::OnNoReply(time_point now) {
  return RetryAfter(now, config_.initial_backoff);
}

store_follower::actions store_follower::RetryAfter(time_point now,
                                                   duration delay) {
  ++consecutive_failures_;
  probe_sent_ = false;
  return {StartDelay(now, delay)};
}

store_follower::actions store_follower::Tick(time_point now) {
  if (stage_ == stage::kWatching) {
    return CheckIfDue(now);
  }
  if (stage_ != stage::kDelaying) {
    return {};
  }
  if (now < resume_at_) {
    // A timer may fire slightly early.
    return {wake{resume_at_}};
  }
  return StartNextCall();
}

store_follower::actions store_follower::OnPeerCopy(copy peer) {
  if (peer.as_of <= as_of_) {
    return {};
  }
  if (stage_ == stage::kIdle) {
    // Watches go on from the copy, and need no list.
    listed_ = true;
  }
  actions out;
  ReplaceContent(std::move(peer.objects), peer.as_of, out);
  return out;
}

bool store_follower::is_fresh(time_point now) const {
  return consecutive_failures_ == 0 && listed_ &&
         now - last_reply_at_ < config_.max_watch_wait + kWatchReplyGrace;
}

store_follower::copy store_follower::MakeCopy() const {
  copy out{.as_of = changed_at_, .objects = {}};
  std::ranges::copy(std::views::values(objects_),
                    std::back_inserter(out.objects));
  return out;
}

}  // namespace trefoilmill
