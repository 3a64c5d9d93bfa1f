#include "trefoilmill_entry/peer_copies.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "trefoilmill/wire/copy_codec.h"
#include "trefoilmill_entry/object_digests.h"
#include "trefoilmill_entry/object_parts.h"

namespace trefoilmill::entry {
namespace {

/// How often this host compares its revisions with those of its peers.
constexpr duration kCheckInterval = std::chrono::milliseconds(100);
/// A newer copy is fetched only if a peer stays ahead for this long: a host
/// that reaches the store gets changes from it within this time.
constexpr duration kFetchDelay = std::chrono::milliseconds(150);
/// Limit for fetching a copy from a peer.
constexpr duration kFetchTimeout = std::chrono::milliseconds(800);
/// Largest copy that is accepted: 8 MiB.
constexpr std::size_t kMaxCopyBytes = 8 << 20;
/// Path of copies on the TCP port for peers; the kind of object follows.
constexpr char kCopiesPath[] = "/copies/";

std::string PathOf(object_kind kind) {
  return kCopiesPath + std::string(ToString(kind));
}

}  // namespace

result<std::unique_ptr<peer_copies>> peer_copies::Listen(
    event_loop& loop,
    const entry_settings& settings,
    store_sync& store,
    const fleet_membership& fleet,
    telemetry& process_telemetry,
    forwarded_callback on_forwarded) {
  std::unique_ptr<peer_copies> created(
      new peer_copies(loop, settings, store, fleet, process_telemetry));
  auto server = http_server::Listen(
      loop, settings.peers, {},
      [copies = created.get(), on_forwarded = std::move(on_forwarded)](
          http_request request, const http_responder& responder) {
        if (const auto mark = TakeForwardedMark(request)) {
          on_forwarded(std::move(request), responder, *mark);
        } else {
          copies->OnRequest(request, responder);
        }
      });
  if (!server.has_value()) {
    return server.error();
  }
  created->server_ = std::move(server.value());
  return created;
}

peer_copies::peer_copies(event_loop& loop,
                         const entry_settings& settings,
                         store_sync& store,
                         const fleet_membership& fleet,
                         telemetry& process_telemetry)
    : loop_(loop),
      store_(store),
      fleet_(fleet),
      telemetry_(process_telemetry),
      client_(loop, settings.callers.ip, {.max_body_bytes = kMaxCopyBytes}) {}

void peer_copies::Start() {
  check_timer_ = loop_.RunEvery(kCheckInterval, [this] { FetchNewerCopies(); });
}

void peer_copies::OnFed(object_kind kind, fed_revision latest) {
  latest_feeds_[kind] = std::move(latest);
}

void peer_copies::OnRequest(const http_request& request,
                            const http_responder& responder) {
  http_response response;
  response.status = 404;
  for (const object_kind kind : kObjectKinds) {
    if (request.path == PathOf(kind)) {
      response.status = 200;
      response.content_type = "application/cbor";
      response.body = EncodeCopy(WithTexts(store_.Follower(kind).MakeCopy()));
      WatchDelivery(kind, request.peer_ip, responder);
    }
  }
  telemetry_.meter->Increment(metric::kPeerBytes, {"copies", "out"},
                              static_cast<double>(response.body.size()));
  responder.Send(response);
}

void peer_copies::WatchDelivery(object_kind kind,
                                const std::string& receiver,
                                const http_responder& responder) {
  responder.OnResponseLost([this, kind, receiver](lost_response lost) {
    telemetry_.log->Info(
        "copy not delivered; its receiver closed the connection",
        {.document = DocumentIdOf(kind),
         .detail = receiver,
         .inputs = {
             {"unsent_bytes", static_cast<std::int64_t>(lost.unsent_bytes)}}});
  });
}

void peer_copies::FetchNewerCopies() {
  for (const object_kind kind : kObjectKinds) {
    FetchIfBehind(kind);
  }
}

void peer_copies::FetchIfBehind(object_kind kind) {
  const std::vector<socket_address> peers = PeersAhead(kind);
  if (peers.empty()) {
    behind_since_.erase(kind);
    return;
  }
  const time_point now = loop_.Now();
  const auto [since, inserted] = behind_since_.try_emplace(kind, now);
  const bool waited = now - since->second >= kFetchDelay;
  if (store_.Follower(kind).has_content() && !waited) {
    return;
  }
  since->second = now;
  const auto ticks = static_cast<std::size_t>(now.time_since_epoch().count());
  FetchCopy(kind, peers[ticks % peers.size()]);
}

std::vector<socket_address> peer_copies::PeersAhead(object_kind kind) const {
  const revision local = store_.Follower(kind).as_of();
  if (const auto feed = latest_feeds_.find(kind);
      feed != latest_feeds_.end() && feed->second.at > local) {
    return {feed->second.source};
  }
  std::vector<socket_address> peers;
  for (const auto& [id, m] : fleet_.members()) {
    const bool answers = IsServing(m) || m.leaving;
    const revision in_force =
        FindRevision(m.documents, kind).value_or(revision());
    if (id != fleet_.self().id && answers && in_force > local) {
      peers.push_back(m.host.peer);
    }
  }
  return peers;
}

void peer_copies::FetchCopy(object_kind kind, const socket_address& from) {
  const http_request request{.method = "GET", .path = PathOf(kind)};
  client_.Send(
      from, request, kFetchTimeout,
      [this, kind, from, began = loop_.Now()](const http_result& exchange) {
        OnFetched(kind, {.source = from, .began = began}, exchange);
      });
}

void peer_copies::OnFetched(object_kind kind,
                            const fetch& asked,
                            const http_result& exchange) {
  const std::int64_t took_us = (loop_.Now() - asked.began).count();
  if (!exchange.response.has_value() || exchange.response->status != 200) {
    const std::string_view why = exchange.failure_reason.has_value()
                                     ? ToString(*exchange.failure_reason)
                                     : "unexpected_status";
    telemetry_.log->Info(
        "fetching a copy from a peer failed",
        {.document = DocumentIdOf(kind),
         .detail = std::string(why),
         .inputs = {{"source", asked.source.ip}, {"took_us", took_us}}});
    return;
  }
  telemetry_.log->Info(
      "copy received from a peer",
      {.document = DocumentIdOf(kind),
       .inputs = {
           {"source", asked.source.ip},
           {"bytes", static_cast<std::int64_t>(exchange.response->body.size())},
           {"took_us", took_us}}});
  auto copy = DecodeCopy(exchange.response->body);
  if (!copy.has_value()) {
    telemetry_.log->Warning(
        "malformed copy from a peer ignored",
        {.document = DocumentIdOf(kind), .detail = copy.error().detail});
    return;
  }
  for (stored_object& object : copy.value().objects) {
    TakeApart(kind, object);
  }
  store_.ApplyPeerCopy(kind, std::move(copy.value()));
}

}  // namespace trefoilmill::entry
