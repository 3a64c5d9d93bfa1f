#include "trefoilmilld/claim_task.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "trefoilmill/wire/claim_codec.h"

namespace trefoilmill {
namespace {

/// Separates the nonces from the other deciders' random choices.
constexpr std::uint64_t kSeedOffset = 2;

idempotency_claim::put_reply ToPutReply(const write_result& written) {
  struct converter {
    idempotency_claim::put_reply operator()(const object_written& w) const {
      return idempotency_claim::put_written{.at = w.at};
    }
    idempotency_claim::put_reply operator()(const write_conflict&) const {
      return idempotency_claim::put_conflict{};
    }
    idempotency_claim::put_reply operator()(const store_unavailable&) const {
      return idempotency_claim::put_unknown{};
    }
  };
  return std::visit(converter{}, written);
}

idempotency_claim::get_reply ToGetReply(const read_result& read) {
  struct converter {
    idempotency_claim::get_reply operator()(const object_found& found) const {
      auto record = ParseClaimRecord(found.body);
      if (!record.has_value()) {
        return idempotency_claim::get_failed{};
      }
      return idempotency_claim::get_found{.at = found.at,
                                          .record = std::move(record).value()};
    }
    idempotency_claim::get_reply operator()(const object_absent&) const {
      return idempotency_claim::get_absent{};
    }
    idempotency_claim::get_reply operator()(const object_unchanged&) const {
      return idempotency_claim::get_failed{};
    }
    idempotency_claim::get_reply operator()(const store_unavailable&) const {
      return idempotency_claim::get_failed{};
    }
  };
  return std::visit(converter{}, read);
}

std::string_view NameOf(const claim_verdict& said) {
  if (std::holds_alternative<claim_granted>(said)) {
    return "granted";
  }
  return std::holds_alternative<claim_replayed>(said) ? "replayed" : "refused";
}

}  // namespace

claim_task::claim_task(event_loop& loop,
                       const daemon_settings& settings,
                       store_client& store,
                       telemetry& trace)
    : loop_(loop),
      self_(settings.host),
      store_(store),
      trace_(trace),
      limiter_(loop.Now(), scheduling_config().max_claims_per_second),
      random_(settings.seed + kSeedOffset) {}

void claim_task::SetConfig(const scheduling_config& config) {
  limiter_.SetRate(config.max_claims_per_second);
  config_.ttl = config.claim_ttl;
}

clock_reading claim_task::Clock() const {
  return {
      .now = loop_.Now(),
      .wall = wall_time(std::chrono::microseconds(loop_.SystemTimeMicros()))};
}

/// Unique over hosts and lives: the wall clock separates the lives.
std::string claim_task::MakeNonce() {
  return self_.value() + "/" + std::to_string(loop_.SystemTimeMicros()) + "/" +
         std::to_string(random_());
}

void claim_task::Claim(const idempotency_key& key,
                       std::uint64_t request_digest,
                       time_point give_up,
                       on_verdict done) {
  if (const auto wait = limiter_.TryAcquire(loop_.Now()); wait.has_value()) {
    done(claim_refused{.why = {.outcome = verdict::kNotRun,
                               .reason = reason_code::kOverloaded,
                               .detail = "too many idempotency keys a second",
                               .retry_after = wait}});
    return;
  }
  const claim_id id(++last_claim_);
  auto state = std::make_unique<claim_state>(
      claim_state{.decider = idempotency_claim(key, request_digest, MakeNonce(),
                                               self_, give_up, config_),
                  .object = ClaimObjectName(key),
                  .done = std::move(done)});
  claim_state* made = state.get();
  claims_.emplace(id, std::move(state));
  Perform(id, made->decider.Start(Clock()));
}

void claim_task::Finish(claim_id claim, claim_outcome outcome) {
  const auto found = claims_.find(claim);
  if (found == claims_.end()) {
    return;
  }
  Perform(claim, found->second->decider.Finish(Clock(), std::move(outcome)));
}

void claim_task::Perform(claim_id id,
                         const idempotency_claim::actions& actions) {
  for (const auto& action : actions) {
    if (!claims_.contains(id)) {
      return;
    }
    std::visit([this, id](const auto& a) { Do(id, a); }, action);
  }
}

void claim_task::Do(claim_id id, const idempotency_claim::store_put& action) {
  store_.Write(claims_.at(id)->object, action.expected,
               WriteClaimRecord(action.record),
               [this, id](const write_result& written) {
                 const auto found = claims_.find(id);
                 if (found != claims_.end()) {
                   Perform(id, found->second->decider.PutReply(
                                   Clock(), ToPutReply(written)));
                 }
               });
}

void claim_task::Do(claim_id id,
                    const idempotency_claim::store_get& /*action*/) {
  store_.Read(claims_.at(id)->object, [this, id](const read_result& read) {
    const auto found = claims_.find(id);
    if (found != claims_.end()) {
      Perform(id, found->second->decider.GetReply(Clock(), ToGetReply(read)));
    }
  });
}

void claim_task::Do(claim_id id, const idempotency_claim::run& /*action*/) {
  Tell(id, claim_granted{.claim = id});
}

void claim_task::Do(claim_id id, const idempotency_claim::refuse& action) {
  Tell(id, claim_refused{.why = action.why});
}

void claim_task::Do(claim_id id, const idempotency_claim::replay& action) {
  Tell(id, claim_replayed{.recorded = action.stored_outcome});
}

void claim_task::Do(claim_id id, const idempotency_claim::wake& action) {
  claims_.at(id)->wake = loop_.RunAfter(action.at - loop_.Now(), [this, id] {
    const auto found = claims_.find(id);
    if (found != claims_.end()) {
      Perform(id, found->second->decider.Tick(Clock()));
    }
  });
}

void claim_task::Do(claim_id id, const idempotency_claim::done& /*action*/) {
  // The decider may be running: destroy it from the loop.
  loop_.Post([this, id] { claims_.erase(id); });
}

void claim_task::Tell(claim_id id, claim_verdict said) {
  trace_.values().Increment(metric::kIdempotencyKeyClaims, {NameOf(said)});
  const on_verdict done = std::exchange(claims_.at(id)->done, nullptr);
  if (done) {
    done(std::move(said));
  }
}

}  // namespace trefoilmill
