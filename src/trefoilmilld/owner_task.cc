#include "trefoilmilld/owner_task.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace trefoilmill {
namespace {

scheduler_counters Sum(scheduler_counters a, const scheduler_counters& b) {
  a.sent += b.sent;
  a.answered += b.answered;
  a.refused_queue_full += b.refused_queue_full;
  a.refused_deadline += b.refused_deadline;
  a.shed += b.shed;
  a.timeouts += b.timeouts;
  a.connection_failures += b.connection_failures;
  a.cold_starts += b.cold_starts;
  return a;
}

}  // namespace

owner_task::owner_task(event_loop& loop,
                       const daemon_settings& settings,
                       const fleet_task& fleet,
                       const endpoint_table& knowledge,
                       telemetry& trace,
                       deliver to_entry)
    : loop_(loop),
      local_ip_(settings.peers.ip),
      fleet_(fleet),
      knowledge_(knowledge),
      trace_(trace),
      to_entry_(std::move(to_entry)),
      port_events_{
          .finished = [this](const finish_task& done) { OnFinished(done); },
          .hedge_started =
              [this](const hedge_started& started) {
                OnHedgeStarted(started);
              }} {}

void owner_task::OnDocuments(const documents_in_force& documents) {
  deployment_ = documents.config;
  endpoints_.clear();
  for (const auto& [id, service] : deployment_->services) {
    for (const auto& endpoint : service.endpoints) {
      endpoints_.emplace(endpoint.id, endpoint);
    }
  }
  for (const auto& [id, port] : ports_) {
    if (const auto* config = ConfigOf(id); config != nullptr) {
      port->SetLimits(deployment_->services.at(config->service).limits,
                      Options());
    }
  }
  OnViewChanged();
}

void owner_task::OnViewChanged() {
  if (deployment_ == nullptr) {
    return;
  }
  for (const auto& [id, port] : ports_) {
    Reconcile(id, *port);
  }
  WarmOwnEndpoints();
  DropIdlePorts();
}

/// Connections are opened before the first request needs them.
void owner_task::WarmOwnEndpoints() {
  if (leaving_) {
    return;
  }
  if (IsDirect()) {
    for (const auto& [id, config] : endpoints_) {
      PortFor(id);
    }
    return;
  }
  std::ranges::for_each(fleet_.OwnEndpoints(),
                        [this](const auto& id) { PortFor(id); });
}

void owner_task::DropIdlePorts() {
  std::erase_if(ports_, [this](const auto& entry) {
    const bool wanted =
        ConfigOf(entry.first) != nullptr &&
        StandingOf(entry.first) != ownership_standing::kNotOwner;
    return !wanted && entry.second->scheduler().idle();
  });
}

bool owner_task::IsDirect() const {
  return deployment_->scheduling.mode == scheduling_config::routing::kDirect;
}

endpoint_scheduler_options owner_task::Options() const {
  endpoint_scheduler_options options{
      .max_queue = deployment_->scheduling.max_queue_per_endpoint};
  if (IsDirect()) {
    options.share = static_share{.hosts = fleet_.HostCount()};
  }
  return options;
}

const endpoint_config* owner_task::ConfigOf(const endpoint_id& endpoint) const {
  const auto found = endpoints_.find(endpoint);
  return found == endpoints_.end() ? nullptr : &found->second;
}

endpoint_port* owner_task::PortFor(const endpoint_id& endpoint) {
  if (const auto found = ports_.find(endpoint); found != ports_.end()) {
    return found->second.get();
  }
  const endpoint_config* config = ConfigOf(endpoint);
  if (config == nullptr) {
    return nullptr;
  }
  auto scheduler = endpoint_scheduler::Create(
      *config, deployment_->services.at(config->service).limits, Options());
  if (!scheduler.has_value()) {
    return nullptr;
  }
  auto port =
      std::make_unique<endpoint_port>(loop_, std::move(scheduler).value(),
                                      local_ip_, port_events_, trace_.values());
  endpoint_port* made = port.get();
  ports_.emplace(endpoint, std::move(port));
  if (const auto hint = knowledge_.TakeoverHintFor(endpoint);
      hint.has_value()) {
    made->SeedAllowance(hint->instance, hint->allowance);
  }
  Reconcile(endpoint, *made);
  return made;
}

void owner_task::Reconcile(const endpoint_id& endpoint, endpoint_port& port) {
  const endpoint_config* config = ConfigOf(endpoint);
  if (config == nullptr) {
    port.SetServingState(serving_state::kDraining);
    port.SetStanding(ownership_standing::kNotOwner);
    return;
  }
  port.SetServingState(ServingOf(*config));
  port.SetStanding(StandingOf(endpoint));
  port.SetReplicaLatency(ReplicaLatency(*config));
}

duration owner_task::ReplicaLatency(const endpoint_config& config) const {
  std::vector<duration> latencies;
  for (const auto& other : deployment_->services.at(config.service).endpoints) {
    const endpoint_state* seen = knowledge_.Find(other.id);
    if (other.id != config.id && seen != nullptr &&
        seen->latency > duration::zero()) {
      latencies.push_back(seen->latency);
    }
  }
  if (latencies.empty()) {
    return duration::zero();
  }
  const auto middle =
      latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
  std::ranges::nth_element(latencies, middle);
  return *middle;
}

serving_state owner_task::ServingOf(const endpoint_config& config) const {
  if (fleet_.zones_out().contains(config.zone)) {
    return serving_state::kZoneOut;
  }
  return leaving_ ? serving_state::kDraining : serving_state::kInService;
}

ownership_standing owner_task::StandingOf(const endpoint_id& endpoint) const {
  return IsDirect() ? ownership_standing::kCertain : fleet_.Standing(endpoint);
}

void owner_task::OnQuery(const host_id& entry, shard_query_message message) {
  const time_point now = loop_.Now();
  const batch_key key{.entry = entry, .request = message.request};
  const auto [place, inserted] = batches_.try_emplace(
      key, batch_state{.replies = reply_batch(message.shards.size(),
                                              FlushTime(message))});
  if (!inserted) {
    // A retry or hedge of a query that is still here: it joins the batch.
    place->second.replies.AddOutstanding(message.shards.size());
  }
  const time_point deadline = now + message.remaining;
  const auto body =
      std::make_shared<const std::string>(std::move(message.body));
  for (const shard_request& shard : message.shards) {
    origins_.insert_or_assign(shard.attempt,
                              origin{.batch = key,
                                     .service = shard.shard.service,
                                     .endpoint = shard.endpoint,
                                     .arrived = now});
  }
  for (const shard_request& shard : message.shards) {
    Submit(message, shard, deadline, body);
  }
}

time_point owner_task::FlushTime(const shard_query_message& message) const {
  const time_point now = loop_.Now();
  const double quantile = deployment_ == nullptr
                              ? 0.0
                              : deployment_->scheduling.reply_hold_quantile;
  if (quantile <= 0.0) {
    return now;
  }
  duration latest{};
  for (const shard_request& shard : message.shards) {
    const auto late = latencies_.Quantile(now, shard.shard.service, quantile);
    latest = std::max(latest, late.value_or(duration::zero()));
  }
  return now + latest;
}

void owner_task::Submit(const shard_query_message& message,
                        const shard_request& shard,
                        time_point deadline,
                        const std::shared_ptr<const std::string>& body) {
  endpoint_port* port =
      deployment_ == nullptr ? nullptr : PortFor(shard.endpoint);
  if (port == nullptr) {
    OnFinished({.request = message.request,
                .reply = {.attempt = shard.attempt,
                          .outcome = verdict::kNotRun,
                          .reason = reason_code::kNotOwner}});
    return;
  }
  // The standing grows stale with time alone; the rest changes by events.
  port->SetStanding(StandingOf(shard.endpoint));
  port->Submit({.attempt = shard.attempt,
                .request = message.request,
                .shard = shard.shard,
                .version = message.version,
                .deadline = deadline,
                .priority = message.priority,
                .idempotent = message.idempotent,
                .hedge_of = shard.hedge_of,
                .body = body});
}

void owner_task::OnCancel(const host_id& /*entry*/,
                          const shard_cancel_message& message) {
  const cancel_scope scope =
      message.only_queued ? cancel_scope::kQueuedOnly : cancel_scope::kAny;
  for (const attempt_id attempt : message.attempts) {
    const auto found = origins_.find(attempt);
    if (found == origins_.end()) {
      continue;
    }
    const auto port = ports_.find(found->second.endpoint);
    if (port != ports_.end()) {
      port->second->Cancel(attempt, scope);
    }
  }
}

void owner_task::OnHostLost(const host_id& entry) {
  std::vector<attempt_id> orphans;
  for (const auto& [attempt, from] : origins_) {
    if (from.batch.entry == entry) {
      orphans.push_back(attempt);
    }
  }
  OnCancel(entry, {.attempts = std::move(orphans)});
}

void owner_task::Leave() {
  leaving_ = true;
  OnViewChanged();
}

void owner_task::OnFinished(const finish_task& done) {
  const auto found = origins_.find(done.reply.attempt);
  if (found == origins_.end()) {
    return;
  }
  const origin from = found->second;
  origins_.erase(found);
  const time_point now = loop_.Now();
  if (done.reply.payload.has_value()) {
    latencies_.Record(now, from.service, now - from.arrived);
    const duration service_time = done.reply.service_time;
    trace_.values().Observe(metric::kEndpointServiceTime, service_time,
                            {from.service.value()});
    trace_.values().Observe(metric::kEndpointQueueTime,
                            now - from.arrived - service_time,
                            {from.service.value()});
  }
  const auto batch = batches_.find(from.batch);
  if (batch == batches_.end()) {
    return;
  }
  batch->second.endpoints.insert(from.endpoint);
  SendReplies(from.batch, batch->second.replies.Add(now, done.reply));
}

void owner_task::SendReplies(const batch_key& key,
                             std::vector<shard_reply> replies) {
  const auto found = batches_.find(key);
  batch_state& batch = found->second;
  if (!replies.empty()) {
    shard_reply_message message{.request = key.request,
                                .replies = std::move(replies)};
    for (const endpoint_id& endpoint : std::exchange(batch.endpoints, {})) {
      if (const auto port = ports_.find(endpoint); port != ports_.end()) {
        message.loads.push_back(port->second->scheduler().load());
      }
    }
    to_entry_(key.entry, std::move(message));
  }
  if (batch.replies.complete()) {
    batches_.erase(found);
    return;
  }
  ArmFlush(key, batch);
}

void owner_task::ArmFlush(const batch_key& key, batch_state& batch) {
  const auto wake = batch.replies.next_tick_at();
  if (!wake.has_value()) {
    batch.flush = timer();
    return;
  }
  batch.flush = loop_.RunAfter(*wake - loop_.Now(), [this, key] {
    const auto found = batches_.find(key);
    if (found != batches_.end()) {
      SendReplies(key, found->second.replies.Tick(loop_.Now()));
    }
  });
}

void owner_task::OnHedgeStarted(const hedge_started& started) {
  const auto found = origins_.find(started.attempt);
  if (found == origins_.end()) {
    return;
  }
  trace_.Record({.kind = "hedge_started",
                 .request = started.request,
                 .attempt = started.attempt,
                 .endpoint = found->second.endpoint},
                log_level::kDebug);
  to_entry_(found->second.batch.entry,
            hedge_started_message{.request = started.request,
                                  .attempt = started.attempt});
}

std::vector<endpoint_load> owner_task::Loads() const {
  std::vector<endpoint_load> loads;
  std::ranges::transform(
      ports_, std::back_inserter(loads),
      [](const auto& entry) { return entry.second->scheduler().load(); });
  return loads;
}

int owner_task::ConnectionsOf(const endpoint_id& endpoint) const {
  const auto found = ports_.find(endpoint);
  return found == ports_.end() ? 0 : found->second->scheduler().connections();
}

scheduler_counters owner_task::Totals() const {
  scheduler_counters total;
  for (const auto& [id, port] : ports_) {
    total = Sum(total, port->scheduler().counters());
  }
  return total;
}

}  // namespace trefoilmill
