#include "trefoilmill_entry/reach_prober.h"

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

#include "trefoilmill_entry/endpoint_evidence.h"

namespace trefoilmill::entry {
namespace {

/// Limits for opening a probe's connection, and for its response.
constexpr duration kConnectTimeout = std::chrono::milliseconds(150);
constexpr duration kResponseTimeout = std::chrono::milliseconds(500);
/// A connection that fails sooner was refused; later, nothing came back.
constexpr duration kMaxRefusalTime = kConnectTimeout / 2;
/// Probes in progress at the same time, and probes sent at a time: as many as
/// it takes to tell a cut from slow endpoints.
constexpr std::size_t kMaxProbes = 6;
constexpr std::size_t kProbesAtOnce = 2;

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
  std::vector<endpoint_id> candidates =
      selector.ProbeCandidates(now, shared_state_.registry);
  std::ranges::shuffle(candidates, random_);
  candidates.resize(std::min(candidates.size(), kProbesAtOnce));
  for (const endpoint_id& id : candidates) {
    const endpoint_record& endpoint = shared_state_.registry.Find(id)->record;
    Probe(endpoint, table.SettingsOf(endpoint.service).health_path);
  }
}

void reach_prober::Probe(const endpoint_record& endpoint,
                         const std::string& health_path) {
  const probe_number number = ++last_number_;
  auto& connection = probes_[number];
  connection = http_connection::Create(loop_, endpoint.address,
                                       {.connect_timeout = kConnectTimeout,
                                        .local_ip = local_ip_,
                                        .accept_close_delimited = true});
  connection->Connect([this, number, id = endpoint.id, health_path,
                       began = loop_.Now()](bool connected) {
    if (connected) {
      OnConnected(number, id, health_path);
    } else {
      OnConnectFailed(number, id, began);
    }
  });
}

void reach_prober::OnConnected(probe_number number,
                               const endpoint_id& id,
                               const std::string& health_path) {
  shared_state_.selector.reach().OnConnected(id);
  shared_state_.selector.crashes().OnConnected(id);
  shared_state_.selector.OnProbe(loop_.Now(), id);
  probes_.at(number)->Send(
      {.method = "GET", .path = health_path}, kResponseTimeout,
      [this, number, id](const http_result& exchange) {
        const time_point now = loop_.Now();
        if (exchange.response.has_value()) {
          RecordResponse(now, shared_state_, id, *exchange.response);
        } else {
          shared_state_.selector.reach().OnLate(now, id);
        }
        End(number);
      });
}

void reach_prober::OnConnectFailed(probe_number number,
                                   const endpoint_id& id,
                                   time_point began) {
  const time_point now = loop_.Now();
  if (now - began > kMaxRefusalTime) {
    shared_state_.selector.reach().OnLost(now, id);
  } else {
    // It was refused, which says nothing of connections that are open.
    shared_state_.selector.OnProbeRefused(now, id);
  }
  End(number);
}

// This runs inside a callback of the connection, so a task posted to the loop
// destroys it.
void reach_prober::End(probe_number number) {
  std::shared_ptr<http_connection> ended = std::move(probes_.at(number));
  probes_.erase(number);
  loop_.Post([ended] {});
}

}  // namespace trefoilmill::entry
