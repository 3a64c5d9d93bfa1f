/// Request limits that endpoints in need state in their responses.
///
/// A limit L holds for the requests of all hosts together, for as long as the
/// endpoint's responses state it. The hosts divide it without talking to each
/// other: of the N hosts that callers are told of, K = min(N, B) may send to
/// the endpoint, with a burst allowance of B = L x 1 s + 4 requests. Rendezvous
/// hashing selects the K. Each has a token bucket that fills with L / K and
/// holds B / K, so that in any window of length W all hosts send
///   at most  L x W + B = L x (W + 1 s) + 4.
/// N counts hosts that are known to be dead, as a partitioned host may still be
/// sending; a host that knows only a part of the hosts exceeds its share in
/// proportion. A bucket is empty when a limit is first stated.
///
/// A host that has no share learns from others that a limit has ended. One that
/// hears nothing for some time uses the endpoint again, and with its response
/// learns whether the limit still holds.
#ifndef TREFOILMILL_PROCESS_REQUEST_LIMITS_H_
#define TREFOILMILL_PROCESS_REQUEST_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/process/request_rate.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// What one host heard from an endpoint, as it tells the other hosts.
struct endpoint_limit_report {
  endpoint_id endpoint;
  /// Start time of the instance, see endpoint_record.
  std::uint64_t started_ms = 0;
  /// The limit, in requests per thousand seconds; unset if it has ended.
  std::optional<std::int64_t> per_thousand_seconds;
  /// How long ago the endpoint stated that.
  duration age{};
};

/// The limits in force as known to this host, and its own share of them.
class request_limits {
 public:
  /// Sets the hosts among which limits are divided. Without a share, `self` is
  /// not in `senders`.
  void SetSenders(const host_id& self, const std::vector<host_id>& senders);

  /// A response of the endpoint states `limit`, or none. Returns whether that
  /// differs from what was known.
  bool OnResponse(time_point now,
                  const endpoint_id& id,
                  std::optional<request_rate> limit);
  /// Another host reports what it heard; ignored if this host has heard
  /// something later. Returns whether that differs from what was known.
  bool OnPeerReport(time_point now, const endpoint_limit_report& report);
  /// Discards what is known of an endpoint that was removed or replaced.
  void Forget(const endpoint_id& id) { states_.erase(id); }

  /// Whether the endpoint may get one more request now.
  bool AllowsSend(time_point now, const endpoint_id& id) const;
  /// A request is sent to the endpoint: takes it out of this host's share.
  void OnSend(time_point now, const endpoint_id& id);
  /// Takes back OnSend(): the send was planned but not carried out.
  void OnSendCancelled(const endpoint_id& id);

  /// The limit in force; unset if the endpoint states none.
  std::optional<request_rate> LimitOf(const endpoint_id& id) const;
  /// What this host itself heard and has to tell the others now: changes, a few
  /// times, and limits in force of which not all hosts have a share, at
  /// intervals; at most `most` reports, the rest
  /// next time. `started_ms` of the reports is not set.
  std::vector<endpoint_limit_report> TakeReports(time_point now,
                                                 std::size_t most);

 private:
  struct limit_state {
    /// Unset after the endpoint stated that the limit has ended.
    std::optional<request_rate> limit;
    /// When the endpoint stated that, to this host or another one.
    time_point stated_at;
    /// When this host itself was told.
    std::optional<time_point> told_at;
    /// Requests that may be sent at once, at `refilled_at`.
    double tokens = 0;
    time_point refilled_at;
    /// How often the change is still to be reported.
    int reports_left = 0;
    time_point reported_at;
  };
  /// This host's part of one limit.
  struct share {
    /// Requests per second; 0 if this host may not send.
    double rate = 0;
    /// Requests that may be saved up.
    double burst = 0;
  };

  share ShareOf(const endpoint_id& id, request_rate limit) const;
  /// Whether this host is among the `count` senders with the highest rendezvous
  /// weight for the endpoint.
  bool IsSelected(const endpoint_id& id, std::size_t count) const;
  bool IsReportDue(time_point now, const limit_state& state) const;
  /// Number of hosts that may send to an endpoint with this limit.
  std::size_t SharersOf(request_rate limit) const;
  /// Tokens at `now`; those of earlier are capped by the present share.
  double TokensAt(time_point now,
                  const endpoint_id& id,
                  const limit_state& state) const;
  /// Applies what the endpoint stated at `stated_at`. Returns whether that is
  /// news.
  bool Apply(time_point now,
             limit_state& state,
             time_point stated_at,
             std::optional<request_rate> limit);

  /// Hashes of the names of this host and of all hosts that may send.
  std::uint64_t self_ = 0;
  std::vector<std::uint64_t> senders_;
  bool is_sender_ = true;
  std::unordered_map<endpoint_id, limit_state> states_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_REQUEST_LIMITS_H_
