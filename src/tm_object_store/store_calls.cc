#include <algorithm>
#include <charconv>
#include <iterator>
#include <optional>
#include <utility>

#include "tm_object_store/store_process.h"

namespace trefoilmill {

namespace {

constexpr std::string_view kObjects = "/v1/objects";
constexpr std::string_view kObjectPrefix = "/v1/objects/";
constexpr std::string_view kHosts = "/v1/hosts";
constexpr int kPreconditionRequired = 428;

std::string ETag(revision version) {
  return '"' + std::to_string(version.value()) + '"';
}

std::optional<revision> ParseETag(const std::string& text) {
  if (text.size() < 3 || text.front() != '"' || text.back() != '"') {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  const char* end = text.data() + text.size() - 1;
  const auto [rest, error] = std::from_chars(text.data() + 1, end, number);
  if (error != std::errc() || rest != end) {
    return std::nullopt;
  }
  return revision(number);
}

std::optional<if_version> ParseIfMatch(const http_request& request) {
  const auto header = request.Header("If-Match");
  const auto version = header ? ParseETag(*header) : std::nullopt;
  if (!version) {
    return std::nullopt;
  }
  return if_version{*version};
}

std::optional<write_condition> ParseCondition(const http_request& request) {
  if (const auto condition = ParseIfMatch(request)) {
    return write_condition(*condition);
  }
  if (request.Header("If-None-Match") == "*") {
    return write_condition(if_absent{});
  }
  return std::nullopt;
}

std::optional<call_kind> Classify(const http_request& request) {
  const bool object = request.path.starts_with(kObjectPrefix);
  if (request.method == "GET" && request.path == kHosts) {
    return call_kind::kHosts;
  }
  if (request.method == "GET" && request.path == kObjects) {
    return call_kind::kList;
  }
  if (request.method == "GET" && object) {
    return request.query.contains("after") ? call_kind::kWatch
                                           : call_kind::kGet;
  }
  if (request.method == "PUT" && object) {
    return call_kind::kPut;
  }
  if (request.method == "DELETE" && object) {
    return call_kind::kDelete;
  }
  return std::nullopt;
}

}  // namespace

void store_process::OnRequest(const http_request& request,
                              const http_responder& responder) {
  const auto kind = Classify(request);
  if (!kind) {
    responder.Send(ErrorReply(404, "no such call"));
    return;
  }
  counts_.Count(*kind, request.peer_ip, loop_.SystemTimeMicros());
  call made{.kind = *kind, .request = request, .responder = responder};
  if (request.path.starts_with(kObjectPrefix)) {
    made.key = request.path.substr(kObjectPrefix.size());
  }
  if (delay_ == duration(0)) {
    Serve(made);
    return;
  }
  const std::uint64_t id = ++last_delayed_;
  delayed_[id] = loop_.RunAfter(delay_, [this, id, made] {
    Serve(made);
    delayed_.erase(id);
  });
}

void store_process::Serve(const call& c) {
  if (outage_) {
    unanswered_.push_back(c.responder);
    return;
  }
  switch (c.kind) {
    case call_kind::kGet:
      return ServeGet(c);
    case call_kind::kWatch:
      return ServeWatch(c);
    case call_kind::kList:
      return ServeList(c);
    case call_kind::kHosts:
      return ServeHosts(c);
    case call_kind::kPut:
      return ServePut(c);
    case call_kind::kDelete:
      return ServeDelete(c);
  }
}

void store_process::ServeGet(const call& c) {
  const stored_object object = objects_.Get(c.key);
  Reply(c, object.value ? 200 : 404, object.value.value_or(""));
}

void store_process::ServeWatch(const call& c) {
  const revision after(QueryNumber(c.request, "after", 0));
  if (objects_.Get(c.key).version > after) {
    ServeGet(c);
    return;
  }
  const auto wait =
      std::chrono::milliseconds(QueryNumber(c.request, "wait_ms", 0));
  watches_.push_back({.origin = c, .after = after});
  const auto handle = std::prev(watches_.end());
  handle->limit = loop_.RunAfter(wait, [this, handle] {
    Reply(handle->origin, 304);
    watches_.erase(handle);
  });
  c.responder.OnPeerDisconnected([this, handle] { watches_.erase(handle); });
}

void store_process::ServeList(const call& c) {
  const auto prefix = c.request.query.find("prefix");
  nlohmann::json listed = nlohmann::json::array();
  for (const auto& [key, version] :
       objects_.List(prefix == c.request.query.end() ? "" : prefix->second)) {
    listed.push_back({{"key", key}, {"version", version.value()}});
  }
  Reply(c, 200, nlohmann::json{{"objects", listed}}.dump());
}

void store_process::ServeHosts(const call& c) {
  Reply(c, 200, hosts_.At(loop_.Now(), hosts_lag_));
}

void store_process::ServePut(const call& c) {
  const auto condition = ParseCondition(c.request);
  if (!condition) {
    Reply(c, kPreconditionRequired);
    return;
  }
  FinishWrite(c, objects_.Put(c.key, c.request.body, *condition));
}

void store_process::ServeDelete(const call& c) {
  const auto condition = ParseIfMatch(c.request);
  if (!condition) {
    Reply(c, kPreconditionRequired);
    return;
  }
  FinishWrite(c, objects_.Delete(c.key, *condition));
}

void store_process::FinishWrite(const call& c, bool written) {
  if (!written) {
    Reply(c, 412);
    return;
  }
  if (replies_to_lose_ > 0) {
    --replies_to_lose_;
    log_.Append({{"event", "lost_reply"},
                 {"peer", c.request.peer_ip},
                 {"method", c.request.method},
                 {"key", c.key},
                 {"version", objects_.Get(c.key).version.value()}},
                loop_.SystemTimeMicros());
    c.responder.Abort();
  } else {
    Reply(c, 200);
  }
  AnswerWatches(c.key);
}

void store_process::AnswerWatches(const std::string& key) {
  const revision version = objects_.Get(key).version;
  for (auto at = watches_.begin(); at != watches_.end();) {
    const auto present = at++;
    if (present->origin.key == key && present->after < version) {
      ServeGet(present->origin);
      watches_.erase(present);
    }
  }
}

void store_process::Reply(const call& c, int status, std::string body) {
  const std::uint64_t version = objects_.Get(c.key).version.value();
  nlohmann::json record = {{"event", ToString(c.kind)},
                           {"peer", c.request.peer_ip},
                           {"method", c.request.method},
                           {"key", c.key},
                           {"status", status}};
  http_response response{.status = status, .body = std::move(body)};
  if (!c.key.empty()) {
    record["version"] = version;
    response.headers.push_back({"ETag", ETag(revision(version))});
  }
  log_.Append(std::move(record), loop_.SystemTimeMicros());
  c.responder.Send(response);
}

}  // namespace trefoilmill
