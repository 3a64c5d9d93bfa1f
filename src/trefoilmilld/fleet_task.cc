#include "trefoilmilld/fleet_task.h"

#include <algorithm>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

namespace trefoilmill {
namespace {

/// Heartbeats of the ownership tracker in one probe interval.
constexpr int kHeartbeatsPerInterval = 5;
/// A failed read of the host list is repeated after this.
constexpr duration kHostListRetry = std::chrono::milliseconds(500);

host_record SelfRecord(const daemon_settings& settings) {
  return {.id = settings.host,
          .zone = settings.zone,
          .peer = settings.advertised_peers.value_or(settings.peers),
          .callers = settings.advertised_callers.value_or(settings.callers),
          .administration = settings.administration,
          .status = host_record::state::kLive};
}

/// The digests that a membership message carries; nullptr if none.
const std::vector<document_digest>* DigestsOf(const peer_message& message) {
  return std::visit(
      [](const auto& m) -> const std::vector<document_digest>* {
        if constexpr (requires { m.documents; }) {
          return &m.documents;
        }
        return nullptr;
      },
      message);
}

/// Endpoints whose owner differs.
double CountChanges(const std::map<endpoint_id, host_id>& before,
                    const std::map<endpoint_id, host_id>& after) {
  return static_cast<double>(
      std::ranges::count_if(after, [&before](const auto& entry) {
        const auto found = before.find(entry.first);
        return found == before.end() || found->second != entry.second;
      }));
}

bool IsForMembership(const peer_message& message) {
  return std::holds_alternative<ping_message>(message) ||
         std::holds_alternative<ack_message>(message) ||
         std::holds_alternative<ping_request_message>(message) ||
         std::holds_alternative<announce_message>(message);
}

}  // namespace

fleet_task::fleet_task(event_loop& loop,
                       const daemon_settings& settings,
                       store_client& store,
                       telemetry& trace,
                       fleet_events events,
                       membership members)
    : loop_(loop),
      self_(SelfRecord(settings)),
      organisation_(settings.organisation),
      store_(store),
      trace_(trace),
      events_(std::move(events)),
      members_(std::move(members)),
      max_deadline_(query_config().max_deadline),
      seeds_(settings.seed_peers),
      tracker_(loop.Now(), self_.id, Timing()) {}

result<std::unique_ptr<fleet_task>> fleet_task::Create(
    event_loop& loop,
    const daemon_settings& settings,
    store_client& store,
    telemetry& trace,
    fleet_events events) {
  auto members = membership::Create(
      loop.Now(), SelfRecord(settings), incarnation(loop.SystemTimeMicros()),
      membership_config(), std::mt19937_64(settings.seed));
  if (!members.has_value()) {
    return std::move(members).error();
  }
  std::unique_ptr<fleet_task> task(new fleet_task(loop, settings, store, trace,
                                                  std::move(events),
                                                  std::move(members).value()));
  fleet_task* self = task.get();
  auto mesh = peer_mesh::Listen(
      loop, settings.peers, trace.clock(),
      [self] {
        return hello_message{.organisation = self->organisation_,
                             .self = self->members_.SelfUpdate()};
      },
      {.on_connected = [self](
                           const auto& host,
                           const auto& hello) { self->OnLinked(host, hello); },
       .on_disconnected = [self](const auto& host) { self->OnLost(host); },
       .on_message =
           [self](const auto& host, peer_message message) {
             self->OnMessage(host, std::move(message));
           }});
  if (!mesh.has_value()) {
    return std::move(mesh).error();
  }
  self->mesh_ = std::move(mesh).value();
  self->PollHosts();
  self->Heartbeat();
  self->Perform(self->members_.Tick(loop.Now()));
  return task;
}

ownership_timing fleet_task::Timing() const {
  return OwnershipTiming(max_deadline_, membership_config_);
}

void fleet_task::SetDeployment(std::shared_ptr<const deployment> config) {
  deployment_ = std::move(config);
  membership_config_ = deployment_->membership;
  max_deadline_ = deployment_->query.max_deadline;
  members_.SetConfig(membership_config_);
  tracker_.SetTiming(Timing());
  RebuildMap();
}

void fleet_task::SetZones(const zone_states& zones) {
  zones_ = zones;
  RebuildMap();
}

void fleet_task::SetDocuments(std::vector<document_digest> digests) {
  Perform(members_.SetDocuments(loop_.Now(), std::move(digests)));
}

void fleet_task::Leave() {
  Perform(members_.Leave(loop_.Now()));
  RebuildMap();
}

void fleet_task::Release() {
  Perform(members_.Release(loop_.Now()));
}

void fleet_task::Stop() {
  Perform(members_.Stop(loop_.Now()));
}

bool fleet_task::Send(const host_id& host, const peer_message& message) {
  return mesh_->Send(host, message);
}

std::optional<host_id> fleet_task::OwnerOf(const endpoint_id& endpoint) const {
  return map_.OwnerOf(endpoint);
}

std::vector<endpoint_id> fleet_task::OwnEndpoints() const {
  return map_.EndpointsOf(self_.id);
}

ownership_standing fleet_task::Standing(const endpoint_id& endpoint) const {
  return tracker_.StandingOf(loop_.Now(), endpoint);
}

int fleet_task::HostCount() const {
  return std::max(1, static_cast<int>(members_.LiveHosts().size()));
}

void fleet_task::Perform(const membership::actions& actions) {
  for (const auto& action : actions) {
    std::visit([this](const auto& a) { Do(a); }, action);
  }
}

void fleet_task::Do(const membership::send& action) {
  // The mesh has said hello by itself; a second one would end the link.
  if (std::holds_alternative<hello_message>(action.message)) {
    return;
  }
  mesh_->Send(action.to, action.message);
}

void fleet_task::Do(const membership::connect& action) {
  mesh_->Connect(action.to.id, action.to.peer);
}

void fleet_task::Do(const membership::member_changed& action) {
  trace_.Record({.kind = "member_changed",
                 .zone = action.now.host.zone,
                 .detail = action.now.host.id.value() + " is " +
                           std::string(ToString(action.now.state))});
  TellReleased(action);
  RebuildMap();
}

void fleet_task::Do(const membership::declared_dead& /*action*/) {
  trace_.Record({.kind = "declared_dead"}, log_level::kWarning);
  tracker_.RestartQuietPeriods(loop_.Now());
}

void fleet_task::Do(const membership::wake& action) {
  wake_ = loop_.RunAfter(action.at - loop_.Now(),
                         [this] { Perform(members_.Tick(loop_.Now())); });
}

void fleet_task::TellReleased(const membership::member_changed& change) {
  if (change.now.state == member_state::kReleased) {
    tracker_.MarkReleased(change.now.host.id);
  }
}

void fleet_task::OnLinked(const host_id& host, const hello_message& hello) {
  Perform(members_.LinkUp(loop_.Now(), host));
  Perform(members_.Receive(loop_.Now(), host, hello));
  events_.digests(host, hello.self.documents);
}

void fleet_task::OnLost(const host_id& host) {
  Perform(members_.LinkLost(loop_.Now(), host));
  events_.lost(host);
}

void fleet_task::OnMessage(const host_id& host, peer_message message) {
  if (!IsForMembership(message)) {
    events_.received(host, std::move(message));
    return;
  }
  Perform(members_.Receive(loop_.Now(), host, message));
  if (const auto* digests = DigestsOf(message); digests != nullptr) {
    events_.digests(host, *digests);
  }
}

void fleet_task::PollHosts() {
  store_.ReadHosts([this](std::optional<std::vector<host_record>> hosts) {
    duration next = kHostListRetry;
    if (hosts.has_value()) {
      next = HostListInterval(hosts->size());
      Perform(members_.SetHostList(loop_.Now(), std::move(*hosts)));
      RebuildMap();
    } else {
      AskSeeds();
    }
    poll_ = loop_.RunAfter(next, [this] { PollHosts(); });
  });
}

void fleet_task::AskSeeds() {
  if (mesh_->connected_hosts() > 0) {
    return;
  }
  for (const socket_address& seed : seeds_) {
    if (seed != self_.peer) {
      mesh_->ConnectToSeed(seed);
    }
  }
}

std::vector<host_record> fleet_task::Voters() const {
  std::vector<host_record> voters = members_.host_list();
  for (host_record& voter : voters) {
    const auto known = members_.members().find(voter.id);
    if (known != members_.members().end() && known->second.leaving) {
      voter.status = host_record::state::kLeaving;
    }
  }
  return voters;
}

void fleet_task::Heartbeat() {
  const time_point now = loop_.Now();
  if (heartbeat_due_.has_value()) {
    trace_.values().Observe(metric::kLoopDelay, now - *heartbeat_due_);
  }
  tracker_.SetVoters(loop_.Now(), Voters(), zones_.out);
  tracker_.Heartbeat(loop_.Now(), members_.ProbeResults(loop_.Now()));
  events_.view_changed();
  const duration period =
      membership_config_.probe_interval / kHeartbeatsPerInterval;
  heartbeat_due_ = loop_.Now() + period;
  heartbeat_ = loop_.RunAfter(period, [this] { Heartbeat(); });
}

void fleet_task::RebuildMap() {
  if (deployment_ == nullptr) {
    return;
  }
  auto map =
      ownership_map::Build(members_.LiveHosts(), zones_.out, *deployment_);
  if (map.owners() == map_.owners()) {
    return;
  }
  trace_.values().Increment(metric::kOwnershipChanges, {},
                            CountChanges(map_.owners(), map.owners()));
  map_ = std::move(map);
  tracker_.SetOwners(loop_.Now(), map_);
  trace_.Record({.kind = "owners_changed",
                 .detail = "owns " + std::to_string(OwnEndpoints().size()) +
                           " of " + std::to_string(map_.owners().size())});
  events_.view_changed();
}

}  // namespace trefoilmill
