#define BOOST_TEST_MODULE cut_off_hosts
#include "trefoilmill/process/cut_off_hosts.h"

#include <boost/test/unit_test.hpp>

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart(seconds(100));
const host_id told("told");
const host_id other("other");

}  // namespace

BOOST_AUTO_TEST_CASE(a_host_is_believed_as_long_as_it_says_so) {
  cut_off_hosts hosts;
  BOOST_TEST(hosts.OnOwnWord(kStart, told, true));
  for (int step = 1; step <= 40; ++step) {
    const time_point now = kStart + step * milliseconds(250);
    BOOST_TEST(!hosts.OnOwnWord(now, told, true));
  }
  BOOST_TEST(hosts.Contains(kStart + seconds(11), told));
  BOOST_TEST(!hosts.Contains(kStart + seconds(12), told));
  BOOST_TEST(!hosts.Contains(kStart, other));
}

BOOST_AUTO_TEST_CASE(its_own_word_ends_what_was_heard) {
  cut_off_hosts hosts;
  BOOST_TEST(hosts.OnHearsay(kStart, told));
  BOOST_TEST(hosts.OnOwnWord(kStart + seconds(1), told, false));
  BOOST_TEST(!hosts.Contains(kStart + seconds(1), told));
}

// Two hosts that tell each other of a third one, which reaches the endpoints
// again without their hearing of it.
BOOST_AUTO_TEST_CASE(hearsay_ends_however_often_hosts_talk) {
  cut_off_hosts a;
  cut_off_hosts b;
  a.OnOwnWord(kStart, told, true);
  for (int step = 0; step < 100; ++step) {
    const time_point now = kStart + step * milliseconds(100);
    for (const host_id& host : a.ByOwnWord(now)) {
      b.OnHearsay(now, host);
    }
    for (const host_id& host : b.ByOwnWord(now)) {
      a.OnHearsay(now, host);
    }
  }
  BOOST_TEST(!a.Contains(kStart + seconds(5), told));
  BOOST_TEST(!b.Contains(kStart + seconds(5), told));
}

}  // namespace trefoilmill
