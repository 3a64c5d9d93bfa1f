/// Tests which lost replies are put down to the end of an endpoint.
#define BOOST_TEST_MODULE endpoint_crashes
#include "trefoilmill/process/endpoint_crashes.h"

#include <boost/test/unit_test.hpp>
#include <cstdint>

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart(seconds(100));
const endpoint_id ended_id("ended");
const endpoint_id other_id("other");

request_identity Request(std::uint64_t number) {
  return {.content = request_fingerprint(number),
          .content_and_caller = request_fingerprint(1000 + number)};
}

struct fixture {
  endpoint_crashes crashes;

  void Lose(std::uint64_t request,
            time_point at = kStart,
            bool abandoned = false) {
    crashes.OnReplyLost({.endpoint = ended_id,
                         .started_ms = 7,
                         .request = Request(request),
                         .abandoned = abandoned,
                         .lost_at = at});
  }
  void Refuse(time_point at) { crashes.OnConnectRefused(at, ended_id); }
  /// A reply is lost some time after the endpoint has fallen silent, which was
  /// up when the request was sent.
  void LoseSilently(std::uint64_t request,
                    time_point sent,
                    time_point lost,
                    const endpoint_id& at = ended_id) {
    crashes.OnReplyLost({.endpoint = at,
                         .started_ms = 7,
                         .request = Request(request),
                         .abandoned = true,
                         .lost_at = lost,
                         .sent_to_live_at = sent});
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(an_endpoint, fixture)

BOOST_AUTO_TEST_CASE(has_ended_if_it_refuses_while_another_is_reached) {
  Lose(1);
  Lose(2);
  Refuse(kStart + milliseconds(2));
  BOOST_TEST(crashes.TakeConfirmed(kStart + milliseconds(20)).empty());
  crashes.OnAlive(kStart + milliseconds(20), other_id);
  const auto confirmed = crashes.TakeConfirmed(kStart + milliseconds(20));
  BOOST_TEST_REQUIRE(confirmed.size() == 2U);
  BOOST_TEST((confirmed[0].request == Request(1)));
  BOOST_TEST((confirmed[1].request == Request(2)));
  BOOST_TEST(crashes.TakeConfirmed(kStart + milliseconds(30)).empty());
  BOOST_TEST(crashes.empty());
}

BOOST_AUTO_TEST_CASE(has_not_ended_if_it_accepts_a_connection) {
  Lose(1);
  crashes.OnAlive(kStart + milliseconds(2), ended_id);
  Refuse(kStart + milliseconds(4));
  crashes.OnAlive(kStart + milliseconds(30), other_id);
  BOOST_TEST(crashes.TakeConfirmed(kStart + milliseconds(30)).empty());
}

// All links of the host broke: every endpoint resets and refuses.
BOOST_AUTO_TEST_CASE(is_not_blamed_for_the_link) {
  Lose(1);
  crashes.OnAlive(kStart + milliseconds(1), other_id);
  Refuse(kStart + milliseconds(2));
  // A response that was on its way when the link broke.
  crashes.OnAlive(kStart + milliseconds(5), other_id);
  BOOST_TEST(crashes.TakeConfirmed(kStart + milliseconds(900)).empty());
  // The link is back.
  crashes.OnAlive(kStart + seconds(2), other_id);
  BOOST_TEST(crashes.TakeConfirmed(kStart + seconds(2)).empty());
}

BOOST_AUTO_TEST_CASE(may_still_run_what_was_abandoned) {
  Lose(1, kStart, /*abandoned=*/true);
  crashes.OnAlive(kStart + milliseconds(100), ended_id);
  Refuse(kStart + milliseconds(300));
  crashes.OnAlive(kStart + milliseconds(320), other_id);
  BOOST_TEST(crashes.TakeConfirmed(kStart + milliseconds(320)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(did_not_end_under_what_it_lost_long_before) {
  Lose(1, kStart, /*abandoned=*/true);
  Refuse(kStart + seconds(3));
  crashes.OnAlive(kStart + seconds(3) + milliseconds(50), other_id);
  BOOST_TEST(
      crashes.TakeConfirmed(kStart + seconds(3) + milliseconds(50)).empty());
}

BOOST_AUTO_TEST_CASE(did_not_end_under_a_request_that_was_answered) {
  Lose(1);
  Lose(2);
  Refuse(kStart + milliseconds(2));
  crashes.Exonerate(Request(1));
  crashes.OnAlive(kStart + milliseconds(20), other_id);
  const auto confirmed = crashes.TakeConfirmed(kStart + milliseconds(20));
  BOOST_TEST_REQUIRE(confirmed.size() == 1U);
  BOOST_TEST((confirmed[0].request == Request(2)));
}

BOOST_AUTO_TEST_CASE(is_asked_once_if_nothing_is_heard_of_it) {
  Lose(1);
  BOOST_TEST(crashes.TakeUnchecked(kStart + milliseconds(5)).empty());
  BOOST_TEST(crashes.TakeUnchecked(kStart + milliseconds(25)).size() == 1U);
  BOOST_TEST(crashes.TakeUnchecked(kStart + milliseconds(35)).empty());
  Refuse(kStart + milliseconds(30));
  BOOST_TEST(!crashes.TakeNeedForSignOfLife(kStart + milliseconds(40)));
  BOOST_TEST(crashes.TakeNeedForSignOfLife(kStart + milliseconds(90)));
  BOOST_TEST(!crashes.TakeNeedForSignOfLife(kStart + milliseconds(100)));
}

// A supervisor holds the port of an endpoint that has ended: connections are
// accepted and closed.
BOOST_AUTO_TEST_CASE(has_ended_if_it_closes_connections_unused) {
  Lose(1);
  crashes.OnConnected(ended_id);
  crashes.OnClosedUnused(kStart + milliseconds(3), ended_id);
  BOOST_TEST(crashes.TakeUnchecked(kStart + milliseconds(10)).empty());
  crashes.OnAlive(kStart + milliseconds(20), other_id);
  BOOST_TEST(crashes.TakeConfirmed(kStart + milliseconds(20)).empty());
  BOOST_TEST(crashes.TakeUnchecked(kStart + milliseconds(20)).size() == 1U);
  BOOST_TEST(crashes.TakeUnchecked(kStart + milliseconds(20)).empty());
  crashes.OnConnected(ended_id);
  crashes.OnClosedUnused(kStart + milliseconds(22), ended_id);
  BOOST_TEST(crashes.TakeConfirmed(kStart + milliseconds(22)).size() == 1U);
}

// An idle connection is reset as the endpoint ends, before new ones are
// refused.
BOOST_AUTO_TEST_CASE(has_ended_if_it_closes_what_is_idle_and_refuses) {
  Lose(1);
  crashes.OnClosedUnused(kStart + milliseconds(1), ended_id);
  Refuse(kStart + milliseconds(2));
  crashes.OnAlive(kStart + milliseconds(20), other_id);
  const auto confirmed = crashes.TakeConfirmed(kStart + milliseconds(20));
  BOOST_TEST_REQUIRE(confirmed.size() == 1U);
  BOOST_TEST((confirmed[0].evidence == end_evidence::kRefused));
}

// What a link that closed connections showed is forgotten with it: a later
// refusal has to be confirmed as any other.
BOOST_AUTO_TEST_CASE(is_judged_anew_after_an_earlier_link_failure) {
  Lose(1, kStart, /*abandoned=*/true);
  crashes.OnClosedUnused(kStart + milliseconds(3), ended_id);
  crashes.OnAlive(kStart + milliseconds(100), other_id);
  crashes.OnClosedUnused(kStart + milliseconds(200), ended_id);
  crashes.OnAlive(kStart + milliseconds(210), ended_id);
  Refuse(kStart + milliseconds(300));
  BOOST_TEST(crashes.TakeConfirmed(kStart + milliseconds(305)).empty());
}

// The links of the host are reset for a moment: once others respond, so does
// it.
BOOST_AUTO_TEST_CASE(is_not_blamed_for_a_link_that_is_whole_again) {
  Lose(1);
  crashes.OnConnected(ended_id);
  crashes.OnClosedUnused(kStart + milliseconds(3), ended_id);
  crashes.OnClosedUnused(kStart + milliseconds(300), ended_id);
  crashes.OnAlive(kStart + milliseconds(600), other_id);
  BOOST_TEST(crashes.TakeConfirmed(kStart + milliseconds(600)).empty());
  crashes.OnConnected(ended_id);
  BOOST_TEST(crashes.TakeConfirmed(kStart + milliseconds(610)).empty());
  crashes.OnAlive(kStart + milliseconds(620), ended_id);
  BOOST_TEST(crashes.TakeConfirmed(kStart + milliseconds(620)).empty());
  BOOST_TEST(crashes.empty());
}

// All links of the host are reset, those of the other endpoint too: that it
// accepts a connection is no sign that it is reached.
BOOST_AUTO_TEST_CASE(is_not_blamed_for_a_link_that_is_reset) {
  Lose(1);
  crashes.OnConnected(ended_id);
  crashes.OnClosedUnused(kStart + milliseconds(3), ended_id);
  crashes.OnConnected(other_id);
  BOOST_TEST(crashes.TakeConfirmed(kStart + milliseconds(20)).empty());
}

BOOST_AUTO_TEST_CASE(has_ended_if_it_is_silent_until_its_instance_is_gone) {
  LoseSilently(1, kStart, kStart + seconds(2));
  crashes.OnConnected(ended_id);
  BOOST_TEST(crashes.TakeConfirmed(kStart + seconds(3)).empty());
  crashes.OnInstanceGone(kStart + seconds(4), ended_id);
  const auto confirmed = crashes.TakeConfirmed(kStart + seconds(4));
  BOOST_TEST_REQUIRE(confirmed.size() == 1U);
  // Dated to when it was sent, as the loss may have been noticed at any time.
  BOOST_TEST((confirmed[0].lost_at == kStart));
  BOOST_TEST((confirmed[0].evidence == end_evidence::kInstanceGone));
  BOOST_TEST(crashes.empty());
}

BOOST_AUTO_TEST_CASE(has_not_ended_if_it_only_paused) {
  LoseSilently(1, kStart, kStart + seconds(2));
  crashes.OnAlive(kStart + seconds(3), ended_id);
  crashes.OnInstanceGone(kStart + seconds(4), ended_id);
  BOOST_TEST(crashes.TakeConfirmed(kStart + seconds(4)).empty());
}

BOOST_AUTO_TEST_CASE(did_not_end_under_what_it_got_when_it_was_down) {
  Lose(1, kStart + seconds(1));
  crashes.OnInstanceGone(kStart + seconds(2), ended_id);
  BOOST_TEST(crashes.TakeConfirmed(kStart + seconds(2)).empty());
}

BOOST_AUTO_TEST_CASE(may_be_gone_for_any_reason_long_after) {
  LoseSilently(1, kStart, kStart + seconds(2));
  crashes.OnInstanceGone(kStart + seconds(30), ended_id);
  BOOST_TEST(crashes.TakeConfirmed(kStart + seconds(30)).empty());
}

BOOST_AUTO_TEST_CASE(holds_a_limited_number_of_suspects) {
  for (std::uint64_t request = 0; request < 10'000; ++request) {
    Lose(request);
  }
  Refuse(kStart + milliseconds(2));
  crashes.OnAlive(kStart + milliseconds(20), other_id);
  BOOST_TEST(crashes.TakeConfirmed(kStart + milliseconds(20)).size() <= 2048U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilmill
