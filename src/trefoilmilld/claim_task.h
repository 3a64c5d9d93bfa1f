/// Claims of idempotency keys: carries out what idempotency_claim decides
/// against the platform's store.
#ifndef TREFOILMILLD_CLAIM_TASK_H_
#define TREFOILMILLD_CLAIM_TASK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <variant>

#include "trefoilmill/deployment.h"
#include "trefoilmill/idempotency_claim.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/settings.h"
#include "trefoilmill/verdict.h"
#include "trefoilmilld/store_client.h"

namespace trefoilmill {

/// Names a claim in progress within this process.
using claim_id = strong_id<struct claim_tag, std::uint64_t>;

/// The claim is held: run the request now, then call Finish().
struct claim_granted {
  claim_id claim;
};
/// The request ran before: answer with its recorded end.
struct claim_replayed {
  claim_outcome recorded;
};
/// Do not run it.
struct claim_refused {
  failure why;
};
using claim_verdict =
    std::variant<claim_granted, claim_replayed, claim_refused>;

class claim_task {
 public:
  using on_verdict = std::function<void(claim_verdict)>;

  claim_task(event_loop& loop,
             const daemon_settings& settings,
             store_client& store,
             telemetry& trace);

  void SetConfig(const scheduling_config& config);
  /// Claims `key` for a request with this digest, by `give_up` at the latest.
  void Claim(const idempotency_key& key,
             std::uint64_t request_digest,
             time_point give_up,
             on_verdict done);
  /// The granted request ended.
  void Finish(claim_id claim, claim_outcome outcome);

  /// Claims whose end is not recorded yet.
  std::size_t in_progress() const { return claims_.size(); }

 private:
  struct claim_state {
    idempotency_claim decider;
    std::string object;
    on_verdict done;
    timer wake;
  };

  clock_reading Clock() const;
  std::string MakeNonce();
  void Perform(claim_id id, const idempotency_claim::actions& actions);
  void Do(claim_id id, const idempotency_claim::store_put& action);
  void Do(claim_id id, const idempotency_claim::store_get& action);
  void Do(claim_id id, const idempotency_claim::run& action);
  void Do(claim_id id, const idempotency_claim::refuse& action);
  void Do(claim_id id, const idempotency_claim::replay& action);
  void Do(claim_id id, const idempotency_claim::wake& action);
  void Do(claim_id id, const idempotency_claim::done& action);
  void Tell(claim_id id, claim_verdict said);

  event_loop& loop_;
  host_id self_;
  store_client& store_;
  telemetry& trace_;
  claim_rate_limiter limiter_;
  idempotency_claim::config config_;
  std::mt19937_64 random_;
  std::map<claim_id, std::unique_ptr<claim_state>> claims_;
  std::uint64_t last_claim_ = 0;
};

}  // namespace trefoilmill

#endif  // TREFOILMILLD_CLAIM_TASK_H_
