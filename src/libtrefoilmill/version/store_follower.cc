#include "trefoilmill/version/store_follower.h"

#include <algorithm>
#include <cmath>
#include <ranges>
#include <utility>

namespace trefoilmill {
namespace {

/// Pauses are drawn between this part of their length and the whole, so that
/// hosts do not call in step.
constexpr double kLeastPauseShare = 0.6;
constexpr int kMaxDoublings = 10;
/// An answer may take this long beyond the wait that was asked for.
constexpr duration kFreshGrace = std::chrono::milliseconds(700);

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
  }
  return "unknown";
}

store_follower::store_follower(const config& settings, std::mt19937_64 random)
    : config_(settings), random_(random) {}

store_follower::actions store_follower::Start() {
  return Next();
}

store_follower::actions store_follower::Next() {
  if (listed_ && !watching_) {
    stage_ = stage::kIdle;
    was_watching_ = false;
    return {};
  }
  if (listed_) {
    stage_ = stage::kWatching;
    // The first watch comes back at once: it shows that the store answers.
    const duration wait = was_watching_ ? config_.watch_wait : duration::zero();
    was_watching_ = true;
    return {watch{.since = as_of_, .wait = wait}};
  }
  stage_ = stage::kListing;
  return {list_page{.after = after_, .may_be_stale = !exact_list_}};
}

store_follower::actions store_follower::SetWatching(bool watching) {
  watching_ = watching;
  if (watching && listed_ && stage_ == stage::kIdle) {
    return Next();
  }
  return {};
}

store_follower::action store_follower::Pause(time_point now, duration length) {
  std::uniform_real_distribution<double> share(kLeastPauseShare, 1);
  const auto drawn = static_cast<double>(length.count()) * share(random_);
  stage_ = stage::kPausing;
  resume_at_ = now + duration(static_cast<duration::rep>(drawn));
  return wake{resume_at_};
}

store_follower::actions store_follower::OnPage(time_point now,
                                               object_page page) {
  failures_ = 0;
  last_answer_ = now;
  if (after_.empty()) {
    page_items_.clear();
    pages_as_of_ = page.as_of;
  }
  std::ranges::move(page.items, std::back_inserter(page_items_));
  if (page.has_more && !page_items_.empty()) {
    after_ = page_items_.back().name;
    return Next();
  }
  after_.clear();
  listed_ = true;
  exact_list_ = false;
  actions out;
  // A peer may have shown a later revision while the list was read.
  if (pages_as_of_ >= as_of_) {
    Adopt(std::exchange(page_items_, {}), pages_as_of_, out);
  }
  page_items_.clear();
  out.push_back(Pause(now, config_.settle));
  return out;
}

// A list that shows nothing new leaves the revision of the last change, so that
// peers need not fetch it.
void store_follower::Adopt(std::vector<stored_object> objects,
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
  out.emplace_back(replaced{});
}

store_follower::actions store_follower::Relist() {
  if (stage_ != stage::kIdle) {
    return {};
  }
  listed_ = false;
  return Next();
}

store_follower::actions store_follower::OnWatch(time_point now,
                                                watch_result result) {
  failures_ = 0;
  last_answer_ = now;
  if (std::holds_alternative<history_gone>(result)) {
    listed_ = false;
    exact_list_ = true;
    after_.clear();
    return Next();
  }
  auto& changes = std::get<object_changes>(result);
  actions out;
  const bool news = !changes.events.empty();
  ApplyEvents(std::move(changes.events), out);
  as_of_ = std::max(as_of_, changes.as_of);
  if (news) {
    changed_at_ = as_of_;
    out.push_back(Pause(now, config_.settle));
    return out;
  }
  return Next();
}

void store_follower::ApplyEvents(std::vector<object_event> events,
                                 actions& out) {
  for (object_event& event : events) {
    const auto held = objects_.find(event.object.name);
    if (held != objects_.end() && held->second.at > event.object.at) {
      continue;
    }
    if (event.deleted) {
      objects_.erase(event.object.name);
    } else {
      objects_.insert_or_assign(event.object.name, event.object);
    }
    out.emplace_back(changed{std::move(event)});
  }
}

store_follower::actions store_follower::OnFedChanges(revision from,
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

store_follower::actions store_follower::OnFailed(time_point now) {
  const int doublings = std::min(failures_, kMaxDoublings);
  ++failures_;
  was_watching_ = false;
  const duration length = std::min(config_.longest_backoff,
                                   config_.first_backoff * (1 << doublings));
  return {Pause(now, length)};
}

store_follower::actions store_follower::Tick(time_point now) {
  if (stage_ != stage::kPausing) {
    return {};
  }
  if (now < resume_at_) {
    // Timers may fire a little early.
    return {wake{resume_at_}};
  }
  return Next();
}

store_follower::actions store_follower::OnCopy(copy peer) {
  if (peer.as_of <= as_of_) {
    return {};
  }
  actions out;
  Adopt(std::move(peer.objects), peer.as_of, out);
  return out;
}

bool store_follower::is_fresh(time_point now) const {
  return failures_ == 0 && listed_ &&
         now - last_answer_ < config_.watch_wait + kFreshGrace;
}

store_follower::copy store_follower::Copy() const {
  copy out{.as_of = changed_at_, .objects = {}};
  std::ranges::copy(std::views::values(objects_),
                    std::back_inserter(out.objects));
  return out;
}

}  // namespace trefoilmill
