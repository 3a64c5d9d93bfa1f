#include "tm_endpoint/endpoint_process.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "libtmstandin/standin_shell.h"
#include "tm_endpoint/service_time.h"

namespace trefoilmill {

namespace {

constexpr std::uint64_t kMaxDraws = 100000;

// Whether a change's `endpoint` field, an id, "*", {"zone"} or {"service"},
// means this endpoint.
bool Selects(const nlohmann::json& selector, const endpoint_settings& one) {
  if (selector.is_string()) {
    return selector == "*" || selector == one.id.value();
  }
  if (!selector.is_object()) {
    return false;
  }
  const std::string zone = selector.value("zone", one.zone.value());
  const std::string service = selector.value("service", one.service.value());
  return zone == one.zone.value() && service == one.service.value();
}

}  // namespace

result<std::unique_ptr<endpoint_process>> endpoint_process::Create(
    event_loop& loop,
    const nlohmann::json& settings) {
  std::unique_ptr<endpoint_process> made(new endpoint_process());
  try {
    for (const auto& entry : settings.at("endpoints")) {
      auto endpoint =
          fake_endpoint::Create(loop, made->log_, ParseEndpoint(entry));
      if (!endpoint) {
        return endpoint.error();
      }
      made->endpoints_.push_back(std::move(endpoint).value());
    }
    auto control = http_server::Listen(
        loop, ParseAddress(settings.at("control")), {},
        [self = made.get()](const http_request& request,
                            const http_responder& responder) {
          self->OnControl(request, responder);
        });
    if (!control) {
      return control.error();
    }
    made->control_ = std::move(control).value();
  } catch (const std::exception& error) {
    return StandinFailure(error.what());
  }
  return made;
}

void endpoint_process::OnControl(const http_request& request,
                                 const http_responder& responder) {
  if (request.method == "POST" && request.path == "/control") {
    responder.Send(Change(request.body));
  } else if (request.path == "/control/records") {
    responder.Send(log_.Records(request));
  } else if (request.path == "/control/summary") {
    responder.Send(log_.Summary(nlohmann::json::object()));
  } else if (request.path == "/control/draw") {
    responder.Send(Draw(request));
  } else {
    responder.Send(ErrorReply(404, "no such call"));
  }
}

http_response endpoint_process::Change(const std::string& body) {
  const auto change = nlohmann::json::parse(body, nullptr, false);
  if (!change.is_object() || !change.contains("endpoint")) {
    return ErrorReply(400, "an object with `endpoint` is needed");
  }
  std::size_t changed = 0;
  try {
    for (const auto& endpoint : endpoints_) {
      if (!Selects(change["endpoint"], endpoint->settings())) {
        continue;
      }
      if (!endpoint->Control(change)) {
        return ErrorReply(400, "unknown field");
      }
      ++changed;
    }
  } catch (const std::exception& error) {
    return ErrorReply(400, error.what());
  }
  if (changed == 0) {
    return ErrorReply(404, "no such endpoint");
  }
  return JsonReply(200, {{"changed", changed}});
}

http_response endpoint_process::Draw(const http_request& request) const {
  const auto id = request.query.find("endpoint");
  const auto found = std::ranges::find_if(endpoints_, [&](const auto& one) {
    return id != request.query.end() &&
           one->settings().id.value() == id->second;
  });
  if (found == endpoints_.end()) {
    return ErrorReply(404, "no such endpoint");
  }
  const endpoint_settings& settings = (*found)->settings();
  const auto draw = [&](const std::string& attempt) {
    return DrawMilliseconds(settings.service_times, settings.seed, attempt);
  };
  const auto attempt = request.query.find("attempt");
  if (attempt != request.query.end()) {
    return JsonReply(200, {{"service_ms", {draw(attempt->second)}}});
  }
  const auto count = std::min(QueryNumber(request, "n", 1), kMaxDraws);
  nlohmann::json draws = nlohmann::json::array();
  for (std::uint64_t i = 1; i <= count; ++i) {
    draws.push_back(draw(std::to_string(i)));
  }
  return JsonReply(200, {{"service_ms", std::move(draws)}});
}

}  // namespace trefoilmill
