#include "fault_proxy.h"

#include <utility>

namespace trefoilmill {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequestStatus = 400;
constexpr int kNotFound = 404;

}  // namespace

fault_proxy::fault_proxy(event_loop& loop, std::uint64_t seed)
    : loop_(loop), random_(seed) {}

result<std::unique_ptr<fault_proxy>> fault_proxy::Create(
    event_loop& loop,
    const nlohmann::json& settings) {
  const auto read = ReadProxyConfig(settings);
  if (!read.has_value()) {
    return read.assume_error();
  }
  const proxy_config& config = read.assume_value();
  std::unique_ptr<fault_proxy> proxy(new fault_proxy(loop, config.seed));
  for (const listener_config& wanted : config.listeners) {
    auto record = [self = proxy.get(),
                   name = wanted.name](const std::string& event) {
      self->records_.Append({{"listener", name}, {"event", event}},
                            self->loop_.SystemTimeMicros());
    };
    auto listener =
        proxy_listener::Create(loop, wanted, proxy->random_, std::move(record));
    if (!listener.has_value()) {
      return listener.assume_error();
    }
    proxy->listeners_.push_back(std::move(listener).assume_value());
  }
  auto answer = [self = proxy.get()](const http_request& request,
                                     const http_responder& responder) {
    http_responder(responder).Send(self->Answer(request));
  };
  auto control =
      http_server::Listen(loop, config.control, {}, std::move(answer));
  if (!control.has_value()) {
    return control.assume_error();
  }
  proxy->control_ = std::move(control).assume_value();
  return proxy;
}

http_response fault_proxy::Answer(const http_request& request) {
  if (request.path == "/control" && request.method == "POST") {
    return Change(request.body);
  }
  if (request.path == "/control/records") {
    return records_.Records(request);
  }
  if (request.path == "/control/summary") {
    return records_.Summary(json::object());
  }
  return ErrorReply(kNotFound, "no such path");
}

http_response fault_proxy::Change(const std::string& body) {
  const json change = json::parse(body, nullptr, false, true);
  if (!change.is_object() || !change.value("listener", json()).is_string()) {
    return ErrorReply(kBadRequestStatus,
                      "\"listener\" must be a name or \"*\"");
  }
  const std::string wanted = change.at("listener");
  int changed = 0;
  for (const auto& listener : listeners_) {
    if (wanted != "*" && wanted != listener->name()) {
      continue;
    }
    const auto done = ChangeOne(*listener, change);
    if (!done.has_value()) {
      return ErrorReply(kBadRequestStatus, done.assume_error().detail);
    }
    ++changed;
  }
  if (changed == 0) {
    return ErrorReply(kNotFound, "no such listener");
  }
  return JsonReply(kOk, {{"changed", changed}});
}

result<void> fault_proxy::ChangeOne(proxy_listener& listener,
                                    const json& change) {
  listener_faults faults = listener.faults();
  BOOST_OUTCOME_TRY(ApplyFaults(change, faults));
  BOOST_OUTCOME_TRY(listener.SetFaults(faults));
  const json cut = change.value("cut", json(false));
  if (cut.is_boolean() && cut.get<bool>()) {
    listener.Cut();
  }
  return outcome::success();
}

}  // namespace trefoilmill
