#define BOOST_TEST_MODULE stop_schedule
#include "trefoilmill/process/stop_schedule.h"

#include <boost/test/unit_test.hpp>

namespace trefoilmill {
namespace {

constexpr time_point kTold{std::chrono::seconds(100)};

}  // namespace

BOOST_AUTO_TEST_CASE(each_step_leaves_time_for_the_next) {
  for (const int grace_ms : {50, 400, 1000, 1500, 3000, 6000, 60000}) {
    const duration grace = std::chrono::milliseconds(grace_ms);
    const auto stop = stop_schedule::Create(kTold, grace);
    BOOST_TEST((kTold < stop.accept_until));
    BOOST_TEST((stop.accept_until < stop.answer_by));
    BOOST_TEST((stop.answer_by < stop.end_by));
    BOOST_TEST((stop.end_by < stop.write_until));
    BOOST_TEST((stop.write_until < kTold + grace));
  }
}

BOOST_AUTO_TEST_CASE(most_of_a_long_grace_time_serves_callers) {
  const auto stop = stop_schedule::Create(kTold, std::chrono::seconds(6));
  BOOST_TEST((stop.accept_until >= kTold + std::chrono::seconds(4)));
}

}  // namespace trefoilmill
