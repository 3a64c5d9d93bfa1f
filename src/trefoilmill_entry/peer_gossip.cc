#include "trefoilmill_entry/peer_gossip.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "trefoilmill_entry/object_digests.h"

namespace trefoilmill::entry {

result<std::unique_ptr<peer_gossip>> peer_gossip::Create(
    event_loop& loop,
    const entry_settings& settings,
    store_sync& store,
    shared_request_state& shared_state,
    telemetry& process_telemetry,
    callbacks on_event,
    std::mt19937_64 random) {
  auto members = CreateMembership(loop, settings, random);
  if (!members.has_value()) {
    return members.error();
  }
  std::unique_ptr<peer_gossip> created(new peer_gossip(loop, store));
  auto datagrams = peer_datagrams::Bind(
      loop, settings.peers, process_telemetry,
      [gossip = created.get()](const host_id& from,
                               const peer_message& message) {
        gossip->OnMessage(from, message);
      });
  if (!datagrams.has_value()) {
    return datagrams.error();
  }
  created->datagrams_ = std::move(datagrams.value());
  created->fleet_ = std::make_unique<fleet_membership>(
      loop, settings, std::move(members.value()), *created->datagrams_,
      process_telemetry, std::move(on_event.on_hosts_changed));
  auto copies = peer_copies::Listen(
      loop, settings, store, *created->fleet_, process_telemetry,
      std::move(on_event.on_forwarded), std::mt19937_64(random()));
  if (!copies.has_value()) {
    return copies.error();
  }
  created->copies_ = std::move(copies.value());
  created->feeds_ = std::make_unique<store_feeds>(
      loop, store, *created->fleet_, *created->datagrams_, *created->copies_,
      process_telemetry);
  created->troubles_ = std::make_unique<trouble_reports>(
      loop, shared_state, *created->fleet_, *created->datagrams_,
      process_telemetry, std::move(on_event.on_departure));
  created->quarantine_ = std::make_unique<quarantine_sync>(
      loop, shared_state, *created->fleet_, *created->datagrams_, store,
      process_telemetry, std::mt19937_64(random()));
  created->quotas_ =
      std::make_unique<quota_sync>(loop, shared_state, *created->datagrams_,
                                   std::move(on_event.on_permits_lent));
  created->demands_ =
      std::make_unique<demand_sync>(loop, shared_state, *created->fleet_,
                                    *created->datagrams_, process_telemetry);
  created->rollouts_ = std::make_unique<rollout_sync>(
      loop, shared_state, *created->fleet_, *created->datagrams_, store,
      process_telemetry, std::mt19937_64(random()));
  created->Start();
  return created;
}

peer_gossip::peer_gossip(const event_loop& loop, const store_sync& store)
    : loop_(loop), store_(store) {}

peer_gossip::~peer_gossip() = default;

void peer_gossip::Start() {
  fleet_->Start();
  feeds_->Start();
  troubles_->Start();
  copies_->Start();
  quarantine_->Start();
}

void peer_gossip::SetListedHosts(std::vector<host_record> hosts) {
  fleet_->SetListedHosts(std::move(hosts));
}

void peer_gossip::PublishDigests() {
  fleet_->PublishDigests(DigestsOf(store_));
}

void peer_gossip::ForwardStoreChanges(
    object_kind kind,
    const store_sync::store_changes& changes) {
  feeds_->ForwardChanges(kind, changes);
}

void peer_gossip::ReportDeparture(const endpoint_departure& departure) {
  troubles_->ReportDeparture(departure);
}

void peer_gossip::ShareQuarantineNews() {
  quarantine_->SendNews();
}

void peer_gossip::ScheduleQuarantineNews() {
  quarantine_->ScheduleNews();
}

void peer_gossip::OnRolloutOrdersChanged() {
  rollouts_->OnOrdersChanged();
}

void peer_gossip::RunHousekeeping() {
  quarantine_->RunHousekeeping();
  quotas_->RunHousekeeping();
  demands_->RunHousekeeping();
  rollouts_->RunHousekeeping();
}

void peer_gossip::AnnounceLeaving() {
  fleet_->AnnounceLeaving();
}

void peer_gossip::AnnounceStop() {
  fleet_->AnnounceStop();
}

std::vector<host_record> peer_gossip::EntryHosts() const {
  return fleet_->EntryHosts();
}

std::vector<host_record> peer_gossip::SharingHosts() const {
  std::vector<host_record> sharing = fleet_->EntryHosts();
  for (host_record& host : fleet_->EntryHostsIfAllReach()) {
    if (std::ranges::find(sharing, host.id, &host_record::id) ==
        sharing.end()) {
      sharing.push_back(std::move(host));
    }
  }
  return sharing;
}

forwarding_peers peer_gossip::ForwardingPeers() {
  return {
      .hosts = [this] { return fleet_->ForwardingHosts(); },
      .cut_off = [this] { return fleet_->cut_off().ByOwnWord(loop_.Now()); },
      .on_cut_off =
          [this](const std::vector<host_id>& hosts) {
            troubles_->OnCutOff(hosts);
          }};
}

http_server& peer_gossip::server() {
  return copies_->server();
}

std::vector<host_record> peer_gossip::KnownHosts() const {
  return fleet_->KnownHosts();
}

/// Passes a message on to the part that its type belongs to.
struct peer_gossip::dispatcher {
  peer_gossip& gossip;
  const host_id& from;
  const peer_message& message;

  void operator()(const endpoint_troubles& troubles) const {
    gossip.troubles_->OnReports(from, troubles);
  }
  void operator()(const endpoint_limits_message& limits) const {
    gossip.troubles_->OnLimits(from, limits);
  }
  void operator()(const endpoint_reach_message& reach) const {
    gossip.troubles_->OnReach(from, reach);
  }
  void operator()(const quarantine_reports_message& reports) const {
    gossip.quarantine_->OnReports(from, reports);
  }
  void operator()(const quarantine_digest_message& digest) const {
    gossip.quarantine_->OnDigest(from, digest);
  }
  void operator()(const quota_request_message& request) const {
    gossip.quotas_->OnRequest(from, request);
  }
  void operator()(const quota_grant_message& grant) const {
    gossip.quotas_->OnGrant(from, grant);
  }
  void operator()(const organisation_demand_message& report) const {
    gossip.demands_->OnReport(from, report);
  }
  void operator()(const rollout_report_message& reports) const {
    gossip.rollouts_->OnReports(from, reports);
  }
  void operator()(const rollout_stage_message& stages) const {
    gossip.rollouts_->OnStages(stages);
  }
  void operator()(const store_feed& feed) const {
    gossip.feeds_->OnFeed(from, feed);
  }
  void operator()(const object_patch_message& patch) const {
    gossip.feeds_->OnPatch(from, patch);
  }
  void operator()(const auto& /*of membership*/) const {
    gossip.fleet_->OnMessage(from, message);
  }
};

void peer_gossip::OnMessage(const host_id& from, const peer_message& message) {
  std::visit(dispatcher{*this, from, message}, message);
}

}  // namespace trefoilmill::entry
