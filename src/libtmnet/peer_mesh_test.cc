#define BOOST_TEST_MODULE peer_mesh
#include "trefoilmill/net/peer_mesh.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>
#include <vector>

#include "trefoilmill/net/websocket_session.h"
#include "trefoilmill/wire/peer_codec.h"

namespace trefoilmill {
namespace {

/// Longest wait for an expected event; the test fails after that.
constexpr duration kWaitTimeout = std::chrono::seconds(10);

/// The mesh of one host and a record of its callbacks, such as "connected b".
struct test_host {
  hybrid_clock clock;
  std::vector<std::string> events;
  std::unique_ptr<peer_mesh> mesh;

  test_host(event_loop& loop,
            const std::string& name,
            const std::string& organisation,
            std::uint16_t port) {
    hello_message hello{.organisation = organisation_id(organisation),
                        .self = {.host = {.id = host_id(name)}}};
    auto listening = peer_mesh::Listen(
        loop, {.ip = "127.60.1.1", .port = port}, clock,
        [hello] { return hello_message(hello); },
        {.on_connected = [this](const host_id& host,
                                const auto&) { Record("connected", host); },
         .on_disconnected =
             [this](const host_id& host) { Record("disconnected", host); },
         .on_message = [this](const host_id& host,
                              const auto&) { Record("received", host); }});
    BOOST_REQUIRE(listening.has_value());
    mesh = std::move(listening).value();
  }

  void Record(const std::string& event, const host_id& host) {
    events.push_back(event + " " + host.value());
  }
  bool Recorded(const std::string& event) const {
    return std::ranges::find(events, event) != events.end();
  }
};

/// Runs the loop until `done()`; fails the test after kWaitTimeout.
void RunUntil(event_loop& loop, const std::function<bool()>& done) {
  const timer poll = loop.RunEvery(std::chrono::milliseconds(1), [&] {
    if (done()) {
      loop.Stop();
    }
  });
  const timer limit = loop.RunAfter(kWaitTimeout, [&] { loop.Stop(); });
  loop.Run();
  BOOST_TEST(done());
}

BOOST_AUTO_TEST_CASE(hosts_connect_and_exchange_messages) {
  auto loop = event_loop::Create().value();
  test_host a(*loop, "a", "org", 24101);
  test_host b(*loop, "b", "org", 24102);
  BOOST_TEST(!a.mesh->Send(host_id("b"), ping_message{}));
  a.mesh->Connect(host_id("b"), {.ip = "127.60.1.1", .port = 24102});
  RunUntil(*loop, [&] {
    return a.Recorded("connected b") && b.Recorded("connected a");
  });
  BOOST_TEST(a.mesh->Send(host_id("b"), ping_message{}));
  BOOST_TEST(b.mesh->Send(host_id("a"), ack_message{}));
  RunUntil(*loop, [&] {
    return a.Recorded("received b") && b.Recorded("received a");
  });
}

BOOST_AUTO_TEST_CASE(disconnection_of_the_peer_is_reported) {
  auto loop = event_loop::Create().value();
  test_host a(*loop, "a", "org", 24103);
  auto b = std::make_unique<test_host>(*loop, "b", "org", 24104);
  a.mesh->Connect(host_id("b"), {.ip = "127.60.1.1", .port = 24104});
  RunUntil(*loop, [&] {
    return b->Recorded("connected a") && a.Recorded("connected b");
  });
  b->mesh.reset();
  RunUntil(*loop, [&] { return a.Recorded("disconnected b"); });
  BOOST_TEST(!a.mesh->IsConnected(host_id("b")));
}

BOOST_AUTO_TEST_CASE(simultaneous_connections_count_as_one_peer) {
  auto loop = event_loop::Create().value();
  test_host a(*loop, "a", "org", 24105);
  test_host b(*loop, "b", "org", 24106);
  a.mesh->Connect(host_id("b"), {.ip = "127.60.1.1", .port = 24106});
  b.mesh->Connect(host_id("a"), {.ip = "127.60.1.1", .port = 24105});
  RunUntil(*loop, [&] {
    return a.Recorded("connected b") && b.Recorded("connected a");
  });
  BOOST_TEST(a.mesh->connected_hosts() == 1U);
  BOOST_TEST(!a.Recorded("disconnected b"));
}

BOOST_AUTO_TEST_CASE(a_host_of_another_organisation_is_rejected) {
  auto loop = event_loop::Create().value();
  test_host a(*loop, "a", "org", 24107);
  test_host b(*loop, "b", "other", 24108);
  int checks = 0;
  a.mesh->Connect(host_id("b"), {.ip = "127.60.1.1", .port = 24108});
  RunUntil(*loop, [&] { return ++checks > 100; });
  BOOST_TEST(!a.mesh->IsConnected(host_id("b")));
  BOOST_TEST(a.events.empty());
}

/// A peer that sends its hello and then stops reading, so that pings stay
/// unanswered.
class unresponsive_peer {
 public:
  unresponsive_peer(event_loop& loop, std::uint16_t port) : loop_(loop) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, "127.60.1.1", &address.sin_addr);
    listener_ = evconnlistener_new_bind(
        loop.base(), OnAccepted, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
        reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    BOOST_REQUIRE(listener_ != nullptr);
  }
  unresponsive_peer(const unresponsive_peer&) = delete;
  unresponsive_peer& operator=(const unresponsive_peer&) = delete;
  ~unresponsive_peer() {
    session_.reset();
    if (stream_ != nullptr) {
      bufferevent_free(stream_);
    }
    evconnlistener_free(listener_);
  }

 private:
  static void OnAccepted(evconnlistener* /*listener*/,
                         evutil_socket_t descriptor,
                         sockaddr* /*peer*/,
                         int /*length*/,
                         void* argument) {
    auto* self = static_cast<unresponsive_peer*>(argument);
    self->stream_ = bufferevent_socket_new(self->loop_.base(), descriptor,
                                           BEV_OPT_CLOSE_ON_FREE);
    self->session_ = websocket_session::Create(
        self->context_, websocket_session::role::kServer, "",
        {.write =
             [self](const char* bytes, std::size_t size) {
               bufferevent_write(self->stream_, bytes, size);
             },
         .on_open = [self] { self->SendHelloAndStall(); }});
    self->session_->Start();
    bufferevent_setcb(self->stream_, OnReadable, nullptr, nullptr, self);
    bufferevent_enable(self->stream_, EV_READ | EV_WRITE);
  }

  static void OnReadable(bufferevent* stream, void* argument) {
    auto* self = static_cast<unresponsive_peer*>(argument);
    std::string bytes(evbuffer_get_length(bufferevent_get_input(stream)), '\0');
    bufferevent_read(stream, bytes.data(), bytes.size());
    self->session_->Receive(bytes.data(), bytes.size());
  }

  void SendHelloAndStall() {
    const hello_message hello{.organisation = organisation_id("org"),
                              .self = {.host = {.id = host_id("stalled")}}};
    session_->SendBinary(EncodePeerFrame({.message = hello}));
    bufferevent_disable(stream_, EV_READ);
  }

  event_loop& loop_;
  websocket_context context_{kMaxPeerFrameBytes};
  evconnlistener* listener_ = nullptr;
  bufferevent* stream_ = nullptr;
  std::unique_ptr<websocket_session> session_;
};

BOOST_AUTO_TEST_CASE(a_connection_without_pongs_is_closed) {
  auto loop = event_loop::Create().value();
  test_host a(*loop, "a", "org", 24109);
  const unresponsive_peer stalled(*loop, 24110);
  a.mesh->Connect(host_id("stalled"), {.ip = "127.60.1.1", .port = 24110});
  RunUntil(*loop, [&] { return a.Recorded("connected stalled"); });
  RunUntil(*loop, [&] { return a.Recorded("disconnected stalled"); });
}

}  // namespace
}  // namespace trefoilmill
