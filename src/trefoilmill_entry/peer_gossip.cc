#include "trefoilmill_entry/peer_gossip.h"

#include <algorithm>
#include <cmath>
#include <ranges>
#include <set>
#include <utility>

#include "trefoilmill/process/entry_hosts.h"
#include "trefoilmill/wire/copy_codec.h"
#include "trefoilmill/wire/log_messages.h"
#include "trefoilmill/wire/peer_codec.h"

namespace trefoilmill::entry {
namespace {

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

/// How often a host that knows no other sends a hello to the seeds.
constexpr duration kHelloInterval = std::chrono::milliseconds(300);
/// How often this host compares its revisions with those of its peers.
constexpr duration kCopyCheckInterval = std::chrono::milliseconds(100);
/// A newer copy is fetched only if a peer stays ahead for this long: a host
/// that reaches the store gets changes from it within this time.
constexpr duration kCopyFetchDelay = std::chrono::milliseconds(150);
/// How often a host reviews whether to watch the store and, if it does, tells
/// its zone.
constexpr duration kHeartbeatInterval = std::chrono::milliseconds(500);
/// Heartbeats between two calls that list the hosts.
constexpr int kHeartbeatsPerRelist = 40;
/// How often a host reports endpoints in trouble, and how many at most.
constexpr duration kReportInterval = std::chrono::milliseconds(250);
constexpr std::size_t kMaxReportedEndpoints = 24;
/// How often a departure is reported, as datagrams may be lost.
constexpr int kDepartureReports = 3;
/// With at most this many receivers, feeds and reports also go to other zones.
constexpr std::size_t kMaxCrossZoneReceivers = 16;
/// Largest total content of the changes in one datagram, in bytes.
constexpr std::size_t kMaxFeedContentBytes = 16384;
/// Limit for fetching a copy from a peer.
constexpr duration kCopyFetchTimeout = std::chrono::milliseconds(800);
/// Largest copy that is accepted: 8 MiB.
constexpr std::size_t kMaxCopyBytes = 8 << 20;
/// Path of copies on the TCP port for peers; the kind of object follows.
constexpr char kCopiesPath[] = "/copies/";

/// Processing power of this host, in thousandths of a standard core.
int MillicoresOf(const entry_settings& settings) {
  const double cores = settings.processor_share * settings.processor_speed;
  return static_cast<int>(std::lround(1000 * cores));
}

/// The document that stands for a kind in digests.
document_id DocumentIdOf(object_kind kind) {
  return document_id(std::string(ToString(kind)));
}

/// The revision that a host has in force; none if it reported none.
revision RevisionInForce(const member& m, object_kind kind) {
  const auto found =
      std::ranges::find(m.documents, DocumentIdOf(kind), &document_digest::id);
  return found == m.documents.end() ? revision() : found->in_force;
}

/// Whether the host is alive and has a configuration, so that it can serve.
bool IsServing(const member& m) {
  const bool alive =
      m.state == member_state::kAlive || m.state == member_state::kSuspect;
  return alive && RevisionInForce(m, object_kind::kConfiguration) != revision();
}

}  // namespace

result<std::unique_ptr<peer_gossip>> peer_gossip::Create(
    event_loop& loop,
    const entry_settings& settings,
    store_sync& store,
    endpoint_selector& endpoint_placement,
    telemetry& process_telemetry,
    callbacks on_event,
    std::mt19937_64 random) {
  host_record self{.id = settings.host,
                   .zone = settings.zone,
                   .peer = settings.peers,
                   .callers = settings.callers,
                   .administration = settings.peers,
                   .millicores = MillicoresOf(settings)};
  auto members =
      membership::Create(loop.Now(), self, incarnation(loop.SystemTimeMicros()),
                         MembershipConfig(), random);
  if (!members.has_value()) {
    return members.error();
  }
  std::unique_ptr<peer_gossip> created(new peer_gossip(
      loop, settings, store, endpoint_placement, process_telemetry,
      std::move(on_event), std::move(self), std::move(members.value())));
  peer_gossip* gossip = created.get();
  auto socket = datagram_socket::Bind(
      loop, settings.peers,
      [gossip](const socket_address& from, const std::string& bytes) {
        gossip->OnDatagram(from, bytes);
      });
  if (!socket.has_value()) {
    return socket.error();
  }
  created->socket_ = std::move(socket.value());
  auto copy_server = http_server::Listen(
      loop, settings.peers, {},
      [gossip](const http_request& request, const http_responder& responder) {
        gossip->OnCopyRequest(request, responder);
      });
  if (!copy_server.has_value()) {
    return copy_server.error();
  }
  created->copy_server_ = std::move(copy_server.value());
  created->RunActions(created->membership_.Tick(loop.Now()));
  created->SendHelloToSeeds();
  created->heartbeat_timer_ =
      loop.RunEvery(kHeartbeatInterval, [gossip] { gossip->RunHeartbeat(); });
  created->report_timer_ = loop.RunEvery(
      kReportInterval, [gossip] { gossip->SendTroubleReports(); });
  created->copy_check_timer_ = loop.RunEvery(
      kCopyCheckInterval, [gossip] { gossip->FetchNewerCopies(); });
  return created;
}

peer_gossip::peer_gossip(event_loop& loop,
                         const entry_settings& settings,
                         store_sync& store,
                         endpoint_selector& endpoint_placement,
                         telemetry& process_telemetry,
                         callbacks on_event,
                         host_record self,
                         membership members)
    : loop_(loop),
      store_(store),
      placement_(endpoint_placement),
      telemetry_(process_telemetry),
      callbacks_(std::move(on_event)),
      self_(std::move(self)),
      membership_(std::move(members)),
      watch_duty_(self_.id, {}, loop.Now()),
      copy_client_(loop,
                   settings.callers.ip,
                   {.max_body_bytes = kMaxCopyBytes}) {
  for (const std::string& ip : settings.seed_ips) {
    if (ip != self_.peer.ip) {
      seeds_.push_back({.ip = ip, .port = self_.peer.port});
    }
  }
}

peer_gossip::~peer_gossip() = default;

void peer_gossip::SetListedHosts(std::vector<host_record> hosts) {
  for (const host_record& host : hosts) {
    addresses_by_id_[host.id] = host.peer;
    ids_by_address_[host.peer] = host.id;
  }
  RunActions(membership_.SetHostList(loop_.Now(), std::move(hosts)));
  callbacks_.on_hosts_changed();
}

std::vector<document_digest> peer_gossip::Digests() const {
  std::vector<document_digest> digests;
  for (const object_kind kind : kObjectKinds) {
    const revision at = store_.Follower(kind).changed_at();
    if (at != revision()) {
      digests.push_back({.id = DocumentIdOf(kind), .in_force = at});
    }
  }
  return digests;
}

void peer_gossip::PublishDigests() {
  RunActions(membership_.SetDocuments(loop_.Now(), Digests()));
}

void peer_gossip::RunHeartbeat() {
  std::vector<host_id> zone_hosts;
  std::set<zone_id> zones;
  for (const auto& [id, m] : membership_.members()) {
    const bool alive =
        m.state == member_state::kAlive || m.state == member_state::kSuspect;
    if (!alive) {
      continue;
    }
    zones.insert(m.host.zone);
    if (m.host.zone == self_.zone) {
      zone_hosts.push_back(id);
    }
  }
  watch_duty_.SetZoneHosts(zone_hosts, zones.size());
  const bool must_watch = watch_duty_.ShouldWatch(loop_.Now());
  if (must_watch != watching_) {
    watching_ = must_watch;
    telemetry_.log->Info(
        must_watch ? log_message::kWatchingStore : log_message::kLeavingStore,
        {.inputs = {
             {"zone_hosts", static_cast<std::int64_t>(zone_hosts.size())}}});
  }
  store_.SetWatching(must_watch);
  if (!is_watching()) {
    return;
  }
  Broadcast(store_feed{.fresh = store_.is_fresh(), .documents = Digests()});
  if (watch_duty_.is_designated() &&
      ++heartbeats_ % kHeartbeatsPerRelist == 0) {
    store_.RelistHosts();
  }
}

void peer_gossip::ForwardStoreChanges(object_kind kind,
                                      revision from,
                                      const object_changes& changes) {
  if (!is_watching()) {
    return;
  }
  store_feed feed{.fresh = true,
                  .documents = Digests(),
                  .kind = DocumentIdOf(kind),
                  .from = from};
  std::size_t bytes = 0;
  for (const object_event& event : changes.events) {
    bytes += event.object.content.size();
    feed.changes.push_back({.name = event.object.name,
                            .at = event.object.at,
                            .content = event.object.content,
                            .deleted = event.deleted});
  }
  if (bytes > kMaxFeedContentBytes) {
    // Too large for a datagram. The digests make the others fetch a copy.
    feed.changes.clear();
    feed.kind = document_id();
  }
  Broadcast(feed);
}

void peer_gossip::SendTroubleReports() {
  endpoint_troubles troubles{
      .reports = placement_.UnhealthyEndpoints(loop_.Now()), .departures = {}};
  for (auto& [departure, reports_left] : departures_) {
    troubles.departures.push_back(departure);
    --reports_left;
  }
  std::erase_if(departures_, [](const auto& d) { return d.second == 0; });
  if (troubles.reports.empty() && troubles.departures.empty()) {
    return;
  }
  if (troubles.reports.size() > kMaxReportedEndpoints) {
    troubles.reports.resize(kMaxReportedEndpoints);
  }
  const std::string frame = EncodePeerFrame({.sent = {}, .message = troubles});
  // Only these hosts send enough requests to benefit.
  const std::vector<host_record> receivers = EntryHosts();
  const bool cross_zone = receivers.size() <= kMaxCrossZoneReceivers;
  for (const host_record& host : receivers) {
    if (host.id != self_.id && (cross_zone || host.zone == self_.zone)) {
      SendFrame(host, frame);
    }
  }
}

void peer_gossip::ReportDeparture(const endpoint_departure& departure) {
  departures_.emplace_back(departure, kDepartureReports);
}

void peer_gossip::SendFrame(const host_record& host, const std::string& frame) {
  telemetry_.meter->Increment(metric::kPeerBytes, {"control", "out"},
                              static_cast<double>(frame.size()));
  socket_->Send(host.peer, frame);
}

void peer_gossip::Broadcast(const peer_message& message) {
  const std::string frame = EncodePeerFrame({.sent = {}, .message = message});
  // Larger fleets send within each zone only.
  const bool cross_zone =
      membership_.members().size() <= kMaxCrossZoneReceivers;
  for (const auto& [id, m] : membership_.members()) {
    const bool reachable =
        m.state == member_state::kAlive || m.state == member_state::kSuspect;
    const bool in_scope = cross_zone || m.host.zone == self_.zone;
    if (id != self_.id && in_scope && reachable) {
      SendFrame(m.host, frame);
    }
  }
}

void peer_gossip::OnStoreFeed(const host_id& from, const store_feed& feed) {
  if (feed.fresh) {
    watch_duty_.OnStoreFeed(loop_.Now());
  }
  for (const document_digest& digest : feed.documents) {
    store_.ObserveEra(digest.in_force.era());
  }
  for (const object_kind kind : kObjectKinds) {
    const auto digest = std::ranges::find(feed.documents, DocumentIdOf(kind),
                                          &document_digest::id);
    if (digest == feed.documents.end()) {
      continue;
    }
    if (feed.kind == DocumentIdOf(kind)) {
      object_changes changes{.events = {}, .as_of = digest->in_force};
      for (const fed_object& object : feed.changes) {
        changes.events.push_back({.object = {.name = object.name,
                                             .at = object.at,
                                             .content = object.content},
                                  .deleted = object.deleted});
      }
      store_.ApplyPeerChanges(kind, feed.from, std::move(changes));
    }
    latest_feeds_[kind] = {digest->in_force, addresses_by_id_.at(from)};
  }
}

void peer_gossip::AnnounceLeaving() {
  RunActions(membership_.Leave(loop_.Now()));
}

void peer_gossip::AnnounceStop() {
  RunActions(membership_.Stop(loop_.Now()));
}

std::vector<host_record> peer_gossip::EntryHosts() const {
  std::vector<host_record> hosts;
  for (const member& m : std::views::values(membership_.members())) {
    if (IsServing(m)) {
      hosts.push_back(m.host);
    }
  }
  return SelectAdvertisedHosts(std::move(hosts));
}

std::vector<host_record> peer_gossip::KnownHosts() const {
  std::vector<host_record> known;
  std::ranges::transform(std::views::values(membership_.members()),
                         std::back_inserter(known), &member::host);
  std::ranges::copy_if(membership_.host_list(), std::back_inserter(known),
                       [this](const host_record& host) {
                         return !membership_.members().contains(host.id);
                       });
  return known;
}

void peer_gossip::RunActions(const membership::actions& actions) {
  for (const auto& action : actions) {
    std::visit([this](const auto& a) { RunAction(a); }, action);
  }
}

void peer_gossip::RunAction(const membership::send& action) {
  const auto address = addresses_by_id_.find(action.to);
  if (address == addresses_by_id_.end() || socket_ == nullptr) {
    return;
  }
  const std::string frame =
      EncodePeerFrame({.sent = {}, .message = action.message});
  telemetry_.meter->Increment(metric::kPeerBytes, {"control", "out"},
                              static_cast<double>(frame.size()));
  socket_->Send(address->second, frame);
}

// Datagrams need no connection: a peer whose address is known is reported to
// membership as connected.
void peer_gossip::RunAction(const membership::connect& action) {
  addresses_by_id_[action.to.id] = action.to.peer;
  ids_by_address_[action.to.peer] = action.to.id;
  RunActions(membership_.LinkUp(loop_.Now(), action.to.id));
}

void peer_gossip::RunAction(const membership::member_changed& action) {
  const member& now = action.now;
  addresses_by_id_[now.host.id] = now.host.peer;
  ids_by_address_[now.host.peer] = now.host.id;
  telemetry_.log->Info(
      "host changed state",
      {.peer = now.host.id,
       .zone = now.host.zone,
       .detail = std::string(ToString(now.state)),
       .inputs = {{"incarnation", static_cast<std::int64_t>(now.life.value())},
                  {"before", std::string(action.before.has_value()
                                             ? ToString(*action.before)
                                             : "unknown")}}});
  callbacks_.on_hosts_changed();
}

void peer_gossip::RunAction(const membership::declared_dead& /*action*/) {
  telemetry_.log->Warning("other hosts declared this host dead");
}

void peer_gossip::RunAction(const membership::wake& action) {
  membership_timer_ = loop_.RunAfter(action.at - loop_.Now(), [this] {
    RunActions(membership_.Tick(loop_.Now()));
  });
}

// A host that starts while the store is unreachable learns its peers'
// addresses only from their messages.
void peer_gossip::RecordAddresses(const peer_message& message) {
  const auto record = [this](const host_record& host) {
    addresses_by_id_[host.id] = host.peer;
    ids_by_address_[host.peer] = host.id;
  };
  const auto record_all = [&](const std::vector<member_update>& updates) {
    std::ranges::for_each(updates, record, &member_update::host);
  };
  std::visit(
      [&](const auto& m) {
        if constexpr (requires { m.self.host; }) {
          record(m.self.host);
        } else if constexpr (requires { m.updates; }) {
          record_all(m.updates);
        }
      },
      message);
}

void peer_gossip::OnDatagram(const socket_address& from,
                             const std::string& bytes) {
  const auto frame = DecodePeerFrame(bytes);
  if (!frame.has_value()) {
    telemetry_.log->Warning("malformed datagram ignored",
                            {.detail = frame.error().detail});
    return;
  }
  telemetry_.meter->Increment(metric::kPeerBytes, {"control", "in"},
                              static_cast<double>(bytes.size()));
  const peer_message& message = frame.value().message;
  RecordAddresses(message);
  const auto sender = ids_by_address_.find(from);
  if (sender == ids_by_address_.end()) {
    return;
  }
  const host_id id = sender->second;
  if (const auto* troubles = std::get_if<endpoint_troubles>(&message)) {
    for (const endpoint_health_report& report : troubles->reports) {
      placement_.OnPeerReport(loop_.Now(), report);
    }
    for (const endpoint_departure& departure : troubles->departures) {
      callbacks_.on_departure(id, departure);
    }
    return;
  }
  if (const auto* feed = std::get_if<store_feed>(&message)) {
    OnStoreFeed(id, *feed);
    return;
  }
  RunActions(membership_.Receive(loop_.Now(), id, message));
}

void peer_gossip::SendHelloToSeeds() {
  if (membership_.members().size() > 1) {
    return;
  }
  hello_message hello{.organisation = {}, .self = membership_.SelfUpdate()};
  const std::string frame = EncodePeerFrame({.sent = {}, .message = hello});
  for (const socket_address& seed : seeds_) {
    socket_->Send(seed, frame);
  }
  hello_timer_ = loop_.RunAfter(kHelloInterval, [this] { SendHelloToSeeds(); });
}

void peer_gossip::FetchNewerCopies() {
  for (const object_kind kind : kObjectKinds) {
    const store_follower& local = store_.Follower(kind);
    std::vector<socket_address> newer_peers;
    for (const auto& [id, m] : membership_.members()) {
      const bool reachable = IsServing(m) || m.leaving;
      if (id != self_.id && reachable &&
          RevisionInForce(m, kind) > local.as_of()) {
        newer_peers.push_back(m.host.peer);
      }
    }
    if (const auto feed = latest_feeds_.find(kind);
        feed != latest_feeds_.end() && feed->second.first > local.as_of()) {
      newer_peers = {feed->second.second};
    }
    if (newer_peers.empty()) {
      behind_since_.erase(kind);
      continue;
    }
    const time_point now = loop_.Now();
    const auto [since, inserted] = behind_since_.try_emplace(kind, now);
    const bool waited = now - since->second >= kCopyFetchDelay;
    if (local.has_content() && !waited) {
      continue;
    }
    since->second = now;
    FetchCopy(
        kind,
        newer_peers[static_cast<std::size_t>(now.time_since_epoch().count()) %
                    newer_peers.size()]);
  }
}

void peer_gossip::FetchCopy(object_kind kind, const socket_address& from) {
  const http_request request{.method = "GET",
                             .path = kCopiesPath + std::string(ToString(kind))};
  copy_client_.Send(
      from, request, kCopyFetchTimeout, [this, kind](http_result exchange) {
        if (!exchange.response.has_value() ||
            exchange.response->status != 200) {
          telemetry_.log->Info("fetching a copy from a peer failed",
                               {.document = DocumentIdOf(kind)});
          return;
        }
        auto copy = DecodeCopy(exchange.response->body);
        if (!copy.has_value()) {
          telemetry_.log->Warning(
              "malformed copy from a peer ignored",
              {.document = DocumentIdOf(kind), .detail = copy.error().detail});
          return;
        }
        store_.ApplyPeerCopy(kind, std::move(copy.value()));
      });
}

void peer_gossip::OnCopyRequest(const http_request& request,
                                const http_responder& responder) {
  http_response response;
  response.status = 404;
  for (const object_kind kind : kObjectKinds) {
    if (request.path == kCopiesPath + std::string(ToString(kind))) {
      response.status = 200;
      response.content_type = "application/cbor";
      response.body = EncodeCopy(store_.Follower(kind).MakeCopy());
    }
  }
  responder.Send(response);
}

}  // namespace trefoilmill::entry
