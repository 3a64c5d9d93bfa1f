#define BOOST_TEST_MODULE idempotency_claim
#include "trefoilmill/idempotency_claim.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;
using claim = idempotency_claim;

constexpr duration kClaimTimeout = milliseconds(500);

/// An object store with one object and conditional writes.
struct object_store {
  std::optional<claim_record> record;
  revision at;

  claim::put_reply Put(const claim::store_put& put) {
    const std::optional<revision> current =
        record.has_value() ? std::optional(at) : std::nullopt;
    if (put.expected != current) {
      return claim::put_conflict{};
    }
    record = put.record;
    at = revision(at.value() + 1);
    return claim::put_written{at};
  }
  claim::get_reply Get() const {
    if (record.has_value()) {
      return claim::get_found{at, *record};
    }
    return claim::get_absent{};
  }
};

/// A fault of one call to the store.
enum class store_fault {
  kNone,
  kRequestLost,  ///< The call has no effect and fails.
  kReplyLost,    ///< A write takes effect, but the call fails.
  kDelayed,      ///< The call fails; a write takes effect much later.
  kSlow,         ///< The reply arrives after the claim deadline.
};

/// One submission of the request to a host.
struct submission {
  explicit submission(const std::string& nonce, std::uint64_t digest = 1)
      : state_machine(idempotency_key("k"),
                      digest,
                      nonce,
                      host_id(nonce),
                      time_point() + kClaimTimeout,
                      {}) {}
  claim state_machine;
  int runs = 0;
  std::optional<failure> refused;
  std::optional<claim_outcome> replayed;
  bool is_done = false;
};

/// Runs submissions against one object and injects faults into the calls.
struct simulation {
  clock_reading clock;
  object_store store;
  std::vector<claim::store_put> delayed_writes;
  std::deque<store_fault> faults;
  /// The outcome of a request that is sent.
  claim_outcome outcome{verdict::kRan, reason_code::kNone, "booked"};

  store_fault NextFault() {
    if (faults.empty()) {
      return store_fault::kNone;
    }
    const store_fault next = faults.front();
    faults.pop_front();
    return next;
  }
  void DeliverDelayedWrites() {
    for (const auto& put : std::exchange(delayed_writes, {})) {
      store.Put(put);
    }
  }
  void AdvanceClock(duration d) {
    clock.now += d;
    clock.wall += d;
  }
  void Perform(submission& s, const claim::actions& actions) {
    for (const auto& action : actions) {
      std::visit([&](const auto& a) { Do(s, a); }, action);
    }
  }
  void Do(submission& s, const claim::store_put& put) {
    const store_fault fault = NextFault();
    claim::put_reply reply = claim::put_unknown{};
    if (fault == store_fault::kDelayed) {
      delayed_writes.push_back(put);
    } else if (fault != store_fault::kRequestLost) {
      const claim::put_reply answer = store.Put(put);
      reply = fault == store_fault::kReplyLost ? reply : answer;
    }
    if (fault == store_fault::kSlow) {
      AdvanceClock(2 * kClaimTimeout);
      Perform(s, s.state_machine.Tick(clock));
    }
    Perform(s, s.state_machine.PutReply(clock, reply));
  }
  void Do(submission& s, const claim::store_get& /*get*/) {
    const store_fault fault = NextFault();
    const bool answered =
        fault == store_fault::kNone || fault == store_fault::kSlow;
    if (fault == store_fault::kDelayed) {
      DeliverDelayedWrites();
    }
    Perform(s, s.state_machine.GetReply(
                   clock, answered ? store.Get() : claim::get_failed{}));
  }
  void Do(submission& s, const claim::run& /*run*/) {
    ++s.runs;
    Perform(s, s.state_machine.Finish(clock, outcome));
  }
  void Do(submission& s, const claim::refuse& refuse) {
    s.refused = refuse.why;
  }
  void Do(submission& s, const claim::replay& replay) {
    s.replayed = replay.stored_outcome;
  }
  void Do(submission& s, const claim::wake& wake) {
    if (!s.is_done && s.runs == 0 && wake.at > clock.now && !in_wake) {
      in_wake = true;
      AdvanceClock(wake.at - clock.now);
      in_wake = false;
      Perform(s, s.state_machine.Tick(clock));
    }
  }
  void Do(submission& s, const claim::done& /*done*/) { s.is_done = true; }
  void Run(submission& s) { Perform(s, s.state_machine.Start(clock)); }

  bool in_wake = false;
};

}  // namespace

BOOST_AUTO_TEST_CASE(held_claim_runs_and_its_outcome_is_replayed) {
  simulation sim;
  submission first("n1");
  sim.Run(first);
  BOOST_TEST(first.runs == 1);
  BOOST_TEST(first.is_done);
  submission second("n2");
  sim.Run(second);
  BOOST_TEST(second.runs == 0);
  BOOST_TEST((second.replayed == sim.outcome));
}

BOOST_AUTO_TEST_CASE(lost_reply_to_a_write_is_resolved_by_a_read) {
  simulation sim;
  sim.faults = {store_fault::kReplyLost};
  submission s("n1");
  sim.Run(s);
  BOOST_TEST(s.runs == 1);
}

BOOST_AUTO_TEST_CASE(request_is_refused_unsent_while_store_is_unavailable) {
  simulation sim;
  sim.faults.assign(60, store_fault::kRequestLost);
  submission s("n1");
  sim.Run(s);
  BOOST_REQUIRE(s.refused.has_value());
  BOOST_TEST((s.refused->outcome == verdict::kNotRun));
  BOOST_TEST((s.refused->reason == reason_code::kStoreUnavailable));
  BOOST_TEST(s.runs == 0);
}

BOOST_AUTO_TEST_CASE(claim_written_after_the_refusal_is_withdrawn) {
  simulation sim;
  sim.faults = {store_fault::kSlow};
  submission late("n1");
  sim.Run(late);
  BOOST_TEST(late.runs == 0);
  BOOST_TEST(late.refused.has_value());
  BOOST_TEST((sim.store.record->status == claim_record::state::kWithdrawn));
  submission again("n2");
  sim.clock.now = {};
  sim.Run(again);
  BOOST_TEST(again.runs == 1);
}

BOOST_AUTO_TEST_CASE(request_that_did_not_run_frees_its_key) {
  simulation sim;
  sim.outcome = {verdict::kNotRun, reason_code::kShed, ""};
  submission first("n1");
  sim.Run(first);
  sim.outcome = {verdict::kRan, reason_code::kNone, "booked"};
  submission second("n2");
  sim.Run(second);
  BOOST_TEST(second.runs == 1);
}

BOOST_AUTO_TEST_CASE(request_claimed_by_another_host_may_have_run) {
  simulation sim;
  submission first("n1");
  first.state_machine.Start(sim.clock);
  sim.store.Put({std::nullopt,
                 {idempotency_key("k"), 1, "n1", host_id("n1"),
                  claim_record::state::kClaimed,
                  sim.clock.wall + std::chrono::hours(1), std::nullopt}});
  submission second("n2");
  sim.Run(second);
  BOOST_REQUIRE(second.refused.has_value());
  BOOST_TEST((second.refused->reason == reason_code::kKeyInUse));
  BOOST_TEST((second.refused->outcome == verdict::kMayHaveRun));
  // A different request with the same key has not run.
  submission other("n3", 2);
  sim.Run(other);
  BOOST_TEST((other.refused->outcome == verdict::kNotRun));
  // An expired claim is taken over.
  sim.clock.wall += std::chrono::hours(2);
  submission third("n4");
  sim.Run(third);
  BOOST_TEST(third.runs == 1);
}

BOOST_AUTO_TEST_CASE(store_faults_in_any_order_run_a_request_at_most_once) {
  BOOST_TEST(rc::check("at most once", [] {
    const auto fault_numbers = *rc::gen::container<std::vector<int>>(
        24, rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 5)));
    simulation sim;
    int runs = 0;
    for (int i = 0; i < 6; ++i) {
      sim.clock.now = {};
      for (int k = 0; k < 4; ++k) {
        sim.faults.push_back(static_cast<store_fault>(
            fault_numbers[static_cast<std::size_t>(4 * i + k)]));
      }
      submission s("n" + std::to_string(i));
      sim.Run(s);
      sim.faults.clear();
      // A delayed write may take effect any time after its call failed.
      sim.DeliverDelayedWrites();
      runs += s.runs;
      if (s.refused.has_value() && s.refused->outcome == verdict::kNotRun) {
        RC_ASSERT(s.runs == 0);
      }
    }
    RC_ASSERT(runs <= 1);
  }));
}

BOOST_AUTO_TEST_CASE(limiter_bounds_claims_per_second) {
  time_point now;
  claim_rate_limiter limiter(now, 10);
  int taken = 0;
  for (int i = 0; i < 2000; ++i, now += milliseconds(1)) {
    taken += limiter.TryAcquire(now).has_value() ? 0 : 1;
  }
  BOOST_TEST(taken <= 30);
  BOOST_TEST(taken >= 28);
}

BOOST_AUTO_TEST_CASE(object_names_differ_by_key) {
  const std::string name = ClaimObjectName(idempotency_key("a"));
  BOOST_TEST(name.size() == 39U);
  BOOST_TEST(name != ClaimObjectName(idempotency_key("b")));
}

}  // namespace trefoilmill
