/// Tests how requests are sent that may end the endpoints that run them.
#define BOOST_TEST_MODULE request_run_caution
#include <boost/test/unit_test.hpp>

#include "request_run_fixture_test.h"
#include "trefoilmill/request/request_run.h"

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const request_identity identity = {
    .content = request_fingerprint(1),
    .content_and_caller = request_fingerprint(2)};

struct fixture : request_fixture {
  void StartIdentified(const std::string& path) {
    const route* r = table->Match("h", path);
    run = std::make_unique<request_run>(table, *r, ServicesOf(*r), now,
                                        now + kTimeout, identity);
    Apply(run->Start(now, shared));
  }
  void BecomeSuspect() {
    shared.quarantine.OnEndpointEnded(now, {.endpoint = endpoint_id("gone"),
                                            .started_ms = 1,
                                            .request = identity,
                                            .abandoned = false,
                                            .lost_at = now});
    now += milliseconds(500);
  }
  void Respond(const endpoint_id& endpoint) {
    shared.responses.OnResponse(now, endpoint);
    shared.silences.OnResponse(now);
  }
  void LoseReply(std::size_t index) {
    const request_run::send lost = sends[index];
    ReportOutcome(lost, reply_lost{reason_code::kConnectionReset});
  }
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(a_suspect_goes_to_one_endpoint_first, fixture) {
  BecomeSuspect();
  StartIdentified("/sweep/1");
  BOOST_TEST_REQUIRE(sends.size() == 1U);
  ReportReply(request_run::send(sends[0]));
  // It is harmless, and clear from then on.
  BOOST_TEST(sends.size() == 10U);
  BOOST_TEST((shared.quarantine.StandingOf(now, identity) ==
              request_standing::kClear));
  ReportReplies(1, 10);
  BOOST_TEST_REQUIRE(AnswerAs<gathered_answer>() != nullptr);
  BOOST_TEST(AnswerAs<gathered_answer>()->missing == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_suspect_is_not_hedged, fixture) {
  BecomeSuspect();
  StartIdentified("/read/1");
  RunUntil(now + milliseconds(300));
  BOOST_TEST(sends.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_suspect_ends_one_endpoint_at_most, fixture) {
  for (const std::string path : {"/sweep/1", "/read/1"}) {
    sends.clear();
    answer.reset();
    BecomeSuspect();
    StartIdentified(path);
    LoseReply(0);
    BOOST_TEST(sends.size() == 1U);
    BOOST_TEST(AnswerAs<failed_answer>() != nullptr);
  }
}

BOOST_FIXTURE_TEST_CASE(a_suspect_that_is_refused_goes_to_the_next, fixture) {
  BecomeSuspect();
  StartIdentified("/sweep/1");
  ReportOutcome(request_run::send(sends[0]),
                endpoint_refused{reason_code::kShed});
  BOOST_TEST_REQUIRE(sends.size() == 2U);
  ReportReply(request_run::send(sends[1]));
  BOOST_TEST(sends.size() == 11U);
}

BOOST_FIXTURE_TEST_CASE(a_suspect_shard_without_endpoints_is_passed_over,
                        fixture) {
  BecomeSuspect();
  DisableShard(0);
  StartIdentified("/sweep/1");
  BOOST_TEST_REQUIRE(sends.size() == 1U);
  BOOST_TEST(sends[0].shard == 1U);
  ReportReply(request_run::send(sends[0]));
  BOOST_TEST(sends.size() == 9U);
}

// A new request of this kind ends one endpoint of each shard, and three more.
BOOST_FIXTURE_TEST_CASE(a_sweep_that_ends_all_endpoints_is_not_sent_again,
                        fixture) {
  StartIdentified("/sweep/1");
  for (std::size_t index = 0; index < sends.size(); ++index) {
    LoseReply(index);
  }
  BOOST_TEST(sends.size() == 13U);
  BOOST_TEST(AnswerAs<failed_answer>() != nullptr);
  // It is suspect at once, wherever it comes next.
  BOOST_TEST((shared.quarantine.StandingOf(now, identity) ==
              request_standing::kSuspect));
}

// All endpoints that a sweep was sent to end together.
BOOST_FIXTURE_TEST_CASE(a_bystander_without_any_reply_is_sent_again, fixture) {
  StartIdentified("/sweep/1");
  for (std::size_t index = 0; index < 11; ++index) {
    LoseReply(index);
  }
  BOOST_TEST_REQUIRE(sends.size() == 12U);
  ReportReply(request_run::send(sends[11]));
  BOOST_TEST(sends.size() > 12U);
  ReportReplies(12, sends.size());
  BOOST_TEST(AnswerAs<gathered_answer>() != nullptr);
}

// Endpoints of some shards end together; those of others reply.
BOOST_FIXTURE_TEST_CASE(a_bystander_is_sent_again_once_a_shard_has_replied,
                        fixture) {
  StartIdentified("/sweep/1");
  for (std::size_t index = 0; index < 4; ++index) {
    LoseReply(index);
  }
  BOOST_TEST(sends.size() == 11U);
  ReportReply(request_run::send(sends[4]));
  BOOST_TEST_REQUIRE(sends.size() == 14U);
  ReportReplies(5, 14);
  BOOST_TEST_REQUIRE(AnswerAs<gathered_answer>() != nullptr);
  BOOST_TEST(AnswerAs<gathered_answer>()->missing == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_bystander_of_one_end_is_sent_again_at_once, fixture) {
  StartIdentified("/read/1");
  LoseReply(0);
  BOOST_TEST_REQUIRE(sends.size() == 2U);
  ReportReply(request_run::send(sends[1]));
  BOOST_TEST(AnswerAs<relayed_answer>() != nullptr);
  BOOST_TEST(shared.selector.crashes().empty());
}

// Endpoints fall silent under it: the first sends, and two more one at a time.
BOOST_FIXTURE_TEST_CASE(a_sweep_without_any_reply_is_hedged_one_by_one,
                        fixture) {
  StartIdentified("/sweep/1");
  RunUntil(now + milliseconds(25));
  BOOST_TEST(sends.size() == 11U);
  RunUntil(now + milliseconds(300));
  BOOST_TEST(sends.size() == 12U);
}

// All other endpoints are busy when the first such hedge is due.
BOOST_FIXTURE_TEST_CASE(a_hedge_without_a_connection_is_tried_again, fixture) {
  StartIdentified("/sweep/1");
  for (int shard = 0; shard < kShards; ++shard) {
    for (int replica = 0; replica < kReplicas; ++replica) {
      shared.selector.SetIdleConnections(Endpoint(shard, replica), 0);
    }
  }
  RunUntil(now + milliseconds(25));
  BOOST_TEST(sends.size() == 10U);
  shared.selector.SetIdleConnections(Endpoint(0, 0), 1);
  shared.selector.SetIdleConnections(Endpoint(0, 1), 1);
  shared.selector.SetIdleConnections(Endpoint(0, 2), 1);
  RunUntil(now + milliseconds(15));
  BOOST_TEST(sends.size() == 11U);
}

BOOST_FIXTURE_TEST_CASE(a_sweep_with_a_late_reply_is_hedged_as_usual, fixture) {
  StartIdentified("/sweep/1");
  RunUntil(now + milliseconds(25));
  ReportReply(request_run::send(sends[10]));
  RunUntil(now + milliseconds(30));
  BOOST_TEST(sends.size() > 15U);
}

BOOST_FIXTURE_TEST_CASE(a_sweep_without_any_reply_is_suspect, fixture) {
  StartIdentified("/sweep/1");
  RunUntil(now + milliseconds(190));
  Respond(Endpoint(0, 2));
  RunUntil(now + milliseconds(20));
  BOOST_TEST((shared.quarantine.StandingOf(now, identity) ==
              request_standing::kSuspect));
}

// Two further endpoints are silent, which it was sent to one after the other.
BOOST_FIXTURE_TEST_CASE(a_sweep_that_is_silent_again_is_refused_for_a_moment,
                        fixture) {
  StartIdentified("/sweep/1");
  for (int step = 0; step < 30; ++step) {
    Respond(Endpoint(0, 2));
    RunUntil(now + milliseconds(10));
  }
  BOOST_TEST((shared.quarantine.StandingOf(now, identity) ==
              request_standing::kQuarantined));
  BOOST_TEST(!shared.quarantine.HasStrikes(identity));
}

// The host has lost its links, or all endpoints pause.
BOOST_FIXTURE_TEST_CASE(no_sweep_is_suspect_while_no_endpoint_responds,
                        fixture) {
  StartIdentified("/sweep/1");
  RunUntil(now + milliseconds(300));
  BOOST_TEST((shared.quarantine.StandingOf(now, identity) ==
              request_standing::kClear));
}

// A host with few requests rarely hears of endpoints by itself.
BOOST_FIXTURE_TEST_CASE(a_silent_sweep_is_suspect_once_an_endpoint_responds,
                        fixture) {
  StartIdentified("/sweep/1");
  RunUntil(now + milliseconds(350));
  BOOST_TEST((shared.quarantine.StandingOf(now, identity) ==
              request_standing::kClear));
  BOOST_TEST(shared.selector.reach().ShouldProbe(now));
  Respond(Endpoint(0, 2));
  RunUntil(now + milliseconds(60));
  BOOST_TEST((shared.quarantine.StandingOf(now, identity) ==
              request_standing::kSuspect));
}

// The host's links were silent, and are whole again.
BOOST_FIXTURE_TEST_CASE(no_sweep_is_suspect_after_a_long_silence, fixture) {
  Respond(Endpoint(0, 2));
  StartIdentified("/sweep/1");
  RunUntil(now + milliseconds(700));
  Respond(Endpoint(0, 2));
  RunUntil(now + milliseconds(60));
  BOOST_TEST((shared.quarantine.StandingOf(now, identity) ==
              request_standing::kClear));
}

BOOST_FIXTURE_TEST_CASE(a_suspect_goes_to_an_endpoint_that_is_up_first,
                        fixture) {
  BecomeSuspect();
  Respond(Endpoint(7, 1));
  StartIdentified("/sweep/1");
  BOOST_TEST_REQUIRE(sends.size() == 1U);
  BOOST_TEST((sends[0].endpoint == Endpoint(7, 1)));
}

// All endpoints of a service are lost at once; callers come again meanwhile.
BOOST_FIXTURE_TEST_CASE(nobody_is_blamed_for_the_loss_of_all_endpoints,
                        fixture) {
  for (int replica = 0; replica < kReplicas; ++replica) {
    Respond(Endpoint(0, replica));
  }
  now += milliseconds(100);
  for (int attempt = 0; attempt < 4; ++attempt) {
    Respond(Endpoint(1, 0));
    sends.clear();
    answer.reset();
    StartIdentified("/read/1");
    RunUntil(now + milliseconds(700));
  }
  for (int replica = 0; replica < kReplicas; ++replica) {
    shared.selector.crashes().OnInstanceGone(now, Endpoint(0, replica));
  }
  for (const crash_suspect& suspect :
       shared.selector.crashes().TakeConfirmed(now)) {
    shared.quarantine.OnEndpointEnded(now, suspect);
  }
  now += seconds(3);
  BOOST_TEST((shared.quarantine.StandingOf(now, identity) !=
              request_standing::kQuarantined));
}

BOOST_FIXTURE_TEST_CASE(a_request_put_in_quarantine_meanwhile_is_not_sent_again,
                        fixture) {
  StartIdentified("/read/1");
  for (int strike = 0; strike < 3; ++strike) {
    BecomeSuspect();
    shared.quarantine.OnEndpointEnded(
        now, {.endpoint = endpoint_id(std::to_string(strike)),
              .started_ms = 1,
              .request = identity,
              .abandoned = false,
              .lost_at = now});
  }
  LoseReply(0);
  BOOST_TEST(sends.size() == 1U);
  BOOST_TEST(AnswerAs<failed_answer>() != nullptr);
}

}  // namespace trefoilmill
