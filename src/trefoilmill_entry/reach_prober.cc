#include "trefoilmill_entry/reach_prober.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <ranges>
#include <utility>
#include <vector>

namespace trefoilmill::entry {
namespace {

/// Limits for opening a probe's connection, and for its response.
constexpr duration kConnectTimeout = std::chrono::milliseconds(400);
constexpr duration kResponseTimeout = std::chrono::milliseconds(500);
/// Probes in progress at the same time.
constexpr std::size_t kMaxProbes = 4;

}  // namespace

reach_prober::reach_prober(event_loop& loop,
                           std::string local_ip,
                           shared_request_state& shared_state,
                           std::mt19937_64 random)
    : loop_(loop),
      local_ip_(std::move(local_ip)),
      shared_state_(shared_state),
      random_(random) {}

reach_prober::~reach_prober() = default;

void reach_prober::Run(time_point now, const route_table& table) {
  const endpoint_selector& selector = shared_state_.selector;
  if (!selector.reach().ShouldProbe(now) || probes_.size() >= kMaxProbes) {
    return;
  }
  std::vector<const endpoint_record*> candidates;
  for (const auto& entry :
       std::views::values(shared_state_.registry.entries())) {
    if (selector.MayProbe(now, entry)) {
      candidates.push_back(&entry.record);
    }
  }
  if (candidates.empty()) {
    return;
  }
  const endpoint_record& endpoint = *candidates[random_() % candidates.size()];
  Probe(endpoint, table.SettingsOf(endpoint.service).health_path);
}

void reach_prober::Probe(const endpoint_record& endpoint,
                         const std::string& health_path) {
  const probe_number number = ++last_number_;
  auto& connection = probes_[number];
  connection = http_connection::Create(loop_, endpoint.address,
                                       {.connect_timeout = kConnectTimeout,
                                        .local_ip = local_ip_,
                                        .accept_close_delimited = true});
  connection->Connect(
      [this, number, id = endpoint.id, health_path](bool connected) {
        OnConnected(number, id, health_path, connected);
      });
}

void reach_prober::OnConnected(probe_number number,
                               const endpoint_id& id,
                               const std::string& health_path,
                               bool connected) {
  if (!connected) {
    OnResult(number, id, /*responded=*/false);
    return;
  }
  probes_.at(number)->Send(
      {.method = "GET", .path = health_path}, kResponseTimeout,
      [this, number, id](const http_result& exchange) {
        OnResult(number, id, exchange.response.has_value());
      });
}

void reach_prober::OnResult(probe_number number,
                            const endpoint_id& id,
                            bool responded) {
  // This runs inside a callback of the connection, so a task posted to the loop
  // destroys it.
  std::shared_ptr<http_connection> ended = std::move(probes_.at(number));
  probes_.erase(number);
  loop_.Post([ended] {});
  endpoint_reach& reach = shared_state_.selector.reach();
  if (responded) {
    reach.OnResponse(loop_.Now(), id);
  } else {
    reach.OnNoResponse(loop_.Now(), id);
  }
}

}  // namespace trefoilmill::entry
