/// Distributes the stored documents "deployment", "zones" and "catalog" to all
/// hosts and puts them in force.
///
/// In each zone a few hosts, selected by rendezvous hashing, watch the store.
/// The others learn of a new revision from peers and fetch its body from one of
/// them. The revision in force never decreases. See docs/design/documents.md.
#ifndef TREFOILMILL_DOCUMENT_SYNC_H_
#define TREFOILMILL_DOCUMENT_SYNC_H_

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "trefoilmill/deployment.h"
#include "trefoilmill/ids.h"
#include "trefoilmill/messages.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// The state of one document on this host.
struct document_status {
  /// The revision in force; 0 before the first.
  revision in_force;
  /// The newest revision rejected as invalid since the last adoption, if any.
  std::optional<revision> rejected;
  /// Why it was rejected; empty if none was.
  std::string rejection;
  /// Whether this host watches the store for the document.
  bool watcher = false;
  /// Consecutive failed calls to the store.
  int store_failures = 0;
};

/// Keeps all documents of one host up to date, as a state machine without I/O
/// or timers. The caller passes in events and performs the returned actions in
/// order.
class document_sync {
 public:
  /// Settings and limits of one host.
  struct config {
    host_id self;
    zone_id zone;
    std::vector<document_id> documents;
    /// How long a watch call may stay open at the store.
    duration max_watch_wait = std::chrono::seconds(20);
    /// First and longest backoff after failed calls to the store.
    duration backoff_min = std::chrono::milliseconds(100);
    duration backoff_max = std::chrono::seconds(5);
    /// Interval between calls while the document does not exist or the store
    /// returns an old revision.
    duration poll_interval = std::chrono::seconds(1);
    /// How long a host that is not a watcher and has no revision waits for its
    /// peers before it reads the store.
    duration store_fallback_delay = std::chrono::seconds(2);
    /// How long a peer may take to send a body before another one is asked.
    duration peer_timeout = std::chrono::milliseconds(500);
    /// Number of hosts per zone that watch the store for a document.
    int watchers_per_zone = 2;
    /// Number of peers to which a host announces each revision it adopts.
    std::size_t announce_fanout = 4;
  };

  /// @name Actions
  /// @{
  /// Reads the document from the store. If `wait` is not 0, watches it instead:
  /// the call stays open for up to `wait` until the revision exceeds `after`.
  /// At most one call per document is open. The caller answers with
  /// StoreReply().
  struct call_store {
    document_id id;
    revision after;
    duration wait;
  };
  /// Sends a document_request to the peer.
  struct request_from_peer {
    host_id to;
    document_id id;
  };
  /// Sends the peer the body that it requested.
  struct send_body {
    host_id to;
    document_body body;
  };
  /// Validates the body and puts it in force. The caller answers with Adopted()
  /// or Rejected() before any other event.
  struct adopt {
    document_id id;
    revision at;
    std::string body;
  };
  /// Sends an announce_message with these digests to each host, opening a
  /// connection if there is none.
  struct announce {
    std::vector<host_id> to;
    std::vector<document_digest> documents;
  };
  /// Call Tick() no later than this time. Replaces an earlier wake.
  struct wake {
    time_point at;
  };
  using action = std::
      variant<call_store, request_from_peer, send_body, adopt, announce, wake>;
  using actions = std::vector<action>;
  /// @}

  /// @name Replies of the store
  /// @{
  /// The stored document; older than `after` if the store was restored.
  struct store_document {
    revision at;
    std::string body;
  };
  /// No newer revision was stored within the wait.
  struct store_unchanged {};
  /// The object does not exist or was deleted. The revision in force stays.
  struct store_absent {};
  /// The call timed out or failed.
  struct store_failed {};
  using store_reply =
      std::variant<store_document, store_unchanged, store_absent, store_failed>;
  /// @}

  /// Starts as a watcher of every document until the first HostsChanged().
  document_sync(time_point now, config settings, std::mt19937_64 random);

  /// @name Events
  /// Each returns the actions to perform. Unknown documents are ignored.
  /// @{
  /// The time of a wake has come; call once after construction, too.
  actions Tick(time_point now);
  /// The reply to a call_store.
  actions StoreReply(time_point now,
                     const document_id& id,
                     const store_reply& reply);
  /// `from` sent its digests in a ping, ack, announce or hello message.
  actions PeerDigest(time_point now,
                     const host_id& from,
                     const std::vector<document_digest>& documents);
  /// A peer requested a body. Sends nothing if no revision is in force.
  actions PeerRequest(time_point now,
                      const host_id& from,
                      const document_id& id);
  /// A peer sent a body, or this host wrote one to the store.
  actions PeerBody(time_point now,
                   const host_id& from,
                   const document_body& body);
  /// The body of an `adopt` was put in force.
  actions Adopted(time_point now, const document_id& id, revision at);
  /// The body of an `adopt` is invalid. The last valid one stays in force.
  actions Rejected(time_point now,
                   const document_id& id,
                   revision at,
                   const std::string& why);
  /// The live hosts, or the number of hosts that the platform lists, changed.
  actions HostsChanged(time_point now,
                       const std::vector<host_record>& live,
                       std::size_t fleet_size);
  /// @}

  /// The revisions in force on this host, for pings and
  /// membership::SetDocuments().
  std::vector<document_digest> Digests() const;
  /// The status of a document, or nullptr if it is unknown.
  const document_status* StatusOf(const document_id& id) const;
  /// The hosts of `zone` among `live` that watch the store for `id`: the
  /// highest rendezvous scores, at least one if the zone has a live host.
  static std::vector<host_id> SelectWatchers(
      const document_id& id,
      const zone_id& zone,
      const std::vector<host_record>& live,
      int watchers_per_zone);

 private:
  /// An open request to a peer for a body.
  struct peer_request {
    host_id peer;
    time_point deadline;
  };
  /// A document with its body and its open calls.
  struct document_state {
    document_status status;
    std::string body;
    /// The body of an `adopt` that awaits Adopted() or Rejected().
    std::optional<document_body> pending_body;
    bool store_call_open = false;
    /// The earliest time of the next call to the store.
    time_point next_store_call;
    std::optional<peer_request> open_request;
    /// Peers with a newer revision, and that revision.
    std::map<host_id, revision> newer_on_peers;
  };

  /// The newest revision that was adopted or rejected, or is pending.
  static revision NewestHandledRevision(const document_state& state);
  /// Hands out an `adopt` for the body if it is newer than all handled ones.
  static void AdoptIfNewer(document_state& state,
                           const document_body& body,
                           actions& out);
  /// Clears the pending body, forgets peers without a newer revision and, if
  /// none is left, the open request.
  void ClearPendingBody(document_state& state);
  /// Each sets the time of the next call to the store after a reply.
  void HandleReply(time_point now,
                   document_state& state,
                   const store_document& reply);
  void HandleReply(time_point now,
                   document_state& state,
                   const store_unchanged& reply);
  void HandleReply(time_point now,
                   document_state& state,
                   const store_absent& reply);
  void HandleReply(time_point now,
                   document_state& state,
                   const store_failed& reply);
  /// Expires and starts requests to peers, starts due calls to the store, and
  /// appends the next wake.
  void IssueDueRequests(time_point now, actions& out);
  void CallStore(const document_id& id, document_state& state, actions& out);
  /// Requests the body from a random peer that has a newer revision.
  void RequestFromPeer(time_point now,
                       const document_id& id,
                       document_state& state,
                       actions& out);
  /// Announces the digest to up to `announce_fanout` random peers.
  void AnnounceToPeers(const document_digest& digest, actions& out);
  /// When the store is to be called next; nothing while a call is open, and on
  /// a host that is not a watcher and has a revision.
  std::optional<time_point> NextStoreCall(const document_state& state) const;
  /// Least interval between the store calls of a host that is not a watcher; 0
  /// for a watcher.
  duration FallbackInterval(const document_state& state) const;
  /// A random duration from half of `full` to `full`.
  duration WithJitter(duration full);
  /// The jittered exponential backoff after this many consecutive failures.
  duration BackoffDelay(int failures);
  /// Appends a wake at the earliest time at which a call is due or expires.
  void AddWake(actions& out) const;

  config config_;
  std::mt19937_64 random_;
  std::map<document_id, document_state> documents_;
  std::vector<host_id> peers_;
  std::size_t fleet_size_ = 1;
  time_point start_time_;
  /// The earliest time of the first call to the store.
  time_point first_store_call_;
  bool hosts_known_ = false;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_DOCUMENT_SYNC_H_
