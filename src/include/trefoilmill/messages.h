/// Typed messages between daemons. They travel as CBOR over websocketpp links;
/// docs/PROTOCOLS.md has their form on the wire.
#ifndef TREFOILMILL_MESSAGES_H_
#define TREFOILMILL_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "trefoilmill/deployment.h"
#include "trefoilmill/ids.h"
#include "trefoilmill/process/endpoint_selector.h"
#include "trefoilmill/process/fair_shares.h"
#include "trefoilmill/process/organisation_quotas.h"
#include "trefoilmill/process/request_limits.h"
#include "trefoilmill/process/request_quarantine.h"
#include "trefoilmill/process/rollout_table.h"
#include "trefoilmill/time.h"
#include "trefoilmill/verdict.h"
#include "trefoilmill/version/part_set.h"

namespace trefoilmill {

/// @name Membership and documents
/// @{

/// A document and the revision of it that is in force somewhere.
struct document_digest {
  document_id id;
  revision in_force;
  friend auto operator<=>(const document_digest&,
                          const document_digest&) = default;
};

/// What a host is thought to be.
enum class member_state {
  kAlive,
  kSuspect,
  kLeaving,  ///< Takes no new work; still answers what it has.
  kDead,
  kLeft,      ///< Stopped in good order, by its own word.
  kReleased,  ///< Leaving, with nothing in flight at any endpoint for good.
};

/// "alive", "suspect", "leaving", "released", "left", "dead".
std::string_view ToString(member_state state);

/// One piece of membership gossip.
struct member_update {
  host_record host;
  incarnation life;
  member_state state = member_state::kAlive;
  /// Counts the host's own reports within one incarnation.
  std::uint64_t report = 0;
  /// What the host has in force, by its own report.
  std::vector<document_digest> documents;
};

/// First message on every link, in both directions.
struct hello_message {
  organisation_id organisation;
  member_update self;
};

struct ping_message {
  std::uint64_t sequence = 0;
  std::vector<member_update> updates;
  std::vector<document_digest> documents;
};

struct ack_message {
  std::uint64_t sequence = 0;
  std::vector<member_update> updates;
  std::vector<document_digest> documents;
};

/// Asks the receiver to probe `target` for the sender.
struct ping_request_message {
  std::uint64_t sequence = 0;
  host_id target;
};

/// Says that `documents` rose; sent at once to a few hosts.
struct announce_message {
  std::vector<document_digest> documents;
  std::vector<member_update> updates;
};

struct document_request {
  document_id id;
};

struct document_body {
  document_id id;
  revision at;
  std::string body;
};
/// @}

/// @name Queries between entry and owner
/// @{

/// One shard's sub-request to one endpoint.
struct shard_request {
  attempt_id attempt;
  endpoint_id endpoint;
  shard_ref shard;
  /// The entry withdraws this twin when the hedge starts.
  std::optional<attempt_id> hedge_of;
};

/// All sub-requests of one query for one owner.
struct shard_query_message {
  request_id request;
  snapshot_version version;
  /// Time left, measured at the sender when it sent.
  duration remaining{};
  int priority = 0;
  bool idempotent = true;
  /// The caller's opaque query body, passed on to endpoints.
  std::string body;
  std::vector<shard_request> shards;
};

/// An owner's view of an endpoint, piggybacked on replies.
struct endpoint_load {
  endpoint_id endpoint;
  instance_id instance;
  int in_flight = 0;
  int queued = 0;
  /// Requests the owner would run at once; below the slots when cold.
  int allowance = 0;
  bool cold = false;
  bool draining = false;
  /// Recent latency, exponentially weighted.
  duration latency{};
};

/// How one sub-request ended.
struct shard_reply {
  attempt_id attempt;
  /// kRan with a payload is an answer.
  verdict outcome = verdict::kNotRun;
  reason_code reason = reason_code::kNone;
  std::optional<duration> retry_after;
  /// From hand-over to the socket to the endpoint's answer.
  duration service_time{};
  /// How long the owner held it back for the rest of its batch.
  duration held{};
  instance_id instance;
  std::optional<std::string> payload;
};

/// Owner to entry: any number of finished sub-requests of one query.
struct shard_reply_message {
  request_id request;
  std::vector<shard_reply> replies;
  std::vector<endpoint_load> loads;
};

/// Owner to entry: a hedge was handed to its endpoint.
struct hedge_started_message {
  request_id request;
  attempt_id attempt;
};

/// Entry to owner: these sub-requests are no longer wanted.
struct shard_cancel_message {
  request_id request;
  std::vector<attempt_id> attempts;
  /// Withdraw only those that still queue at the owner; leave running ones.
  bool only_queued = false;
};
/// @}

/// @name News from the platform's store, passed on within a zone
/// @{
/// One changed object.
struct fed_object {
  std::string name;
  revision at;
  std::string content;
  bool deleted = false;
};

/// Sent by the hosts that watch the store: regularly, as a sign that they still
/// reach it, and at once when objects changed.
struct store_feed {
  /// The sender's calls to the store are answered.
  bool fresh = false;
  /// When each kind of object last changed, as far as the sender knows.
  std::vector<document_digest> documents;
  /// The kind that `changes` are of; empty without changes.
  document_id kind;
  /// The changes follow on a copy that shows at least this revision.
  revision from;
  std::vector<fed_object> changes;
};

/// An object_patch, sent ahead of the feed that states the new revision. Feeds
/// carry whole objects only of kinds that are not split into parts.
struct object_patch_message {
  /// The kind of object.
  document_id kind;
  std::string name;
  revision at;
  std::uint64_t base_digest = 0;
  std::uint64_t digest = 0;
  std::vector<part_digest> removed;
  /// The added parts, see EncodeParts().
  std::string added;
};
/// @}

/// An endpoint that told the sender that it is leaving.
struct endpoint_departure {
  endpoint_id endpoint;
  /// Start time of the instance that leaves, see endpoint_record.
  std::uint64_t started_ms = 0;
};

/// Endpoints that the sender finds slow, failing or leaving.
struct endpoint_troubles {
  std::vector<endpoint_health_report> reports;
  std::vector<endpoint_departure> departures;
};

/// Request limits that endpoints stated to the sender, or no longer state.
struct endpoint_limits_message {
  std::vector<endpoint_limit_report> reports;
};

/// Whether the sender reaches the endpoints. Repeated while it does not.
struct endpoint_reach_message {
  bool is_cut_off = false;
};

/// What the sender knows of requests under which endpoints have ended.
struct quarantine_reports_message {
  std::vector<quarantine_report> reports;
};

/// Says which records of such requests the sender has. A receiver with others
/// replies with its reports.
struct quarantine_digest_message {
  std::uint64_t digest = 0;
  /// It replies to such a message, and asks for the receiver's reports.
  bool is_reply = false;
};

/// @name Roll-outs
/// @{
/// What the sender has seen of roll-outs in progress; to their deciders.
struct rollout_report_message {
  std::vector<rollout_report> reports;
};

/// Stages that roll-outs have entered. A host that learns of one passes it on.
struct rollout_stage_message {
  std::vector<rollout_table::stage_news> news;
};
/// @}

/// @name Quotas of organisations
/// @{
/// Asks the receiver for permits, or gives some back.
struct quota_request_message {
  std::vector<permit_amount> wanted;
};

/// Lends permits in reply; zero if there are none to spare.
struct quota_grant_message {
  std::vector<permit_amount> lent;
};
/// @}

/// What organisations ask of the sender or, with a zone, of all hosts of that
/// zone together.
struct organisation_demand_message {
  /// Empty in a host's own report.
  zone_id summed_zone;
  std::vector<organisation_demand> demands;
};

using peer_message = std::variant<hello_message,
                                  ping_message,
                                  ack_message,
                                  ping_request_message,
                                  announce_message,
                                  document_request,
                                  document_body,
                                  shard_query_message,
                                  shard_reply_message,
                                  hedge_started_message,
                                  shard_cancel_message,
                                  store_feed,
                                  endpoint_troubles,
                                  endpoint_limits_message,
                                  endpoint_reach_message,
                                  quarantine_reports_message,
                                  quarantine_digest_message,
                                  rollout_report_message,
                                  rollout_stage_message,
                                  quota_request_message,
                                  quota_grant_message,
                                  organisation_demand_message,
                                  object_patch_message>;

}  // namespace trefoilmill

#endif  // TREFOILMILL_MESSAGES_H_
