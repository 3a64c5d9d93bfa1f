#include "trefoilmill/process/rollout_table.h"

#include <algorithm>
#include <functional>
#include <ranges>
#include <utility>

#include "../rendezvous.h"

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;

/// For so long the endpoints of a version that the service did not have before
/// get nothing: an order reaches a host that much later than a record at most.
constexpr duration kNewVersionHold = milliseconds(2000);
/// Of an order that was there before this process, this part of the time is
/// taken to be left, until another host says better.
constexpr int kUnknownElapsedDivisor = 2;
/// How often a stage is told.
constexpr int kNewsRepeats = 3;
/// Hosts that decide about one roll-out.
constexpr std::size_t kDeciders = 4;
/// After this time a write is tried again.
constexpr duration kWriteRetry = milliseconds(800);

}  // namespace

rollout_table::rollout_table(const exposure_limit& limit,
                             std::mt19937_64 random)
    : limit_(limit), random_(random) {}

bool rollout_table::IsDecided(const active& rollout) {
  return IsFinal(rollout.record->state.value_or(rollout_state::kRunning));
}

rollout_table::active* rollout_table::Find(const service_id& service) {
  const auto found = active_.find(service);
  return found == active_.end() ? nullptr : &found->second;
}

const rollout_table::active* rollout_table::Find(
    const service_id& service) const {
  const auto found = active_.find(service);
  return found == active_.end() ? nullptr : &found->second;
}

rollout_table::active* rollout_table::Find(const rollout_order& order) {
  active* found = Find(order.service);
  return found != nullptr && found->trial.order() == order ? found : nullptr;
}

void rollout_table::SetOrders(time_point now,
                              const std::vector<rollout_record>& records) {
  if (!is_enabled()) {
    return;
  }
  for (auto& [service, rollout] : active_) {
    const bool listed =
        std::ranges::any_of(records, [&](const rollout_record& record) {
          return record.order == rollout.trial.order();
        });
    if (!listed && rollout.record.has_value()) {
      const bool completed = rollout.record->state == rollout_state::kCompleted;
      if (!completed) {
        versions_[service][rollout.trial.order().target].is_barred = true;
      }
      rollout.trial.Withdraw(now);
      rollout.record.reset();
    }
  }
  for (const rollout_record& record : records) {
    ApplyRecord(now, record);
  }
  std::erase_if(active_, [](const auto& entry) {
    return !entry.second.record.has_value();
  });
  orders_known_ = true;
}

void rollout_table::ApplyRecord(time_point now, const rollout_record& record) {
  const rollout_order& order = record.order;
  auto& versions = versions_[order.service];
  active* known = Find(order);
  if (known == nullptr) {
    const duration elapsed = orders_known_
                                 ? duration::zero()
                                 : order.length / kUnknownElapsedDivisor;
    active added{.trial = rollout_trial(now, order, elapsed, limit_,
                                        std::mt19937_64(random_())),
                 .record = record,
                 .next_write_at = now,
                 .old_versions = {}};
    known = &active_.insert_or_assign(order.service, std::move(added))
                 .first->second;
    versions[order.target].is_barred = false;
  }
  known->record = record;
  if (record.state == rollout_state::kRolledBack) {
    versions[order.target].is_barred = true;
  }
  if (record.state == rollout_state::kCompleted) {
    versions[order.target].is_barred = false;
    for (const software_version& old : known->old_versions) {
      versions[old].is_barred = true;
    }
  }
}

void rollout_table::ReviewVersions(time_point now,
                                   const endpoint_registry& registry) {
  for (auto& versions : std::views::values(versions_)) {
    for (version_state& state : std::views::values(versions)) {
      state.is_present = false;
    }
  }
  for (const auto& entry : std::views::values(registry.entries())) {
    const endpoint_record& record = entry.record;
    version_state& state = versions_[record.service][record.software];
    if (state.first_seen == time_point()) {
      state.first_seen = now;
      state.started_ms = record.started_ms;
    }
    state.started_ms = std::min(state.started_ms, record.started_ms);
    state.is_present = true;
    active* rollout = Find(record.service);
    if (rollout != nullptr &&
        record.software != rollout->trial.order().target &&
        !IsDecided(*rollout)) {
      rollout->old_versions.insert(record.software);
    }
  }
  for (auto& versions : std::views::values(versions_)) {
    std::erase_if(versions,
                  [](const auto& entry) { return !entry.second.is_present; });
  }
  std::erase_if(versions_,
                [](const auto& entry) { return entry.second.empty(); });
}

bool rollout_table::IsWithheld(time_point now,
                               const endpoint_record& endpoint) const {
  const active* rollout = Find(endpoint.service);
  const auto& versions = versions_.at(endpoint.service);
  const version_state& version = versions.at(endpoint.software);
  if (rollout != nullptr &&
      endpoint.software == rollout->trial.order().target) {
    if (IsDecided(*rollout)) {
      return rollout->record->state == rollout_state::kRolledBack;
    }
    return rollout->trial.stage() == rollout_stage::kWaiting ||
           rollout->trial.stage() == rollout_stage::kRejected;
  }
  if (version.is_barred) {
    return true;
  }
  return MayBeOnTrial(now, version, versions);
}

bool rollout_table::MayBeOnTrial(
    time_point now,
    const version_state& version,
    const std::map<software_version, version_state>& versions) const {
  const auto others = versions | std::views::values;
  if (!orders_known_) {
    const auto earliest = std::ranges::min(
        others | std::views::transform(&version_state::started_ms));
    return version.started_ms > earliest;
  }
  return now - version.first_seen < kNewVersionHold &&
         std::ranges::any_of(
             others,
             [&](const version_state& other) {
               return other.first_seen < version.first_seen;
             });
}

rollout_trial::endpoint_view rollout_table::ViewOf(
    time_point now,
    const active& rollout,
    const endpoint_registry& registry,
    const in_flight_count& in_flight) const {
  rollout_trial::endpoint_view view;
  const rollout_order& order = rollout.trial.order();
  for (const endpoint_id& id : registry.EndpointsOf(order.service)) {
    const endpoint_registry::entry& entry = *registry.Find(id);
    const bool is_usable = !entry.record.draining && !entry.address_reused;
    if (entry.record.software != order.target) {
      view.old_in_flight += in_flight(id);
      // Those of an order that was withdrawn replace nothing.
      const bool is_barred =
          versions_.at(order.service).at(entry.record.software).is_barred;
      view.old_slots += is_usable && !is_barred ? entry.record.slots : 0;
      continue;
    }
    ++view.new_endpoints;
    if (is_usable && entry.cold_until.value_or(now) <= now) {
      view.new_slots += entry.record.slots;
    }
  }
  return view;
}

void rollout_table::Update(time_point now,
                           const endpoint_registry& registry,
                           const in_flight_count& in_flight,
                           const fleet& known) {
  if (!is_enabled()) {
    return;
  }
  ReviewVersions(now, registry);
  for (auto& [service, rollout] : active_) {
    if (!IsDecided(rollout)) {
      rollout.trial.Update(now, ViewOf(now, rollout, registry, in_flight),
                           {.self = known.self,
                            .sharing_hosts = known.sharing_hosts,
                            .rank = known.rank(service),
                            .senders = known.senders});
    }
  }
  withheld_.clear();
  for (const auto& [id, entry] : registry.entries()) {
    if (IsWithheld(now, entry.record)) {
      withheld_.insert(id);
    }
  }
}

rollout_table::version_choice rollout_table::Choose(time_point now,
                                                    const service_id& service,
                                                    bool is_first_send) {
  active* rollout = active_.empty() ? nullptr : Find(service);
  if (rollout == nullptr || IsDecided(*rollout)) {
    return version_choice::kAny;
  }
  const bool is_new = is_first_send && rollout->trial.DrawNewVersion(now);
  if (rollout->trial.stage() == rollout_stage::kCutover) {
    return version_choice::kNew;
  }
  return is_new ? version_choice::kNewIfFree : version_choice::kOld;
}

std::optional<rollout_table::version_choice> rollout_table::Alternative(
    version_choice choice,
    bool all_busy) {
  const bool has_alternative = choice == version_choice::kNewIfFree ||
                               (choice == version_choice::kNew && !all_busy);
  return has_alternative ? std::optional(version_choice::kOld) : std::nullopt;
}

void rollout_table::Exclude(const endpoint_registry& registry,
                            const service_id& service,
                            version_choice choice,
                            std::vector<endpoint_id>& excluded) const {
  const active* rollout = Find(service);
  if (rollout == nullptr || choice == version_choice::kAny) {
    return;
  }
  const bool wants_new = choice != version_choice::kOld;
  for (const endpoint_id& id : registry.EndpointsOf(service)) {
    const bool is_new =
        registry.Find(id)->record.software == rollout->trial.order().target;
    if (is_new != wants_new) {
      excluded.push_back(id);
    }
  }
}

void rollout_table::OnAnswer(time_point now,
                             const endpoint_registry& registry,
                             const version_answer& answer) {
  if (active_.empty()) {
    return;
  }
  const auto* entry = registry.Find(answer.endpoint);
  active* rollout = entry == nullptr ? nullptr : Find(entry->record.service);
  if (rollout != nullptr) {
    const bool is_new = entry->record.software == rollout->trial.order().target;
    rollout->trial.OnAnswer(now, is_new, answer);
  }
}

std::vector<rollout_report> rollout_table::MakeReports(std::uint64_t process) {
  std::vector<rollout_report> reports;
  for (active& rollout : std::views::values(active_)) {
    if (!IsDecided(rollout)) {
      reports.push_back(rollout.trial.MakeReport(process));
    }
  }
  return reports;
}

void rollout_table::OnReport(const host_id& from,
                             const rollout_report& report) {
  if (active* rollout = Find(report.order)) {
    rollout->trial.OnReport(from, report);
  }
}

std::vector<rollout_table::stage_news> rollout_table::TakeNews(time_point now) {
  std::vector<stage_news> news;
  for (active& rollout : std::views::values(active_)) {
    if (rollout.trial.stage() != rollout.told_stage) {
      rollout.told_stage = rollout.trial.stage();
      rollout.news_left = kNewsRepeats;
    }
    if (rollout.news_left > 0) {
      --rollout.news_left;
      news.push_back({.order = rollout.trial.order(),
                      .stage = rollout.trial.stage(),
                      .elapsed = rollout.trial.Elapsed(now)});
    }
  }
  return news;
}

std::optional<rollout_table::stage_news> rollout_table::NewsFor(
    time_point now,
    const rollout_report& report) const {
  const active* rollout = Find(report.order.service);
  if (rollout == nullptr || rollout->trial.order() != report.order ||
      report.stage >= rollout->trial.stage()) {
    return std::nullopt;
  }
  return stage_news{.order = report.order,
                    .stage = rollout->trial.stage(),
                    .elapsed = rollout->trial.Elapsed(now)};
}

void rollout_table::OnNews(time_point now, const stage_news& news) {
  if (active* rollout = Find(news.order)) {
    rollout->trial.OnStage(now, news.stage, news.elapsed);
  }
}

std::vector<rollout_table::write> rollout_table::TakeWrites(
    time_point now,
    const fleet& known) {
  std::vector<write> writes;
  for (auto& [service, rollout] : active_) {
    const rollout_record& record = *rollout.record;
    if (now < rollout.next_write_at || IsDecided(rollout)) {
      continue;
    }
    const auto state =
        rollout.trial.StateToWrite(now, {.self = known.self,
                                         .sharing_hosts = known.sharing_hosts,
                                         .rank = known.rank(service),
                                         .senders = known.senders});
    if (!state.has_value() || state == record.state) {
      continue;
    }
    rollout.next_write_at = now + kWriteRetry;
    writes.push_back({.order = record.order, .state = *state, .at = record.at});
  }
  return writes;
}

std::vector<host_id> SelectDeciders(const service_id& service,
                                    std::vector<host_id> hosts) {
  const std::uint64_t key = HashName(service.value());
  const auto score = [key](const host_id& host) {
    return RendezvousScore(key, HashName(host.value()));
  };
  std::ranges::sort(hosts, std::greater<>(), score);
  hosts.resize(std::min(hosts.size(), kDeciders));
  return hosts;
}

std::vector<rollout_table::status> rollout_table::Statuses() const {
  std::vector<status> statuses;
  for (const active& rollout : std::views::values(active_)) {
    statuses.push_back(
        {.trial = &rollout.trial, .stored = rollout.record->state});
  }
  return statuses;
}

}  // namespace trefoilmill
