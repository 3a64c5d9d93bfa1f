/// Messages of the log by which a host says what it believes from then on.
/// Programs that read logs look for them.
#ifndef TREFOILMILL_WIRE_LOG_MESSAGES_H_
#define TREFOILMILL_WIRE_LOG_MESSAGES_H_

namespace trefoilmill::log_message {

/// @name The process
/// @{
inline constexpr char kProcessStarted[] = "process started";
inline constexpr char kToldToStop[] = "told to stop";
inline constexpr char kReady[] = "ready for callers";
inline constexpr char kNotReady[] = "not ready";
/// @}

/// @name The configuration
/// @{
inline constexpr char kConfigurationInForce[] = "configuration in force";
inline constexpr char kConfigurationRefused[] =
    "configuration refused; the last good one stays";
/// @}

/// @name The store
/// @{
inline constexpr char kStoreReached[] = "store reached";
inline constexpr char kStoreLost[] = "store lost";
inline constexpr char kStoreRestored[] = "store restored from an older copy";
inline constexpr char kWatchingStore[] = "watching the store";
inline constexpr char kLeavingStore[] = "leaving the store to peers";
/// @}

/// @name Hosts, zones and endpoints
/// @{
inline constexpr char kNamedToCallers[] = "callers are told of this host";
inline constexpr char kStandingBy[] =
    "standing by: callers are told of stronger hosts";
inline constexpr char kCutOff[] = "cut off from the endpoints";
inline constexpr char kEndpointsReached[] = "endpoints are reached again";
inline constexpr char kEndpointsShort[] =
    "endpoints are short: organisations get shares";
inline constexpr char kEndpointsSuffice[] = "endpoints are short no more";
inline constexpr char kAcceptFailed[] =
    "connection not accepted: no descriptor left";
inline constexpr char kConnectionsClosed[] =
    "connections closed: together they held too much";
inline constexpr char kWatchDead[] =
    "a watch of the store was dead; its changes came otherwise";
inline constexpr char kRequestRejected[] =
    "request rejected as malformed or too large";
inline constexpr char kRequestHandedOver[] =
    "request in progress is handed over";
inline constexpr char kRequestForwarded[] = "request forwarded to another host";
inline constexpr char kForwardingFailed[] = "forwarding to another host failed";
inline constexpr char kPeerCutOff[] =
    "another host is cut off from the endpoints";
inline constexpr char kPeerReaches[] =
    "another host reaches the endpoints again";
inline constexpr char kZoneOut[] = "availability zone out";
inline constexpr char kZoneBack[] = "availability zone back";
inline constexpr char kEndpointAnnounced[] = "endpoint announced";
inline constexpr char kEndpointWithdrawn[] = "endpoint withdrawn";
inline constexpr char kEndpointLeaving[] = "endpoint is leaving";
inline constexpr char kEndpointPaused[] = "endpoint asked for a pause";
inline constexpr char kEndpointLimited[] = "endpoint states a request limit";
inline constexpr char kEndpointUnlimited[] =
    "endpoint states no request limit any more";
/// @}

/// @name Roll-outs
/// @{
inline constexpr char kRolloutStage[] = "roll-out enters a stage";
inline constexpr char kRolloutRejected[] = "new version rejected";
inline constexpr char kRolloutStateWritten[] = "state of a roll-out written";
/// @}

/// @name Requests under which endpoints end
/// @{
inline constexpr char kEndpointEnded[] =
    "endpoint ended with a request in flight";
inline constexpr char kRequestQuarantined[] = "request put in quarantine";
inline constexpr char kQuarantineStored[] = "quarantine stored";
/// @}

}  // namespace trefoilmill::log_message

#endif  // TREFOILMILL_WIRE_LOG_MESSAGES_H_
