#include "tm_object_store/store_process.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <exception>
#include <string_view>
#include <utility>

#include "libtmstandin/standin_shell.h"

namespace trefoilmill {

namespace {

constexpr std::array<std::string_view, 5> kControlFields{
    "outage", "outage_kind", "delay_ms", "lose_put_replies", "hosts_lag_ms"};

bool HasUnknownField(const nlohmann::json& change) {
  return std::ranges::any_of(change.items(), [](const auto& item) {
    return std::ranges::find(kControlFields, item.key()) ==
           kControlFields.end();
  });
}

duration ReadMilliseconds(const nlohmann::json& change,
                          const char* name,
                          duration present) {
  if (!change.contains(name)) {
    return present;
  }
  return duration(std::llround(change.at(name).get<double>() * 1000));
}

std::string HostsBody(const nlohmann::json& hosts) {
  return nlohmann::json{{"hosts", hosts}}.dump();
}

}  // namespace

store_process::store_process(event_loop& loop, std::string hosts)
    : loop_(loop), hosts_(std::move(hosts)) {}

result<std::unique_ptr<store_process>> store_process::Create(
    event_loop& loop,
    const nlohmann::json& settings) {
  try {
    const auto hosts = settings.value("hosts", nlohmann::json::array());
    std::unique_ptr<store_process> made(
        new store_process(loop, HostsBody(hosts)));
    const auto objects = settings.value("objects", nlohmann::json::object());
    for (const auto& [key, value] : objects.items()) {
      made->objects_.Put(
          key, value.is_string() ? value.get<std::string>() : value.dump(),
          if_absent{});
    }
    made->address_ = ParseAddress(settings.at("listen"));
    if (const auto listening = made->Listen(); !listening) {
      return listening.error();
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
    return made;
  } catch (const std::exception& error) {
    return StandinFailure(error.what());
  }
}

result<void> store_process::Listen() {
  auto made = http_server::Listen(
      loop_, address_, {},
      [this](const http_request& request, const http_responder& responder) {
        OnRequest(request, responder);
      });
  if (!made) {
    return made.error();
  }
  server_ = std::move(made).value();
  address_.port = server_->port();
  return outcome::success();
}

void store_process::OnControl(const http_request& request,
                              const http_responder& responder) {
  if (request.method == "POST" && request.path == "/control") {
    responder.Send(Change(request.body));
  } else if (request.method == "PUT" && request.path == "/control/hosts") {
    responder.Send(ChangeHosts(request.body));
  } else if (request.path == "/control/records") {
    responder.Send(log_.Records(request));
  } else if (request.path == "/control/summary") {
    responder.Send(log_.Summary(counts_.ToJson()));
  } else {
    responder.Send(ErrorReply(404, "no such call"));
  }
}

http_response store_process::Change(const std::string& body) {
  const auto change = nlohmann::json::parse(body, nullptr, false);
  if (!change.is_object() || HasUnknownField(change)) {
    return ErrorReply(400, "not an object of known fields");
  }
  try {
    const std::string kind = change.value(
        "outage_kind", outage_kind_ == outage_kind::kHang ? "hang" : "refuse");
    if (kind != "hang" && kind != "refuse") {
      return ErrorReply(400, "outage_kind is hang or refuse");
    }
    const bool outage = change.value("outage", outage_);
    delay_ = ReadMilliseconds(change, "delay_ms", delay_);
    hosts_lag_ = ReadMilliseconds(change, "hosts_lag_ms", hosts_lag_);
    replies_to_lose_ = change.value("lose_put_replies", replies_to_lose_);
    if (!SetOutage(outage, kind == "hang" ? outage_kind::kHang
                                          : outage_kind::kRefuse)) {
      return ErrorReply(500, "cannot listen again");
    }
  } catch (const std::exception& error) {
    return ErrorReply(400, error.what());
  }
  return JsonReply(200, nlohmann::json::object());
}

http_response store_process::ChangeHosts(const std::string& body) {
  const auto value = nlohmann::json::parse(body, nullptr, false);
  const bool wrapped = value.is_object() && value.contains("hosts");
  const auto& hosts = wrapped ? value["hosts"] : value;
  if (!hosts.is_array()) {
    return ErrorReply(400, "a list of hosts is needed");
  }
  hosts_.Set(HostsBody(hosts), loop_.Now());
  return JsonReply(200, nlohmann::json::object());
}

bool store_process::SetOutage(bool outage, outage_kind kind) {
  const bool refused = outage_ && outage_kind_ == outage_kind::kRefuse;
  const bool refuses = outage && kind == outage_kind::kRefuse;
  const bool changes = outage != outage_;
  outage_ = outage;
  outage_kind_ = kind;
  if (changes) {
    log_.Append({{"event", outage ? "outage_began" : "outage_ended"}},
                loop_.SystemTimeMicros());
  }
  if (outage) {
    // What waits gets no answer any more.
    for (auto& waiting : watches_) {
      // Its watch goes now, so its end must not take the watch out again.
      waiting.origin.responder.OnPeerDisconnected(nullptr);
      unanswered_.push_back(waiting.origin.responder);
    }
    watches_.clear();
  }
  if (refuses || (changes && !outage)) {
    for (const auto& responder : unanswered_) {
      responder.Abort();
    }
    unanswered_.clear();
  }
  if (refuses) {
    delayed_.clear();
    server_.reset();
    return true;
  }
  return !refused || Listen().has_value();
}

}  // namespace trefoilmill
