#include "trefoilmilld/callers_server.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "trefoilmill/entry_list.h"
#include "trefoilmill/wire/caller_codec.h"
#include "trefoilmilld/http_listener.h"
#include "trefoilmilld/http_replies.h"

namespace trefoilmill {
namespace {

failure ShuttingDown() {
  return {.outcome = verdict::kNotRun,
          .reason = reason_code::kShuttingDown,
          .detail = "this host is stopping; ask another",
          .retry_after = duration::zero()};
}

http_response ToResponse(const query_end& end) {
  struct converter {
    http_response operator()(const query_answer& answer) const {
      return {.body = WriteAnswer(answer)};
    }
    http_response operator()(const replayed_answer& replayed) const {
      return {.headers = {{.name = "Idempotent-Replay", .value = "true"}},
              .body = replayed.body};
    }
    http_response operator()(const query_refusal& refusal) const {
      return RefusalReply(refusal.request, refusal.error);
    }
  };
  return std::visit(converter{}, end);
}

std::vector<host_record> LeavingHosts(const membership& members) {
  std::vector<host_record> leaving;
  for (const auto& [id, known] : members.members()) {
    if (known.state == member_state::kLeaving) {
      leaving.push_back(known.host);
    }
  }
  return leaving;
}

}  // namespace

callers_server::callers_server(entry_task& entry, const fleet_task& fleet)
    : entry_(entry), fleet_(fleet) {}

result<std::unique_ptr<callers_server>> callers_server::Listen(
    event_loop& loop,
    const daemon_settings& settings,
    entry_task& entry,
    const fleet_task& fleet) {
  std::unique_ptr<callers_server> made(new callers_server(entry, fleet));
  BOOST_OUTCOME_TRY(
      server, ListenFor(loop, settings.callers, *made, &callers_server::Route));
  made->server_ = std::move(server);
  return made;
}

void callers_server::Leave() {
  leaving_ = true;
  server_->CloseAfterResponses();
}

void callers_server::Drain() {
  draining_ = true;
  server_->StopAccepting();
}

std::size_t callers_server::requests_in_progress() const {
  return server_->requests_in_progress();
}

void callers_server::Route(const http_request& request,
                           const http_responder& responder) {
  if (request.path == "/v1/query") {
    WithMethod("POST", request, responder,
               [&] { OnQuery(request, responder); });
  } else if (request.path == "/v1/cancel") {
    WithMethod("POST", request, responder,
               [&] { OnCancel(request, responder); });
  } else if (request.path == "/v1/entries") {
    WithMethod("GET", request, responder,
               [&] { OnEntries(request, responder); });
  } else {
    responder.Send(UnknownPathReply(request.path));
  }
}

void callers_server::OnQuery(const http_request& request,
                             const http_responder& responder) {
  if (draining_) {
    responder.Send(RefusalReply({}, ShuttingDown()));
    return;
  }
  const query_config limits =
      entry_.config() == nullptr ? query_config() : entry_.config()->query;
  auto query = ParseCallerQuery(request.body, request.Header("Idempotency-Key"),
                                request.peer_ip, limits);
  if (!query.has_value()) {
    responder.Send(RefusalReply({}, query.error()));
    return;
  }
  const request_id id = entry_.Submit(
      std::move(query).value(),
      [responder](const query_end& end) { responder.Send(ToResponse(end)); });
  responder.OnPeerDisconnected([this, id] { entry_.Cancel(id); });
}

void callers_server::OnCancel(const http_request& request,
                              const http_responder& responder) {
  const auto id = ParseCancel(request.body);
  if (!id.has_value()) {
    responder.Send(RefusalReply({}, id.error()));
    return;
  }
  responder.Send({.body = WriteCancelled(entry_.Cancel(id.value()))});
}

void callers_server::OnEntries(const http_request& request,
                               const http_responder& responder) {
  const auto named = request.query.find("caller");
  const caller_id caller(named == request.query.end() ? request.peer_ip
                                                      : named->second);
  const entries_config config =
      entry_.config() == nullptr ? entries_config() : entry_.config()->entries;
  const membership& members = fleet_.members();
  const entry_list list =
      BuildEntryList(members.LiveHosts(), LeavingHosts(members),
                     fleet_.zones_out(), caller, config);
  std::vector<entry_address> addresses;
  std::ranges::transform(
      list.hosts, std::back_inserter(addresses), [](const host_record& host) {
        return entry_address{.host = host.id, .address = host.callers};
      });
  responder.Send({.body = WriteEntries(addresses, list.ttl, leaving_)});
}

}  // namespace trefoilmill
