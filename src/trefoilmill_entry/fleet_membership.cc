#include "trefoilmill_entry/fleet_membership.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <ranges>
#include <string>
#include <utility>
#include <variant>

#include "trefoilmill/process/entry_hosts.h"
#include "trefoilmill_entry/object_digests.h"

namespace trefoilmill::entry {
namespace {

/// How often a host that knows no other sends a hello to the seeds.
constexpr duration kHelloInterval = std::chrono::milliseconds(300);

/// Probes are rare enough for a large fleet and frequent enough to remove a
/// dead host from the directory within some seconds.
membership_config MembershipConfig() {
  membership_config config;
  config.probe_interval = std::chrono::milliseconds(500);
  config.probe_timeout = std::chrono::milliseconds(200);
  config.suspicion_timeout = std::chrono::milliseconds(1000);
  // Members per datagram of a table, so that each fits into one packet.
  config.table_chunk = 6;
  return config;
}

/// Processing power of this host, in thousandths of a standard core.
int MillicoresOf(const entry_settings& settings) {
  const double cores = settings.processor_share * settings.processor_speed;
  return static_cast<int>(std::lround(1000 * cores));
}

host_record OwnRecord(const entry_settings& settings) {
  return {.id = settings.host,
          .zone = settings.zone,
          .peer = settings.peers,
          .callers = settings.callers,
          .administration = settings.peers,
          .millicores = MillicoresOf(settings)};
}

/// The seeds' addresses, without this host's own.
std::vector<socket_address> SeedsOf(const entry_settings& settings) {
  std::vector<socket_address> seeds;
  for (const std::string& ip : settings.seed_ips) {
    if (ip != settings.peers.ip) {
      seeds.push_back({.ip = ip, .port = settings.peers.port});
    }
  }
  return seeds;
}

}  // namespace

bool IsAlive(const member& m) {
  return m.state == member_state::kAlive || m.state == member_state::kSuspect;
}

bool IsServing(const member& m) {
  const auto configuration =
      FindRevision(m.documents, object_kind::kConfiguration);
  return IsAlive(m) && configuration.value_or(revision()) != revision();
}

result<membership> CreateMembership(const event_loop& loop,
                                    const entry_settings& settings,
                                    std::mt19937_64 random) {
  return membership::Create(loop.Now(), OwnRecord(settings),
                            incarnation(loop.SystemTimeMicros()),
                            MembershipConfig(), random);
}

fleet_membership::fleet_membership(event_loop& loop,
                                   const entry_settings& settings,
                                   membership members,
                                   peer_datagrams& datagrams,
                                   telemetry& process_telemetry,
                                   std::function<void()> on_hosts_changed)
    : loop_(loop),
      datagrams_(datagrams),
      telemetry_(process_telemetry),
      on_hosts_changed_(std::move(on_hosts_changed)),
      self_(OwnRecord(settings)),
      seeds_(SeedsOf(settings)),
      membership_(std::move(members)) {}

void fleet_membership::Start() {
  RunActions(membership_.Tick(loop_.Now()));
  SendHelloToSeeds();
}

void fleet_membership::SetListedHosts(std::vector<host_record> hosts) {
  for (const host_record& host : hosts) {
    datagrams_.RecordAddress(host);
  }
  RunActions(membership_.SetHostList(loop_.Now(), std::move(hosts)));
  on_hosts_changed_();
}

void fleet_membership::PublishDigests(std::vector<document_digest> digests) {
  RunActions(membership_.SetDocuments(loop_.Now(), std::move(digests)));
}

void fleet_membership::OnMessage(const host_id& from,
                                 const peer_message& message) {
  RunActions(membership_.Receive(loop_.Now(), from, message));
}

void fleet_membership::AnnounceLeaving() {
  RunActions(membership_.Leave(loop_.Now()));
}

void fleet_membership::AnnounceStop() {
  RunActions(membership_.Stop(loop_.Now()));
}

std::vector<host_record> fleet_membership::EntryHosts() const {
  std::vector<host_record> hosts;
  for (const member& m : std::views::values(membership_.members())) {
    if (IsServing(m) && !cut_off_.Contains(loop_.Now(), m.host.id)) {
      hosts.push_back(m.host);
    }
  }
  return hosts.empty() ? EntryHostsIfAllReach()
                       : SelectAdvertisedHosts(std::move(hosts));
}

std::vector<host_record> fleet_membership::ForwardingHosts() const {
  const auto is_unusable = [this](const host_record& host) {
    return host.id == self_.id || cut_off_.Contains(loop_.Now(), host.id);
  };
  std::vector<host_record> hosts = EntryHosts();
  std::erase_if(hosts, is_unusable);
  if (!hosts.empty()) {
    return hosts;
  }
  for (const member& m : std::views::values(membership_.members())) {
    if (m.state == member_state::kLeaving && !is_unusable(m.host)) {
      hosts.push_back(m.host);
    }
  }
  return hosts;
}

std::vector<host_record> fleet_membership::EntryHostsIfAllReach() const {
  std::vector<host_record> hosts;
  for (const member& m : std::views::values(membership_.members())) {
    if (IsServing(m)) {
      hosts.push_back(m.host);
    }
  }
  return SelectAdvertisedHosts(std::move(hosts));
}

std::vector<host_record> fleet_membership::KnownHosts() const {
  std::vector<host_record> known;
  std::ranges::transform(std::views::values(membership_.members()),
                         std::back_inserter(known), &member::host);
  std::ranges::copy_if(membership_.host_list(), std::back_inserter(known),
                       [this](const host_record& host) {
                         return !membership_.members().contains(host.id);
                       });
  return known;
}

std::vector<host_record> fleet_membership::NearbyHosts() const {
  const bool cross_zone =
      membership_.members().size() <= kMaxCrossZoneReceivers;
  std::vector<host_record> nearby;
  for (const auto& [id, m] : membership_.members()) {
    const bool in_scope = cross_zone || m.host.zone == self_.zone;
    if (id != self_.id && in_scope && IsAlive(m)) {
      nearby.push_back(m.host);
    }
  }
  return nearby;
}

void fleet_membership::RunActions(const membership::actions& actions) {
  for (const auto& action : actions) {
    std::visit([this](const auto& a) { RunAction(a); }, action);
  }
}

void fleet_membership::RunAction(const membership::send& action) {
  datagrams_.Send(action.to, action.message);
}

// Datagrams need no connection: a peer whose address is known is reported to
// membership as connected.
void fleet_membership::RunAction(const membership::connect& action) {
  datagrams_.RecordAddress(action.to);
  RunActions(membership_.LinkUp(loop_.Now(), action.to.id));
}

void fleet_membership::RunAction(const membership::member_changed& action) {
  const member& now = action.now;
  datagrams_.RecordAddress(now.host);
  telemetry_.log->Info(
      "host changed state",
      {.peer = now.host.id,
       .zone = now.host.zone,
       .detail = std::string(ToString(now.state)),
       .inputs = {{"incarnation", static_cast<std::int64_t>(now.life.value())},
                  {"before", std::string(action.before.has_value()
                                             ? ToString(*action.before)
                                             : "unknown")}}});
  on_hosts_changed_();
}

void fleet_membership::RunAction(const membership::declared_dead& /*action*/) {
  telemetry_.log->Warning("other hosts declared this host dead");
}

void fleet_membership::RunAction(const membership::wake& action) {
  membership_timer_ = loop_.RunAfter(action.at - loop_.Now(), [this] {
    RunActions(membership_.Tick(loop_.Now()));
  });
}

void fleet_membership::SendHelloToSeeds() {
  if (membership_.members().size() > 1) {
    return;
  }
  datagrams_.SendHello(seeds_,
                       {.organisation = {}, .self = membership_.SelfUpdate()});
  hello_timer_ = loop_.RunAfter(kHelloInterval, [this] { SendHelloToSeeds(); });
}

}  // namespace trefoilmill::entry
