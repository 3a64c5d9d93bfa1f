#include "trefoilmill_entry/peer_copies.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "trefoilmill/wire/copy_codec.h"
#include "trefoilmill_entry/object_digests.h"

namespace trefoilmill::entry {
namespace {

/// How often this host compares its revisions with those of its peers.
constexpr duration kCheckInterval = std::chrono::milliseconds(50);
/// Limit for fetching a page or a copy from a peer.
constexpr duration kFetchTimeout = std::chrono::milliseconds(800);
/// Largest copy that is accepted: 8 MiB.
constexpr std::size_t kMaxCopyBytes = 8 << 20;
/// Largest headers of a request from another host: those of a caller, and the
/// endpoints that a query over many shards was sent to.
constexpr std::size_t kMaxHeaderBytes = 64 << 10;
/// Replies under way to other hosts, at most. Others are told to ask again or
/// elsewhere: with four pages a link of 20 Mbit/s is busy for 32 ms, so that
/// probes, which have 200 ms, pass.
constexpr std::size_t kMaxRepliesUnderWay = 4;
/// Paths on the TCP port for peers; the kind of object follows.
constexpr char kCopiesPath[] = "/copies/";
constexpr char kPartsPath[] = "/parts/";

constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;
constexpr int kHttpBusy = 503;

std::string PathOf(const char* folder, object_kind kind) {
  return folder + std::string(ToString(kind));
}

parts_request RequestFor(const part_set& have) {
  parts_request request;
  for (std::size_t index = 0; index < part_set::kBuckets; ++index) {
    request.bucket_digests.push_back(have.BucketDigest(index));
  }
  return request;
}

/// Replaces the buckets that a page holds. Returns false if a part is in a
/// bucket that it does not belong to.
bool ApplyBuckets(const std::vector<bucket_content>& buckets, part_set& parts) {
  for (const bucket_content& content : buckets) {
    parts.ClearBucket(content.index);
    for (const shared_part& p : content.parts) {
      if (part_set::BucketOf(p->digest()) != content.index) {
        return false;
      }
      parts.Insert(p);
    }
  }
  return true;
}

}  // namespace

result<std::unique_ptr<peer_copies>> peer_copies::Listen(
    event_loop& loop,
    const entry_settings& settings,
    store_sync& store,
    const fleet_membership& fleet,
    telemetry& process_telemetry,
    forwarded_callback on_forwarded,
    std::mt19937_64 random) {
  std::unique_ptr<peer_copies> created(
      new peer_copies(loop, settings, store, fleet, process_telemetry, random));
  auto server = http_server::Listen(
      loop, settings.peers, {.max_header_bytes = kMaxHeaderBytes},
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
                         telemetry& process_telemetry,
                         std::mt19937_64 random)
    : loop_(loop),
      store_(store),
      fleet_(fleet),
      telemetry_(process_telemetry),
      parts_(store),
      client_(loop, settings.callers.ip, {.max_body_bytes = kMaxCopyBytes}) {
  for (const object_kind kind : kObjectKinds) {
    fetched_kinds_.emplace(
        kind,
        fetched_kind{.plan = copy_fetch_plan({}, std::mt19937_64(random())),
                     .fed = {},
                     .partial = std::nullopt});
  }
}

void peer_copies::Start() {
  check_timer_ = loop_.RunEvery(kCheckInterval, [this] { FetchNewerCopies(); });
}

void peer_copies::OnFed(object_kind kind, const fed_revision& latest) {
  fetched_kinds_.at(kind).fed[latest.source] = latest.at;
}

void peer_copies::OnRequest(const http_request& request,
                            const http_responder& responder) {
  http_response response;
  response.status = kHttpNotFound;
  for (const object_kind kind : kObjectKinds) {
    const bool wants_parts = request.path == PathOf(kPartsPath, kind);
    if (!wants_parts && request.path != PathOf(kCopiesPath, kind)) {
      continue;
    }
    if (server_->unsent_connections() >= kMaxRepliesUnderWay) {
      response.status = kHttpBusy;
      continue;
    }
    auto body = wants_parts
                    ? parts_.PageFor(kind, request.body)
                    : EncodeCopy(WithTexts(store_.Follower(kind).MakeCopy()));
    response.status = body.has_value() ? kHttpOk : kHttpBadRequest;
    response.content_type = "application/cbor";
    response.body = body.has_value() ? std::move(body.value()) : "";
    WatchDelivery(kind, request.peer_ip, responder);
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
  fetched_kind& fetched = fetched_kinds_.at(kind);
  if (fetched.plan.in_progress()) {
    return;
  }
  const std::vector<socket_address> peers = PeersAhead(kind);
  if (peers.empty()) {
    fetched.partial.reset();
  }
  const time_point now = loop_.Now();
  const auto source =
      fetched.plan.NextSource(now, store_.Follower(kind).has_content(), peers);
  if (source.has_value()) {
    FetchParts({.kind = kind, .source = *source, .began = now});
  }
}

std::vector<socket_address> peer_copies::PeersAhead(object_kind kind) const {
  const revision local = store_.Follower(kind).as_of();
  std::vector<socket_address> peers;
  for (const auto& [source, at] : fetched_kinds_.at(kind).fed) {
    if (at > local) {
      peers.push_back(source);
    }
  }
  for (const auto& [id, m] : fleet_.members()) {
    const bool answers = IsServing(m) || m.leaving;
    const revision in_force =
        FindRevision(m.documents, kind).value_or(revision());
    const bool is_known = std::ranges::find(peers, m.host.peer) != peers.end();
    if (id != fleet_.self().id && answers && !is_known && in_force > local) {
      peers.push_back(m.host.peer);
    }
  }
  return peers;
}

void peer_copies::FetchParts(const fetch& asked) {
  fetched_kind& fetched = fetched_kinds_.at(asked.kind);
  if (!fetched.partial.has_value()) {
    fetched.partial = PartsOf(asked.kind, store_.Follower(asked.kind));
  }
  const http_request request{
      .method = "POST",
      .path = PathOf(kPartsPath, asked.kind),
      .body = EncodePartsRequest(RequestFor(fetched.partial->parts))};
  client_.Send(asked.source, request, kFetchTimeout,
               [this, asked](const http_result& exchange) {
                 OnPartsReply(asked, exchange);
               });
}

void peer_copies::OnPartsReply(const fetch& asked,
                               const http_result& exchange) {
  copy_fetch_plan& plan = fetched_kinds_.at(asked.kind).plan;
  if (!exchange.response.has_value()) {
    LogFailed(asked, ToString(*exchange.failure_reason));
    plan.OnFailed(loop_.Now());
    return;
  }
  const http_response& response = *exchange.response;
  if (response.status == kHttpNotFound) {
    FetchWhole(asked);
    return;
  }
  if (response.status == kHttpBusy) {
    plan.OnBusy(loop_.Now());
    return;
  }
  auto page = response.status == kHttpOk ? DecodePartsPage(response.body)
                                         : failure{.detail = "refused"};
  if (!page.has_value()) {
    LogFailed(asked, page.error().detail);
    plan.OnFailed(loop_.Now());
    return;
  }
  LogReceived(asked, response.body.size());
  OnPage(asked, page.value());
}

void peer_copies::OnPage(const fetch& asked, const parts_page& page) {
  fetched_kind& fetched = fetched_kinds_.at(asked.kind);
  object_parts& partial = *fetched.partial;
  partial.document = page.document;
  if (!ApplyBuckets(page.buckets, partial.parts)) {
    fetched.partial.reset();
    LogFailed(asked, "a part is in the wrong bucket");
    fetched.plan.OnFailed(loop_.Now());
    return;
  }
  const bool is_whole = partial.parts.size() == page.size &&
                        partial.parts.digest() == page.digest;
  if (is_whole) {
    store_follower::copy copy = CopyOf(partial, page.as_of);
    fetched.partial.reset();
    fetched.plan.OnComplete();
    store_.ApplyPeerCopy(asked.kind, std::move(copy));
    return;
  }
  if (page.buckets.empty()) {
    // Different content has the same short digests; a whole copy settles it.
    FetchWhole(asked);
    return;
  }
  fetched.plan.OnPage();
  FetchIfBehind(asked.kind);
}

void peer_copies::FetchWhole(const fetch& asked) {
  const http_request request{.method = "GET",
                             .path = PathOf(kCopiesPath, asked.kind)};
  client_.Send(asked.source, request, kFetchTimeout,
               [this, asked](const http_result& exchange) {
                 OnWholeReply(asked, exchange);
               });
}

void peer_copies::OnWholeReply(const fetch& asked,
                               const http_result& exchange) {
  fetched_kind& fetched = fetched_kinds_.at(asked.kind);
  if (!exchange.response.has_value() || exchange.response->status != kHttpOk) {
    LogFailed(asked, exchange.failure_reason.has_value()
                         ? ToString(*exchange.failure_reason)
                         : "unexpected status");
    fetched.plan.OnFailed(loop_.Now());
    return;
  }
  auto copy = DecodeCopy(exchange.response->body);
  if (!copy.has_value()) {
    telemetry_.log->Warning(
        "malformed copy from a peer ignored",
        {.document = DocumentIdOf(asked.kind), .detail = copy.error().detail});
    fetched.plan.OnFailed(loop_.Now());
    return;
  }
  LogReceived(asked, exchange.response->body.size());
  for (stored_object& object : copy.value().objects) {
    SplitContent(asked.kind, object);
  }
  fetched.partial.reset();
  fetched.plan.OnComplete();
  store_.ApplyPeerCopy(asked.kind, std::move(copy.value()));
}

void peer_copies::LogFailed(const fetch& asked, std::string_view why) const {
  telemetry_.log->Info(
      "fetching a copy from a peer failed",
      {.document = DocumentIdOf(asked.kind),
       .detail = std::string(why),
       .inputs = {{"source", asked.source.ip},
                  {"took_us", (loop_.Now() - asked.began).count()}}});
}

void peer_copies::LogReceived(const fetch& asked, std::size_t bytes) const {
  telemetry_.log->Info(
      "copy received from a peer",
      {.document = DocumentIdOf(asked.kind),
       .inputs = {{"source", asked.source.ip},
                  {"bytes", static_cast<std::int64_t>(bytes)},
                  {"took_us", (loop_.Now() - asked.began).count()}}});
}

}  // namespace trefoilmill::entry
