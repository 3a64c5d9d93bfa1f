#define BOOST_TEST_MODULE websocket_session
#include "trefoilmill/net/websocket_session.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace trefoilmill {
namespace {

/// A client and a server session; the bytes that they write are buffered until
/// Pump() delivers them.
struct session_pair {
  websocket_context context{1 << 16};
  std::string to_server;
  std::string to_client;
  std::vector<std::string> server_messages;
  std::vector<std::string> client_messages;
  /// Callbacks of both sessions.
  int opened = 0;
  int closed = 0;
  int pongs = 0;
  std::unique_ptr<websocket_session> client;
  std::unique_ptr<websocket_session> server;

  session_pair() {
    client = Make(websocket_session::role::kClient, to_server, client_messages);
    server = Make(websocket_session::role::kServer, to_client, server_messages);
    server->Start();
    client->Start();
    Pump();
  }

  std::unique_ptr<websocket_session> Make(websocket_session::role role,
                                          std::string& output,
                                          std::vector<std::string>& messages) {
    return websocket_session::Create(
        context, role, "127.0.0.1:1",
        {.write = [&output](const char* bytes,
                            std::size_t size) { output.append(bytes, size); },
         .on_open = [this] { ++opened; },
         .on_message =
             [&messages](const std::string& message) {
               messages.push_back(message);
             },
         .on_pong = [this] { ++pongs; },
         .on_close = [this] { ++closed; }});
  }

  /// Delivers buffered bytes in both directions until none are left.
  void Pump() {
    while (!to_server.empty() || !to_client.empty()) {
      const std::string from_client = std::exchange(to_server, {});
      server->Receive(from_client.data(), from_client.size());
      const std::string from_server = std::exchange(to_client, {});
      client->Receive(from_server.data(), from_server.size());
    }
  }
};

BOOST_AUTO_TEST_CASE(messages_are_exchanged_after_the_handshake) {
  session_pair pair;
  BOOST_TEST(pair.opened == 2);
  BOOST_TEST(pair.client->SendBinary(std::string("a\0b", 3)));
  BOOST_TEST(pair.server->SendBinary(std::string(40000, 'x')));
  pair.Pump();
  BOOST_REQUIRE_EQUAL(pair.server_messages.size(), 1U);
  BOOST_TEST(pair.server_messages[0] == std::string("a\0b", 3));
  BOOST_REQUIRE_EQUAL(pair.client_messages.size(), 1U);
  BOOST_TEST(pair.client_messages[0].size() == 40000U);
}

BOOST_AUTO_TEST_CASE(a_ping_is_answered_by_the_peers_session) {
  session_pair pair;
  pair.client->Ping();
  BOOST_TEST(pair.pongs == 0);
  pair.Pump();
  BOOST_TEST(pair.pongs == 1);
  BOOST_TEST(pair.server_messages.empty());
}

BOOST_AUTO_TEST_CASE(oversized_message_closes_the_session) {
  session_pair pair;
  pair.client->SendBinary(std::string(1 << 17, 'x'));
  pair.Pump();
  BOOST_TEST(pair.server_messages.empty());
  BOOST_TEST(!pair.server->SendBinary("late"));
}

BOOST_AUTO_TEST_CASE(invalid_handshake_closes_the_session) {
  websocket_context context(1 << 16);
  int closed = 0;
  std::string output;
  auto server = websocket_session::Create(
      context, websocket_session::role::kServer, "127.0.0.1:1",
      {.write = [&output](const char* bytes,
                          std::size_t size) { output.append(bytes, size); },
       .on_open = [] {},
       .on_message = [](const std::string&) {},
       .on_close = [&closed] { ++closed; }});
  server->Start();
  const std::string request = "NOT HTTP AT ALL\r\n\r\n";
  server->Receive(request.data(), request.size());
  server->HandleEndOfStream();
  BOOST_TEST(closed == 1);
  BOOST_TEST(!server->SendBinary("x"));
}

BOOST_AUTO_TEST_CASE(end_of_stream_closes_the_session_once) {
  session_pair pair;
  pair.client->HandleEndOfStream();
  pair.client->HandleEndOfStream();
  BOOST_TEST(pair.closed == 1);
}

}  // namespace
}  // namespace trefoilmill
