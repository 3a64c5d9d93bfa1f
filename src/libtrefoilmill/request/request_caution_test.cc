/// Tests when a request is sent with care, to no one, or others are warned.
#define BOOST_TEST_MODULE request_caution
#include "trefoilmill/request/request_caution.h"

#include <boost/test/unit_test.hpp>

namespace trefoilmill {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_CASE(two_unanswered_attempts_call_for_caution) {
  request_caution caution;
  caution.OnUnanswered(/*sent_alone=*/false);
  BOOST_TEST(!caution.is_cautious());
  caution.OnUnanswered(/*sent_alone=*/false);
  BOOST_TEST(caution.is_cautious());
  BOOST_TEST(!caution.MustStop(/*has_strikes=*/true));
}

BOOST_AUTO_TEST_CASE(a_suspect_is_sent_with_care_from_the_first) {
  request_caution caution;
  caution.SetSuspect(true);
  BOOST_TEST(caution.is_cautious());
}

BOOST_AUTO_TEST_CASE(attempts_sent_alone_end_it) {
  request_caution caution;
  caution.OnUnanswered(/*sent_alone=*/true);
  BOOST_TEST(caution.MustStop(/*has_strikes=*/true));
  BOOST_TEST(!caution.MustStop(/*has_strikes=*/false));
  caution.OnUnanswered(/*sent_alone=*/true);
  BOOST_TEST(caution.MustStop(/*has_strikes=*/false));
}

BOOST_AUTO_TEST_CASE(others_are_warned_once_of_each_stage) {
  request_caution caution;
  BOOST_TEST((caution.NextWarning(1, false) == silence_warning::kNone));
  caution.OnUnanswered(/*sent_alone=*/false);
  BOOST_TEST((caution.NextWarning(1, false) == silence_warning::kSuspect));
  BOOST_TEST((caution.NextWarning(2, false) == silence_warning::kNone));
  caution.OnUnanswered(/*sent_alone=*/false);
  BOOST_TEST((caution.NextWarning(2, false) == silence_warning::kSuspect));
  caution.OnWarned(silence_warning::kSuspect);
  BOOST_TEST((caution.NextWarning(2, false) == silence_warning::kNone));
  caution.OnUnanswered(/*sent_alone=*/true);
  BOOST_TEST((caution.NextWarning(2, true) == silence_warning::kRefuse));
  BOOST_TEST((caution.NextWarning(2, false) == silence_warning::kNone));
  caution.OnUnanswered(/*sent_alone=*/true);
  BOOST_TEST((caution.NextWarning(2, false) == silence_warning::kRefuse));
  caution.OnWarned(silence_warning::kRefuse);
  BOOST_TEST((caution.NextWarning(2, true) == silence_warning::kNone));
}

// It stops after one late reply: without a warning each copy would run.
BOOST_AUTO_TEST_CASE(others_are_warned_of_one_with_strikes_that_stops) {
  request_caution caution;
  caution.SetSuspect(true);
  caution.OnUnanswered(/*sent_alone=*/true);
  BOOST_TEST((caution.NextWarning(2, false) == silence_warning::kNone));
  BOOST_TEST((caution.NextWarning(2, true) == silence_warning::kRefuse));
}

BOOST_AUTO_TEST_CASE(the_warning_waits_for_the_expected_latency) {
  BOOST_TEST(
      (request_caution::WarningDelay(milliseconds(1)) == milliseconds(200)));
  BOOST_TEST(
      (request_caution::WarningDelay(milliseconds(100)) == milliseconds(800)));
}

}  // namespace trefoilmill
