/// Tests when a request is suspect or in quarantine, and how hosts merge what
/// they know.
#define BOOST_TEST_MODULE request_quarantine
#include "trefoilmill/process/request_quarantine.h"

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <string>

namespace trefoilmill {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart(hours(100));

request_identity Request(std::uint64_t content, std::uint64_t caller) {
  return {.content = request_fingerprint(content),
          .content_and_caller = request_fingerprint(1000 * content + caller)};
}

/// One endpoint ended under the request; each has a number.
bool Strike(request_quarantine& host,
            const request_identity& request,
            int endpoint,
            time_point at) {
  return host.OnEndpointEnded(
      at, {.endpoint = endpoint_id("e" + std::to_string(endpoint)),
           .started_ms = 1,
           .request = request,
           .abandoned = false,
           .lost_at = at});
}

bool IsQuarantined(const request_quarantine& host,
                   const request_identity& request,
                   time_point now) {
  return host.StandingOf(now, request) == request_standing::kQuarantined;
}

void Exchange(request_quarantine& from,
              request_quarantine& to,
              time_point now) {
  for (const quarantine_report& report : from.Reports(now, 240)) {
    to.Merge(now, report);
  }
}

const request_identity fatal = Request(1, 1);

struct fixture {
  request_quarantine host;
  time_point now = kStart;
  int ended = 100;

  /// As many further endpoints end.
  void StrikeTimes(int times) {
    for (int number = 0; number < times; ++number) {
      now += seconds(1);
      Strike(host, fatal, ++ended, now);
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_request, fixture)

BOOST_AUTO_TEST_CASE(is_suspect_after_one_end_and_quarantined_after_three) {
  BOOST_TEST((host.StandingOf(now, fatal) == request_standing::kClear));
  StrikeTimes(1);
  BOOST_TEST((host.StandingOf(now, fatal) == request_standing::kSuspect));
  StrikeTimes(1);
  BOOST_TEST((host.StandingOf(now, fatal) == request_standing::kSuspect));
  now += seconds(1);
  BOOST_TEST(Strike(host, fatal, 7, now));
  BOOST_TEST(IsQuarantined(host, fatal, now));
  BOOST_TEST((host.QuarantineLeft(now, fatal) > hours(0)));
}

// Many endpoints end at once, as in a loss of power.
BOOST_AUTO_TEST_CASE(is_not_quarantined_for_one_event) {
  for (int endpoint = 0; endpoint < 30; ++endpoint) {
    Strike(host, fatal, endpoint, now + milliseconds(endpoint));
  }
  BOOST_TEST((host.StandingOf(now, fatal) == request_standing::kSuspect));
}

// The end of a silent endpoint is dated to when the request was sent to it,
// which may be shortly before the loss or after it.
BOOST_AUTO_TEST_CASE(is_not_quarantined_for_a_loss_that_seems_to_last) {
  for (int endpoint = 0; endpoint < 30; ++endpoint) {
    Strike(host, fatal, endpoint, now + milliseconds(6 * endpoint));
  }
  BOOST_TEST((host.StandingOf(now, fatal) == request_standing::kSuspect));
}

// A sweep over all shards ends many endpoints the first time, and one more when
// it comes again.
BOOST_AUTO_TEST_CASE(is_quarantined_for_two_events_that_ended_three) {
  for (int endpoint = 0; endpoint < 10; ++endpoint) {
    Strike(host, fatal, endpoint, now + milliseconds(endpoint));
  }
  now += seconds(6);
  BOOST_TEST(Strike(host, fatal, 11, now));
}

BOOST_AUTO_TEST_CASE(is_not_quarantined_for_two_endpoints) {
  StrikeTimes(2);
  BOOST_TEST(!IsQuarantined(host, fatal, now));
}

// The caller returns before it is known whether an endpoint has ended.
BOOST_AUTO_TEST_CASE(that_failed_is_suspect_for_a_moment) {
  host.OnSuspected(now, fatal, /*refuse=*/false);
  request_quarantine other;
  Exchange(host, other, now);
  BOOST_TEST((other.StandingOf(now, fatal) == request_standing::kSuspect));
  now += seconds(3);
  BOOST_TEST((other.StandingOf(now, fatal) == request_standing::kClear));
}

BOOST_AUTO_TEST_CASE(that_was_silent_again_is_refused_for_a_moment) {
  host.OnSuspected(now, fatal, /*refuse=*/true);
  request_quarantine other;
  Exchange(host, other, now);
  BOOST_TEST(IsQuarantined(other, fatal, now));
  now += seconds(1);
  BOOST_TEST(!IsQuarantined(other, fatal, now));
}

BOOST_AUTO_TEST_CASE(with_a_strike_that_failed_is_refused_for_a_moment) {
  StrikeTimes(1);
  now += seconds(5);
  host.OnSuspected(now, fatal, /*refuse=*/false);
  request_quarantine other;
  Exchange(host, other, now);
  BOOST_TEST(IsQuarantined(other, fatal, now));
  BOOST_TEST((other.QuarantineLeft(now, fatal) <= seconds(1)));
  now += seconds(1);
  BOOST_TEST(!IsQuarantined(other, fatal, now));
}

BOOST_AUTO_TEST_CASE(is_cleared_by_a_reply) {
  StrikeTimes(2);
  now += seconds(1);
  host.OnReplied(now, fatal);
  BOOST_TEST((host.StandingOf(now, fatal) == request_standing::kClear));
  // The end of an endpoint before the reply is noticed after it.
  Strike(host, fatal, 9, now - milliseconds(30));
  BOOST_TEST((host.StandingOf(now, fatal) == request_standing::kClear));
  StrikeTimes(2);
  BOOST_TEST(!IsQuarantined(host, fatal, now));
}

BOOST_AUTO_TEST_CASE(is_tried_again_after_an_hour_and_quarantined_at_once) {
  StrikeTimes(3);
  now += hours(1) + seconds(1);
  BOOST_TEST((host.StandingOf(now, fatal) == request_standing::kSuspect));
  StrikeTimes(1);
  BOOST_TEST(IsQuarantined(host, fatal, now));
}

BOOST_AUTO_TEST_CASE(of_another_caller_or_content_is_not_quarantined) {
  StrikeTimes(5);
  BOOST_TEST(
      (host.StandingOf(now, Request(1, 2)) == request_standing::kSuspect));
  BOOST_TEST((host.StandingOf(now, Request(2, 1)) == request_standing::kClear));
  // The other caller's reply clears the content, not the first caller.
  host.OnReplied(now, Request(1, 2));
  BOOST_TEST((host.StandingOf(now, Request(1, 3)) == request_standing::kClear));
  BOOST_TEST(IsQuarantined(host, fatal, now));
}

BOOST_AUTO_TEST_CASE(that_is_fatal_for_several_callers_is_so_for_all) {
  for (std::uint64_t caller = 1; caller <= 3; ++caller) {
    now += seconds(1);
    Strike(host, Request(1, caller), static_cast<int>(caller), now);
  }
  BOOST_TEST(IsQuarantined(host, Request(1, 99), now));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(hosts, fixture)

BOOST_AUTO_TEST_CASE(add_up_what_each_saw) {
  request_quarantine other;
  Strike(host, fatal, 1, now);
  Strike(other, fatal, 2, now + seconds(1));
  now += seconds(2);
  Strike(host, fatal, 3, now);
  BOOST_TEST(!IsQuarantined(host, fatal, now));
  Exchange(other, host, now);
  Exchange(host, other, now);
  BOOST_TEST(IsQuarantined(host, fatal, now));
  BOOST_TEST(IsQuarantined(other, fatal, now));
  BOOST_TEST(host.Digest() == other.Digest());
}

BOOST_AUTO_TEST_CASE(count_an_end_once_that_several_saw) {
  request_quarantine other;
  Strike(host, fatal, 1, now);
  Strike(other, fatal, 1, now + milliseconds(700));
  Strike(other, fatal, 2, now + seconds(1));
  Exchange(other, host, now + seconds(2));
  BOOST_TEST(!IsQuarantined(host, fatal, now + seconds(2)));
}

// A host stood still while reports waited, so that they seem later to it.
BOOST_AUTO_TEST_CASE(correct_times_that_were_read_too_late) {
  request_quarantine stood_still;
  Strike(host, fatal, 1, now);
  Strike(host, fatal, 2, now + milliseconds(10));
  const auto waiting = host.Reports(now + milliseconds(20), 240);
  now += seconds(5);
  for (const quarantine_report& report : waiting) {
    stood_still.Merge(now, report);
  }
  Exchange(host, stood_still, now);
  Exchange(stood_still, host, now);
  BOOST_TEST(host.Digest() == stood_still.Digest());
}

BOOST_AUTO_TEST_CASE(clear_each_others_records) {
  request_quarantine other;
  StrikeTimes(2);
  Exchange(host, other, now);
  now += seconds(1);
  other.OnReplied(now, fatal);
  Exchange(other, host, now + milliseconds(5));
  BOOST_TEST((host.StandingOf(now, fatal) == request_standing::kClear));
  // An older report does not bring the strikes back.
  Exchange(host, other, now + milliseconds(10));
  BOOST_TEST((other.StandingOf(now, fatal) == request_standing::kClear));
}

BOOST_AUTO_TEST_CASE(tell_news_a_few_times) {
  StrikeTimes(1);
  int told = 0;
  while (!host.TakeNews(now, 24).empty()) {
    ++told;
  }
  BOOST_TEST(told == 2);
}

BOOST_AUTO_TEST_CASE(keep_a_limited_number_of_records) {
  StrikeTimes(3);
  for (std::uint64_t number = 0; number < 20'000; ++number) {
    Strike(host, Request(10 + number, 1), 1, now);
  }
  BOOST_TEST(host.size() <= 2048U);
  BOOST_TEST(IsQuarantined(host, fatal, now));
}

BOOST_AUTO_TEST_CASE(tell_first_what_has_most_strikes) {
  for (std::uint64_t number = 0; number < 300; ++number) {
    Strike(host, Request(10 + number, 1), 1, now);
  }
  StrikeTimes(3);
  const auto reports = host.Reports(now, 24);
  BOOST_TEST_REQUIRE(reports.size() == 24U);
  BOOST_TEST((reports[0].request == fatal.content_and_caller));
}

BOOST_AUTO_TEST_CASE(forget_in_time) {
  StrikeTimes(3);
  now += hours(13);
  host.Update(now);
  BOOST_TEST(host.size() == 0U);
}

BOOST_AUTO_TEST_CASE(store_what_is_quarantined_once_an_era) {
  StrikeTimes(2);
  BOOST_TEST(host.Unstored(now, store_era(1)).empty());
  StrikeTimes(3);
  const auto unstored = host.Unstored(now, store_era(1));
  BOOST_TEST_REQUIRE(unstored.size() == 1U);
  host.OnStored(unstored[0], store_era(1));
  BOOST_TEST(host.Unstored(now, store_era(1)).empty());
  BOOST_TEST(host.Unstored(now, store_era(2)).size() == 1U);
  // Other hosts hear of it.
  request_quarantine other;
  Exchange(host, other, now);
  BOOST_TEST(other.Unstored(now, store_era(1)).empty());
}

BOOST_AUTO_TEST_CASE(store_without_an_era) {
  StrikeTimes(4);
  const auto unstored = host.Unstored(now, std::nullopt);
  BOOST_TEST_REQUIRE(unstored.size() == 1U);
  host.OnStored(unstored[0], store_era());
  BOOST_TEST(host.Unstored(now, std::nullopt).empty());
}

BOOST_AUTO_TEST_CASE(take_back_what_was_stored_once_it_is_cleared) {
  StrikeTimes(4);
  host.OnStored(fatal.content_and_caller, store_era(1));
  host.OnReplied(now + seconds(1), fatal);
  BOOST_TEST(host.TakeClearedStored().size() == 1U);
  BOOST_TEST(host.TakeClearedStored().empty());
}

BOOST_AUTO_TEST_CASE(bear_reports_of_any_content) {
  quarantine_report report{.request = request_fingerprint(5),
                           .strikes = {},
                           .cleared_age = duration(-hours(20)),
                           .stored_in = {}};
  for (std::uint64_t source = 0; source < 1000; ++source) {
    report.strikes.push_back({.source = source, .age = -hours(23)});
  }
  host.Merge(now, report);
  BOOST_TEST(host.size() <= 1U);
  for (const quarantine_report& made : host.Reports(now, 240)) {
    BOOST_TEST(made.strikes.size() <= 6U);
    for (const strike_report& strike : made.strikes) {
      BOOST_TEST((strike.age >= duration::zero()));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilmill
