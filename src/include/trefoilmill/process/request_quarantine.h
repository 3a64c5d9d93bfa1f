/// Requests under which endpoints have ended, wherever in the fleet, and which
/// of them get to no endpoint any more.
///
/// A request that crashes each endpoint that runs it ("query of death") comes
/// again, at any host. Each end of an endpoint counts as a strike against the
/// requests that were in flight there. A reply to a request, from any endpoint,
/// clears it. Strikes shortly after one another are one event, as many
/// endpoints may end together for a reason that is none of the request's. With
/// one strike a request is suspect: request_run sends it to one endpoint at a
/// time. With three, of two events, it is in quarantine: it is refused.
///
/// Whether an endpoint has ended is known some time after its connections
/// broke, and callers return sooner than that. A request that failed with
/// broken connections is therefore suspect for a moment at once, and one that
/// already has a strike is refused for a moment.
///
/// Records are kept by two fingerprints. Under that of content and caller, each
/// endpoint that ended is a strike; under that of the content alone, each
/// caller is. Content that is fatal for one caller is thus not refused to
/// others, and content that is fatal for several callers is refused to all.
///
/// Hosts tell each other their records. Merging is commutative and idempotent:
/// strikes are told apart by their source, and what was cleared is cleared
/// everywhere.
#ifndef TREFOILMILL_PROCESS_REQUEST_QUARANTINE_H_
#define TREFOILMILL_PROCESS_REQUEST_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/process/endpoint_crashes.h"
#include "trefoilmill/request/request_identity.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// What is held against a request.
enum class request_standing {
  kClear,
  kSuspect,      ///< Endpoints have ended under it.
  kQuarantined,  ///< So often that it is sent to none any more.
};

/// One strike, as hosts tell each other and as it is stored.
struct strike_report {
  /// Hash of what ended or asked, by which strikes are told apart.
  std::uint64_t source = 0;
  /// How long ago that was.
  duration age{};
};

/// What a host knows of one request.
struct quarantine_report {
  request_fingerprint request;
  std::vector<strike_report> strikes;
  /// How long ago an endpoint last replied to it; unset if none did.
  std::optional<duration> cleared_age;
  /// The store's era in which the record was stored; unset if it was not.
  std::optional<store_era> stored_in;
  /// How much longer it is suspect, or refused, whatever its strikes.
  duration suspect_for{};
  duration refused_for{};
};

/// One host's records, a limited number of them.
class request_quarantine {
 public:
  /// An endpoint has ended with the request in flight. Returns whether that put
  /// the request in quarantine.
  bool OnEndpointEnded(time_point now, const crash_suspect& suspect);
  /// The request failed or got no reply in time, and connections broke or
  /// endpoints fell silent while they had it; whether any has ended is not
  /// known yet. With `refuse`, or if it has a strike, it is refused for a
  /// moment.
  void OnSuspected(time_point now,
                   const request_identity& request,
                   bool refuse);
  /// An endpoint has replied to the request.
  void OnReplied(time_point now, const request_identity& request);
  /// Forgets what is too old to matter. To be called now and then.
  void Update(time_point now);

  /// What is held against a request that arrives.
  request_standing StandingOf(time_point now,
                              const request_identity& request) const;
  /// Whether endpoints are known to have ended under the request.
  bool HasStrikes(const request_identity& request) const;
  /// When the quarantine of a request ends, if nothing else happens.
  duration QuarantineLeft(time_point now,
                          const request_identity& request) const;

  /// @name Other hosts
  /// @{
  /// Takes in what another host, or the store, has recorded. Returns whether
  /// that put the request in quarantine.
  bool Merge(time_point now, const quarantine_report& report);
  /// News to pass on to other hosts, at most `most`; each is returned a few
  /// times.
  std::vector<quarantine_report> TakeNews(time_point now, std::size_t most);
  /// Whether TakeNews() would return any.
  bool has_news() const;
  /// At most `most` records, those with most strikes first.
  std::vector<quarantine_report> Reports(time_point now,
                                         std::size_t most) const;
  /// Equal on hosts with the same records.
  std::uint64_t Digest() const;
  /// @}

  /// @name The store
  /// @{
  /// The records in quarantine that are not stored in `era`, and since when.
  std::vector<request_fingerprint> Unstored(time_point now,
                                            std::optional<store_era> era) const;
  /// What to store of a record; nullopt if it is gone.
  std::optional<quarantine_report> ReportOf(time_point now,
                                            request_fingerprint request) const;
  /// The record was stored in `era`.
  void OnStored(request_fingerprint request, store_era era);
  /// Stored records that a reply to this host has cleared since the last call.
  std::vector<request_fingerprint> TakeClearedStored();
  /// @}

  /// Number of records, and of those in quarantine.
  std::size_t size() const { return records_.size(); }
  std::size_t quarantined(time_point now) const;

 private:
  struct strike {
    std::uint64_t source = 0;
    time_point at;
  };
  struct record {
    /// Oldest first; of each event some, and the latest events.
    std::vector<strike> strikes;
    std::optional<time_point> cleared_at;
    time_point suspect_until;
    time_point refused_until;
    std::optional<store_era> stored_in;
    /// How often it is still to be told to other hosts.
    int news_left = 0;

    /// Whether its strikes put it in quarantine.
    bool IsQuarantined(time_point now) const;
    /// When it last changed for better or worse.
    time_point LastEvent() const;
  };

  /// The record of a request, which is created if there is none. One that
  /// matters less makes room for it if necessary.
  record& RecordOf(time_point now, request_fingerprint request);
  /// Adds a strike unless it was cleared. Returns whether the record changed.
  static bool AddStrike(record& r, const strike& added);
  /// Keeps a few strikes of each of the latest events.
  static void Trim(std::vector<strike>& strikes);
  /// Number of events that the strikes, oldest first, belong to.
  static std::size_t CountEvents(const std::vector<strike>& strikes);
  static bool Clear(record& r, time_point at);
  void Clear(time_point now, request_fingerprint request);
  request_standing StandingOf(time_point now,
                              request_fingerprint request) const;
  static quarantine_report MakeReport(time_point now,
                                      request_fingerprint request,
                                      const record& r);

  std::map<request_fingerprint, record> records_;
  std::vector<request_fingerprint> cleared_stored_;
};

/// Position of `self` among all hosts in the order in which they try to store
/// the record of a request.
std::size_t StoreRank(request_fingerprint request,
                      const host_id& self,
                      const std::vector<host_id>& others);

/// Whether a stored record is too old to matter.
bool IsOutdated(const quarantine_report& report);

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_REQUEST_QUARANTINE_H_
