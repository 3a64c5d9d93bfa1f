/// Tests the order in which waiting sub-requests get connections.
#define BOOST_TEST_MODULE capacity_queue
#include "trefoilmill/process/capacity_queue.h"

#include <boost/test/unit_test.hpp>

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;

const service_id test_service("s");

struct fixture {
  time_point now{std::chrono::seconds(1)};
  capacity_queue queue;

  void Push(std::uint64_t request, int priority, duration time_left) {
    queue.Push(test_service, {.request = request_number(request),
                              .shard = 0,
                              .priority = {.route = priority},
                              .objective_deadline = now + time_left});
  }
  std::uint64_t Pop() { return queue.Pop(now, test_service)->request.value(); }
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(urgent_work_goes_first_then_the_longest_wait, fixture) {
  Push(1, 2, milliseconds(100));
  Push(2, 1, milliseconds(100));
  Push(3, 1, milliseconds(100));
  BOOST_TEST(Pop() == 2U);
  BOOST_TEST(Pop() == 3U);
  BOOST_TEST(Pop() == 1U);
  BOOST_TEST(!queue.Pop(now, test_service).has_value());
}

// Under overload, what has waited longest is late already.
BOOST_FIXTURE_TEST_CASE(late_work_yields_to_work_that_can_be_in_time, fixture) {
  Push(1, 1, milliseconds(50));
  now += milliseconds(60);
  Push(2, 2, milliseconds(50));
  BOOST_TEST(queue.TimelyWaiters(now, test_service) == 1U);
  BOOST_TEST(Pop() == 2U);
  BOOST_TEST(Pop() == 1U);
}

// The burst of one organisation must not hold up the others' requests.
BOOST_FIXTURE_TEST_CASE(work_beyond_a_share_goes_last, fixture) {
  queue.Push(test_service, {.request = request_number(1),
                            .priority = {.route = 0},
                            .objective_deadline = now + milliseconds(50),
                            .over_share = true});
  Push(2, 1, milliseconds(50));
  BOOST_TEST(Pop() == 2U);
  BOOST_TEST(Pop() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_request_that_ended_waits_no_more, fixture) {
  Push(1, 1, milliseconds(50));
  Push(2, 1, milliseconds(50));
  queue.Remove(request_number(1));
  BOOST_TEST(Pop() == 2U);
  BOOST_TEST(!queue.Pop(now, test_service).has_value());
}

}  // namespace trefoilmill
