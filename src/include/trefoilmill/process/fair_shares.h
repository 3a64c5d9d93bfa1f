/// Division among organisations of what endpoints can run, while they cannot
/// run all that is asked.
///
/// Shares are max-min fair, weighted by quota: every organisation gets what it
/// asks for, up to a level in proportion to its quota, so that a burst is paid
/// for by the organisation that causes it, and a burst of all by all alike.
/// Within an organisation urgent requests go first. Demand is counted in
/// endpoint time: a gathered request counts as the sum of its shards.
///
/// Each host decides by itself, from the demand that it sees and from what the
/// others report while endpoints are short. The callers of an organisation may
/// all use one host, so that no host's own view would do. Reports that are lost
/// or old leave a host with its own view; the sum that is let in does not
/// depend on them.
///
/// Weighed: a level for each host from its own demand alone refuses everyone's
/// callers at the hosts that the burst does not use; equal weights let the
/// largest organisations pay for a burst of all; a queue for each organisation
/// would hold what can no longer be in time.
#ifndef TREFOILMILL_PROCESS_FAIR_SHARES_H_
#define TREFOILMILL_PROCESS_FAIR_SHARES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <variant>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"
#include "trefoilmill/version/organisation.h"

namespace trefoilmill {

/// What an organisation asks for, in microseconds of endpoint time per second.
struct organisation_demand {
  organisation_id organisation;
  std::int64_t urgent = 0;
  std::int64_t other = 0;
  friend bool operator==(const organisation_demand&,
                         const organisation_demand&) = default;
};

/// Whose demand a report states: that of one host, or of all hosts of an
/// availability zone together.
using demand_source = std::variant<host_id, zone_id>;

class fair_shares {
 public:
  /// Sets the organisations' weights: their quotas, or the mean quota for one
  /// that has none.
  void SetWeights(const std::vector<organisation>& organisations);

  /// A caller asks for a request that takes `endpoint_time` at all its
  /// endpoints together.
  void OnRequest(time_point now,
                 const organisation_id& id,
                 bool is_urgent,
                 duration endpoint_time);
  /// Endpoints can run this fraction of what is asked, as seen by a request
  /// that is not urgent.
  void OnRunnableFraction(time_point now, double fraction);
  /// The latest such fractions, as an average that returns to 1 without them.
  double RunnableFraction(time_point now) const;

  /// Fraction of the organisation's requests to let in if endpoints can run
  /// `runnable` of what all organisations ask.
  double AdmittedFraction(time_point now,
                          const organisation_id& id,
                          bool is_urgent,
                          double runnable);
  /// Whether the organisation asks for more than its share while endpoints are
  /// short. It then has no claim to hedges, or to wait for the load to fall.
  bool IsOverShare(time_point now, const organisation_id& id);

  /// Another host's report, which replaces the last one of the same source.
  void OnReport(time_point now,
                const demand_source& source,
                std::vector<organisation_demand> report);
  /// Whether endpoints were short lately, so that hosts need each other's
  /// reports.
  bool IsShort(time_point now) const;
  /// The greatest demands seen by this host, at most `limit`.
  std::vector<organisation_demand> OwnDemands(time_point now,
                                              std::size_t limit) const;
  /// The same of this host and of those that reported for themselves.
  std::vector<organisation_demand> ZoneDemands(time_point now,
                                               std::size_t limit) const;
  /// Discards demand and reports that have become negligible.
  void RemoveIdle(time_point now);
  /// Number of organisations whose demand is known.
  std::size_t size() const { return own_.size(); }

 private:
  /// Endpoint time per second, in microseconds.
  struct demand {
    double urgent = 0;
    double other = 0;
    double total() const { return urgent + other; }
    void Add(const demand& added);
  };
  using demand_table = std::unordered_map<organisation_id, demand>;
  struct weighted_demand {
    double total = 0;
    double weight = 1;
    double per_weight() const { return total / weight; }
  };
  /// A decaying average of what this host's callers ask.
  struct own_demand {
    demand average;
    time_point updated_at;
    demand Value(time_point now) const;
  };
  struct received_report {
    std::vector<organisation_demand> demands;
    time_point received_at;
    bool IsValid(time_point now) const;
  };

  /// Adds up the demand of all sources, unless that was done a moment ago.
  void Refresh(time_point now);
  demand_table Sum(time_point now, bool with_zones) const;
  /// The greatest demand, per weight, that is met in full if `runnable` of all
  /// can be run.
  double Level(double runnable) const;
  double WeightOf(const organisation_id& id) const;
  static std::vector<organisation_demand> Greatest(const demand_table& table,
                                                   std::size_t limit);

  std::unordered_map<organisation_id, own_demand> own_;
  std::map<demand_source, received_report> reports_;
  std::unordered_map<organisation_id, double> weights_;
  /// The sum of all sources as of `summed_at_`, and the organisations' totals
  /// in increasing order per weight.
  demand_table sum_;
  std::vector<weighted_demand> totals_;
  time_point summed_at_;
  /// An average of runnable fractions as of `fraction_at_`.
  double fraction_ = 1;
  time_point fraction_at_;
  time_point short_at_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_FAIR_SHARES_H_
