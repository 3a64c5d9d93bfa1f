/// Maps a request's host name and path to a route of one configuration version.
#ifndef TREFOILMILL_VERSION_ROUTE_TABLE_H_
#define TREFOILMILL_VERSION_ROUTE_TABLE_H_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "trefoilmill/verdict.h"
#include "trefoilmill/version/routing_config.h"

namespace trefoilmill {

/// Immutable lookup table over the routes of one routing_config. Pointers that
/// it returns stay valid as long as the table.
class route_table {
 public:
  /// Builds the table. Fails with kBadRequest and the route's id in the detail
  /// if a route has no target service, or if its prefix does not begin and end
  /// with a slash, and with the organisation's id if an organisation has no
  /// name or that of another one, or a key that is empty or occurs twice. If
  /// two routes have the same host name and prefix, the first one takes effect.
  static result<std::shared_ptr<const route_table>> Create(
      routing_config config);

  /// Returns the route of host name `host` whose prefix is the longest match
  /// for the path of request target `target`, or nullptr if there is none. The
  /// case of `host` and a port in it are ignored, and so are a query string and
  /// a fragment in `target`.
  const route* Match(std::string_view host, std::string_view target) const;

  /// The organisation that holds `key`; nullptr if none does.
  const organisation* FindByKey(std::string_view key) const;
  /// The organisation of that name; nullptr if there is none.
  const organisation* Find(const organisation_id& id) const;
  /// Whether callers of routes that are not public need a key.
  bool has_organisations() const { return !config_.organisations.empty(); }

  /// Returns the rules of a service. An undeclared service gets the defaults of
  /// service_settings, which allow one connection per endpoint.
  const service_settings& SettingsOf(const service_id& service) const;

  const routing_config& config() const { return config_; }

 private:
  using routes_by_prefix = std::unordered_map<std::string, const route*>;

  explicit route_table(routing_config config);

  routing_config config_;
  /// Keyed by host name, in lower case and without a port.
  std::unordered_map<std::string, routes_by_prefix> routes_by_host_;
  std::unordered_map<std::string_view, const organisation*>
      organisations_by_key_;
  std::unordered_map<organisation_id, const organisation*> organisations_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_VERSION_ROUTE_TABLE_H_
