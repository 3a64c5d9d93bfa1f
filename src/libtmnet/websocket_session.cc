#include "trefoilmill/net/websocket_session.h"

#include <utility>
#include <variant>
#include <vector>
#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace trefoilmill {
namespace {

using server_endpoint = websocketpp::server<websocketpp::config::core>;
using client_endpoint = websocketpp::client<websocketpp::config::core_client>;

/// Disables the library's logging and limits the size of messages; the peer
/// protocol has no use for HTTP bodies.
template <class endpoint_type>
void Configure(endpoint_type& endpoint, std::size_t max_message_bytes) {
  endpoint.clear_access_channels(websocketpp::log::alevel::all);
  endpoint.clear_error_channels(websocketpp::log::elevel::all);
  endpoint.set_max_message_size(max_message_bytes);
  endpoint.set_max_http_body_size(0);
}

}  // namespace

struct websocket_context::impl {
  server_endpoint server;
  client_endpoint client;
};

websocket_context::websocket_context(std::size_t max_message_bytes)
    : impl_(std::make_unique<impl>()) {
  Configure(impl_->server, max_message_bytes);
  Configure(impl_->client, max_message_bytes);
}

websocket_context::~websocket_context() = default;

struct websocket_session::impl {
  std::variant<server_endpoint::connection_ptr, client_endpoint::connection_ptr>
      connection;
  callbacks handlers;
  /// Null for the server role.
  client_endpoint* client = nullptr;
  bool open = false;
  /// Set once on_close was called or must not be called any more.
  bool closed = false;

  /// Adopts `new_connection` and forwards its events to `handlers`.
  template <class connection_ptr>
  void SetConnection(const connection_ptr& new_connection) {
    new_connection->set_write_handler([this](const websocketpp::connection_hdl&,
                                             const char* bytes,
                                             std::size_t size) {
      if (handlers.write) {
        handlers.write(bytes, size);
      }
      return websocketpp::lib::error_code();
    });
    new_connection->set_open_handler(
        [this](const websocketpp::connection_hdl&) {
          open = true;
          if (handlers.on_open) {
            handlers.on_open();
          }
        });
    new_connection->set_message_handler(
        [this](const websocketpp::connection_hdl&, const auto& message) {
          if (handlers.on_message) {
            handlers.on_message(message->get_payload());
          }
        });
    new_connection->set_pong_handler([this](const auto&, const std::string&) {
      if (handlers.on_pong) {
        handlers.on_pong();
      }
    });
    new_connection->set_fail_handler(
        [this](const websocketpp::connection_hdl&) { NotifyClosed(); });
    new_connection->set_close_handler(
        [this](const websocketpp::connection_hdl&) { NotifyClosed(); });
    new_connection->set_shutdown_handler(
        [](const websocketpp::connection_hdl&) {
          return websocketpp::lib::error_code();
        });
    connection = new_connection;
  }

  /// Prevents any further call to the owner.
  void ClearHandlers() { handlers = {}; }

  /// Calls on_close unless that was done before.
  void NotifyClosed() {
    open = false;
    if (std::exchange(closed, true)) {
      return;
    }
    if (handlers.on_close) {
      handlers.on_close();
    }
  }
};

websocket_session::websocket_session(std::unique_ptr<impl> state)
    : impl_(std::move(state)) {}

websocket_session::~websocket_session() {
  impl_->ClearHandlers();
  // The handlers that the connection holds point at impl_, and the library may
  // keep the connection alive. Clears them and signals end of stream, so that
  // the library releases the connection.
  impl_->closed = true;
  std::visit(
      [](const auto& connection) {
        if (connection) {
          connection->set_write_handler(nullptr);
          connection->set_open_handler(nullptr);
          connection->set_message_handler(nullptr);
          connection->set_pong_handler(nullptr);
          connection->set_fail_handler(nullptr);
          connection->set_close_handler(nullptr);
          connection->eof();
        }
      },
      impl_->connection);
}

std::unique_ptr<websocket_session> websocket_session::Create(
    websocket_context& context,
    role local_role,
    const std::string& authority,
    callbacks handlers) {
  auto state = std::make_unique<impl>();
  state->handlers = std::move(handlers);
  if (local_role == role::kServer) {
    state->SetConnection(context.get().server.get_connection());
  } else {
    websocketpp::lib::error_code error;
    state->client = &context.get().client;
    state->SetConnection(context.get().client.get_connection(
        "ws://" + authority + "/peer", error));
    if (error) {
      return nullptr;
    }
  }
  return std::unique_ptr<websocket_session>(
      new websocket_session(std::move(state)));
}

void websocket_session::Start() {
  if (impl_->client != nullptr) {
    impl_->client->connect(
        std::get<client_endpoint::connection_ptr>(impl_->connection));
    return;
  }
  std::get<server_endpoint::connection_ptr>(impl_->connection)->start();
}

void websocket_session::Receive(const char* bytes, std::size_t size) {
  std::visit([&](const auto& connection) { connection->read_all(bytes, size); },
             impl_->connection);
}

void websocket_session::HandleEndOfStream() {
  std::visit([](const auto& connection) { connection->eof(); },
             impl_->connection);
  impl_->NotifyClosed();
}

bool websocket_session::SendBinary(std::string_view message) {
  if (!impl_->open) {
    return false;
  }
  return std::visit(
      [message](const auto& connection) {
        const auto error = connection->send(message.data(), message.size(),
                                            websocketpp::frame::opcode::binary);
        return !error;
      },
      impl_->connection);
}

void websocket_session::Ping() {
  if (!impl_->open) {
    return;
  }
  std::visit(
      [](const auto& connection) {
        websocketpp::lib::error_code error;
        connection->ping("", error);
      },
      impl_->connection);
}

}  // namespace trefoilmill
