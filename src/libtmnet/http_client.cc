#include <algorithm>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "trefoilmill/net/http.h"

namespace trefoilmill {

namespace {

constexpr std::size_t kMaxIdlePerAddress = 8;

}  // namespace

struct http_client::impl {
  // What lives for one call.
  struct call {
    socket_address address;
    http_request request;
    time_point deadline;
    http_connection::on_reply done;
    std::unique_ptr<http_connection> connection;
    bool reused = false;
  };
  using call_handle = std::list<call>::iterator;

  event_loop& loop;
  http_connection::options opts;
  std::list<call> calls;
  std::map<socket_address, std::vector<std::unique_ptr<http_connection>>> idle;

  impl(event_loop& l, http_connection::options o)
      : loop(l), opts(std::move(o)) {}

  void Begin(call_handle handle);
  void Open(call_handle handle);
  void SendOn(call_handle handle);
  void Finish(call_handle handle, http_exchange exchange);
  void Keep(const socket_address& address,
            std::unique_ptr<http_connection> connection);
};

void http_client::impl::Begin(call_handle handle) {
  auto& waiting = idle[handle->address];
  std::erase_if(waiting, [](const auto& c) { return !c->connected(); });
  if (waiting.empty()) {
    Open(handle);
    return;
  }
  handle->connection = std::move(waiting.back());
  waiting.pop_back();
  handle->reused = true;
  SendOn(handle);
}

void http_client::impl::Open(call_handle handle) {
  handle->reused = false;
  const duration left = handle->deadline - loop.Now();
  http_connection::options wanted = opts;
  wanted.connect_timeout = std::min(left, opts.connect_timeout);
  handle->connection = http_connection::Create(loop, handle->address, wanted);
  handle->connection->Connect([this, handle](bool connected) {
    if (connected) {
      SendOn(handle);
    } else {
      Finish(handle, {.failed = http_failure::kRefused});
    }
  });
}

void http_client::impl::SendOn(call_handle handle) {
  const duration left = handle->deadline - loop.Now();
  handle->connection->Send(
      handle->request, left, [this, handle](http_exchange exchange) {
        // Nothing was sent on a connection that had closed while idle, so that
        // another may carry the request.
        if (handle->reused && exchange.failed == http_failure::kRefused) {
          Open(handle);
          return;
        }
        Finish(handle, std::move(exchange));
      });
}

void http_client::impl::Finish(call_handle handle, http_exchange exchange) {
  call finished = std::move(*handle);
  calls.erase(handle);
  if (finished.connection->connected()) {
    Keep(finished.address, std::move(finished.connection));
  }
  finished.done(std::move(exchange));
}

void http_client::impl::Keep(const socket_address& address,
                             std::unique_ptr<http_connection> connection) {
  auto& waiting = idle[address];
  if (waiting.size() < kMaxIdlePerAddress) {
    waiting.push_back(std::move(connection));
  }
}

http_client::http_client(event_loop& loop,
                         std::string local_ip,
                         const http_connection::options& opts) {
  http_connection::options wanted = opts;
  wanted.local_ip = std::move(local_ip);
  impl_ = std::make_unique<impl>(loop, std::move(wanted));
}

http_client::~http_client() = default;

void http_client::Send(const socket_address& address,
                       const http_request& request,
                       duration timeout,
                       http_connection::on_reply done) {
  impl_->calls.push_front({.address = address,
                           .request = request,
                           .deadline = impl_->loop.Now() + timeout,
                           .done = std::move(done),
                           .connection = nullptr});
  impl_->Begin(impl_->calls.begin());
}

}  // namespace trefoilmill
