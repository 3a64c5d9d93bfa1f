#include "trefoilmill/routing.h"

namespace trefoilmill {
namespace {

/// Visitor that resolves the sending host for each routing mode.
struct host_resolver {
  const endpoint_id& endpoint;

  std::optional<host_id> operator()(const owner_routing& mode) const {
    return mode.owner_of(endpoint);
  }
  std::optional<host_id> operator()(const direct_routing& mode) const {
    return mode.self;
  }
};

}  // namespace

std::optional<host_id> HostFor(const routing& mode,
                               const endpoint_id& endpoint) {
  return std::visit(host_resolver{endpoint}, mode);
}

}  // namespace trefoilmill
