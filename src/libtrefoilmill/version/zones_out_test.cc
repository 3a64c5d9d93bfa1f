/// Tests which availability zones are out of service, also after the store was
/// restored from a copy that lacks the operator's latest orders.
#define BOOST_TEST_MODULE zones_out
#include "trefoilmill/version/zones_out.h"

#include <boost/test/unit_test.hpp>

namespace trefoilmill {
namespace {

const zone_id erie("erie");
const std::set<zone_id> none;
const std::set<zone_id> only_erie = {erie};

struct fixture {
  time_point now{std::chrono::seconds(100)};
  zones_out zones;
  fixture() { zones.Replace(now, store_era(1), {erie}); }
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(a_withdrawn_order_ends_at_once, fixture) {
  BOOST_TEST((zones.InEffect(now) == only_erie));
  zones.Replace(now, store_era(1), {});
  BOOST_TEST((zones.InEffect(now) == none));
}

BOOST_FIXTURE_TEST_CASE(an_order_that_the_copy_lacks_stays_for_a_while,
                        fixture) {
  zones.Replace(now, store_era(2), {});
  BOOST_TEST((zones.InEffect(now) == only_erie));
  now += zones_out::kRetention;
  BOOST_TEST((zones.InEffect(now) == none));
}

BOOST_FIXTURE_TEST_CASE(a_second_restoration_does_not_prolong_it, fixture) {
  zones.Replace(now, store_era(2), {});
  now += zones_out::kRetention / 2;
  zones.Replace(now, store_era(3), {});
  now += zones_out::kRetention / 2;
  BOOST_TEST((zones.InEffect(now) == none));
}

BOOST_FIXTURE_TEST_CASE(an_order_written_again_can_be_withdrawn, fixture) {
  zones.Replace(now, store_era(2), {});
  zones.Replace(now, store_era(2), {erie});
  zones.Replace(now, store_era(2), {});
  BOOST_TEST((zones.InEffect(now) == none));
}

}  // namespace trefoilmill
