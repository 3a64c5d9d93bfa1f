#define BOOST_TEST_MODULE reply_batch
#include "trefoilmill/reply_batch.h"

#include <boost/test/unit_test.hpp>

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;

constexpr time_point kStart{};
constexpr time_point kFlushAt = kStart + milliseconds(20);

shard_reply Answer(std::uint64_t attempt) {
  return {
      .attempt = attempt_id(attempt), .outcome = verdict::kRan, .payload = "x"};
}

shard_reply Refusal(std::uint64_t attempt) {
  return {.attempt = attempt_id(attempt), .reason = reason_code::kShed};
}

BOOST_AUTO_TEST_CASE(answers_are_buffered_until_the_last_one) {
  reply_batch batch(3, kFlushAt);
  BOOST_TEST(batch.Add(kStart, Answer(1)).empty());
  BOOST_TEST(batch.Add(kStart, Answer(2)).empty());
  BOOST_TEST(!batch.complete());
  BOOST_TEST(batch.Add(kStart, Answer(3)).size() == 3U);
  BOOST_TEST(batch.complete());
  BOOST_TEST(!batch.next_tick_at().has_value());
}

BOOST_AUTO_TEST_CASE(answers_are_flushed_without_waiting_for_a_late_shard) {
  reply_batch batch(3, kFlushAt);
  BOOST_TEST(batch.Add(kStart, Answer(1)).empty());
  BOOST_TEST((batch.next_tick_at() == kFlushAt));
  BOOST_TEST(batch.Tick(kFlushAt - milliseconds(1)).empty());
  const auto flushed = batch.Tick(kFlushAt);
  BOOST_REQUIRE_EQUAL(flushed.size(), 1U);
  BOOST_TEST((flushed[0].held == milliseconds(20)));
  BOOST_TEST(batch.Add(kFlushAt, Answer(2)).size() == 1U);
  BOOST_TEST(!batch.complete());
}

BOOST_AUTO_TEST_CASE(a_refusal_flushes_the_buffered_answers) {
  reply_batch batch(3, kFlushAt);
  BOOST_TEST(batch.Add(kStart, Answer(1)).empty());
  BOOST_TEST(batch.Add(kStart, Refusal(2)).size() == 2U);
  BOOST_TEST(!batch.complete());
}

}  // namespace
}  // namespace trefoilmill
