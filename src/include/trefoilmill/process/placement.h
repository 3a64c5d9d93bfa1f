/// Chooses the endpoint that gets a sub-request, from what the platform
/// announces and from what this host sees of each endpoint: how fast and how
/// reliably it answers, what it has in flight there and how long that has been
/// waiting.
///
/// Answers the load patterns "pauses" (an endpoint answers nothing for a
/// fraction of a second while requests wait at it), "stragglers" (it is several
/// times slower for seconds), "grey failures" (it fails part of the requests
/// while it reports to be healthy) and "endpoint gone dark".
#ifndef TREFOILMILL_PROCESS_PLACEMENT_H_
#define TREFOILMILL_PROCESS_PLACEMENT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/process/endpoint_registry.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// How a send to an endpoint ended, as far as it tells about the endpoint.
enum class send_end {
  kAnswered,     ///< A good reply came.
  kNotExecuted,  ///< The endpoint refused to run it.
  kFailed,       ///< An error, a broken connection or unusable bytes.
  kUnanswered,   ///< Nothing came before the request was given up.
};

/// What one host tells the others of an endpoint that is not well.
struct endpoint_trouble {
  endpoint_id endpoint;
  /// Latency beyond the usual, in usual latencies, times a thousand.
  std::int32_t excess_milli = 0;
  /// Share of sends that failed, times a thousand.
  std::int32_t failed_milli = 0;
};

class placement {
 public:
  /// @name Results of Choose()
  /// @{
  struct chosen {
    endpoint_id endpoint;
  };
  /// Endpoints could serve, but their connections are all in use.
  struct no_capacity {};
  /// No endpoint of the service can serve now.
  struct none_usable {};
  using choice = std::variant<chosen, no_capacity, none_usable>;
  /// @}

  /// Why an endpoint is wanted.
  enum class purpose {
    kFirst,  ///< The first send of a sub-request, or one after a failure.
    kHedge,  ///< Only an endpoint that likely answers at once helps.
  };

  /// `zone` is this host's own.
  placement(zone_id zone, std::mt19937_64 random);

  /// @name What is known
  /// @{
  /// Zones whose endpoints get nothing.
  void SetZonesOut(std::set<zone_id> zones) { zones_out_ = std::move(zones); }
  /// Forgets what was seen of an endpoint.
  void Forget(const endpoint_id& id) { seen_.erase(id); }
  /// Connections to an endpoint that could carry a request now.
  void SetFree(const endpoint_id& id, int free);
  /// No connection could be made; the endpoint gets nothing for a while.
  void OnConnectFailed(time_point now, const endpoint_id& id);
  void OnConnected(const endpoint_id& id);
  /// @}

  /// Picks among the service's endpoints but for `excluded`. `expected` is the
  /// usual latency of such a sub-request.
  choice Choose(time_point now,
                const endpoint_registry& registry,
                const service_id& service,
                const std::vector<endpoint_id>& excluded,
                duration expected,
                purpose why);

  /// A sub-request is so late that it is hedged: shows a slow endpoint sooner
  /// than its reply does.
  void OnLate(time_point now,
              const endpoint_id& id,
              attempt_id attempt,
              duration expected);
  /// Another host's word on an endpoint; counts beside what this host sees.
  void OnReport(time_point now, const endpoint_trouble& report);
  /// What this host itself saw lately of endpoints that are not well.
  std::vector<endpoint_trouble> Reports(time_point now) const;

  /// A sub-request was handed to the endpoint.
  void OnSend(time_point now, const endpoint_id& id, attempt_id attempt);
  /// The send was planned but not carried out.
  void Withdraw(const endpoint_id& id, attempt_id attempt);
  /// It ended; the attempt is no longer in flight there.
  void OnEnd(time_point now,
             const endpoint_id& id,
             attempt_id attempt,
             duration expected,
             send_end how);

 private:
  /// An average that fades towards what is normal when nothing new comes.
  struct fading {
    double excess = 0;
    time_point at;
    double Value(time_point now, duration half_life) const;
    void Move(time_point now, double sample, double weight, duration half_life);
  };
  struct observed {
    int free = 0;
    /// Start of each send in flight, oldest first.
    std::map<attempt_id, time_point> in_flight;
    fading slowness;
    fading failures;
    /// The same by other hosts' reports.
    fading heard_slowness;
    fading heard_failures;
    time_point blocked_until;
    duration block{};
  };

  bool IsAllowed(time_point now, const endpoint_registry::entry& entry) const;
  double CostOf(time_point now,
                const endpoint_registry::entry& entry,
                const observed& seen,
                duration expected) const;

  zone_id zone_;
  std::mt19937_64 random_;
  std::set<zone_id> zones_out_;
  std::unordered_map<endpoint_id, observed> seen_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_PLACEMENT_H_
