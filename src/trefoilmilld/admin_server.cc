#include "trefoilmilld/admin_server.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "trefoilmill/wire/admin_codec.h"
#include "trefoilmill/wire/config_error.h"
#include "trefoilmill/wire/deployment_codec.h"
#include "trefoilmill/wire/timeline_codec.h"
#include "trefoilmill/wire/zones_codec.h"
#include "trefoilmilld/admin_replies.h"
#include "trefoilmilld/http_listener.h"
#include "trefoilmilld/http_replies.h"
#include "trefoilmilld/status_report.h"

namespace trefoilmill {
namespace {

failure BadRequest(std::string detail) {
  return {.outcome = verdict::kNotRun,
          .reason = reason_code::kBadRequest,
          .detail = std::move(detail)};
}

bool IsZoneOf(const deployment& config, const zone_id& zone) {
  return std::ranges::find(config.zones, zone) != config.zones.end();
}

}  // namespace

admin_server::admin_server(const admin_view& view) : view_(view) {}

result<std::unique_ptr<admin_server>> admin_server::Listen(
    event_loop& loop,
    const daemon_settings& settings,
    const admin_view& view) {
  std::unique_ptr<admin_server> made(new admin_server(view));
  BOOST_OUTCOME_TRY(server, ListenFor(loop, settings.administration, *made,
                                      &admin_server::Route));
  made->server_ = std::move(server);
  return made;
}

void admin_server::Route(const http_request& request,
                         const http_responder& responder) {
  const bool writes = request.method == "POST";
  if (request.path == "/v1/config" && writes) {
    PostConfig(request, responder);
  } else if (request.path == "/v1/zones" && writes) {
    PostZones(request, responder);
  } else if (request.path == "/v1/config") {
    WithMethod("GET", request, responder, [&] { GetConfig(responder); });
  } else if (request.path == "/v1/zones") {
    WithMethod("GET", request, responder, [&] { GetZones(responder); });
  } else if (request.path == "/v1/status") {
    WithMethod("GET", request, responder, [&] { GetStatus(responder); });
  } else if (request.path == "/v1/timeline") {
    WithMethod("GET", request, responder,
               [&] { GetTimeline(request, responder); });
  } else if (request.path == "/metrics") {
    WithMethod("GET", request, responder, [&] { GetMetrics(responder); });
  } else if (request.path == "/v1/health") {
    WithMethod("GET", request, responder, [&] { GetHealth(responder); });
  } else {
    responder.Send(UnknownPathReply(request.path));
  }
}

void admin_server::GetStatus(const http_responder& responder) const {
  responder.Send({.body = WriteStatus(MakeStatusReport(view_))});
}

void admin_server::GetConfig(const http_responder& responder) const {
  const documents_in_force& documents = view_.documents.in_force();
  if (documents.config == nullptr) {
    responder.Send(RefusalReply({}, {.outcome = verdict::kNotRun,
                                     .reason = reason_code::kNotReady,
                                     .detail = "no deployment is in force"}));
    return;
  }
  responder.Send(
      {.body = WriteConfigReply(
           {.at = view_.documents.StatusOf(kDeploymentDocument)->in_force,
            .document = documents.deployment_text})});
}

void admin_server::PostConfig(const http_request& request,
                              const http_responder& responder) {
  const auto change = ParseConfigRequest(request.body);
  if (!change.has_value()) {
    responder.Send(RefusalReply({}, change.error()));
    return;
  }
  const std::string& document = change.value().document;
  const parsed_deployment parsed =
      ParseDeployment(document, "", strictness::kWhole);
  if (!parsed.value.has_value()) {
    responder.Send(ConfigErrorsReply(parsed.errors));
    return;
  }
  const revision expected =
      RevisionToReplace(kDeploymentDocument, change.value().expected);
  if (change.value().dry_run) {
    responder.Send({.body = WriteRevision(expected)});
    return;
  }
  WriteDocument(kDeploymentDocument, expected, document, responder);
}

void admin_server::GetZones(const http_responder& responder) const {
  responder.Send({.body = WriteZones(view_.documents.in_force().zones)});
}

void admin_server::PostZones(const http_request& request,
                             const http_responder& responder) {
  const auto change = ParseZoneChange(request.body);
  if (!change.has_value()) {
    responder.Send(RefusalReply({}, change.error()));
    return;
  }
  const documents_in_force& documents = view_.documents.in_force();
  const zone_id& zone = change.value().zone;
  if (documents.config != nullptr && !IsZoneOf(*documents.config, zone)) {
    responder.Send(RefusalReply(
        {}, BadRequest("no such availability zone: " + zone.value())));
    return;
  }
  zone_states wanted = documents.zones;
  if (change.value().out) {
    wanted.out.insert(zone);
  } else {
    wanted.out.erase(zone);
  }
  WriteDocument(kZonesDocument, PresentRevision(kZonesDocument),
                WriteZones(wanted), responder);
}

revision admin_server::PresentRevision(const document_id& id) const {
  const document_status* status = view_.documents.StatusOf(id);
  if (status == nullptr) {
    return revision(0);
  }
  // A refused object is what the store holds, and what a change replaces.
  return std::max(status->in_force, status->rejected.value_or(revision(0)));
}

revision admin_server::RevisionToReplace(
    const document_id& id,
    const std::optional<revision>& wished) const {
  const document_status* status = view_.documents.StatusOf(id);
  // A change that is based on what is in force also replaces an object that
  // was refused since and is not in force anywhere.
  const bool based_on_in_force =
      status != nullptr && wished == status->in_force;
  return wished.has_value() && !based_on_in_force ? *wished
                                                  : PresentRevision(id);
}

void admin_server::WriteDocument(const document_id& id,
                                 revision expected,
                                 const std::string& body,
                                 const http_responder& responder) {
  // Revision 0 stands for a document that does not exist yet.
  const std::optional<revision> condition =
      expected == revision(0) ? std::nullopt : std::optional(expected);
  view_.writer.Write(id, condition, body,
                     [responder, expected, body](const write_end& end) {
                       responder.Send(WriteEndReply(end, expected, body));
                     });
}

void admin_server::GetTimeline(const http_request& request,
                               const http_responder& responder) const {
  const auto filter = ParseTimelineFilter(request.query);
  if (!filter.has_value()) {
    responder.Send(RefusalReply({}, filter.error()));
    return;
  }
  responder.Send(
      {.body = WriteTimeline(view_.trace.ring().Select(filter.value()))});
}

void admin_server::GetMetrics(const http_responder& responder) {
  responder.Send(
      {.body = metrics_.Text(view_), .content_type = kMetricsContentType});
}

void admin_server::GetHealth(const http_responder& responder) const {
  const bool ready =
      view_.entry.ready() && view_.documents.in_force().catalog != nullptr;
  const bool leaving = view_.lifecycle.phase() != lifecycle_phase::kServing;
  responder.Send({.body = WriteHealth({.ready = ready, .leaving = leaving})});
}

}  // namespace trefoilmill
