/// This host's part of the budget that all hosts share for sending a request
/// to a further endpoint of a service: hedges and retries.
///
/// The bound over all hosts is, in any window of length W,
///   extra sends <= ratio x requests + slack.
/// A host spends at most  cap + refill + kRatioShare x ratio x its requests.
/// For a host that stands by, cap is one send and refill none: it spends what
/// its own requests earned. The hosts that callers are told of share what is
/// left: cap + refill = (kSlackShare x slack - standing_by) / named, where cap
/// is at least one send. Summed over all hosts that is below the bound as long
/// as no more hosts send than are counted, and no more than kSlackShare x
/// slack. A process starts with nothing to spend, so that a restart within the
/// window adds nothing.
#ifndef TREFOILMILL_PROCESS_EXTRA_SEND_BUDGET_H_
#define TREFOILMILL_PROCESS_EXTRA_SEND_BUDGET_H_

#include <map>

#include "trefoilmill/ids.h"
#include "trefoilmill/process/sending_hosts.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// The bound that holds for all hosts together, for each service.
struct extra_send_bound {
  /// Extra sends per request of a caller.
  double ratio = 0.1;
  /// Extra sends per window that are allowed besides.
  double slack = 10;
  duration window = std::chrono::seconds(10);
};

class extra_send_budget {
 public:
  explicit extra_send_budget(const extra_send_bound& bound);

  /// Which hosts may send at the same time, this one among them.
  void SetHosts(const sending_hosts& hosts) { hosts_ = hosts; }
  void SetBound(const extra_send_bound& bound) { bound_ = bound; }
  /// A caller's request was first sent to `service`.
  void OnFirstSend(time_point now, const service_id& service);
  /// Takes one extra send; false if fewer than 1 + `reserve` are left.
  bool TrySpend(time_point now, const service_id& service, double reserve = 0);
  /// The most that can be saved up for one service.
  double cap() const;

 private:
  struct account {
    double balance = 0;
    time_point refilled;
  };

  /// This host's part of the slack, in sends per window.
  double SlackShare() const;
  account& Refilled(time_point now, const service_id& service);

  extra_send_bound bound_;
  sending_hosts hosts_;
  std::map<service_id, account> accounts_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_EXTRA_SEND_BUDGET_H_
