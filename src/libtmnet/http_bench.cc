#include <benchmark/benchmark.h>

#include <memory>
#include <vector>

#include "net_test_support.h"
#include "trefoilmill/net/http.h"

namespace trefoilmill {

namespace {

/// Measures echo requests on `range(0)` keep-alive connections, each with one
/// request with a body of `range(1)` bytes in progress at a time. Client and
/// server run on the same event loop.
void EchoOverConnections(benchmark::State& state) {
  const auto loop = MakeLoop();
  const auto server = http_server::Listen(
      *loop, {kTestIp, 0}, {},
      [](const http_request& request, const http_responder& responder) {
        responder.Send({.body = request.body});
      });
  const socket_address address{kTestIp, server.value()->port()};
  std::vector<std::unique_ptr<http_connection>> connections;
  std::size_t open_count = 0;
  for (int i = 0; i < state.range(0); ++i) {
    connections.push_back(http_connection::Create(*loop, address, {}));
    connections.back()->Connect(
        [&](bool connected) { open_count += connected ? 1 : 0; });
  }
  RunUntil(*loop, [&] { return open_count == connections.size(); });
  const std::string body(static_cast<std::size_t>(state.range(1)), 'x');
  for (auto _ : state) {
    std::size_t pending_count = connections.size();
    for (const auto& connection : connections) {
      connection->Send({.method = "POST", .path = "/v1/search", .body = body},
                       std::chrono::seconds(10), [&](const http_result&) {
                         if (--pending_count == 0) {
                           loop->Stop();
                         }
                       });
    }
    loop->Run();
  }
  state.SetItemsProcessed(state.iterations() * state.range(0));
}

BENCHMARK(EchoOverConnections)
    ->Args({1, 200})
    ->Args({50, 200})
    ->Args({50, 20000});

}  // namespace

}  // namespace trefoilmill
