/// Guards against a host's own record that is missing for seconds after an
/// outage of the store: hosts that started in it did not find each other.
#define BOOST_TEST_MODULE record_writer
#include "trefoilmill/version/record_writer.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace trefoilmill {
namespace {

using call = record_writer::call;
using outcome = record_writer::outcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// The shortest drain time of the deployments.
constexpr duration kBound = seconds(3);
constexpr duration kCallLimit = seconds(2);
constexpr duration kSlowReply = milliseconds(250);

enum class outage_form {
  kRefused,    ///< Calls fail at once.
  kSilent,     ///< Calls are accepted and never answered.
  kReplyLost,  ///< Calls take effect, and are never answered.
  kCutShort,   ///< Calls take effect, and their replies are cut off.
};

/// A store that is away for a while, and slow once it is back.
class fake_store {
 public:
  fake_store(outage_form form, time_point back, bool has_record)
      : form_(form), back_(back), has_record_(has_record) {}

  /// Serves a call that begins at `now`. Returns how, and after which time, it
  /// ends.
  std::pair<outcome, duration> Serve(time_point now, call made) {
    if (now >= back_) {
      return {Apply(made), kSlowReply};
    }
    switch (form_) {
      case outage_form::kRefused:
        return {outcome::kFailed, milliseconds(1)};
      case outage_form::kSilent:
        return {outcome::kNoReply, kCallLimit};
      case outage_form::kReplyLost:
        Apply(made);
        return {outcome::kNoReply, kCallLimit};
      case outage_form::kCutShort:
        Apply(made);
        return {outcome::kFailed, milliseconds(1)};
    }
    return {outcome::kFailed, duration::zero()};
  }

 private:
  outcome Apply(call made) {
    if (made == call::kCreate && has_record_) {
      return outcome::kExists;
    }
    if (made == call::kReplace && !has_record_) {
      return outcome::kMissing;
    }
    has_record_ = true;
    return outcome::kStored;
  }

  outage_form form_;
  time_point back_;
  bool has_record_;
};

}  // namespace

BOOST_DATA_TEST_CASE(the_record_is_there_soon_after_the_outage,
                     boost::unit_test::data::xrange(400),
                     seed) {
  std::mt19937_64 random(static_cast<std::uint64_t>(seed));
  const time_point back(
      milliseconds(std::uniform_int_distribution(0, 30'000)(random)));
  fake_store store(static_cast<outage_form>(random() % 4), back,
                   random() % 2 == 0);
  record_writer writer{std::mt19937_64(random())};
  time_point now{};
  auto next = std::optional(writer.Begin());
  while (next.has_value()) {
    now += next->delay;
    const auto [ended, after] = store.Serve(now, next->next);
    now += after;
    next = writer.OnEnded(ended);
    BOOST_REQUIRE(now < back + seconds(60));
  }
  BOOST_TEST((now - back <= kBound));
}

BOOST_AUTO_TEST_CASE(a_calm_start_takes_one_call) {
  record_writer writer{std::mt19937_64(1)};
  BOOST_TEST((writer.Begin().next == call::kCreate));
  BOOST_TEST(!writer.OnEnded(outcome::kStored).has_value());
  BOOST_TEST(!writer.is_late());
}

BOOST_AUTO_TEST_CASE(a_record_of_an_earlier_process_is_replaced_at_once) {
  record_writer writer{std::mt19937_64(1)};
  writer.Begin();
  const auto next = writer.OnEnded(outcome::kExists);
  BOOST_TEST_REQUIRE(next.has_value());
  BOOST_TEST((next->next == call::kReplace));
  BOOST_TEST((next->delay == duration::zero()));
  BOOST_TEST(!writer.OnEnded(outcome::kStored).has_value());
  BOOST_TEST(!writer.is_late());
}

// A record that comes and goes, as others write and delete it, must not cost
// calls without a pause.
BOOST_AUTO_TEST_CASE(calls_that_contradict_each_other_are_kept_apart) {
  record_writer writer{std::mt19937_64(1)};
  writer.Begin();
  duration waited{};
  for (int calls = 0; calls < 20; ++calls) {
    const auto next =
        writer.OnEnded(calls % 2 == 0 ? outcome::kExists : outcome::kMissing);
    BOOST_TEST_REQUIRE(next.has_value());
    waited += next->delay;
  }
  BOOST_TEST((waited > seconds(3)));
}

}  // namespace trefoilmill
