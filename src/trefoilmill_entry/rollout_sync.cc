#include "trefoilmill_entry/rollout_sync.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <set>
#include <utility>

#include "platform/documents.h"
#include "trefoilmill/wire/log_messages.h"

namespace trefoilmill::entry {
namespace {

/// How often a host reports to the deciders.
constexpr duration kReportInterval = std::chrono::milliseconds(250);
/// Hosts that one host tells of a stage, each time.
constexpr std::size_t kNewsReceivers = 4;

/// Whether a member may have requests under way to endpoints.
bool MaySend(const member& m) {
  return IsServing(m) || m.state == member_state::kLeaving;
}

std::vector<host_id> IdsOf(const std::vector<host_record>& hosts) {
  std::vector<host_id> ids;
  std::ranges::transform(hosts, std::back_inserter(ids), &host_record::id);
  return ids;
}

}  // namespace

rollout_sync::rollout_sync(event_loop& loop,
                           shared_request_state& shared_state,
                           fleet_membership& fleet,
                           peer_datagrams& datagrams,
                           store_sync& store,
                           telemetry& process_telemetry,
                           std::mt19937_64 random)
    : loop_(loop),
      shared_state_(shared_state),
      fleet_(fleet),
      datagrams_(datagrams),
      store_(store),
      telemetry_(process_telemetry),
      random_(random),
      process_(random_()) {}

void rollout_sync::OnOrdersChanged() {
  std::vector<rollout_record> records;
  for (const stored_object& object :
       std::views::values(store_.Follower(object_kind::kRollouts).objects())) {
    auto record = platform::DecodeRollout(object);
    if (record.has_value()) {
      records.push_back(std::move(record.value()));
      continue;
    }
    telemetry_.log->Warning("malformed order of a roll-out ignored",
                            {.document = document_id(object.name),
                             .at = object.at,
                             .detail = record.error().detail});
  }
  shared_state_.rollouts.SetOrders(loop_.Now(), records);
  Review();
}

void rollout_sync::OnReports(const host_id& from,
                             const rollout_report_message& message) {
  rollout_stage_message news;
  for (const rollout_report& report : message.reports) {
    shared_state_.rollouts.OnReport(from, report);
    if (auto stage = shared_state_.rollouts.NewsFor(loop_.Now(), report)) {
      news.news.push_back(std::move(*stage));
    }
  }
  if (!news.news.empty()) {
    datagrams_.Send(from, news);
  }
  Review();
}

void rollout_sync::OnStages(const rollout_stage_message& message) {
  for (const rollout_table::stage_news& news : message.news) {
    shared_state_.rollouts.OnNews(loop_.Now(), news);
  }
  Review();
}

void rollout_sync::RunHousekeeping() {
  if (!shared_state_.rollouts.is_enabled()) {
    return;
  }
  Review();
  if (!shared_state_.rollouts.has_orders()) {
    return;
  }
  if (loop_.Now() - reported_at_ >= kReportInterval) {
    reported_at_ = loop_.Now();
    SendReports();
  }
  WriteStates();
}

rollout_table::fleet rollout_sync::KnownFleet() const {
  rollout_table::fleet known{
      .self = fleet_.self().id, .senders = {}, .rank = [](const service_id&) {
        return std::optional<std::size_t>();
      }};
  if (!shared_state_.rollouts.has_orders()) {
    return known;
  }
  std::vector<host_id> advertised = IdsOf(fleet_.EntryHosts());
  known.sharing_hosts = std::max<std::size_t>(1, advertised.size());
  for (const auto& [id, m] : fleet_.members()) {
    if (id == known.self || MaySend(m)) {
      known.senders.push_back(id);
    }
  }
  known.rank = [self = known.self, advertised = std::move(advertised)](
                   const service_id& service) -> std::optional<std::size_t> {
    const auto deciders = SelectDeciders(service, advertised);
    const auto found = std::ranges::find(deciders, self);
    return found == deciders.end() ? std::nullopt
                                   : std::optional(static_cast<std::size_t>(
                                         found - deciders.begin()));
  };
  return known;
}

void rollout_sync::Review() {
  rollout_table& rollouts = shared_state_.rollouts;
  rollouts.Update(
      loop_.Now(), shared_state_.registry,
      [this](const endpoint_id& id) {
        return shared_state_.selector.InFlight(id);
      },
      KnownFleet());
  shared_state_.selector.SetWithheld(rollouts.withheld());
  LogStages();
  SendNews();
}

void rollout_sync::SendReports() {
  const std::vector<host_id> advertised = IdsOf(fleet_.EntryHosts());
  std::map<host_id, rollout_report_message> messages;
  for (const rollout_report& report :
       shared_state_.rollouts.MakeReports(process_)) {
    for (const host_id& decider :
         SelectDeciders(report.order.service, advertised)) {
      messages[decider].reports.push_back(report);
    }
  }
  messages.erase(fleet_.self().id);
  for (const auto& [decider, message] : messages) {
    datagrams_.Send(decider, message);
  }
}

void rollout_sync::SendNews() {
  const rollout_stage_message message{
      .news = shared_state_.rollouts.TakeNews(loop_.Now())};
  if (message.news.empty()) {
    return;
  }
  std::vector<host_record> others;
  for (const auto& [id, m] : fleet_.members()) {
    if (id != fleet_.self().id && MaySend(m)) {
      others.push_back(m.host);
    }
  }
  std::vector<host_record> receivers;
  std::ranges::sample(others, std::back_inserter(receivers), kNewsReceivers,
                      random_);
  datagrams_.SendToAll(receivers, message);
}

void rollout_sync::WriteStates() {
  for (const rollout_table::write& write :
       shared_state_.rollouts.TakeWrites(loop_.Now(), KnownFleet())) {
    store_.WriteRolloutState(write.order, write.state, write.at);
  }
}

void rollout_sync::LogStages() {
  std::set<service_id> listed;
  for (const rollout_table::status& status :
       shared_state_.rollouts.Statuses()) {
    const rollout_trial& trial = *status.trial;
    const service_id& service = trial.order().service;
    listed.insert(service);
    telemetry_.meter->Set(metric::kRolloutStage,
                          static_cast<double>(trial.stage()),
                          {service.value()});
    telemetry_.meter->Set(metric::kRolloutSends,
                          static_cast<double>(trial.new_sends()),
                          {service.value(), "new"});
    telemetry_.meter->Set(metric::kRolloutSends,
                          static_cast<double>(trial.sends()),
                          {service.value(), "any"});
    const auto [logged, is_new] =
        logged_stages_.try_emplace(service, trial.stage());
    if (!is_new && logged->second == trial.stage()) {
      continue;
    }
    logged->second = trial.stage();
    const bool is_rejected = trial.stage() == rollout_stage::kRejected;
    log_fields fields{
        .document = document_id(service.value()),
        .detail = std::string(is_rejected ? trial.rejection()
                                          : ToString(trial.stage())),
        .inputs = {{"target", trial.order().target.value()},
                   {"elapsed_us", trial.Elapsed(loop_.Now()).count()},
                   {"sends", trial.sends()},
                   {"new_sends", trial.new_sends()},
                   {"answers", trial.answers()}}};
    if (const auto& finding = trial.finding(); finding.has_value()) {
      fields.inputs.emplace_back("route", finding->route.value());
      fields.inputs.emplace_back(
          "evidence_milli",
          static_cast<std::int64_t>(finding->evidence * 1000));
    }
    if (is_rejected) {
      telemetry_.log->Warning(log_message::kRolloutRejected, fields);
    } else {
      telemetry_.log->Info(log_message::kRolloutStage, fields);
    }
  }
  std::erase_if(logged_stages_, [&listed](const auto& entry) {
    return !listed.contains(entry.first);
  });
}

}  // namespace trefoilmill::entry
