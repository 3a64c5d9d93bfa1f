/// Which endpoints a request_run may send to.
#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

#include "trefoilmill/request/request_run.h"

namespace trefoilmill {
namespace {

/// Whether the endpoint has responded a moment ago and is late with nothing.
bool IsKnownUp(time_point now,
               const shared_request_state& shared,
               const endpoint_id& id,
               duration expected) {
  const auto oldest = shared.selector.OldestInFlight(id);
  return shared.responses.WasUp(now, id) &&
         !endpoint_selector::IsLate(now, oldest.value_or(now), expected);
}

bool Contains(const std::vector<endpoint_id>& endpoints,
              const endpoint_id& id) {
  return std::ranges::find(endpoints, id) != endpoints.end();
}

}  // namespace

endpoint_selector::selection request_run::SelectEndpoint(
    time_point now,
    shared_request_state& shared,
    const shard& s,
    duration expected,
    duration time_left,
    endpoint_selector::purpose purpose) const {
  const auto select_any = [&](const std::vector<endpoint_id>& excluded) {
    return shared.selector.Select(now, shared.registry, s.service, excluded,
                                  expected, time_left, purpose);
  };
  // An end says something of the request only if the endpoint was up before.
  const auto select = [&](const std::vector<endpoint_id>& excluded) {
    if (!IsCautious()) {
      return select_any(excluded);
    }
    auto selection =
        select_any(WithEndpointsNotKnownUp(now, shared, s.service, excluded));
    return std::holds_alternative<endpoint_selector::selected>(selection)
               ? selection
               : select_any(excluded);
  };
  const std::vector<endpoint_id> never = ExcludedEndpoints(shared.registry, s);
  const auto choice =
      shared.rollouts.Choose(now, s.service, s.tried_endpoints.empty());
  if (choice == rollout_table::version_choice::kAny) {
    return select(never);
  }
  std::vector<endpoint_id> excluded = never;
  shared.rollouts.Exclude(shared.registry, s.service, choice, excluded);
  auto selection = select(excluded);
  const auto alternative = rollout_table::Alternative(
      choice,
      std::holds_alternative<endpoint_selector::no_capacity>(selection));
  if (std::holds_alternative<endpoint_selector::selected>(selection) ||
      !alternative.has_value()) {
    return selection;
  }
  excluded = never;
  shared.rollouts.Exclude(shared.registry, s.service, *alternative, excluded);
  return select(excluded);
}

std::vector<endpoint_id> request_run::WithEndpointsNotKnownUp(
    time_point now,
    const shared_request_state& shared,
    const service_id& service,
    std::vector<endpoint_id> excluded) const {
  const duration expected = ExpectedLatency(shared, *route_);
  std::ranges::copy_if(shared.registry.EndpointsOf(service),
                       std::back_inserter(excluded),
                       [&](const endpoint_id& id) {
                         return !IsKnownUp(now, shared, id, expected);
                       });
  return excluded;
}

std::vector<std::size_t> request_run::CautiousOrder(
    time_point now,
    const shared_request_state& shared) const {
  std::vector<std::size_t> order(shards_.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  if (!IsCautious()) {
    return order;
  }
  const duration expected = ExpectedLatency(shared, *route_);
  std::ranges::stable_partition(order, [&](std::size_t index) {
    return std::ranges::any_of(
        shared.registry.EndpointsOf(shards_[index].service),
        [&](const endpoint_id& id) {
          return IsKnownUp(now, shared, id, expected);
        });
  });
  return order;
}

// Where the limit is reached, an endpoint that had the request from another
// host may get it again: that runs it on no further endpoint.
std::vector<endpoint_id> request_run::ExcludedEndpoints(
    const endpoint_registry& registry,
    const shard& s) const {
  std::vector<endpoint_id> excluded = s.tried_endpoints;
  if (MayUseAnotherEndpoint(s)) {
    return excluded;
  }
  std::ranges::copy_if(
      registry.EndpointsOf(s.service), std::back_inserter(excluded),
      [&s](const endpoint_id& id) { return !Contains(s.tried_elsewhere, id); });
  return excluded;
}

std::size_t request_run::EndpointsUsed(const shard& s) const {
  const auto only_elsewhere = std::ranges::count_if(
      s.tried_elsewhere,
      [&s](const endpoint_id& id) { return !Contains(s.tried_endpoints, id); });
  std::size_t used =
      s.tried_endpoints.size() + static_cast<std::size_t>(only_elsewhere);
  if (std::holds_alternative<relay_target>(route_->target)) {
    // The limit of a relayed request is for all services together.
    for (const service_attempts& sent : other_attempts_) {
      used += sent.endpoints.size();
    }
  }
  return used;
}

bool request_run::MayUseAnotherEndpoint(const shard& s) const {
  return EndpointsUsed(s) < static_cast<std::size_t>(route_->max_endpoints);
}

resend_obstacle request_run::ObstacleOf(
    const endpoint_selector::selection& selection) {
  struct visitor {
    resend_obstacle operator()(const endpoint_selector::selected&) const {
      return resend_obstacle::kNone;
    }
    resend_obstacle operator()(const endpoint_selector::no_capacity&) const {
      return resend_obstacle::kNoConnection;
    }
    resend_obstacle operator()(
        const endpoint_selector::no_usable_endpoint& none) const {
      return none.limited ? resend_obstacle::kRequestLimit
                          : resend_obstacle::kNoReplica;
    }
  };
  return std::visit(visitor{}, selection);
}

bool request_run::CanRetry(const shard& s) const {
  const bool has_endpoint =
      MayUseAnotherEndpoint(s) ||
      std::ranges::any_of(s.tried_elsewhere, [&s](const endpoint_id& id) {
        return !Contains(s.tried_endpoints, id);
      });
  return has_endpoint && (s.worst_verdict == verdict::kNotRun ||
                          route_->retry == retry_rule::kIdempotent);
}

}  // namespace trefoilmill
