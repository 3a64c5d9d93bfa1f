#include "trefoilmilld/document_task.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "trefoilmill/wire/catalog_codec.h"
#include "trefoilmill/wire/deployment_codec.h"
#include "trefoilmill/wire/zones_codec.h"

namespace trefoilmill {
namespace {

/// Separates this decider's random choices from the others'.
constexpr std::uint64_t kSeedOffset = 1;

document_sync::config SyncConfig(const daemon_settings& settings) {
  return {.self = settings.host,
          .zone = settings.zone,
          .documents = {kDeploymentDocument, kZonesDocument, kCatalogDocument}};
}

document_sync::store_reply ToStoreReply(read_result read) {
  struct converter {
    document_sync::store_reply operator()(object_found& found) const {
      return document_sync::store_document{.at = found.at,
                                           .body = std::move(found.body)};
    }
    document_sync::store_reply operator()(object_unchanged&) const {
      return document_sync::store_unchanged{};
    }
    document_sync::store_reply operator()(object_absent&) const {
      return document_sync::store_absent{};
    }
    document_sync::store_reply operator()(store_unavailable&) const {
      return document_sync::store_failed{};
    }
  };
  return std::visit(converter{}, read);
}

}  // namespace

document_task::document_task(event_loop& loop,
                             const daemon_settings& settings,
                             store_client& store,
                             fleet_task& fleet,
                             telemetry& trace,
                             on_adopted adopted)
    : loop_(loop),
      store_(store),
      fleet_(fleet),
      trace_(trace),
      adopted_(std::move(adopted)),
      sync_(loop.Now(),
            SyncConfig(settings),
            std::mt19937_64(settings.seed + kSeedOffset)) {
  Perform(sync_.Tick(loop_.Now()));
}

void document_task::OnDigests(const host_id& from,
                              const std::vector<document_digest>& digests) {
  Perform(sync_.PeerDigest(loop_.Now(), from, digests));
}

void document_task::OnRequest(const host_id& from,
                              const document_request& request) {
  Perform(sync_.PeerRequest(loop_.Now(), from, request.id));
}

void document_task::OnBody(const host_id& from, const document_body& body) {
  Perform(sync_.PeerBody(loop_.Now(), from, body));
}

void document_task::OnViewChanged() {
  const membership& members = fleet_.members();
  Perform(sync_.HostsChanged(loop_.Now(), members.ReachableHosts(),
                             members.host_list().size()));
}

void document_task::OnWritten(const document_id& id,
                              revision at,
                              const std::string& body) {
  Perform(sync_.PeerBody(loop_.Now(), fleet_.self(),
                         {.id = id, .at = at, .body = body}));
}

void document_task::Perform(const document_sync::actions& actions) {
  for (const auto& action : actions) {
    std::visit([this](const auto& a) { Do(a); }, action);
  }
}

void document_task::Do(const document_sync::call_store& action) {
  const auto answered = [this, id = action.id](read_result read) {
    Perform(sync_.StoreReply(loop_.Now(), id, ToStoreReply(std::move(read))));
  };
  if (action.wait == duration::zero()) {
    store_.Read(action.id.value(), answered);
    return;
  }
  store_.Watch(action.id.value(), action.after, action.wait, answered);
}

void document_task::Do(const document_sync::request_from_peer& action) {
  fleet_.Send(action.to, document_request{.id = action.id});
}

void document_task::Do(const document_sync::send_body& action) {
  fleet_.Send(action.to, action.body);
}

void document_task::Do(const document_sync::adopt& action) {
  const auto refusal = Adopt(action);
  if (refusal.has_value()) {
    trace_.Record(
        {.kind = "document_rejected",
         .detail = action.id.value() + " revision " +
                   std::to_string(action.at.value()) + ": " + *refusal},
        log_level::kWarning);
    trace_.values().Increment(metric::kDocumentsRejected, {action.id.value()});
    Perform(sync_.Rejected(loop_.Now(), action.id, action.at, *refusal));
    return;
  }
  trace_.Record({.kind = "document_adopted",
                 .detail = action.id.value() + " revision " +
                           std::to_string(action.at.value())});
  Perform(sync_.Adopted(loop_.Now(), action.id, action.at));
  fleet_.SetDocuments(sync_.Digests());
  adopted_(action.id);
}

void document_task::Do(const document_sync::announce& action) {
  // The own report rides along, so that status shows the revision soon.
  const announce_message message{.documents = action.documents,
                                 .updates = {fleet_.members().SelfUpdate()}};
  std::ranges::for_each(action.to, [this, &message](const host_id& host) {
    fleet_.Send(host, message);
  });
}

void document_task::Do(const document_sync::wake& action) {
  wake_ = loop_.RunAfter(action.at - loop_.Now(),
                         [this] { Perform(sync_.Tick(loop_.Now())); });
}

std::optional<std::string> document_task::Adopt(
    const document_sync::adopt& action) {
  if (action.id == kDeploymentDocument) {
    return AdoptDeployment(action.body);
  }
  if (action.id == kZonesDocument) {
    return AdoptZones(action.body);
  }
  return AdoptCatalog(action.body);
}

std::optional<std::string> document_task::AdoptDeployment(
    const std::string& body) {
  auto parsed = ParseDeployment(body, "", strictness::kKeepGoodServices);
  if (!parsed.value.has_value()) {
    return parsed.errors.empty() ? "not a deployment"
                                 : ToString(parsed.errors.front());
  }
  in_force_.config =
      std::make_shared<const deployment>(std::move(*parsed.value));
  in_force_.deployment_text = body;
  in_force_.deployment_errors = std::move(parsed.errors);
  return std::nullopt;
}

std::optional<std::string> document_task::AdoptZones(const std::string& body) {
  auto zones = ParseZones(body);
  if (!zones.has_value()) {
    return zones.error().detail;
  }
  in_force_.zones = std::move(zones).value();
  return std::nullopt;
}

std::optional<std::string> document_task::AdoptCatalog(
    const std::string& body) {
  auto catalog = ParseCatalog(body);
  if (!catalog.has_value()) {
    return catalog.error().detail;
  }
  in_force_.catalog =
      std::make_shared<const snapshot_catalog>(std::move(catalog).value());
  return std::nullopt;
}

}  // namespace trefoilmill
