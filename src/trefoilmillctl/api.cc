#include "api.h"

#include <algorithm>
#include <utility>

namespace trefoilmill {
namespace {

/// A time line of many events is large.
constexpr std::size_t kMaxReplyBytes = 64UL << 20U;
constexpr duration kConnectTimeout = std::chrono::seconds(2);

std::string Describe(http_failure failed) {
  switch (failed) {
    case http_failure::kNotConnected:
      return "no connection";
    case http_failure::kTimeout:
      return "no reply in time";
    case http_failure::kConnectionLost:
      return "the connection broke";
    case http_failure::kMalformed:
      return "the reply could not be read";
  }
  return "";
}

}  // namespace

result<daemon_api> daemon_api::Create() {
  auto loop = event_loop::Create();
  if (loop.has_error()) {
    return loop.error();
  }
  return daemon_api(std::move(loop).value());
}

daemon_api::daemon_api(std::unique_ptr<event_loop> loop)
    : loop_(std::move(loop)) {}

call_outcome daemon_api::Call(const std::vector<socket_address>& addresses,
                              const http_request& request,
                              duration timeout,
                              repetition repeat) {
  call_outcome outcome;
  call_failure failure;
  for (const socket_address& address : addresses) {
    const http_result exchange = CallOne(address, request, timeout);
    outcome.address = address;
    if (exchange.response.has_value()) {
      outcome.response = exchange.response;
      return outcome;
    }
    failure.sent |= *exchange.failure_reason != http_failure::kNotConnected;
    failure.detail += (failure.detail.empty() ? "" : "; ") + ToString(address) +
                      ": " + Describe(*exchange.failure_reason);
    if (failure.sent && repeat == repetition::kIfNotSent) {
      break;
    }
  }
  outcome.failed = failure;
  return outcome;
}

http_result daemon_api::CallOne(const socket_address& address,
                                const http_request& request,
                                duration timeout) {
  http_result outcome;
  outcome.failure_reason = http_failure::kNotConnected;
  const auto connection = http_connection::Create(
      *loop_, address,
      {.connect_timeout = std::min(timeout, kConnectTimeout),
       .max_body_bytes = kMaxReplyBytes,
       .local_ip = ""});
  bool done = false;
  const auto finish = [this, &outcome, &done](http_result exchange) {
    outcome = std::move(exchange);
    done = true;
    loop_->Stop();
  };
  connection->Connect([&](bool connected) {
    if (connected) {
      connection->Send(request, timeout, finish);
    } else {
      finish(outcome);
    }
  });
  if (!done) {
    loop_->Run();
  }
  return outcome;
}

void daemon_api::Sleep(duration time) {
  const timer wake = loop_->RunAfter(time, [this] { loop_->Stop(); });
  loop_->Run();
}

std::string ToString(const socket_address& address) {
  return address.ip + ":" + std::to_string(address.port);
}

}  // namespace trefoilmill
