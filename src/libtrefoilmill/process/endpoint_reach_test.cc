#define BOOST_TEST_MODULE endpoint_reach
#include "trefoilmill/process/endpoint_reach.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart(seconds(100));

endpoint_id Endpoint(int number) {
  return endpoint_id("e" + std::to_string(number));
}

struct fixture {
  endpoint_reach reach;
  fixture() { reach.SetKnownEndpoints(30); }
  void CutOff() {
    for (int number = 0; number < 5; ++number) {
      reach.OnLost(kStart + number * milliseconds(20), Endpoint(number));
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(host, fixture)

BOOST_AUTO_TEST_CASE(is_cut_off_when_no_endpoint_responds) {
  for (int number = 0; number < 5; ++number) {
    BOOST_TEST(!reach.is_cut_off());
    reach.OnLost(kStart + number * milliseconds(20), Endpoint(number));
  }
  BOOST_TEST(reach.is_cut_off());
}

BOOST_AUTO_TEST_CASE(is_not_cut_off_while_endpoints_are_slow) {
  for (int number = 0; number < 20; ++number) {
    reach.OnLate(kStart + number * milliseconds(50), Endpoint(number));
    reach.Update(kStart + number * milliseconds(50));
  }
  BOOST_TEST(!reach.is_cut_off());
}

BOOST_AUTO_TEST_CASE(is_not_cut_off_while_connections_can_be_opened) {
  for (int number = 0; number < 10; ++number) {
    reach.OnLost(kStart + number * milliseconds(50), Endpoint(0));
    reach.OnConnected(Endpoint(number));
    reach.OnLate(kStart + number * milliseconds(50), Endpoint(number));
  }
  BOOST_TEST(!reach.is_cut_off());
}

// Connections are accepted, and nothing comes back.
BOOST_AUTO_TEST_CASE(is_cut_off_if_slowness_does_not_explain_the_silence) {
  for (int number = 0; number < 5; ++number) {
    reach.OnLate(kStart + number * milliseconds(20), Endpoint(number));
  }
  reach.Update(kStart + milliseconds(1900));
  BOOST_TEST(!reach.is_cut_off());
  reach.Update(kStart + milliseconds(2000));
  BOOST_TEST(reach.is_cut_off());
}

// Timers that are due run before the responses that have arrived are read.
BOOST_AUTO_TEST_CASE(is_not_cut_off_by_a_late_turn_of_the_loop) {
  for (int number = 0; number < 10; ++number) {
    reach.OnLost(kStart, Endpoint(number));
  }
  BOOST_TEST(!reach.is_cut_off());
  reach.OnResponse(kStart, Endpoint(0));
  reach.Update(kStart + seconds(1));
  BOOST_TEST(!reach.is_cut_off());
}

BOOST_AUTO_TEST_CASE(is_cut_off_once_the_silence_lasts) {
  for (int number = 0; number < 10; ++number) {
    reach.OnLost(kStart, Endpoint(number));
  }
  reach.Update(kStart + milliseconds(100));
  BOOST_TEST(reach.is_cut_off());
}

// A host that other hosts' callers left has few requests, and pools that try
// again and again to connect.
BOOST_AUTO_TEST_CASE(is_not_cut_off_while_open_connections_may_go_on) {
  for (int round = 0; round < 100; ++round) {
    reach.OnConnectFailed(kStart + round * milliseconds(10),
                          Endpoint(round % 30), /*has_connection=*/true);
  }
  BOOST_TEST(!reach.is_cut_off());
  BOOST_TEST(reach.is_impaired());
}

BOOST_AUTO_TEST_CASE(is_cut_off_if_it_has_and_gets_no_connection) {
  for (int number = 0; number < 5; ++number) {
    reach.OnConnectFailed(kStart + number * milliseconds(20), Endpoint(number),
                          /*has_connection=*/false);
  }
  BOOST_TEST(reach.is_cut_off());
}

// Half of the endpoints are dead, and the others respond.
BOOST_AUTO_TEST_CASE(is_not_cut_off_while_any_endpoint_responds) {
  for (int round = 0; round < 100; ++round) {
    const time_point now = kStart + round * milliseconds(100);
    reach.OnLost(now, Endpoint(round % 15));
    reach.OnLost(now + milliseconds(50), Endpoint((round + 1) % 15));
    reach.OnResponse(now + milliseconds(60), Endpoint(15 + round % 15));
  }
  BOOST_TEST(!reach.is_cut_off());
}

BOOST_AUTO_TEST_CASE(is_not_cut_off_by_a_single_endpoint) {
  for (int round = 0; round < 100; ++round) {
    reach.OnLost(kStart + round * milliseconds(10), Endpoint(1));
  }
  BOOST_TEST(!reach.is_cut_off());
  reach.SetKnownEndpoints(1);
  reach.OnLost(kStart + seconds(2), Endpoint(1));
  BOOST_TEST(reach.is_cut_off());
}

BOOST_AUTO_TEST_CASE(is_cut_off_until_several_endpoints_respond) {
  CutOff();
  reach.OnResponse(kStart, Endpoint(1));
  reach.OnResponse(kStart, Endpoint(1));
  reach.OnResponse(kStart, Endpoint(2));
  BOOST_TEST(reach.is_cut_off());
  reach.OnLost(kStart, Endpoint(2));
  reach.OnResponse(kStart, Endpoint(3));
  BOOST_TEST(reach.is_cut_off());
  reach.OnResponse(kStart, Endpoint(4));
  BOOST_TEST(!reach.is_cut_off());
}

BOOST_AUTO_TEST_CASE(is_impaired_while_new_connections_fail) {
  for (int number = 0; number < 4; ++number) {
    BOOST_TEST(!reach.is_impaired());
    reach.OnConnectFailed(kStart, Endpoint(number), /*has_connection=*/true);
    // Open connections go on.
    reach.OnResponse(kStart, Endpoint(20));
  }
  BOOST_TEST(reach.is_impaired());
  BOOST_TEST(!reach.is_cut_off());
  reach.OnConnected(Endpoint(0));
  BOOST_TEST(!reach.is_impaired());
}

// With few requests of its own it has to ask.
BOOST_AUTO_TEST_CASE(probes_when_silence_lasts) {
  BOOST_TEST(!reach.ShouldProbe(kStart));
  reach.OnLost(kStart, Endpoint(1));
  BOOST_TEST(!reach.ShouldProbe(kStart + milliseconds(100)));
  BOOST_TEST(reach.ShouldProbe(kStart + milliseconds(200)));
  reach.OnResponse(kStart + milliseconds(210), Endpoint(2));
  BOOST_TEST(!reach.ShouldProbe(kStart + seconds(1)));
  CutOff();
  BOOST_TEST(reach.ShouldProbe(kStart));
}

BOOST_AUTO_TEST_CASE(forgets_endpoints_that_were_removed) {
  for (int number = 0; number < 4; ++number) {
    reach.OnLost(kStart, Endpoint(number));
  }
  reach.Forget(Endpoint(0));
  reach.OnLost(kStart + seconds(1), Endpoint(4));
  BOOST_TEST(!reach.is_cut_off());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilmill
