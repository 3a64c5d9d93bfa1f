/// Time that one host needs to adopt a new revision and to process a change of
/// the live hosts, by the number of hosts.
#include <benchmark/benchmark.h>

#include <string>

#include "trefoilmill/document_sync.h"

namespace trefoilmill {
namespace {

const document_id deployment_document("deployment");

std::vector<host_record> Hosts(int count) {
  std::vector<host_record> hosts(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    hosts[static_cast<std::size_t>(i)].id = host_id("h" + std::to_string(i));
    hosts[static_cast<std::size_t>(i)].zone =
        zone_id("z" + std::to_string(i % 3));
  }
  return hosts;
}

document_sync MakeSync() {
  document_sync::config settings;
  settings.self = host_id("h0");
  settings.zone = zone_id("z0");
  settings.documents = {deployment_document, document_id("zones"),
                        document_id("catalog")};
  return {{}, settings, std::mt19937_64(1)};
}

void Adopt(benchmark::State& state) {
  document_sync documents = MakeSync();
  documents.HostsChanged({}, Hosts(static_cast<int>(state.range(0))),
                         static_cast<std::size_t>(state.range(0)));
  const std::string body(30000, 'x');
  std::uint64_t at = 0;
  for (auto _ : state) {
    ++at;
    documents.PeerBody({}, host_id("h1"),
                       {deployment_document, revision(at), body});
    documents.Adopted({}, deployment_document, revision(at));
  }
}
BENCHMARK(Adopt)->Arg(3)->Arg(9)->Arg(100)->Arg(2400)->Unit(
    benchmark::kMicrosecond);

void HostsChanged(benchmark::State& state) {
  document_sync documents = MakeSync();
  const auto hosts = Hosts(static_cast<int>(state.range(0)));
  for (auto _ : state) {
    documents.HostsChanged({}, hosts, hosts.size());
  }
}
BENCHMARK(HostsChanged)
    ->Arg(3)
    ->Arg(9)
    ->Arg(100)
    ->Arg(2400)
    ->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace trefoilmill
