#include "trefoilmill/process/request_quarantine.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <ranges>
#include <tuple>
#include <utility>

#include "../rendezvous.h"

namespace trefoilmill {
namespace {

/// Strikes, and events that they belong to, after which a request is in
/// quarantine.
constexpr std::size_t kStrikesToQuarantine = 3;
constexpr std::size_t kEventsToQuarantine = 2;
/// An event's strikes follow its first one within this time. Requests that were
/// sent up to 0.1 s after a loss of all endpoints may be blamed for it, beside
/// those that were in flight.
constexpr duration kSameEvent = std::chrono::milliseconds(200);
/// The latest events, and the strikes of each, that are kept: as many as it
/// takes to be in quarantine.
constexpr std::size_t kMaxEvents = 3;
constexpr std::size_t kMaxStrikesOfEvent = 2;
/// How long a request that failed is suspect, and is refused if it has a
/// strike: longer than it takes to find out whether endpoints have ended.
constexpr duration kSuspectTime = std::chrono::milliseconds(2000);
constexpr duration kRefusalTime = std::chrono::milliseconds(1000);
/// Hosts learn of an event at slightly different times: a strike that seems to
/// follow a reply by less than this came before it.
constexpr duration kClockTolerance = std::chrono::milliseconds(20);
/// A quarantine ends so long after the last strike. The request is suspect from
/// then on: a single strike puts it in quarantine again.
constexpr duration kQuarantineTime = std::chrono::hours(1);
/// A request that is suspect is forgotten after this time, one that was cleared
/// once all hosts have heard of that.
constexpr duration kSuspectMemory = std::chrono::hours(12);
constexpr duration kClearedMemory = std::chrono::minutes(1);
/// Most records: about 200 bytes each.
constexpr std::size_t kMaxRecords = 2048;
/// How often a change is told to other hosts.
constexpr int kNewsTransmissions = 2;

/// An age as another host stated it: nothing lies in the future.
duration AgeOf(duration stated) {
  return std::max(stated, duration::zero());
}

std::uint64_t InstanceHash(const crash_suspect& suspect) {
  return RendezvousScore(HashName(suspect.endpoint.value()),
                         suspect.started_ms);
}

}  // namespace

bool request_quarantine::record::IsQuarantined(time_point now) const {
  return strikes.size() >= kStrikesToQuarantine &&
         CountEvents(strikes) >= kEventsToQuarantine &&
         now - strikes.back().at < kQuarantineTime;
}

time_point request_quarantine::record::LastEvent() const {
  const time_point other =
      std::max(cleared_at.value_or(suspect_until), suspect_until);
  return strikes.empty() ? other : std::max(other, strikes.back().at);
}

bool request_quarantine::OnEndpointEnded(time_point now,
                                         const crash_suspect& suspect) {
  const bool before =
      StandingOf(now, suspect.request) == request_standing::kQuarantined;
  const auto add = [&](request_fingerprint request, std::uint64_t source) {
    record& r = RecordOf(now, request);
    if (AddStrike(r, {.source = source, .at = suspect.lost_at})) {
      r.news_left = kNewsTransmissions;
    }
  };
  add(suspect.request.content_and_caller, InstanceHash(suspect));
  add(suspect.request.content, suspect.request.content_and_caller.value());
  return !before &&
         StandingOf(now, suspect.request) == request_standing::kQuarantined;
}

void request_quarantine::OnSuspected(time_point now,
                                     const request_identity& request,
                                     bool refuse) {
  record& r = RecordOf(now, request.content_and_caller);
  r.suspect_until = now + kSuspectTime;
  if (refuse || !r.strikes.empty()) {
    r.refused_until = now + kRefusalTime;
  }
  r.news_left = kNewsTransmissions;
}

void request_quarantine::OnReplied(time_point now,
                                   const request_identity& request) {
  Clear(now, request.content_and_caller);
  Clear(now, request.content);
}

void request_quarantine::Clear(time_point now, request_fingerprint request) {
  const auto found = records_.find(request);
  if (found == records_.end() || !Clear(found->second, now)) {
    return;
  }
  found->second.news_left = kNewsTransmissions;
  if (std::exchange(found->second.stored_in, std::nullopt).has_value()) {
    cleared_stored_.push_back(request);
  }
}

bool request_quarantine::Clear(record& r, time_point at) {
  if (r.cleared_at.has_value() && *r.cleared_at >= at) {
    return false;
  }
  r.cleared_at = at;
  const bool was_suspect = r.suspect_until > at;
  r.suspect_until = std::min(r.suspect_until, at);
  r.refused_until = std::min(r.refused_until, at);
  const auto removed = std::erase_if(r.strikes, [at](const strike& s) {
    return s.at <= at + kClockTolerance;
  });
  return removed > 0 || was_suspect;
}

bool request_quarantine::AddStrike(record& r, const strike& added) {
  if (r.cleared_at.has_value() && added.at <= *r.cleared_at + kClockTolerance) {
    return false;
  }
  const std::vector<strike> before = r.strikes;
  const auto known =
      std::ranges::find(r.strikes, added.source, &strike::source);
  if (known == r.strikes.end()) {
    r.strikes.push_back(added);
  } else {
    // A host that stood still dates it too late.
    known->at = std::min(known->at, added.at);
  }
  Trim(r.strikes);
  return !std::ranges::equal(before, r.strikes, {}, &strike::source,
                             &strike::source);
}

std::size_t request_quarantine::CountEvents(
    const std::vector<strike>& strikes) {
  std::size_t events = 0;
  time_point began;
  for (const strike& s : strikes) {
    if (events == 0 || s.at - began >= kSameEvent) {
      ++events;
      began = s.at;
    }
  }
  return events;
}

// Of an event those with the smallest sources are kept, so that all hosts keep
// the same ones.
void request_quarantine::Trim(std::vector<strike>& strikes) {
  std::ranges::sort(strikes, {}, &strike::at);
  std::vector<strike> kept;
  std::size_t events = 0;
  for (auto first = strikes.begin(); first != strikes.end(); ++events) {
    const auto end = std::ranges::find_if(
        first, strikes.end(),
        [first](const strike& s) { return s.at - first->at >= kSameEvent; });
    const time_point began = first->at;
    std::ranges::sort(first, end, {}, &strike::source);
    const auto of_event = std::min<std::ptrdiff_t>(
        std::distance(first, end), std::ptrdiff_t{kMaxStrikesOfEvent});
    for (const strike& s : std::ranges::subrange(first, first + of_event)) {
      kept.push_back({.source = s.source, .at = began});
    }
    first = end;
  }
  if (events > kMaxEvents) {
    const time_point oldest = kept.front().at;
    std::erase_if(kept, [oldest](const strike& s) { return s.at == oldest; });
  }
  strikes = std::move(kept);
}

request_quarantine::record& request_quarantine::RecordOf(
    time_point now,
    request_fingerprint request) {
  const auto found = records_.find(request);
  if (found != records_.end()) {
    return found->second;
  }
  if (records_.size() >= kMaxRecords) {
    const auto matters_least =
        std::ranges::min_element(records_, {}, [now](const auto& entry) {
          const record& r = entry.second;
          return std::tuple(r.IsQuarantined(now), r.strikes.size(),
                            r.LastEvent());
        });
    records_.erase(matters_least);
  }
  return records_[request];
}

void request_quarantine::Update(time_point now) {
  std::erase_if(records_, [now](const auto& entry) {
    const record& r = entry.second;
    const duration memory = r.strikes.empty() ? kClearedMemory : kSuspectMemory;
    return now - r.LastEvent() > memory;
  });
}

request_standing request_quarantine::StandingOf(
    time_point now,
    request_fingerprint request) const {
  const auto found = records_.find(request);
  if (found == records_.end()) {
    return request_standing::kClear;
  }
  const record& r = found->second;
  if (r.IsQuarantined(now) || now < r.refused_until) {
    return request_standing::kQuarantined;
  }
  return r.strikes.empty() && now >= r.suspect_until
             ? request_standing::kClear
             : request_standing::kSuspect;
}

request_standing request_quarantine::StandingOf(
    time_point now,
    const request_identity& request) const {
  if (records_.empty()) {
    return request_standing::kClear;
  }
  return std::max(StandingOf(now, request.content_and_caller),
                  StandingOf(now, request.content));
}

bool request_quarantine::HasStrikes(const request_identity& request) const {
  const auto has_strikes = [this](request_fingerprint fingerprint) {
    const auto found = records_.find(fingerprint);
    return found != records_.end() && !found->second.strikes.empty();
  };
  return has_strikes(request.content_and_caller) ||
         has_strikes(request.content);
}

duration request_quarantine::QuarantineLeft(
    time_point now,
    const request_identity& request) const {
  duration left{};
  for (const request_fingerprint fingerprint :
       {request.content_and_caller, request.content}) {
    const auto found = records_.find(fingerprint);
    if (found == records_.end()) {
      continue;
    }
    const record& r = found->second;
    left = std::max(left, r.refused_until - now);
    if (r.IsQuarantined(now)) {
      left = std::max(left, r.strikes.back().at + kQuarantineTime - now);
    }
  }
  return left;
}

bool request_quarantine::Merge(time_point now,
                               const quarantine_report& report) {
  const bool accuses =
      !report.strikes.empty() || report.suspect_for > duration::zero();
  if (!accuses && !records_.contains(report.request)) {
    return false;
  }
  record& r = RecordOf(now, report.request);
  const bool before = r.IsQuarantined(now);
  bool changed = false;
  if (report.cleared_age.has_value()) {
    changed = Clear(r, now - AgeOf(*report.cleared_age));
  }
  for (const strike_report& s :
       report.strikes | std::views::take(kMaxEvents * kMaxStrikesOfEvent)) {
    changed =
        AddStrike(r, {.source = s.source, .at = now - AgeOf(s.age)}) || changed;
  }
  const bool was_suspect = now < r.suspect_until;
  const auto extend = [now](time_point& until, duration left, duration most) {
    if (left > duration::zero()) {
      until = std::max(until, now + std::min(left, most));
    }
  };
  extend(r.suspect_until, report.suspect_for, kSuspectTime);
  extend(r.refused_until, report.refused_for, kRefusalTime);
  changed = changed || (!was_suspect && now < r.suspect_until);
  if (report.stored_in > r.stored_in) {
    r.stored_in = report.stored_in;
    changed = true;
  }
  if (changed) {
    r.news_left = kNewsTransmissions;
  }
  return !before && r.IsQuarantined(now);
}

quarantine_report request_quarantine::MakeReport(time_point now,
                                                 request_fingerprint request,
                                                 const record& r) {
  const auto age_of = [now](time_point at) {
    return std::clamp<duration>(now - at, duration::zero(), kSuspectMemory);
  };
  quarantine_report report{
      .request = request, .strikes = {}, .cleared_age = {}, .stored_in = {}};
  std::ranges::transform(
      r.strikes, std::back_inserter(report.strikes), [&](const strike& s) {
        return strike_report{.source = s.source, .age = age_of(s.at)};
      });
  if (r.cleared_at.has_value()) {
    report.cleared_age = age_of(*r.cleared_at);
  }
  report.stored_in = r.stored_in;
  report.suspect_for = std::max(r.suspect_until - now, duration::zero());
  report.refused_for = std::max(r.refused_until - now, duration::zero());
  return report;
}

std::vector<quarantine_report> request_quarantine::TakeNews(time_point now,
                                                            std::size_t most) {
  std::vector<quarantine_report> news;
  for (auto& [request, r] : records_) {
    if (r.news_left > 0 && news.size() < most) {
      --r.news_left;
      news.push_back(MakeReport(now, request, r));
    }
  }
  return news;
}

bool request_quarantine::has_news() const {
  return std::ranges::any_of(
      records_, [](const auto& entry) { return entry.second.news_left > 0; });
}

std::vector<quarantine_report> request_quarantine::Reports(
    time_point now,
    std::size_t most) const {
  std::vector<quarantine_report> reports;
  std::ranges::transform(records_, std::back_inserter(reports),
                         [now](const auto& entry) {
                           return MakeReport(now, entry.first, entry.second);
                         });
  std::ranges::stable_sort(
      reports, std::ranges::greater(),
      [](const quarantine_report& report) { return report.strikes.size(); });
  reports.resize(std::min(reports.size(), most));
  return reports;
}

std::uint64_t request_quarantine::Digest() const {
  std::uint64_t digest = 0;
  for (const auto& [request, r] : records_) {
    for (const strike& s : r.strikes) {
      digest ^= RendezvousScore(request.value(), s.source);
    }
  }
  return digest;
}

void request_quarantine::OnStored(request_fingerprint request, store_era era) {
  const auto found = records_.find(request);
  if (found != records_.end() && found->second.stored_in < era) {
    found->second.stored_in = era;
    found->second.news_left = kNewsTransmissions;
  }
}

std::size_t request_quarantine::quarantined(time_point now) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      records_,
      [now](const auto& entry) { return entry.second.IsQuarantined(now); }));
}

bool IsOutdated(const quarantine_report& report) {
  return std::ranges::all_of(report.strikes, [](const strike_report& strike) {
    return strike.age > kSuspectMemory;
  });
}

}  // namespace trefoilmill
