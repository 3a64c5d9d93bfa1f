/// Unit tests of endpoint_scheduler: limits, ramp-up, queue, cancellation and
/// loss of connections or ownership.
#define BOOST_TEST_MODULE endpoint_scheduler
#include "trefoilmill/endpoint_scheduler.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <iterator>
#include <string>

namespace trefoilmill {
namespace {

using namespace std::chrono_literals;

const instance_id first_instance("i1");
const instance_id second_instance("i2");

/// A scheduler whose connections open and whose health checks are answered at
/// once. Searches wait for Reply(), cancellations for the test.
struct scheduler_fixture {
  explicit scheduler_fixture(endpoint_limits limits = {},
                             endpoint_scheduler_options options = {})
      : scheduler(
            endpoint_scheduler::Create({}, limits, options).assume_value()) {
    Perform(scheduler.SetStanding(now, ownership_standing::kCertain));
  }

  void Perform(const scheduler_actions& actions) {
    for (const scheduler_action& action : actions) {
      if (const auto* opening = std::get_if<open_connection>(&action)) {
        ++connections_opened;
        if (connect_succeeds) {
          Perform(scheduler.ConnectionOpened(now, opening->connection));
        }
      } else if (const auto* sent = std::get_if<send_request>(&action)) {
        searches.push_back(*sent);
      } else if (const auto* check = std::get_if<check_health>(&action)) {
        Perform(scheduler.HealthReplied(now, check->connection, health_reply));
      } else if (const auto* cancel = std::get_if<send_cancel>(&action)) {
        cancels.push_back(*cancel);
      } else if (const auto* done = std::get_if<finish_task>(&action)) {
        replies.push_back(done->reply);
      } else if (std::holds_alternative<hedge_started>(action)) {
        ++hedges_started;
      } else if (std::holds_alternative<close_connection>(action)) {
        ++connections_closed;
      }
    }
  }

  void Submit(std::uint64_t attempt,
              duration time_left = 1s,
              int priority = 5) {
    shard_task task;
    task.attempt = attempt_id(attempt);
    task.deadline = now + time_left;
    task.priority = priority;
    Perform(scheduler.Submit(now, task));
  }

  /// Ends the oldest search with a reply of `kind`.
  void Reply(reply_kind kind, const instance_id& instance = first_instance) {
    BOOST_REQUIRE(!searches.empty());
    const send_request sent = searches.front();
    searches.erase(searches.begin());
    endpoint_reply reply;
    reply.kind = kind;
    reply.instance = instance;
    Perform(scheduler.Replied(now, sent.connection, reply));
  }

  void Advance(duration by) {
    now += by;
    Perform(scheduler.Tick(now));
  }

  /// Answers requests until the endpoint is warm.
  void WarmUp() {
    std::uint64_t attempt = 100000;
    for (int i = 0; i < 200 && scheduler.load().cold; ++i) {
      Submit(++attempt);
      Advance(10ms);
      Reply(reply_kind::kAnswer);
    }
    BOOST_REQUIRE(!scheduler.load().cold);
    replies.clear();
  }

  time_point now{1h};
  endpoint_scheduler scheduler;
  /// The reply to each check_health.
  health_report health_reply{.instance = first_instance,
                             .state = reported_state::kWarm};
  /// Whether open_connection succeeds at once; otherwise it stays pending.
  bool connect_succeeds = true;
  int connections_opened = 0;
  int connections_closed = 0;
  int hedges_started = 0;
  std::vector<send_request> searches;
  std::vector<send_cancel> cancels;
  std::vector<shard_reply> replies;
};

void CheckLastOutcome(const scheduler_fixture& fixture,
                      verdict outcome,
                      reason_code reason) {
  BOOST_REQUIRE(!fixture.replies.empty());
  BOOST_TEST(ToString(fixture.replies.back().outcome) == ToString(outcome));
  BOOST_TEST(ToString(fixture.replies.back().reason) == ToString(reason));
}

}  // namespace

BOOST_AUTO_TEST_CASE(limits_below_one_are_refused) {
  endpoint_limits limits;
  limits.slots = 0;
  BOOST_TEST(!endpoint_scheduler::Create({}, limits, {}).has_value());
}

BOOST_AUTO_TEST_CASE(cold_endpoint_is_limited_to_its_cold_allowance) {
  scheduler_fixture fixture;
  for (std::uint64_t i = 1; i <= 5; ++i) {
    fixture.Submit(i);
  }
  BOOST_TEST(fixture.searches.size() == 1U);
  BOOST_TEST(fixture.scheduler.connections() <= 2);
  BOOST_TEST(fixture.scheduler.load().queued == 4);
}

BOOST_AUTO_TEST_CASE(only_successes_raise_a_cold_allowance) {
  scheduler_fixture fixture;
  fixture.Advance(10s);
  BOOST_TEST(fixture.scheduler.load().allowance == 1);
  fixture.WarmUp();
  BOOST_TEST(fixture.scheduler.load().allowance == 4);
  BOOST_TEST(fixture.scheduler.connections() == 5);
}

BOOST_AUTO_TEST_CASE(cold_health_reports_prevent_ramp_up) {
  scheduler_fixture fixture;
  fixture.health_reply.state = reported_state::kCold;
  for (std::uint64_t i = 1; i <= 100; ++i) {
    fixture.Submit(i);
    fixture.Advance(10ms);
    fixture.Reply(reply_kind::kAnswer);
  }
  BOOST_TEST(fixture.scheduler.load().allowance == 1);
}

// A restarted endpoint may report kWarm although it is still cold: its latency,
// three times the baseline here, must keep it at the cold allowance.
BOOST_AUTO_TEST_CASE(warm_health_reports_do_not_ramp_up_a_slow_cold_endpoint) {
  scheduler_fixture fixture;
  fixture.WarmUp();
  std::uint64_t attempt = 0;
  const auto answer = [&](int times, duration latency) {
    for (int i = 0; i < times; ++i) {
      fixture.Submit(++attempt);
      fixture.Advance(latency);
      fixture.Reply(reply_kind::kAnswer, fixture.health_reply.instance);
    }
  };
  answer(50, 10ms);
  fixture.health_reply.instance = second_instance;
  answer(100, 30ms);
  BOOST_TEST(fixture.scheduler.load().allowance == 1);
  answer(100, 10ms);
  BOOST_TEST(fixture.scheduler.load().allowance > 1);
}

BOOST_AUTO_TEST_CASE(new_instance_is_cold_at_once) {
  scheduler_fixture fixture;
  fixture.WarmUp();
  fixture.Submit(1);
  fixture.health_reply.instance = second_instance;
  fixture.Reply(reply_kind::kAnswer, second_instance);
  BOOST_TEST(fixture.scheduler.load().cold);
  BOOST_TEST(fixture.scheduler.load().allowance == 1);
  BOOST_TEST(fixture.scheduler.load().instance == second_instance);
}

BOOST_AUTO_TEST_CASE(
    lost_connection_limits_to_one_request_until_instance_is_verified) {
  scheduler_fixture fixture;
  fixture.WarmUp();
  fixture.Submit(1);
  fixture.Submit(2);
  fixture.Reply(reply_kind::kReset);
  CheckLastOutcome(fixture, verdict::kMayHaveRun,
                   reason_code::kConnectionReset);
  BOOST_TEST(fixture.scheduler.load().allowance == 1);
  fixture.Submit(3);
  BOOST_TEST(fixture.searches.size() == 1U);
  // The endpoint may still run the first request, so its slot stays occupied
  // until the endpoint denies that.
  fixture.Reply(reply_kind::kAnswer);
  BOOST_TEST(fixture.searches.empty());
  BOOST_REQUIRE(fixture.cancels.size() == 1U);
  fixture.Perform(fixture.scheduler.CancelReplied(
      fixture.now, fixture.cancels[0].connection, cancel_reply::kUnknown));
  BOOST_TEST(fixture.searches.size() == 1U);
  // Sent after the loss, so its reply proves that the process is still the
  // same.
  fixture.Reply(reply_kind::kAnswer);
  BOOST_TEST(fixture.scheduler.load().allowance == 4);
}

BOOST_AUTO_TEST_CASE(closed_busy_connection_ends_its_exchange) {
  scheduler_fixture fixture;
  fixture.Submit(1);
  const connection_id carrying = fixture.searches.at(0).connection;
  fixture.searches.clear();
  fixture.Perform(fixture.scheduler.ConnectionClosed(fixture.now, carrying));
  CheckLastOutcome(fixture, verdict::kMayHaveRun,
                   reason_code::kConnectionReset);
  fixture.Advance(3s);
  BOOST_TEST(fixture.scheduler.load().in_flight == 0);
}

// A caller that never reports on an exchange must not leak its slot.
BOOST_AUTO_TEST_CASE(unreported_exchange_is_aborted_and_frees_its_slot) {
  scheduler_fixture fixture;
  fixture.Submit(1, 100ms);
  fixture.searches.clear();
  fixture.Advance(2s);
  BOOST_TEST(fixture.connections_closed == 1);
  fixture.Advance(3s);
  BOOST_TEST(fixture.scheduler.load().in_flight == 0);
  fixture.Submit(2);
  BOOST_TEST(fixture.searches.size() == 1U);
}

// The reply may come from a process that has since been replaced.
BOOST_AUTO_TEST_CASE(
    reply_to_request_sent_before_connection_loss_verifies_nothing) {
  scheduler_fixture fixture;
  fixture.WarmUp();
  fixture.Submit(1);
  fixture.Submit(2);
  fixture.Reply(reply_kind::kNotSent);
  fixture.Reply(reply_kind::kAnswer);
  BOOST_TEST(fixture.scheduler.load().allowance == 1);
}

BOOST_AUTO_TEST_CASE(unverified_connections_are_limited_to_cold_connections) {
  scheduler_fixture fixture;
  fixture.WarmUp();
  fixture.health_reply.instance = second_instance;
  fixture.connect_succeeds = false;
  fixture.connections_opened = 0;
  endpoint_limits wide;
  wide.slots = 8;
  fixture.Perform(fixture.scheduler.SetLimits(fixture.now, wide));
  BOOST_TEST(fixture.connections_opened == wide.cold_connections);
}

BOOST_AUTO_TEST_CASE(seeded_allowance_applies_after_the_same_process_answers) {
  scheduler_fixture fixture;
  scheduler_fixture fresh;
  endpoint_scheduler scheduler =
      endpoint_scheduler::Create({}, {}, {}).assume_value();
  fresh.scheduler = std::move(scheduler);
  fresh.Perform(fresh.scheduler.SeedAllowance(fresh.now, first_instance, 4));
  fresh.Perform(
      fresh.scheduler.SetStanding(fresh.now, ownership_standing::kCertain));
  BOOST_TEST(fresh.scheduler.load().allowance == 1);
  fresh.Submit(1);
  fresh.Reply(reply_kind::kAnswer);
  BOOST_TEST(fresh.scheduler.load().allowance == 4);
}

// Sheds of requests that were in flight together are one sign of overload.
BOOST_AUTO_TEST_CASE(sheds_of_concurrent_requests_halve_the_allowance_once) {
  scheduler_fixture fixture;
  fixture.WarmUp();
  fixture.Submit(1);
  fixture.Submit(2);
  fixture.Reply(reply_kind::kShed);
  CheckLastOutcome(fixture, verdict::kNotRun, reason_code::kShed);
  BOOST_TEST(fixture.scheduler.load().allowance == 2);
  fixture.Reply(reply_kind::kShed);
  BOOST_TEST(fixture.scheduler.load().allowance == 2);
}

BOOST_AUTO_TEST_CASE(higher_priority_then_earlier_deadline_goes_first) {
  scheduler_fixture fixture;
  fixture.Submit(1);
  fixture.Submit(2, 900ms);
  fixture.Submit(3, 500ms);
  fixture.Submit(4, 950ms, 9);
  fixture.Reply(reply_kind::kAnswer);
  BOOST_TEST((fixture.searches[0].attempt == attempt_id(4)));
  fixture.Reply(reply_kind::kAnswer);
  BOOST_TEST((fixture.searches[0].attempt == attempt_id(3)));
}

BOOST_AUTO_TEST_CASE(unmeetable_deadline_is_refused_at_once) {
  scheduler_fixture fixture;
  fixture.WarmUp();
  for (std::uint64_t i = 1; i <= 8; ++i) {
    fixture.Submit(i);
  }
  fixture.Submit(9, 12ms);
  CheckLastOutcome(fixture, verdict::kNotRun, reason_code::kDeadlineUnmeetable);
}

BOOST_AUTO_TEST_CASE(full_queue_evicts_the_lowest_priority) {
  scheduler_fixture fixture({}, {.max_queue = 2});
  fixture.Submit(1);
  fixture.Submit(2, 1s, 3);
  fixture.Submit(3, 1s, 3);
  fixture.Submit(4, 1s, 3);
  CheckLastOutcome(fixture, verdict::kNotRun, reason_code::kOverloaded);
  BOOST_TEST((fixture.replies.back().attempt == attempt_id(4)));
  BOOST_TEST(fixture.replies.back().retry_after.has_value());
  fixture.Submit(5, 1s, 7);
  BOOST_TEST((fixture.replies.back().attempt == attempt_id(3)));
}

BOOST_AUTO_TEST_CASE(cancel_keeps_the_slot_until_the_exchange_ends) {
  scheduler_fixture fixture;
  fixture.Submit(1);
  fixture.Submit(2);
  fixture.Perform(fixture.scheduler.Cancel(fixture.now, attempt_id(2)));
  CheckLastOutcome(fixture, verdict::kNotRun, reason_code::kCancelled);
  fixture.Perform(fixture.scheduler.Cancel(fixture.now, attempt_id(1)));
  BOOST_TEST(fixture.replies.size() == 1U);
  BOOST_TEST(fixture.cancels.size() == 1U);
  fixture.Submit(3);
  BOOST_TEST(fixture.searches.size() == 1U);
  fixture.Reply(reply_kind::kCancelled);
  CheckLastOutcome(fixture, verdict::kNotRun, reason_code::kCancelled);
  BOOST_TEST((fixture.searches[0].attempt == attempt_id(3)));
}

BOOST_AUTO_TEST_CASE(cancel_with_queued_scope_leaves_tasks_in_flight_running) {
  scheduler_fixture fixture;
  fixture.Submit(1);
  fixture.Submit(2);
  fixture.Perform(fixture.scheduler.Cancel(fixture.now, attempt_id(1),
                                           cancel_scope::kQueuedOnly));
  BOOST_TEST(fixture.replies.empty());
  BOOST_TEST(fixture.cancels.empty());
  fixture.Perform(fixture.scheduler.Cancel(fixture.now, attempt_id(2),
                                           cancel_scope::kQueuedOnly));
  CheckLastOutcome(fixture, verdict::kNotRun, reason_code::kCancelled);
}

// The endpoint may still run the search, so the slot is not free yet.
BOOST_AUTO_TEST_CASE(search_past_its_deadline_finishes_but_keeps_its_slot) {
  scheduler_fixture fixture;
  fixture.Submit(1, 100ms);
  fixture.Advance(100ms);
  CheckLastOutcome(fixture, verdict::kMayHaveRun,
                   reason_code::kDeadlineExceeded);
  fixture.Submit(2);
  BOOST_TEST(fixture.searches.size() == 1U);
  fixture.Reply(reply_kind::kAnswer);
  BOOST_TEST(fixture.replies.size() == 1U);
  BOOST_TEST(fixture.searches.size() == 1U);
}

BOOST_AUTO_TEST_CASE(uncertain_owner_halves_warm_limit_and_refuses_cold) {
  scheduler_fixture fixture;
  fixture.Perform(fixture.scheduler.SetStanding(
      fixture.now, ownership_standing::kUncertain));
  fixture.Submit(1);
  CheckLastOutcome(fixture, verdict::kNotRun, reason_code::kColdLimit);
  fixture.Advance(1s);
  fixture.Perform(
      fixture.scheduler.SetStanding(fixture.now, ownership_standing::kCertain));
  fixture.WarmUp();
  fixture.Perform(fixture.scheduler.SetStanding(
      fixture.now, ownership_standing::kUncertain));
  BOOST_TEST(fixture.scheduler.load().allowance == 2);
  fixture.Submit(2);
  fixture.Submit(3);
  fixture.Submit(4);
  BOOST_TEST(fixture.searches.size() == 2U);
}

BOOST_AUTO_TEST_CASE(
    lost_ownership_and_zone_refuse_queued_tasks_but_keep_those_in_flight) {
  scheduler_fixture fixture;
  fixture.Submit(1);
  fixture.Submit(2);
  fixture.Perform(
      fixture.scheduler.SetServingState(fixture.now, serving_state::kZoneOut));
  CheckLastOutcome(fixture, verdict::kNotRun, reason_code::kZoneOut);
  fixture.Reply(reply_kind::kAnswer);
  CheckLastOutcome(fixture, verdict::kRan, reason_code::kNone);
  fixture.Advance(1s);
  BOOST_TEST(fixture.scheduler.idle());
  fixture.Perform(fixture.scheduler.SetStanding(fixture.now,
                                                ownership_standing::kNotOwner));
  fixture.Submit(3);
  CheckLastOutcome(fixture, verdict::kNotRun, reason_code::kNotOwner);
}

BOOST_AUTO_TEST_CASE(return_to_service_restarts_the_ramp) {
  scheduler_fixture fixture;
  fixture.WarmUp();
  fixture.Perform(
      fixture.scheduler.SetServingState(fixture.now, serving_state::kZoneOut));
  fixture.Advance(1s);
  fixture.Perform(fixture.scheduler.SetServingState(fixture.now,
                                                    serving_state::kInService));
  BOOST_TEST(fixture.scheduler.load().allowance == 1);
}

BOOST_AUTO_TEST_CASE(
    draining_endpoint_gets_only_health_checks_until_it_returns) {
  scheduler_fixture fixture;
  fixture.WarmUp();
  fixture.health_reply.state = reported_state::kDraining;
  fixture.Submit(1);
  fixture.Reply(reply_kind::kDraining);
  CheckLastOutcome(fixture, verdict::kNotRun, reason_code::kDraining);
  fixture.Advance(1s);
  fixture.Submit(2);
  CheckLastOutcome(fixture, verdict::kNotRun, reason_code::kDraining);
  fixture.health_reply = {.instance = second_instance,
                          .state = reported_state::kCold};
  fixture.Advance(1100ms);
  fixture.Submit(3);
  BOOST_TEST(fixture.searches.size() == 1U);
  BOOST_TEST(fixture.scheduler.load().cold);
}

BOOST_AUTO_TEST_CASE(unreachable_endpoint_refuses_at_once_and_is_reconnected) {
  scheduler_fixture fixture;
  scheduler_fixture down;
  down.connect_succeeds = false;
  down.Perform(
      down.scheduler.SetServingState(down.now, serving_state::kZoneOut));
  down.Advance(1s);
  down.Perform(
      down.scheduler.SetServingState(down.now, serving_state::kInService));
  down.Submit(1);
  const int before = down.connections_opened;
  down.Perform(down.scheduler.ConnectionFailed(down.now, connection_id(3)));
  down.Perform(down.scheduler.ConnectionFailed(down.now, connection_id(4)));
  CheckLastOutcome(down, verdict::kNotRun, reason_code::kConnectionRefused);
  down.connect_succeeds = true;
  down.Advance(2s);
  BOOST_TEST(down.connections_opened > before);
  down.Submit(2);
  BOOST_TEST(down.searches.size() == 1U);
}

BOOST_AUTO_TEST_CASE(hedges_report_their_start_and_skip_cold_endpoints) {
  scheduler_fixture fixture;
  shard_task hedge;
  hedge.attempt = attempt_id(1);
  hedge.hedge_of = attempt_id(9);
  hedge.deadline = fixture.now + 1s;
  fixture.Perform(fixture.scheduler.Submit(fixture.now, hedge));
  CheckLastOutcome(fixture, verdict::kNotRun, reason_code::kColdLimit);
  fixture.WarmUp();
  hedge.deadline = fixture.now + 1s;
  fixture.Perform(fixture.scheduler.Submit(fixture.now, hedge));
  BOOST_TEST(fixture.hedges_started == 1);
}

BOOST_AUTO_TEST_CASE(static_share_divides_the_limits) {
  scheduler_fixture fixture({.slots = 6, .connections = 50},
                            {.share = static_share{.hosts = 9}});
  fixture.WarmUp();
  BOOST_TEST(fixture.scheduler.load().allowance == 1);
}

BOOST_AUTO_TEST_CASE(limit_change_keeps_connections_within_the_new_limits) {
  scheduler_fixture fixture;
  fixture.WarmUp();
  const int before = fixture.connections_opened;
  endpoint_limits same;
  same.warmup_successes = 20;
  fixture.Perform(fixture.scheduler.SetLimits(fixture.now, same));
  BOOST_TEST(fixture.connections_opened == before);
  BOOST_TEST(fixture.scheduler.load().allowance == 4);
}

}  // namespace trefoilmill
