/// Hosts of a fleet without a network.
#ifndef TREFOILMILL_LIBTREFOILMILL_REQUEST_FATAL_REQUESTS_HOSTS_TEST_H_
#define TREFOILMILL_LIBTREFOILMILL_REQUEST_FATAL_REQUESTS_HOSTS_TEST_H_

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <ranges>
#include <utility>
#include <vector>

#include "fatal_requests_model_test.h"

namespace trefoilmill {

inline constexpr duration kHousekeeping = milliseconds(100);
inline constexpr duration kCrashCheck = milliseconds(10);
inline constexpr duration kLateCrashCheck = milliseconds(100);
/// As in quarantine_sync.
inline constexpr std::size_t kNewsReceivers = 8;
inline constexpr std::size_t kReportsPerMessage = 24;
/// As in trouble_reports.
inline constexpr duration kReportInterval = milliseconds(250);
inline constexpr std::size_t kMaxReportedEndpoints = 24;
/// Hosts of one zone.
inline constexpr std::size_t kMaxReportReceivers = 65;
/// As in reach_prober.
inline constexpr std::size_t kProbesAtOnce = 2;

/// Hosts that tell each other what they know, and look after endpoints, as the
/// processes do.
class fleet_hosts {
 public:
  /// Requests in quarantine, at the host that knows of most.
  std::size_t quarantined() const {
    std::size_t most = 0;
    for (const auto& h : hosts_) {
      most = std::max(most, h->shared.quarantine.quarantined(now()));
    }
    return most;
  }

 protected:
  explicit fleet_hosts(const fleet_scenario& played)
      : played_(played), random_(played.seed) {
    for (std::size_t n = 0; n < played.shards * played.replicas; ++n) {
      endpoints_.push_back({.number = n, .shard = n / played.replicas});
    }
    for (std::size_t n = 0; n < played.hosts; ++n) {
      hosts_.push_back(std::make_unique<host>(SharedState()));
      for (endpoint_model& e : endpoints_) {
        Announce(*hosts_.back(), e);
      }
      for (int sample = 0; sample < 100; ++sample) {
        hosts_.back()->shared.latencies[route_id("sweep")].Record(
            kWork + milliseconds(2 + sample % 4));
      }
    }
    At(now(), [this] { RunHousekeeping(); });
    At(now(), [this] { ReportTroubles(); });
  }

  time_point now() const { return events_.now(); }
  void At(time_point at, std::function<void()> run) {
    events_.At(at, std::move(run));
  }

  shared_request_state SharedState() {
    shared_request_state shared{
        .registry = endpoint_registry(milliseconds(2200)),
        .selector =
            endpoint_selector(zone_id("perth"), std::mt19937_64(random_())),
        .extra_sends = extra_send_budget({.ratio = 0.2, .slack = 430}, now()),
        .latencies = {},
        .admission = deadline_admission(std::mt19937_64(random_())),
        .waiting = {},
        .longest_waits = {},
        .answer_by = {}};
    shared.extra_sends.SetHosts({.advertised = played_.hosts});
    shared.selector.reach().SetKnownEndpoints(played_.shards *
                                              played_.replicas);
    return shared;
  }

  void Announce(host& h, const endpoint_model& e) {
    h.shared.registry.Put(
        now(), {.id = IdOf(e),
                .service = Service(e.shard),
                .zone = zone_id("perth"),
                .address = {.ip = "10.0.0.1",
                            .port = static_cast<std::uint16_t>(e.number + 1)},
                .slots = 4,
                .started_ms = e.life});
    h.shared.selector.SetIdleConnections(IdOf(e), 4);
    Check(h);
  }

  void OnResponse(shared_request_state& shared, const endpoint_id& id) {
    shared.selector.reach().OnResponse(now(), id);
    shared.selector.crashes().OnAlive(now(), id);
    shared.responses.OnResponse(now(), id);
    shared.silences.OnResponse(now());
  }

  void RunHousekeeping() {
    At(now() + kHousekeeping, [this] { RunHousekeeping(); });
    for (const auto& h : hosts_) {
      TellNews(*h);
      ProbeReach(*h);
      for (const auto& change : h->shared.registry.RemoveExpired(now())) {
        if (const auto* removed =
                std::get_if<endpoint_registry::removed>(&change)) {
          h->shared.selector.Forget(removed->id);
          h->shared.responses.Forget(removed->id);
        }
      }
    }
  }

  void ReportTroubles() {
    At(now() + kReportInterval, [this] { ReportTroubles(); });
    for (const auto& h : hosts_) {
      auto reports = h->shared.selector.UnhealthyEndpoints(now());
      reports.resize(std::min(reports.size(), kMaxReportedEndpoints));
      if (reports.empty()) {
        continue;
      }
      const std::size_t receivers =
          std::min(kMaxReportReceivers, hosts_.size());
      const std::size_t first = random_() % hosts_.size();
      for (std::size_t n = 0; n < receivers; ++n) {
        host& to = *hosts_[(first + n) % hosts_.size()];
        for (const endpoint_health_report& report : reports) {
          to.shared.selector.OnPeerReport(now(), report);
        }
      }
    }
  }

  /// As reach_prober does.
  void ProbeReach(host& h) {
    h.shared.selector.reach().Update(now());
    if (!h.shared.selector.reach().ShouldProbe(now())) {
      return;
    }
    std::vector<endpoint_id> candidates =
        h.shared.selector.ProbeCandidates(now(), h.shared.registry);
    std::ranges::shuffle(candidates, random_);
    for (const endpoint_id& id : candidates | std::views::take(kProbesAtOnce)) {
      Probe(h, id);
    }
  }

  void TellNews(host& h) {
    const auto news = h.shared.quarantine.TakeNews(now(), kReportsPerMessage);
    if (news.empty()) {
      return;
    }
    h.pacing.OnSent(now());
    for (std::size_t n = 0; n < kNewsReceivers; ++n) {
      At(now() + kOneWay, [this, &to = *hosts_[random_() % hosts_.size()],
                           news] { OnNews(to, news); });
    }
  }

  void OnNews(host& h, const std::vector<quarantine_report>& news) {
    for (const quarantine_report& report : news) {
      h.shared.quarantine.Merge(now(), report);
    }
    ScheduleNews(h);
  }

  void ScheduleNews(host& h) {
    if (!h.shared.quarantine.has_news()) {
      return;
    }
    if (const auto due = h.pacing.OnNews(now())) {
      At(*due, [this, &h] {
        h.pacing.OnDue();
        TellNews(h);
      });
    }
  }

  /// As crash_checker does.
  void StartChecks(std::size_t at, duration delay = kCrashCheck) {
    host& h = *hosts_[at];
    if (std::exchange(h.checking, true)) {
      return;
    }
    At(now() + delay, [this, at] {
      host& checked = *hosts_[at];
      checked.checking = false;
      Check(checked);
      const endpoint_crashes& crashes = checked.shared.selector.crashes();
      if (!crashes.empty()) {
        StartChecks(at,
                    crashes.IsUndecided(now()) ? kCrashCheck : kLateCrashCheck);
      }
    });
  }

  void Check(host& h) {
    endpoint_crashes& crashes = h.shared.selector.crashes();
    for (const auto& [id, started_ms] : crashes.SuspectedInstances()) {
      if (h.shared.registry.HasEnded(id, started_ms)) {
        crashes.OnInstanceGone(now(), id);
      }
    }
    for (const endpoint_id& id : crashes.TakeUnchecked(now())) {
      Probe(h, id);
    }
    if (crashes.TakeNeedForSignOfLife(now())) {
      Probe(h, IdOf(endpoints_[random_() % endpoints_.size()]));
    }
    const auto confirmed = crashes.TakeConfirmed(now());
    for (const crash_suspect& suspect : confirmed) {
      h.shared.quarantine.OnEndpointEnded(now(), suspect);
    }
    if (!confirmed.empty()) {
      TellNews(h);
    }
  }

  void Probe(host& h, const endpoint_id& id) {
    const endpoint_model& e = endpoints_[NumberOf(id)];
    endpoint_crashes& crashes = h.shared.selector.crashes();
    crashes.OnConnected(id);
    if (id != IdOf(e)) {
      crashes.OnInstanceGone(now(), id);
    } else if (!e.down) {
      OnResponse(h.shared, id);
    } else if (played_.form == down_form::kReset) {
      crashes.OnClosedUnused(now(), id);
    }
  }

  fleet_scenario played_;
  std::mt19937_64 random_;
  event_queue events_;
  std::vector<endpoint_model> endpoints_;
  std::vector<std::unique_ptr<host>> hosts_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_LIBTREFOILMILL_REQUEST_FATAL_REQUESTS_HOSTS_TEST_H_
