#include "trefoilmilld/store_client.h"

#include <charconv>
#include <string_view>
#include <utility>

#include "trefoilmill/wire/host_list_codec.h"

namespace trefoilmill {
namespace {

constexpr int kOk = 200;
constexpr int kNotModified = 304;
constexpr int kNotFound = 404;
constexpr int kPreconditionFailed = 412;

/// The version in `ETag: "n"`.
std::optional<revision> ParseETag(const http_response& response) {
  const auto tag = response.Header("ETag");
  if (!tag.has_value() || tag->size() < 3) {
    return std::nullopt;
  }
  const std::string_view digits(tag->data() + 1, tag->size() - 2);
  std::uint64_t version = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), version);
  if (error != std::errc() || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  return revision(version);
}

read_result ToReadResult(const http_result& exchange) {
  if (!exchange.response.has_value()) {
    return store_unavailable{};
  }
  const http_response& response = *exchange.response;
  if (response.status == kNotModified) {
    return object_unchanged{};
  }
  if (response.status == kNotFound) {
    return object_absent{};
  }
  const auto version = ParseETag(response);
  if (response.status != kOk || !version.has_value()) {
    return store_unavailable{};
  }
  return object_found{.at = *version, .body = response.body};
}

write_result ToWriteResult(const http_result& exchange) {
  if (!exchange.response.has_value()) {
    return store_unavailable{};
  }
  if (exchange.response->status == kPreconditionFailed) {
    return write_conflict{};
  }
  const auto version = ParseETag(*exchange.response);
  if (exchange.response->status != kOk || !version.has_value()) {
    return store_unavailable{};
  }
  return object_written{.at = *version};
}

std::string_view OutcomeOf(const http_result& exchange) {
  if (!exchange.response.has_value()) {
    return "failed";
  }
  switch (exchange.response->status) {
    case kOk:
      return "ok";
    case kNotModified:
      return "unchanged";
    case kNotFound:
      return "absent";
    case kPreconditionFailed:
      return "conflict";
    default:
      return "failed";
  }
}

std::string Quoted(revision version) {
  return "\"" + std::to_string(version.value()) + "\"";
}

}  // namespace

store_client::store_client(event_loop& loop,
                           const daemon_settings& settings,
                           telemetry& trace)
    : client_(loop, settings.peers.ip),
      store_(settings.store),
      timeout_(settings.store_timeout),
      prefix_("/v1/objects/trefoilmill/" + settings.organisation.value() + "/"),
      self_(settings.host),
      trace_(trace) {}

std::string store_client::PathOf(const std::string& key) const {
  return prefix_ + key;
}

void store_client::Send(std::string_view kind,
                        http_request request,
                        duration timeout,
                        http_connection::result_callback done) {
  request.headers.push_back({.name = "X-Host", .value = self_.value()});
  client_.Send(store_, request, timeout,
               [this, kind, done = std::move(done)](http_result exchange) {
                 trace_.values().Increment(metric::kStoreCalls,
                                           {kind, OutcomeOf(exchange)});
                 done(std::move(exchange));
               });
}

void store_client::Read(const std::string& key, on_read done) {
  Send("read", {.method = "GET", .path = PathOf(key)}, timeout_,
       [done = std::move(done)](const http_result& exchange) {
         done(ToReadResult(exchange));
       });
}

void store_client::Watch(const std::string& key,
                         revision after,
                         duration wait,
                         on_read done) {
  const auto wait_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  Send("watch",
       {.method = "GET",
        .path = PathOf(key),
        .query = {{"after", std::to_string(after.value())},
                  {"wait_ms", std::to_string(wait_ms)}}},
       timeout_ + wait, [done = std::move(done)](const http_result& exchange) {
         done(ToReadResult(exchange));
       });
}

void store_client::Write(const std::string& key,
                         std::optional<revision> expected,
                         const std::string& body,
                         on_write done) {
  http_request request{.method = "PUT", .path = PathOf(key), .body = body};
  if (expected.has_value()) {
    request.headers.push_back({.name = "If-Match", .value = Quoted(*expected)});
  } else {
    request.headers.push_back({.name = "If-None-Match", .value = "*"});
  }
  Send("write", std::move(request), timeout_,
       [done = std::move(done)](const http_result& exchange) {
         done(ToWriteResult(exchange));
       });
}

void store_client::ReadHosts(on_hosts done) {
  Send("hosts", {.method = "GET", .path = "/v1/hosts"}, timeout_,
       [done = std::move(done)](const http_result& exchange) {
         if (!exchange.response.has_value() ||
             exchange.response->status != kOk) {
           done(std::nullopt);
           return;
         }
         auto hosts = ParseHostList(exchange.response->body);
         if (!hosts.has_value()) {
           done(std::nullopt);
           return;
         }
         done(std::move(hosts).value());
       });
}

}  // namespace trefoilmill
