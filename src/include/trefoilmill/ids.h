/// Strong types for every identifier. Two identifiers of different kinds do
/// not convert into one another, nor from plain strings and integers.
#ifndef TREFOILMILL_IDS_H_
#define TREFOILMILL_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace trefoilmill {

/// A value of type `rep` that only mixes with others of the same `tag`.
template <class tag, class rep>
class strong_id {
 public:
  using value_type = rep;

  strong_id() = default;
  explicit strong_id(rep value) : value_(std::move(value)) {}

  /// The plain value, for codecs and logs.
  const rep& value() const { return value_; }

  friend auto operator<=>(const strong_id&, const strong_id&) = default;
  friend bool operator==(const strong_id&, const strong_id&) = default;
  friend std::ostream& operator<<(std::ostream& out, const strong_id& id) {
    return out << id.value_;
  }

 private:
  rep value_{};
};

/// @name Named by operators or the platform
/// @{
using organisation_id = strong_id<struct organisation_tag, std::string>;
using host_id = strong_id<struct host_tag, std::string>;
/// An availability zone.
using zone_id = strong_id<struct zone_tag, std::string>;
using service_id = strong_id<struct service_tag, std::string>;
using endpoint_id = strong_id<struct endpoint_tag, std::string>;
/// Version of the software that an endpoint runs.
using software_version = strong_id<struct software_version_tag, std::string>;
/// Names one object of the system in the platform's store.
using document_id = strong_id<struct document_tag, std::string>;
/// @}

/// @name Counted by the platform or by endpoints
/// @{
/// Position of a shard in its service's layout, from 0.
using shard_id = strong_id<struct shard_tag, std::uint32_t>;
/// A version of the whole index, over all services.
using snapshot_version = strong_id<struct snapshot_tag, std::uint64_t>;
/// Counts how often the platform's store was restored from an older copy.
using store_era = strong_id<struct store_era_tag, std::uint64_t>;
/// Changes whenever an endpoint's process starts anew.
using instance_id = strong_id<struct instance_tag, std::string>;
/// @}

/// @name Made by this system
/// @{
/// One caller's query; unique over all hosts.
using request_id = strong_id<struct request_tag, std::string>;
/// One sending of one shard's sub-request; unique over all hosts.
using attempt_id = strong_id<struct attempt_tag, std::uint64_t>;
/// Orders a host's lives and refutations; higher wins.
using incarnation = strong_id<struct incarnation_tag, std::uint64_t>;
/// A connection slot of one owner towards one endpoint.
using connection_id = strong_id<struct connection_tag, std::uint64_t>;
/// Names the caller for fair shares and entry lists.
using caller_id = strong_id<struct caller_tag, std::string>;
/// A caller's `Idempotency-Key`.
using idempotency_key = strong_id<struct idempotency_tag, std::string>;
/// @}

/// Position in the history of the platform's store, or the version of a stored
/// object there. A store that is restored from an older copy loses its latest
/// revisions and assigns their numbers again, so that numbers compare only
/// within one era; any position of a later era is newer.
class revision {
 public:
  revision() = default;
  /// A position in a store that was never restored.
  explicit revision(std::uint64_t number) : number_(number) {}
  revision(store_era era, std::uint64_t number) : era_(era), number_(number) {}

  store_era era() const { return era_; }
  /// The store's number, for codecs and logs. Not comparable between eras.
  const std::uint64_t& value() const { return number_; }

  friend auto operator<=>(const revision&, const revision&) = default;
  friend bool operator==(const revision&, const revision&) = default;
  friend std::ostream& operator<<(std::ostream& out, const revision& r) {
    return out << r.era_ << "." << r.number_;
  }

 private:
  // Declared in the order of comparison.
  store_era era_;
  std::uint64_t number_ = 0;
};

/// A shard of one service.
struct shard_ref {
  service_id service;
  shard_id shard;
  friend auto operator<=>(const shard_ref&, const shard_ref&) = default;
};

/// An IP number and port; `ip` is a dotted quad.
struct socket_address {
  std::string ip;
  std::uint16_t port = 0;
  friend auto operator<=>(const socket_address&,
                          const socket_address&) = default;
};

}  // namespace trefoilmill

template <class tag, class rep>
struct std::hash<trefoilmill::strong_id<tag, rep>> {
  std::size_t operator()(
      const trefoilmill::strong_id<tag, rep>& id) const noexcept {
    return std::hash<rep>{}(id.value());
  }
};

template <>
struct std::hash<trefoilmill::shard_ref> {
  std::size_t operator()(const trefoilmill::shard_ref& ref) const noexcept {
    return std::hash<std::string>{}(ref.service.value()) * 31 +
           ref.shard.value();
  }
};

#endif  // TREFOILMILL_IDS_H_
