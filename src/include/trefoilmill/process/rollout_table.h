/// The roll-outs of all services as this host takes part in them: which
/// endpoints a send may use, which get nothing at all, what other hosts and the
/// store are to be told.
///
/// Besides the endpoints of versions that were rejected, rolled back or
/// replaced, those of a version that is seen for the first time get nothing for
/// a moment: the order that puts it on trial may arrive after their records.
#ifndef TREFOILMILL_PROCESS_ROLLOUT_TABLE_H_
#define TREFOILMILL_PROCESS_ROLLOUT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/process/endpoint_registry.h"
#include "trefoilmill/process/rollout_trial.h"
#include "trefoilmill/time.h"
#include "trefoilmill/version/rollout.h"

namespace trefoilmill {

/// Does nothing, at no cost, unless the settings state an exposure limit.
class rollout_table {
 public:
  rollout_table() = default;
  /// `random` draws which requests go to new versions.
  rollout_table(const exposure_limit& limit, std::mt19937_64 random);

  /// Whether the deployment has roll-outs.
  bool is_enabled() const { return limit_.ratio > 0; }
  /// Whether an order is known.
  bool has_orders() const { return !active_.empty(); }

  /// @name Orders and endpoints
  /// @{

  /// The store's list of orders. Orders in the first one that this process gets
  /// may have been given any time before.
  void SetOrders(time_point now, const std::vector<rollout_record>& records);

  /// What the host knows of the fleet, for each service.
  struct fleet {
    host_id self;
    std::size_t sharing_hosts = 1;
    std::vector<host_id> senders;
    /// Position of this host among the deciders of a service, see
    /// rollout_trial::fleet_view.
    std::function<std::optional<std::size_t>(const service_id&)> rank;
  };
  /// Number of this host's requests under way to an endpoint.
  using in_flight_count = std::function<std::size_t(const endpoint_id&)>;
  /// Reviews the stages of all roll-outs. To be called several times a second,
  /// and after changes of orders or endpoints.
  void Update(time_point now,
              const endpoint_registry& registry,
              const in_flight_count& in_flight,
              const fleet& known);
  /// Endpoints that get no requests, as of the last Update().
  const std::set<endpoint_id>& withheld() const { return withheld_; }
  /// @}

  /// @name Requests
  /// @{

  /// Which versions of a service's software a send may go to.
  enum class version_choice {
    kAny,        ///< No roll-out is in progress.
    kOld,        ///< Only versions other than the target.
    kNewIfFree,  ///< The target, or another one if the target is busy.
    kNew,        ///< The target; others only if it has no usable endpoint.
  };
  /// Draws the version for a first send. Hedges and retries stay with the old
  /// version until the cutover, as a caller has waited for them already.
  version_choice Choose(time_point now,
                        const service_id& service,
                        bool is_first_send);
  /// The choice if no endpoint of the one before can be used, or all are busy;
  /// unset if there is no other.
  static std::optional<version_choice> Alternative(version_choice choice,
                                                   bool all_busy);
  /// Adds the service's endpoints that `choice` rules out to `excluded`.
  void Exclude(const endpoint_registry& registry,
               const service_id& service,
               version_choice choice,
               std::vector<endpoint_id>& excluded) const;
  /// An endpoint answered, with success or an error of its own.
  void OnAnswer(time_point now,
                const endpoint_registry& registry,
                const version_answer& answer);
  /// @}

  /// @name Other hosts
  /// @{

  /// This process's reports on the roll-outs in progress, for the deciders.
  std::vector<rollout_report> MakeReports(std::uint64_t process);
  void OnReport(const host_id& from, const rollout_report& report);

  /// What a host tells others when a roll-out enters a stage.
  struct stage_news {
    rollout_order order;
    rollout_stage stage = rollout_stage::kWaiting;
    duration elapsed{};
  };
  /// The stages to tell others of now; each change is told several times, as
  /// messages may be lost.
  std::vector<stage_news> TakeNews(time_point now);
  /// The stage of one roll-out, for a host whose report shows an earlier one.
  std::optional<stage_news> NewsFor(time_point now,
                                    const rollout_report& report) const;
  void OnNews(time_point now, const stage_news& news);
  /// @}

  /// A state to be written into the store.
  struct write {
    rollout_order order;
    rollout_state state = rollout_state::kRunning;
    /// The write is conditional on this revision of the order.
    revision at;
  };
  /// Writes that are due; each is repeated after a while until SetOrders()
  /// shows a state.
  std::vector<write> TakeWrites(time_point now, const fleet& known);

  /// One roll-out, for logs and operators.
  struct status {
    const rollout_trial* trial = nullptr;
    std::optional<rollout_state> stored;
  };
  std::vector<status> Statuses() const;

 private:
  struct active {
    rollout_trial trial;
    /// Unset if the store lists the order no more.
    std::optional<rollout_record> record;
    rollout_stage told_stage = rollout_stage::kWaiting;
    int news_left = 0;
    time_point next_write_at;
    /// Versions that the service's endpoints had besides the target.
    std::set<software_version> old_versions;
  };
  /// What is known of one version of one service.
  struct version_state {
    time_point first_seen;
    /// When its first endpoint started, see endpoint_record.
    std::uint64_t started_ms = 0;
    bool is_present = false;
    /// It was rolled back, rejected or replaced.
    bool is_barred = false;
  };

  /// Whether the store has a final state.
  static bool IsDecided(const active& rollout);
  active* Find(const service_id& service);
  const active* Find(const service_id& service) const;
  active* Find(const rollout_order& order);
  void ApplyRecord(time_point now, const rollout_record& record);
  /// Marks which versions the services have, and forgets those that are gone.
  void ReviewVersions(time_point now, const endpoint_registry& registry);
  bool IsWithheld(time_point now, const endpoint_record& endpoint) const;
  /// Whether the version may be on trial by an order that is not known yet.
  bool MayBeOnTrial(
      time_point now,
      const version_state& version,
      const std::map<software_version, version_state>& versions) const;
  rollout_trial::endpoint_view ViewOf(time_point now,
                                      const active& rollout,
                                      const endpoint_registry& registry,
                                      const in_flight_count& in_flight) const;

  exposure_limit limit_;
  std::mt19937_64 random_;
  bool orders_known_ = false;
  std::map<service_id, active> active_;
  std::map<service_id, std::map<software_version, version_state>> versions_;
  std::set<endpoint_id> withheld_;
};

/// The hosts that decide about a service's roll-out, in line: the first few of
/// `hosts` by rendezvous hashing, the same on all hosts with the same view.
std::vector<host_id> SelectDeciders(const service_id& service,
                                    std::vector<host_id> hosts);

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_ROLLOUT_TABLE_H_
