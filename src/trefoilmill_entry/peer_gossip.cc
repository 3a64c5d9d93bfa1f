#include "trefoilmill_entry/peer_gossip.h"

#include <algorithm>
#include <cmath>
#include <ranges>
#include <utility>

#include "trefoilmill/process/entry_hosts.h"
#include "trefoilmill/wire/copy_codec.h"
#include "trefoilmill/wire/log_messages.h"
#include "trefoilmill/wire/peer_codec.h"

namespace trefoilmill::entry {
namespace {

/// Small enough for a whole fleet's probes, quick enough to take a dead host
/// off the directory within some seconds.
membership_config MembershipConfig() {
  membership_config config;
  config.probe_interval = std::chrono::milliseconds(500);
  config.probe_timeout = std::chrono::milliseconds(200);
  config.suspicion_timeout = std::chrono::milliseconds(1000);
  // A table in datagrams that fit into one packet each.
  config.table_chunk = 6;
  return config;
}

constexpr duration kGreetInterval = std::chrono::milliseconds(300);
constexpr duration kCatchUpInterval = std::chrono::milliseconds(100);
/// A host whose store connection works gets news by itself within this time.
constexpr duration kStoreHeadStart = std::chrono::milliseconds(150);
/// How often a host that watches the store says so in its zone.
constexpr duration kBeatInterval = std::chrono::milliseconds(500);
/// Beats between two readings of the list of hosts.
constexpr int kBeatsPerRelist = 40;
/// How often hosts tell of endpoints that are not well, and of how many.
constexpr duration kReportInterval = std::chrono::milliseconds(250);
constexpr std::size_t kMaxReports = 24;
/// Up to this many receivers, feeds and reports go to other zones as well.
constexpr std::size_t kSmallFleet = 16;
/// Content of changes that one datagram may carry.
constexpr std::size_t kMaxFedBytes = 16384;
constexpr duration kFetchTimeout = std::chrono::milliseconds(800);
constexpr std::size_t kMaxCopyBytes = 8 << 20;
constexpr char kCopiesPath[] = "/copies/";

int MillicoresOf(const entry_settings& settings) {
  const double cores = settings.processor_share * settings.processor_speed;
  return static_cast<int>(std::lround(1000 * cores));
}

document_id DigestName(object_kind kind) {
  return document_id(std::string(ToString(kind)));
}

revision DigestOf(const member& m, object_kind kind) {
  const auto found =
      std::ranges::find(m.documents, DigestName(kind), &document_digest::id);
  return found == m.documents.end() ? revision() : found->in_force;
}

bool IsServing(const member& m) {
  const bool alive =
      m.state == member_state::kAlive || m.state == member_state::kSuspect;
  return alive && DigestOf(m, object_kind::kConfiguration) != revision();
}

}  // namespace

result<std::unique_ptr<peer_task>> peer_task::Create(
    event_loop& loop,
    const entry_settings& settings,
    store_task& store,
    placement& places,
    telemetry& trace,
    std::function<void()> on_hosts_changed,
    std::mt19937_64 random) {
  host_record self{.id = settings.host,
                   .zone = settings.zone,
                   .peer = settings.peers,
                   .callers = settings.callers,
                   .administration = settings.peers,
                   .millicores = MillicoresOf(settings)};
  auto members =
      membership::Create(loop.Now(), self, incarnation(loop.WallMicros()),
                         MembershipConfig(), random);
  if (!members.has_value()) {
    return members.error();
  }
  std::unique_ptr<peer_task> made(new peer_task(
      loop, settings, store, places, trace, std::move(on_hosts_changed),
      std::move(self), std::move(members.value())));
  peer_task* task = made.get();
  auto socket = datagram_socket::Bind(
      loop, settings.peers,
      [task](const socket_address& from, const std::string& bytes) {
        task->OnDatagram(from, bytes);
      });
  if (!socket.has_value()) {
    return socket.error();
  }
  made->socket_ = std::move(socket.value());
  auto copies = http_server::Listen(
      loop, settings.peers, {},
      [task](const http_request& request, const http_responder& responder) {
        task->OnCopyRequest(request, responder);
      });
  if (!copies.has_value()) {
    return copies.error();
  }
  made->copies_ = std::move(copies.value());
  made->Apply(made->members_.Tick(loop.Now()));
  made->GreetSeeds();
  made->beat_ = loop.Every(kBeatInterval, [task] { task->Beat(); });
  made->report_ = loop.Every(kReportInterval, [task] { task->Report(); });
  made->catch_up_ = loop.Every(kCatchUpInterval, [task] { task->CatchUp(); });
  return made;
}

peer_task::peer_task(event_loop& loop,
                     const entry_settings& settings,
                     store_task& store,
                     placement& places,
                     telemetry& trace,
                     std::function<void()> on_hosts_changed,
                     host_record self,
                     membership members)
    : loop_(loop),
      store_(store),
      places_(places),
      trace_(trace),
      on_hosts_changed_(std::move(on_hosts_changed)),
      self_(std::move(self)),
      members_(std::move(members)),
      duty_(self_.id, {}, loop.Now()),
      client_(loop, settings.callers.ip, {.max_body_bytes = kMaxCopyBytes}) {
  for (const std::string& ip : settings.seed_ips) {
    if (ip != self_.peer.ip) {
      seeds_.push_back({.ip = ip, .port = self_.peer.port});
    }
  }
}

peer_task::~peer_task() = default;

void peer_task::SetListed(std::vector<host_record> hosts) {
  for (const host_record& host : hosts) {
    addresses_[host.id] = host.peer;
    ids_[host.peer] = host.id;
  }
  Apply(members_.SetHostList(loop_.Now(), std::move(hosts)));
  on_hosts_changed_();
}

std::vector<document_digest> peer_task::Digests() const {
  std::vector<document_digest> digests;
  for (const object_kind kind : kObjectKinds) {
    const revision at = store_.Follower(kind).changed_at();
    if (at != revision()) {
      digests.push_back({.id = DigestName(kind), .in_force = at});
    }
  }
  return digests;
}

void peer_task::PublishDigests() {
  Apply(members_.SetDocuments(loop_.Now(), Digests()));
}

void peer_task::Beat() {
  std::vector<host_id> zone;
  for (const auto& [id, m] : members_.members()) {
    const bool alive =
        m.state == member_state::kAlive || m.state == member_state::kSuspect;
    if (m.host.zone == self_.zone && alive) {
      zone.push_back(id);
    }
  }
  duty_.SetZoneHosts(zone);
  const bool watch = duty_.MustWatch(loop_.Now());
  if (watch != watching_) {
    watching_ = watch;
    trace_.log->Info(
        watch ? log_message::kWatchingStore : log_message::kLeavingStore,
        {.inputs = {{"zone_hosts", static_cast<std::int64_t>(zone.size())}}});
  }
  store_.SetWatching(watch);
  if (!is_watching()) {
    return;
  }
  SendToZone(store_feed{.fresh = store_.is_fresh(), .documents = Digests()});
  if (duty_.is_chosen() && ++beats_ % kBeatsPerRelist == 0) {
    store_.RelistHosts();
  }
}

void peer_task::Feed(object_kind kind,
                     revision from,
                     const object_changes& changes) {
  if (!is_watching()) {
    return;
  }
  store_feed feed{.fresh = true,
                  .documents = Digests(),
                  .kind = DigestName(kind),
                  .from = from};
  std::size_t bytes = 0;
  for (const object_event& event : changes.events) {
    bytes += event.object.content.size();
    feed.changes.push_back({.name = event.object.name,
                            .at = event.object.at,
                            .content = event.object.content,
                            .deleted = event.deleted});
  }
  if (bytes > kMaxFedBytes) {
    // Too much for a datagram: the digests tell the others to fetch a copy.
    feed.changes.clear();
    feed.kind = document_id();
  }
  SendToZone(feed);
}

void peer_task::Report() {
  endpoint_troubles told{.reports = places_.Reports(loop_.Now())};
  if (told.reports.empty()) {
    return;
  }
  if (told.reports.size() > kMaxReports) {
    told.reports.resize(kMaxReports);
  }
  const std::string frame = EncodePeerFrame({.sent = {}, .message = told});
  // Only these send enough to be helped by it.
  const std::vector<host_record> receivers = EntryHosts();
  const bool everywhere = receivers.size() <= kSmallFleet;
  for (const host_record& host : receivers) {
    if (host.id != self_.id && (everywhere || host.zone == self_.zone)) {
      SendTo(host, frame);
    }
  }
}

void peer_task::SendTo(const host_record& host, const std::string& frame) {
  trace_.values->Count(metric::kPeerBytes, {"control", "out"},
                       static_cast<double>(frame.size()));
  socket_->Send(host.peer, frame);
}

void peer_task::SendToZone(const peer_message& message) {
  const std::string bytes = EncodePeerFrame({.sent = {}, .message = message});
  // A small fleet hears everything; in a large one each zone tells its own.
  const bool everywhere = members_.members().size() <= kSmallFleet;
  for (const auto& [id, m] : members_.members()) {
    const bool reachable =
        m.state == member_state::kAlive || m.state == member_state::kSuspect;
    const bool near = everywhere || m.host.zone == self_.zone;
    if (id != self_.id && near && reachable) {
      SendTo(m.host, bytes);
    }
  }
}

void peer_task::OnFeed(const host_id& from, const store_feed& feed) {
  if (feed.fresh) {
    duty_.OnFreshFeed(loop_.Now());
  }
  for (const object_kind kind : kObjectKinds) {
    const auto digest = std::ranges::find(feed.documents, DigestName(kind),
                                          &document_digest::id);
    if (digest == feed.documents.end()) {
      continue;
    }
    if (feed.kind == DigestName(kind)) {
      object_changes changes{.events = {}, .as_of = digest->in_force};
      for (const fed_object& object : feed.changes) {
        changes.events.push_back({.object = {.name = object.name,
                                             .at = object.at,
                                             .content = object.content},
                                  .deleted = object.deleted});
      }
      store_.OfferChanges(kind, feed.from, std::move(changes));
    }
    fed_[kind] = {digest->in_force, addresses_.at(from)};
  }
}

void peer_task::Leave() {
  Apply(members_.Leave(loop_.Now()));
}

void peer_task::Stop() {
  Apply(members_.Stop(loop_.Now()));
}

std::vector<host_record> peer_task::EntryHosts() const {
  std::vector<host_record> hosts;
  for (const member& m : std::views::values(members_.members())) {
    if (IsServing(m)) {
      hosts.push_back(m.host);
    }
  }
  return ChooseEntryHosts(std::move(hosts));
}

std::vector<host_record> peer_task::KnownHosts() const {
  std::vector<host_record> known;
  std::ranges::transform(std::views::values(members_.members()),
                         std::back_inserter(known), &member::host);
  std::ranges::copy_if(members_.listed(), std::back_inserter(known),
                       [this](const host_record& host) {
                         return !members_.members().contains(host.id);
                       });
  return known;
}

void peer_task::Apply(const membership::actions& actions) {
  for (const auto& action : actions) {
    std::visit([this](const auto& a) { Do(a); }, action);
  }
}

void peer_task::Do(const membership::send& action) {
  const auto address = addresses_.find(action.to);
  if (address == addresses_.end() || socket_ == nullptr) {
    return;
  }
  const std::string bytes =
      EncodePeerFrame({.sent = {}, .message = action.message});
  trace_.values->Count(metric::kPeerBytes, {"control", "out"},
                       static_cast<double>(bytes.size()));
  socket_->Send(address->second, bytes);
}

// Datagrams need no link: the peer counts as linked once its address is known.
void peer_task::Do(const membership::connect& action) {
  addresses_[action.to.id] = action.to.peer;
  ids_[action.to.peer] = action.to.id;
  Apply(members_.LinkUp(loop_.Now(), action.to.id));
}

void peer_task::Do(const membership::changed& action) {
  const member& now = action.now;
  addresses_[now.host.id] = now.host.peer;
  ids_[now.host.peer] = now.host.id;
  trace_.log->Info(
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

void peer_task::Do(const membership::declared_dead& /*action*/) {
  trace_.log->Warning("other hosts held this host for dead");
}

void peer_task::Do(const membership::wake& action) {
  wake_ = loop_.After(action.at - loop_.Now(),
                      [this] { Apply(members_.Tick(loop_.Now())); });
}

// A host that starts without the store knows its peers' addresses only from
// what they say of themselves.
void peer_task::LearnAddresses(const peer_message& message) {
  const auto learn = [this](const host_record& host) {
    addresses_[host.id] = host.peer;
    ids_[host.peer] = host.id;
  };
  const auto learn_all = [&](const std::vector<member_update>& updates) {
    std::ranges::for_each(updates, learn, &member_update::host);
  };
  std::visit(
      [&](const auto& m) {
        if constexpr (requires { m.self.host; }) {
          learn(m.self.host);
        } else if constexpr (requires { m.updates; }) {
          learn_all(m.updates);
        }
      },
      message);
}

void peer_task::OnDatagram(const socket_address& from,
                           const std::string& bytes) {
  const auto frame = DecodePeerFrame(bytes);
  if (!frame.has_value()) {
    trace_.log->Warning("datagram refused", {.detail = frame.error().detail});
    return;
  }
  trace_.values->Count(metric::kPeerBytes, {"control", "in"},
                       static_cast<double>(bytes.size()));
  const peer_message& message = frame.value().message;
  LearnAddresses(message);
  const auto sender = ids_.find(from);
  if (sender == ids_.end()) {
    return;
  }
  const host_id id = sender->second;
  if (const auto* told = std::get_if<endpoint_troubles>(&message)) {
    for (const endpoint_trouble& report : told->reports) {
      places_.OnReport(loop_.Now(), report);
    }
    return;
  }
  if (const auto* feed = std::get_if<store_feed>(&message)) {
    OnFeed(id, *feed);
    return;
  }
  Apply(members_.Receive(loop_.Now(), id, message));
}

void peer_task::GreetSeeds() {
  if (members_.members().size() > 1) {
    return;
  }
  hello_message hello{.organisation = {}, .self = members_.SelfUpdate()};
  const std::string bytes = EncodePeerFrame({.sent = {}, .message = hello});
  for (const socket_address& seed : seeds_) {
    socket_->Send(seed, bytes);
  }
  greet_ = loop_.After(kGreetInterval, [this] { GreetSeeds(); });
}

void peer_task::CatchUp() {
  for (const object_kind kind : kObjectKinds) {
    const store_follower& own = store_.Follower(kind);
    std::vector<socket_address> ahead;
    for (const auto& [id, m] : members_.members()) {
      const bool reachable = IsServing(m) || m.leaving;
      if (id != self_.id && reachable && DigestOf(m, kind) > own.as_of()) {
        ahead.push_back(m.host.peer);
      }
    }
    if (const auto fed = fed_.find(kind);
        fed != fed_.end() && fed->second.first > own.as_of()) {
      ahead = {fed->second.second};
    }
    if (ahead.empty()) {
      behind_since_.erase(kind);
      continue;
    }
    const time_point now = loop_.Now();
    const auto [since, fresh] = behind_since_.try_emplace(kind, now);
    const bool waited = now - since->second >= kStoreHeadStart;
    if (own.has_content() && !waited) {
      continue;
    }
    since->second = now;
    Fetch(kind, ahead[static_cast<std::size_t>(now.time_since_epoch().count()) %
                      ahead.size()]);
  }
}

void peer_task::Fetch(object_kind kind, const socket_address& from) {
  const http_request request{.method = "GET",
                             .path = kCopiesPath + std::string(ToString(kind))};
  client_.Send(from, request, kFetchTimeout, [this, kind](http_exchange ended) {
    if (!ended.response.has_value() || ended.response->status != 200) {
      trace_.log->Info("copy from a peer failed",
                       {.document = DigestName(kind)});
      return;
    }
    auto copy = DecodeCopy(ended.response->body);
    if (!copy.has_value()) {
      trace_.log->Warning(
          "copy from a peer refused",
          {.document = DigestName(kind), .detail = copy.error().detail});
      return;
    }
    store_.OfferCopy(kind, std::move(copy.value()));
  });
}

void peer_task::OnCopyRequest(const http_request& request,
                              const http_responder& reply) {
  http_response response;
  response.status = 404;
  for (const object_kind kind : kObjectKinds) {
    if (request.path == kCopiesPath + std::string(ToString(kind))) {
      response.status = 200;
      response.content_type = "application/cbor";
      response.body = EncodeCopy(store_.Follower(kind).Copy());
    }
  }
  reply.Send(response);
}

}  // namespace trefoilmill::entry
