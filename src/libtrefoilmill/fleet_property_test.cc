/// Property tests of membership, ownership and document sync combined, under
/// network partitions, message loss, an unavailable object store, and hosts
/// that pause, crash, leave and restart. Set RC_PARAMS="seed=N" to reproduce a
/// run.
#define BOOST_TEST_MODULE fleet_property
#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include "fleet_fixture_test.h"

namespace trefoilmill {
namespace {

/// All faults end by this time after the start of the simulation.
constexpr duration kFaultsUntil = seconds(60);

/// Generates up to 6 faults. Each is drawn from its full range regardless of
/// RapidCheck's size parameter.
rc::Gen<std::vector<fault>> Faults() {
  const auto any_fault = rc::gen::map(
      rc::gen::tuple(rc::gen::inRange(0, 8), rc::gen::inRange(15000, 45000),
                     rc::gen::inRange(50, 15000), rc::gen::inRange(0U, 512U),
                     rc::gen::inRange(0U, 512U)),
      [](const auto& parts) {
        const auto [kind, begin, length, a, b] = parts;
        return fault{static_cast<fault::kind>(kind), milliseconds(begin),
                     milliseconds(length), a, b};
      });
  const auto full_range_fault = rc::gen::resize(rc::kNominalSize, any_fault);
  return rc::gen::mapcat(rc::gen::inRange(0, 7), [full_range_fault](int count) {
    return rc::gen::container<std::vector<fault>>(
        static_cast<std::size_t>(count), full_range_fault);
  });
}

}  // namespace

BOOST_AUTO_TEST_CASE(
    faults_never_cause_two_certain_owners_and_the_cluster_recovers) {
  BOOST_TEST(rc::check("owners, views and documents", [] {
    const auto size = *rc::gen::inRange<std::size_t>(3, 10);
    const auto seed = *rc::gen::arbitrary<unsigned>();
    simulated_cluster cluster(size, seed, *Faults());
    cluster.RunFor(seconds(20));
    cluster.WriteDocument();
    cluster.RunFor(kFaultsUntil - seconds(20));
    // All faults have ended; the cluster must recover fully within 30 seconds.
    cluster.RunFor(seconds(30));
    for (simulated_host& h : cluster.hosts()) {
      RC_ASSERT(h.members->LiveHosts().size() == size);
      RC_ASSERT(h.in_force == revision(cluster.stored_revision()));
      RC_ASSERT(h.members->CountHostsInForce({synced_document, h.in_force}) ==
                size);
    }
    for (const endpoint_id& endpoint : cluster.Endpoints()) {
      RC_ASSERT(cluster.CountCertainOwners(endpoint) == 1U);
    }
  }));
}

BOOST_AUTO_TEST_CASE(a_new_revision_reaches_every_host_within_five_seconds) {
  BOOST_TEST(rc::check("documents spread", [] {
    const auto size = *rc::gen::inRange<std::size_t>(3, 40);
    simulated_cluster cluster(size, *rc::gen::arbitrary<unsigned>(), {});
    cluster.RunFor(seconds(10));
    cluster.WriteDocument();
    cluster.RunFor(seconds(5));
    for (simulated_host& h : cluster.hosts()) {
      RC_ASSERT(h.in_force == revision(cluster.stored_revision()));
    }
  }));
}

}  // namespace trefoilmill
