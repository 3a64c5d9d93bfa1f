#include <algorithm>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "trefoilmill/net/http.h"

namespace trefoilmill {

namespace {

// Connections beyond this number are closed after use.
constexpr std::size_t kMaxIdleConnectionsPerAddress = 8;

}  // namespace

std::string_view ToString(http_failure reason) {
  switch (reason) {
    case http_failure::kNotConnected:
      return "not_connected";
    case http_failure::kTimeout:
      return "timeout";
    case http_failure::kConnectionLost:
      return "connection_lost";
    case http_failure::kMalformed:
      return "malformed";
  }
  return "unknown";
}

struct http_client::impl {
  // A request in progress, from Send() until its result is reported.
  struct pending_request {
    request_handle handle = 0;
    socket_address address;
    http_request request;
    time_point deadline;
    http_connection::result_callback done;
    std::unique_ptr<http_connection> connection;
    // Whether `connection` was taken from the pool.
    bool reused = false;
  };
  using pending_iterator = std::list<pending_request>::iterator;

  event_loop& loop;
  http_connection::options options;
  std::list<pending_request> pending_requests;
  request_handle last_handle = 0;
  // Pool of idle connections.
  std::map<socket_address, std::vector<std::unique_ptr<http_connection>>>
      idle_connections;

  impl(event_loop& owner_loop, http_connection::options connection_options)
      : loop(owner_loop), options(std::move(connection_options)) {}

  void StartRequest(pending_iterator pending);
  void OpenConnection(pending_iterator pending);
  void SendRequest(pending_iterator pending);
  void FinishRequest(pending_iterator pending, http_result exchange);
  void ReturnToPool(const socket_address& address,
                    std::unique_ptr<http_connection> connection);
};

void http_client::impl::StartRequest(pending_iterator pending) {
  auto& pooled = idle_connections[pending->address];
  std::erase_if(
      pooled, [](const auto& connection) { return !connection->connected(); });
  if (pooled.empty()) {
    OpenConnection(pending);
    return;
  }
  pending->connection = std::move(pooled.back());
  pooled.pop_back();
  pending->reused = true;
  SendRequest(pending);
}

void http_client::impl::OpenConnection(pending_iterator pending) {
  pending->reused = false;
  const duration remaining = pending->deadline - loop.Now();
  http_connection::options connection_options = options;
  connection_options.connect_timeout =
      std::min(remaining, options.connect_timeout);
  pending->connection =
      http_connection::Create(loop, pending->address, connection_options);
  pending->connection->Connect([this, pending](bool connected) {
    if (connected) {
      SendRequest(pending);
    } else {
      FinishRequest(pending, {.failure_reason = http_failure::kNotConnected});
    }
  });
}

void http_client::impl::SendRequest(pending_iterator pending) {
  const duration remaining = pending->deadline - loop.Now();
  pending->connection->Send(
      pending->request, remaining, [this, pending](http_result exchange) {
        // The pooled connection had closed while idle. Nothing was sent, so it
        // is safe to send the request on a new connection.
        if (pending->reused &&
            exchange.failure_reason == http_failure::kNotConnected) {
          OpenConnection(pending);
          return;
        }
        FinishRequest(pending, std::move(exchange));
      });
}

void http_client::impl::FinishRequest(pending_iterator pending,
                                      http_result exchange) {
  pending_request finished = std::move(*pending);
  pending_requests.erase(pending);
  if (finished.connection->connected()) {
    ReturnToPool(finished.address, std::move(finished.connection));
  }
  finished.done(std::move(exchange));
}

void http_client::impl::ReturnToPool(
    const socket_address& address,
    std::unique_ptr<http_connection> connection) {
  auto& pooled = idle_connections[address];
  if (pooled.size() < kMaxIdleConnectionsPerAddress) {
    pooled.push_back(std::move(connection));
  }
}

http_client::http_client(event_loop& loop,
                         std::string local_ip,
                         const http_connection::options& options) {
  http_connection::options connection_options = options;
  connection_options.local_ip = std::move(local_ip);
  impl_ = std::make_unique<impl>(loop, std::move(connection_options));
}

http_client::~http_client() = default;

http_client::request_handle http_client::Send(
    const socket_address& address,
    const http_request& request,
    duration timeout,
    http_connection::result_callback done) {
  const request_handle handle = ++impl_->last_handle;
  impl_->pending_requests.push_front({.handle = handle,
                                      .address = address,
                                      .request = request,
                                      .deadline = impl_->loop.Now() + timeout,
                                      .done = std::move(done),
                                      .connection = nullptr});
  impl_->StartRequest(impl_->pending_requests.begin());
  return handle;
}

void http_client::Cancel(request_handle handle) {
  std::erase_if(impl_->pending_requests,
                [handle](const impl::pending_request& pending) {
                  return pending.handle == handle;
                });
}

void http_client::CloseIdleConnections(const socket_address& address) {
  impl_->idle_connections.erase(address);
}

}  // namespace trefoilmill
