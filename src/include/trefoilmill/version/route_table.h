/// Maps a request's host name and path to a route of one configuration version.
#ifndef TREFOILMILL_VERSION_ROUTE_TABLE_H_
#define TREFOILMILL_VERSION_ROUTE_TABLE_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "trefoilmill/verdict.h"
#include "trefoilmill/version/routing_config.h"
#include "trefoilmill/version/shared_buckets.h"

namespace trefoilmill {

/// A service and its rules.
struct service_entry {
  service_id id;
  service_settings settings;
};

using shared_route = std::shared_ptr<const route>;
using shared_service = std::shared_ptr<const service_entry>;
using shared_organisation = std::shared_ptr<const organisation>;

/// Lookup table over the routes, services and organisations of one version. A
/// copy shares what does not change afterwards, so that the next version costs
/// work for what differs. Requests use immutable ones: pointers that the const
/// functions return stay valid as long as the table, if it does not change.
class route_table {
 public:
  /// Builds the table. Fails with kBadRequest and the route's id in the detail
  /// if a route has no target service, or if its prefix does not begin and end
  /// with a slash, and with the organisation's id if an organisation has no
  /// name or that of another one, or a key that is empty or occurs twice. If
  /// two routes have the same host name and prefix, the one whose id is smaller
  /// takes effect, in whichever order they were added.
  static result<std::shared_ptr<const route_table>> Create(
      routing_config config);

  /// @name Changes, for a table that no request uses yet
  /// @{
  /// Each fails like Create(), and then changes nothing.
  result<void> Add(shared_route added);
  result<void> Add(shared_organisation added);
  void Add(shared_service added);
  void Remove(const shared_route& removed);
  void Remove(const shared_organisation& removed);
  void Remove(const shared_service& removed);
  void SetVersion(config_version version) { version_ = version; }
  void SetCallerLimits(const caller_limits& limits) { callers_ = limits; }
  /// Whether the version has a list of organisations without any in it.
  void SetEmptyOrganisationList(bool is_present) {
    has_empty_organisation_list_ = is_present;
  }
  /// @}

  /// Returns the route of host name `host` whose prefix is the longest match
  /// for the path of request target `target`, or nullptr if there is none. The
  /// case of `host` and a port in it are ignored, and so are a query string and
  /// a fragment in `target`.
  const route* Match(std::string_view host, std::string_view target) const;

  /// The organisation that holds `key`; nullptr if none does.
  const organisation* FindByKey(std::string_view key) const;
  /// The organisation of that name; nullptr if there is none.
  const organisation* Find(const organisation_id& id) const;
  /// Whether callers of routes that are not public need a key: the version has
  /// a list of organisations, be it an empty one.
  bool requires_keys() const {
    return has_organisations() || has_empty_organisation_list_;
  }
  bool has_organisations() const { return organisation_count_ > 0; }
  std::size_t organisation_count() const { return organisation_count_; }
  /// Copies of all organisations, without their keys.
  std::vector<organisation> OrganisationsWithoutKeys() const;

  /// Returns the rules of a service. An undeclared service gets the defaults of
  /// service_settings, which allow one connection per endpoint.
  const service_settings& SettingsOf(const service_id& service) const;

  config_version version() const { return version_; }
  const caller_limits& callers() const { return callers_; }
  std::size_t route_count() const { return route_count_; }

 private:
  struct hosted_route {
    /// In lower case and without a port.
    std::string host;
    shared_route matched;
  };
  struct held_key {
    std::string key;
    shared_organisation holder;
  };

  const route* FindExact(std::string_view host, std::string_view prefix) const;

  config_version version_;
  caller_limits callers_;
  std::size_t route_count_ = 0;
  std::size_t organisation_count_ = 0;
  bool has_empty_organisation_list_ = false;
  /// By host name and prefix.
  shared_buckets<hosted_route> routes_;
  shared_buckets<shared_service> services_;
  shared_buckets<shared_organisation> organisations_;
  shared_buckets<held_key> keys_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_VERSION_ROUTE_TABLE_H_
