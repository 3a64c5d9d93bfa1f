/// Budget for hedges and retries: requests that are sent to a further endpoint
/// of a service. All hosts share one limit; this class tracks one host's part.
///
/// In any window of length W, all hosts together must satisfy
///   extra sends <= ratio x requests + slack.
/// One host spends at most  cap + refill + kRatioFraction x ratio x its
/// requests. A standby host has a cap of one send and no refill: it spends only
/// what its own requests earned. The advertised hosts share the remaining
/// slack:
///   cap + refill = (kSlackFraction x slack - standby hosts) / advertised hosts
/// with a cap of at least one send. The sum over all hosts stays below the
/// limit provided that no more hosts send than are counted, and that their
/// number is at most kSlackFraction x slack. A process starts with an empty
/// budget that refills from then on, as a running one does, so that a restart
/// within the window adds nothing to the sum.
#ifndef TREFOILMILL_PROCESS_EXTRA_SEND_BUDGET_H_
#define TREFOILMILL_PROCESS_EXTRA_SEND_BUDGET_H_

#include <map>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/process/sending_hosts.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// Limit on the extra sends of all hosts together, separately for each service.
struct extra_send_limit {
  /// Extra sends allowed per first send of a caller's request.
  double ratio = 0.1;
  /// Extra sends allowed per window in addition to the ratio.
  double slack = 10;
  duration window = std::chrono::seconds(10);
  friend bool operator==(const extra_send_limit&,
                         const extra_send_limit&) = default;
};

/// This host's part of the limit: one token bucket per service, in which each
/// extra send takes one token.
class extra_send_budget {
 public:
  /// `started` is when the process started: refills accrue from then on.
  extra_send_budget(const extra_send_limit& limit, time_point started);

  /// Sets the hosts, including this one, among which the slack is divided.
  void SetHosts(const sending_hosts& hosts) { hosts_ = hosts; }
  /// Replaces the limit that applies to all hosts together.
  void SetLimit(const extra_send_limit& limit) { limit_ = limit; }
  /// Credits the first send of a caller's request to `service`.
  void OnFirstSend(time_point now, const service_id& service);
  /// Takes one extra send out of the budget. Returns false, and takes nothing,
  /// if fewer than 1 + `reserve` sends are left.
  bool TrySpend(time_point now, const service_id& service, double reserve = 0);
  /// Takes one extra send to each of `services` out of the budget. Returns
  /// false, and takes nothing, if there is none left for any of them.
  bool TrySpendEach(time_point now, const std::vector<service_id>& services);
  /// Maximum balance of one service, in sends.
  double max_balance() const;

 private:
  struct token_bucket {
    /// In sends.
    double tokens = 0;
    time_point refilled_at;
  };

  /// This host's share of the slack, in sends per window.
  double SlackShare() const;
  /// Adds the tokens that accrued up to `now`.
  token_bucket& RefilledBucket(time_point now, const service_id& service);

  extra_send_limit limit_;
  time_point started_;
  sending_hosts hosts_;
  std::map<service_id, token_bucket> buckets_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_EXTRA_SEND_BUDGET_H_
