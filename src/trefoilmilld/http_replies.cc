#include "trefoilmilld/http_replies.h"

#include "trefoilmill/wire/caller_codec.h"

namespace trefoilmill {
namespace {

constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;

failure BadRequest(std::string detail) {
  return {.outcome = verdict::kNotRun,
          .reason = reason_code::kBadRequest,
          .detail = std::move(detail)};
}

}  // namespace

http_response RefusalReply(const request_id& request, const failure& error) {
  http_response response{.status = RefusalStatus(error.reason),
                         .body = WriteRefusal(request, error)};
  if (error.retry_after.has_value()) {
    response.headers.push_back(
        {.name = "Retry-After",
         .value = RetryAfterSeconds(*error.retry_after)});
  }
  return response;
}

http_response UnknownPathReply(const std::string& path) {
  return {.status = kNotFound,
          .body = WriteRefusal({}, BadRequest("no such path: " + path))};
}

http_response WrongMethodReply(const std::string& allowed) {
  return {.status = kMethodNotAllowed,
          .headers = {{.name = "Allow", .value = allowed}},
          .body = WriteRefusal({}, BadRequest("this path takes " + allowed))};
}

}  // namespace trefoilmill
