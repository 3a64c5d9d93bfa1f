/// Public interface of endpoint_scheduler: forwards events to the
/// implementation and returns the resulting actions.
#include "trefoilmill/endpoint_scheduler.h"

#include <algorithm>
#include <array>
#include <utility>

#include "endpoint_scheduler_impl.h"

namespace trefoilmill {
namespace {

/// Whether every count in `limits` is at least 1.
bool AllPositive(const endpoint_limits& limits) {
  const std::array<int, 5> counts{limits.slots, limits.connections,
                                  limits.cold_slots, limits.cold_connections,
                                  limits.warmup_successes};
  return std::ranges::all_of(counts, [](int count) { return count >= 1; });
}

endpoint_limits LimitsOfShare(const owner_share& /*share*/,
                              const endpoint_limits& limits) {
  return limits;
}

endpoint_limits LimitsOfShare(const static_share& share,
                              const endpoint_limits& limits) {
  const auto divided = [&share](int count) {
    return std::max(1, count / std::max(1, share.hosts));
  };
  endpoint_limits shared = limits;
  shared.slots = divided(limits.slots);
  shared.connections = divided(limits.connections);
  shared.cold_slots = divided(limits.cold_slots);
  shared.cold_connections = divided(limits.cold_connections);
  return shared;
}

/// This host's part of the endpoint's `limits`; each count is at least 1.
endpoint_limits LimitsOfShare(const limit_share& share,
                              const endpoint_limits& limits) {
  return std::visit(
      [&](const auto& alternative) {
        return LimitsOfShare(alternative, limits);
      },
      share);
}

}  // namespace

endpoint_scheduler::impl::impl(
    endpoint_config endpoint,
    const endpoint_limits& configured_limits,
    const endpoint_scheduler_options& scheduler_options)
    : config(std::move(endpoint)),
      full_limits(configured_limits),
      limits(LimitsOfShare(scheduler_options.share, configured_limits)),
      options(scheduler_options),
      ramp(limits) {}

result<endpoint_scheduler> endpoint_scheduler::Create(
    endpoint_config config,
    const endpoint_limits& limits,
    const endpoint_scheduler_options& options) {
  if (!AllPositive(limits) || options.max_queue < 1) {
    return failure{
        .outcome = verdict::kNotRun,
        .reason = reason_code::kBadRequest,
        .detail = "endpoint limits and max_queue must each be at least 1",
        .retry_after = std::nullopt};
  }
  return endpoint_scheduler(
      std::make_unique<impl>(std::move(config), limits, options));
}

endpoint_scheduler::endpoint_scheduler(std::unique_ptr<impl> state)
    : impl_(std::move(state)) {}
endpoint_scheduler::endpoint_scheduler(endpoint_scheduler&&) noexcept = default;
endpoint_scheduler& endpoint_scheduler::operator=(
    endpoint_scheduler&&) noexcept = default;
endpoint_scheduler::~endpoint_scheduler() = default;

scheduler_actions endpoint_scheduler::Submit(time_point now, shard_task task) {
  impl_->Submit(now, std::move(task));
  return impl_->Reconcile(now);
}

scheduler_actions endpoint_scheduler::Cancel(time_point now,
                                             attempt_id attempt,
                                             cancel_scope scope) {
  impl_->Cancel(attempt, scope);
  return impl_->Reconcile(now);
}

scheduler_actions endpoint_scheduler::ConnectionOpened(
    time_point now,
    connection_id connection) {
  pooled_connection* opened = impl_->pool.Find(connection);
  if (opened != nullptr && opened->used_for == connection_use::kOpening) {
    opened->used_for = connection_use::kIdle;
    impl_->consecutive_connect_failures = 0;
  }
  return impl_->Reconcile(now);
}

scheduler_actions endpoint_scheduler::ConnectionFailed(
    time_point now,
    connection_id connection) {
  impl_->ConnectionFailed(now, connection);
  return impl_->Reconcile(now);
}

scheduler_actions endpoint_scheduler::ConnectionClosed(
    time_point now,
    connection_id connection) {
  impl_->ConnectionClosed(now, connection);
  return impl_->Reconcile(now);
}

scheduler_actions endpoint_scheduler::Replied(time_point now,
                                              connection_id connection,
                                              endpoint_reply reply) {
  impl_->Replied(now, connection, std::move(reply));
  return impl_->Reconcile(now);
}

scheduler_actions endpoint_scheduler::CancelReplied(time_point now,
                                                    connection_id connection,
                                                    cancel_reply reply) {
  pooled_connection* used = impl_->pool.Find(connection);
  if (used != nullptr && used->used_for == connection_use::kCancel) {
    impl_->CancelReplied(now, *used, reply);
  }
  return impl_->Reconcile(now);
}

scheduler_actions endpoint_scheduler::HealthReplied(
    time_point now,
    connection_id connection,
    const std::optional<health_report>& report) {
  pooled_connection* used = impl_->pool.Find(connection);
  if (used == nullptr || used->used_for != connection_use::kHealth) {
    return impl_->Reconcile(now);
  }
  if (report.has_value()) {
    impl_->HealthReplied(now, *used, *report);
  } else {
    impl_->ConnectionLost(connection);
  }
  return impl_->Reconcile(now);
}

scheduler_actions endpoint_scheduler::ObserveHealthReport(
    time_point now,
    const health_report& report) {
  impl_->ApplyHealthReport(now, report);
  return impl_->Reconcile(now);
}

scheduler_actions endpoint_scheduler::SetLimits(time_point now,
                                                const endpoint_limits& limits) {
  if (AllPositive(limits)) {
    impl_->full_limits = limits;
    impl_->limits = LimitsOfShare(impl_->options.share, limits);
    impl_->ramp.SetLimits(impl_->limits);
  }
  return impl_->Reconcile(now);
}

scheduler_actions endpoint_scheduler::SetOptions(
    time_point now,
    const endpoint_scheduler_options& options) {
  impl_->options = options;
  impl_->options.max_queue = std::max(1, options.max_queue);
  return SetLimits(now, impl_->full_limits);
}

scheduler_actions endpoint_scheduler::SetStanding(time_point now,
                                                  ownership_standing standing) {
  const bool was_owner = impl_->standing != ownership_standing::kNotOwner;
  const bool is_owner = standing != ownership_standing::kNotOwner;
  if (was_owner && !is_owner) {
    // The endpoint may restart unnoticed while another host owns it.
    impl_->ramp.MarkSuspect();
    impl_->contacted = false;
  }
  impl_->standing = standing;
  return impl_->Reconcile(now);
}

scheduler_actions endpoint_scheduler::SetServingState(time_point now,
                                                      serving_state serving) {
  const bool returned_to_service =
      impl_->serving != serving_state::kInService &&
      serving == serving_state::kInService;
  if (returned_to_service) {
    impl_->ramp.ResetToCold(now);
  }
  impl_->serving = serving;
  return impl_->Reconcile(now);
}

scheduler_actions endpoint_scheduler::SeedAllowance(time_point now,
                                                    const instance_id& instance,
                                                    int allowance) {
  if (!impl_->contacted && !instance.value().empty() && allowance >= 1) {
    impl_->ramp.SeedAllowance(instance, allowance);
  }
  return impl_->Reconcile(now);
}

scheduler_actions endpoint_scheduler::SetReplicaLatency(time_point now,
                                                        duration latency) {
  impl_->replica_latency = latency;
  return impl_->Reconcile(now);
}

scheduler_actions endpoint_scheduler::Tick(time_point now) {
  // The caller's timer has fired, early or late, and has to be set again.
  impl_->scheduled_wake.reset();
  return impl_->Reconcile(now);
}

endpoint_load endpoint_scheduler::load() const {
  return {.endpoint = impl_->config.id,
          .instance = impl_->ramp.instance(),
          .in_flight = impl_->OccupiedSlots(),
          .queued = static_cast<int>(impl_->queue.size()),
          .allowance = impl_->Unreachable() ? 0 : impl_->SlotAllowance(),
          .cold = !impl_->ramp.warm(),
          .draining = impl_->endpoint_draining ||
                      impl_->serving != serving_state::kInService,
          .latency = impl_->latency.mean()};
}

const endpoint_config& endpoint_scheduler::config() const {
  return impl_->config;
}

const scheduler_counters& endpoint_scheduler::counters() const {
  return impl_->counters;
}

const shard_task* endpoint_scheduler::task(attempt_id attempt) const {
  const auto running = impl_->in_flight.find(attempt);
  return running != impl_->in_flight.end() ? &running->second.task
                                           : impl_->queue.Find(attempt);
}

int endpoint_scheduler::connections() const {
  return impl_->pool.size_with_closing();
}

bool endpoint_scheduler::idle() const {
  return impl_->queue.empty() && impl_->OccupiedSlots() == 0 &&
         impl_->pool.size_with_closing() == 0;
}

}  // namespace trefoilmill
