/// Quotas of organisations over all hosts together, without agreement.
///
/// In any time t all hosts together may run  rate x t + burst  requests of an
/// organisation, and a margin beyond that. Permits are issued by a few hosts
/// only, the organisation's issuers: R of the N hosts that callers may be told
/// of, chosen by rendezvous hashing. Each issues rate / R permits a second and
/// saves up burst / R of them, and its part of a few permits more, without
/// which small quotas could not be divided. A host that has too few permits for
/// its callers asks the issuers, which lend it what they can spare. Lent
/// permits are whole, so that none is left over in parts; what is not used soon
/// is given back. Per window of length W the hosts run at most
///   kIssueFactor x rate x (W + kLentLife) + burst + kSharedPermits +
///   kStartPermits.
///
/// Messages that are lost lose permits and make none. N counts hosts that are
/// known to be dead, so that both sides of a partition choose the same issuers;
/// a host that starts issues nothing until the others have heard of it, and
/// begins with its part of kStartPermits, as it does not know what it has
/// issued before. While an issuer is dead, its part is missing.
///
/// Weighed: equal shares refuse what comes through one host; shares that follow
/// use exceed the sum while hosts disagree on it; a single issuer would issue
/// everything twice in a partition, or nothing while it is dead.
#ifndef TREFOILMILL_PROCESS_ORGANISATION_QUOTAS_H_
#define TREFOILMILL_PROCESS_ORGANISATION_QUOTAS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"
#include "trefoilmill/version/organisation.h"

namespace trefoilmill {

/// Permits of one organisation in a message, in thousandths. Less than zero in
/// a request for permits: so many are given back.
struct permit_amount {
  organisation_id organisation;
  std::int64_t milli = 0;
};

/// This host's part in issuing, lending and using permits. State is kept only
/// for organisations whose callers used this host, or asked for its permits,
/// lately.
class organisation_quotas {
 public:
  /// @name Result of Take()
  /// @{

  /// The request may run.
  struct granted {};
  /// There is no permit here, but other hosts may lend one within a moment.
  struct pending {};
  /// The quota is used up; the caller may return after `retry_after`.
  struct refused {
    duration retry_after{};
  };
  using decision = std::variant<granted, pending, refused>;
  /// @}

  /// Sets the hosts among which issuers are chosen: all that callers may be
  /// told of, dead ones included.
  void SetHosts(time_point now,
                const host_id& self,
                const std::vector<host_id>& hosts);

  /// Takes a permit for one request. `has_waited` is set when it is tried again
  /// after it was pending.
  decision Take(time_point now,
                const organisation_id& id,
                const request_quota& quota,
                bool has_waited = false);
  /// Gives a permit back: its request was refused and did not run.
  void Return(time_point now, const organisation_id& id);

  /// What to ask other hosts for now, and to give back to them. Each
  /// organisation is asked for at intervals, which grow while nothing is lent.
  std::map<host_id, std::vector<permit_amount>> TakeWants(time_point now);
  /// Another host asks for permits; returns what it is lent, zero if nothing.
  permit_amount Lend(time_point now,
                     const permit_amount& wanted,
                     const request_quota& quota);
  /// Another host lends permits, or says that it has none.
  void OnLent(time_point now, const host_id& lender, const permit_amount& lent);
  /// Discards the state of organisations that have not been used for a while.
  void RemoveIdle(time_point now);

  /// Permits that this host holds now.
  double PermitsOf(time_point now, const organisation_id& id) const;
  /// Number of organisations with state.
  std::size_t size() const { return states_.size(); }

 private:
  struct lent_permits {
    host_id lender;
    double amount = 0;
    time_point expires_at;
  };
  struct quota_state {
    request_quota quota;
    /// Whether this host issues permits of the organisation, and how many
    /// issuers there are.
    bool is_issuer = false;
    std::vector<host_id> other_issuers;
    /// Own permits at `issued_at`, from which on they increase.
    double own = 0;
    time_point issued_at;
    std::deque<lent_permits> lent;
    /// Requests per second, a decaying average.
    double demand = 0;
    time_point demand_at;
    /// Permits that waiting requests lack and that were not asked for.
    double lacking = 0;
    time_point ask_at;
    duration ask_interval{};
    /// The issuer to ask next, as an index into `other_issuers`.
    std::size_t next_issuer = 0;
    /// Issuers asked that have not replied.
    std::size_t unanswered = 0;
    /// Issuers in a row that had nothing to lend.
    std::size_t empty_replies = 0;
    /// Until when nothing more is expected from the others.
    time_point depleted_until;
    /// The same demand as `demand`, of requests that were refused.
    double refusals = 0;
    time_point used_at;
  };

  quota_state& StateOf(time_point now,
                       const organisation_id& id,
                       const request_quota& quota);
  /// Chooses the organisation's issuers.
  void ChooseIssuers(const organisation_id& id, quota_state& state) const;
  /// Adds the permits issued up to `now`.
  void Refresh(time_point now, quota_state& state) const;
  /// Part of the organisation's quota that this host issues.
  double IssuedPart(const quota_state& state) const;
  double OwnCap(const quota_state& state) const;
  static void Decay(time_point now, quota_state& state);
  /// Whole permits to ask for now.
  static double Missing(time_point now, const quota_state& state);
  static double Lent(time_point now, const quota_state& state);
  /// Removes lent permits that were not used, and adds them to what is sent.
  static void GiveBack(time_point now,
                       const organisation_id& id,
                       quota_state& state,
                       std::map<host_id, std::vector<permit_amount>>& out);
  /// Asks some of the issuers for `missing` permits.
  static void Ask(const organisation_id& id,
                  quota_state& state,
                  double missing,
                  std::map<host_id, std::vector<permit_amount>>& out);
  /// An issuer had nothing to lend.
  static void OnNothingLent(time_point now, quota_state& state);
  static duration RetryAfter(const quota_state& state);

  host_id self_;
  std::uint64_t self_hash_ = 0;
  std::vector<host_id> hosts_;
  /// From when on this host issues permits; unset if it does not.
  std::optional<time_point> issues_from_;
  std::unordered_map<organisation_id, quota_state> states_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_ORGANISATION_QUOTAS_H_
