/// Shares what is known of requests under which endpoints have ended: tells the
/// other hosts, and keeps those in quarantine in the platform's store, which
/// outlasts the loss of all hosts.
///
/// News spreads from host to host, each telling a few drawn at random, so that
/// its cost per host does not grow with the fleet. Besides, a host that has
/// records, or has just started, compares a digest of them with one other host
/// at a time; this supplies hosts that were restarted or cut off.
#ifndef TREFOILMILL_ENTRY_QUARANTINE_SYNC_H_
#define TREFOILMILL_ENTRY_QUARANTINE_SYNC_H_

#include <map>
#include <random>
#include <vector>

#include "trefoilmill/messages.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/process/news_pacing.h"
#include "trefoilmill/process/shared_request_state.h"
#include "trefoilmill_entry/fleet_membership.h"
#include "trefoilmill_entry/peer_datagrams.h"
#include "trefoilmill_entry/store_sync.h"
#include "trefoilmill_entry/telemetry.h"

namespace trefoilmill::entry {

/// Used on the event loop's thread only.
class quarantine_sync {
 public:
  /// The records are those of `shared_state`.
  quarantine_sync(event_loop& loop,
                  shared_request_state& shared_state,
                  fleet_membership& fleet,
                  peer_datagrams& datagrams,
                  store_sync& store,
                  telemetry& process_telemetry,
                  std::mt19937_64 random);

  /// Reads the store's records.
  void Start();
  /// Another host's records arrived.
  void OnReports(const host_id& from,
                 const quarantine_reports_message& message);
  /// Another host says which records it has.
  void OnDigest(const host_id& from, const quarantine_digest_message& message);
  /// Sends news to a few other hosts.
  void SendNews();
  /// The same soon, as news_pacing plans it.
  void ScheduleNews();
  /// Passes news on, compares records with another host and stores them. To be
  /// called several times a second.
  void RunHousekeeping();

 private:
  void SendAll(const host_id& to);
  void CompareWithOneHost();
  /// Writes records that no host has stored yet, if it is this host's turn.
  void StoreRecords();
  void StoreRecord(request_fingerprint request);
  void OnStoredObjects(const std::vector<stored_object>& objects);
  void Merge(const quarantine_report& report, const std::string& source);
  /// The other hosts that are alive.
  std::vector<host_record> OtherHosts() const;

  event_loop& loop_;
  shared_request_state& shared_state_;
  fleet_membership& fleet_;
  peer_datagrams& datagrams_;
  store_sync& store_;
  telemetry& telemetry_;
  std::mt19937_64 random_;
  /// Since when each record waits to be stored, or was last tried.
  std::map<request_fingerprint, time_point> unstored_since_;
  news_pacing pacing_;
  timer news_timer_;
  int runs_ = 0;
  int initial_comparisons_ = 0;
};

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_QUARANTINE_SYNC_H_
