/// Which connections are closed when all of them hold too much: those of
/// clients beyond the limits, and not those of ordinary callers. Without these
/// choices a crowd used up a process's memory, or all of its descriptors.
#define BOOST_TEST_MODULE connection_eviction
#include "trefoilmill/connection/connection_eviction.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <set>

namespace trefoilmill {
namespace {

using enum connection_phase;

constexpr std::size_t kMegabyte = 1 << 20;
constexpr connection_limits kLimits{.bytes = 16 * kMegabyte, .inbound = 100};

struct fixture {
  std::vector<connection_use> uses;

  std::uint64_t Add(connection_phase phase,
                    std::size_t bytes,
                    int since_ms,
                    int count = 1) {
    for (int i = 0; i < count; ++i) {
      uses.push_back(
          {.number = connection_number(uses.size()),
           .phase = phase,
           .bytes = bytes,
           .since = time_point(std::chrono::milliseconds(since_ms + i))});
    }
    return uses.size() - 1;
  }
  std::set<std::uint64_t> Closed(const connection_limits& limits = kLimits) {
    std::set<std::uint64_t> numbers;
    for (const connection_number n : ChooseConnectionsToClose(uses, limits)) {
      BOOST_TEST(numbers.insert(n.value()).second);
    }
    return numbers;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(within_the_limits_nothing_is_closed, fixture) {
  Add(kReceiving, kMegabyte, 0, 16);
  Add(kIdle, 0, 0, 84);
  BOOST_TEST(Closed().empty());
}

BOOST_FIXTURE_TEST_CASE(large_unfinished_requests_go_before_ordinary_ones,
                        fixture) {
  Add(kReceiving, 2000, 0, 50);
  Add(kInProgress, 300'000, 0, 20);
  const std::uint64_t first = Add(kReceiving, kMegabyte, 500) + 0;
  Add(kReceiving, kMegabyte, 501, 14);
  const auto closed = Closed();
  BOOST_TEST(!closed.empty());
  BOOST_TEST(*closed.begin() >= first);
  BOOST_TEST(closed.size() < 15U);
}

BOOST_FIXTURE_TEST_CASE(answers_that_nobody_takes_go_before_small_requests,
                        fixture) {
  Add(kReceiving, 2000, 0, 50);
  const std::uint64_t first = uses.size();
  Add(kSending, 400'000, 500, 45);
  const auto closed = Closed();
  BOOST_TEST(!closed.empty());
  BOOST_TEST(*closed.begin() >= first);
}

BOOST_FIXTURE_TEST_CASE(many_small_unfinished_requests_go_oldest_first,
                        fixture) {
  Add(kReceiving, 16'000, 1000, 1200);
  const std::uint64_t ordinary = Add(kReceiving, 500, 9000);
  const auto closed = Closed({.bytes = kLimits.bytes});
  BOOST_TEST(!closed.empty());
  BOOST_TEST(closed.contains(0));
  BOOST_TEST(!closed.contains(ordinary));
}

BOOST_FIXTURE_TEST_CASE(requests_in_progress_are_never_closed, fixture) {
  Add(kInProgress, kMegabyte, 0, 150);
  BOOST_TEST(Closed().empty());
}

BOOST_FIXTURE_TEST_CASE(connections_of_this_process_s_own_keep_their_exchanges,
                        fixture) {
  const std::uint64_t store = Add(kReceiving, 15 * kMegabyte, 0);
  uses[store].is_inbound = false;
  uses[store].may_be_closed = false;
  const std::uint64_t endpoint = Add(kReceiving, 4 * kMegabyte, 0);
  uses[endpoint].is_inbound = false;
  const std::uint64_t waiting = Add(kReceiving, 400, 0);
  uses[waiting].is_inbound = false;
  BOOST_TEST((Closed() == std::set{endpoint}));
}

BOOST_FIXTURE_TEST_CASE(too_many_connections_oldest_without_a_request_first,
                        fixture) {
  Add(kIdle, 0, 0, 30);
  const std::uint64_t silent = uses.size();
  Add(kUnused, 0, 1000, 60);
  Add(kInProgress, 0, 0, 10);
  const std::uint64_t newest = Add(kUnused, 0, 5000);
  const auto closed = Closed();
  BOOST_TEST(closed.size() == 101U - 88U);
  BOOST_TEST(*closed.begin() == silent);
  BOOST_TEST(!closed.contains(newest));
}

BOOST_FIXTURE_TEST_CASE(idle_callers_go_when_no_silent_ones_are_left, fixture) {
  Add(kInProgress, 0, 0, 90);
  const std::uint64_t oldest = uses.size();
  Add(kIdle, 0, 100, 5);
  Add(kSending, 100, 0, 10);
  const auto closed = Closed();
  BOOST_TEST(closed.contains(oldest));
  BOOST_TEST(closed.size() == 15U);
}

// Whatever the connections are, the rest is within seven eighths of the limits
// or cannot be closed.
BOOST_AUTO_TEST_CASE(the_rest_is_within_the_limits) {
  std::mt19937_64 random(7);
  for (int round = 0; round < 300; ++round) {
    fixture f;
    for (int i = 0; i < 250; ++i) {
      f.Add(static_cast<connection_phase>(random() % 5),
            random() % (random() % 2 == 0 ? 4000 : 400'000),
            static_cast<int>(random() % 9000));
      f.uses.back().is_inbound = random() % 4 != 0;
    }
    const auto closed = f.Closed();
    std::size_t bytes = 0;
    std::size_t inbound = 0;
    bool may_close_more_bytes = false;
    bool may_close_more = false;
    for (const connection_use& use : f.uses) {
      if (closed.contains(use.number.value())) {
        BOOST_TEST((use.phase != kInProgress));
        continue;
      }
      bytes += use.bytes;
      inbound += use.is_inbound ? 1 : 0;
      may_close_more_bytes |= use.is_inbound && use.phase != kInProgress;
      may_close_more |= use.is_inbound && use.phase != kInProgress;
    }
    BOOST_TEST((bytes <= kLimits.bytes || !may_close_more_bytes));
    BOOST_TEST((inbound <= kLimits.inbound || !may_close_more));
  }
}

BOOST_AUTO_TEST_CASE(
    a_large_request_waits_for_room_and_an_ordinary_one_does_not) {
  BOOST_TEST(MayStartRequest(300'000, 0, 0, kLimits));
  BOOST_TEST(MayStartRequest(300'000, 20, 6 * kMegabyte, kLimits));
  BOOST_TEST(!MayStartRequest(400'000, 27, 8 * kMegabyte, kLimits));
  BOOST_TEST(MayStartRequest(2'000, 27, 8 * kMegabyte, kLimits));
  BOOST_TEST(!MayStartRequest(2'000, 40, 12 * kMegabyte, kLimits));
  BOOST_TEST(MayStartRequest(SIZE_MAX / 4, 0, 0, {}));
}

BOOST_AUTO_TEST_CASE(limits_follow_from_memory_and_descriptors) {
  const connection_limits limits = LimitsFor(112 * kMegabyte, 2870);
  BOOST_TEST(limits.bytes == 28 * kMegabyte);
  BOOST_TEST(limits.inbound == 1335U);
  // Few descriptors: half of them are for sockets.
  BOOST_TEST(LimitsFor(kMegabyte, 300).inbound == 75U);
}

}  // namespace trefoilmill
