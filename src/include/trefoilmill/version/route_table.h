/// Finds the route of a request within one version of the configuration.
#ifndef TREFOILMILL_VERSION_ROUTE_TABLE_H_
#define TREFOILMILL_VERSION_ROUTE_TABLE_H_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "trefoilmill/verdict.h"
#include "trefoilmill/version/routing_config.h"

namespace trefoilmill {

class route_table {
 public:
  /// Fails with kBadRequest, naming the route, on a route without a target or
  /// with a prefix that does not begin and end with a slash. Of two routes with
  /// the same host and prefix the first counts.
  static result<std::shared_ptr<const route_table>> Create(
      routing_config config);

  /// The route of the host with the longest prefix of the target's path;
  /// nullptr if none matches. `host` may carry a port, and any case.
  const route* Match(std::string_view host, std::string_view target) const;

  /// The rules of a service; those of an undeclared one allow one connection.
  const service_rules& RulesOf(const service_id& service) const;

  const routing_config& config() const { return config_; }

 private:
  using prefixes = std::unordered_map<std::string, const route*>;

  explicit route_table(routing_config config);

  routing_config config_;
  std::unordered_map<std::string, prefixes> hosts_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_VERSION_ROUTE_TABLE_H_
