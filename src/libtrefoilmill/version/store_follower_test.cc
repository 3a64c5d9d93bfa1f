#define BOOST_TEST_MODULE store_follower
#include "trefoilmill/version/store_follower.h"

#include <boost/test/unit_test.hpp>

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;

stored_object Object(const std::string& name, std::uint64_t at) {
  return {.name = name, .at = revision(at), .content = "{}"};
}

template <class type>
const type* Find(const store_follower::actions& actions) {
  for (const auto& action : actions) {
    if (const auto* found = std::get_if<type>(&action)) {
      return found;
    }
  }
  return nullptr;
}

struct fixture {
  time_point now{std::chrono::seconds(1)};
  store_follower follower{{}, std::mt19937_64(1)};

  /// Runs the follower through its pause.
  store_follower::actions Resume(const store_follower::actions& actions) {
    const auto* wake = Find<store_follower::wake>(actions);
    BOOST_TEST_REQUIRE(wake != nullptr);
    now = wake->at;
    return follower.Tick(now);
  }
  store_follower::actions List(std::vector<stored_object> items,
                               std::uint64_t as_of) {
    return follower.OnPage(now, {.items = std::move(items),
                                 .has_more = false,
                                 .as_of = revision(as_of)});
  }
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(it_lists_all_pages_then_watches, fixture) {
  follower.Start();
  const auto more = follower.OnPage(
      now, {.items = {Object("a", 3)}, .has_more = true, .as_of = revision(9)});
  const auto* page = Find<store_follower::list_page>(more);
  BOOST_TEST_REQUIRE(page != nullptr);
  BOOST_TEST(page->after == "a");
  const auto listed = List({Object("b", 4)}, 12);
  BOOST_TEST(Find<store_follower::replaced>(listed) != nullptr);
  BOOST_TEST(follower.objects().size() == 2U);
  const auto resumed = Resume(listed);
  const auto* watch = Find<store_follower::watch>(resumed);
  BOOST_TEST_REQUIRE(watch != nullptr);
  // What changed while the pages were read is watched for as well.
  BOOST_TEST(watch->since.value() == 9U);
}

BOOST_FIXTURE_TEST_CASE(a_timer_that_fires_early_is_set_again, fixture) {
  follower.Start();
  const auto* wake = Find<store_follower::wake>(List({}, 5));
  BOOST_TEST_REQUIRE(wake != nullptr);
  const auto early = follower.Tick(now);
  BOOST_TEST(Find<store_follower::wake>(early) != nullptr);
  BOOST_TEST(Find<store_follower::watch>(Resume(early)) != nullptr);
}

BOOST_FIXTURE_TEST_CASE(changes_apply_in_the_order_of_revisions, fixture) {
  follower.Start();
  Resume(List({Object("a", 3)}, 5));
  follower.OnWatch(now, object_changes{.events = {{.object = Object("a", 7)},
                                                  {.object = Object("b", 8)}},
                                       .as_of = revision(8)});
  BOOST_TEST(follower.objects().at("a").at.value() == 7U);
  const auto stale = follower.OnWatch(
      now, object_changes{.events = {{.object = Object("a", 6)}},
                          .as_of = revision(8)});
  BOOST_TEST(Find<store_follower::changed>(stale) == nullptr);
  const auto deleted = follower.OnWatch(
      now,
      object_changes{.events = {{.object = Object("b", 9), .deleted = true}},
                     .as_of = revision(9)});
  BOOST_TEST(Find<store_follower::changed>(deleted) != nullptr);
  BOOST_TEST(!follower.objects().contains("b"));
}

BOOST_FIXTURE_TEST_CASE(lost_history_is_listed_anew, fixture) {
  follower.Start();
  Resume(List({Object("a", 3)}, 5));
  const auto gone = follower.OnWatch(now, history_gone{});
  const auto* page = Find<store_follower::list_page>(gone);
  BOOST_TEST_REQUIRE(page != nullptr);
  // An older state of the store would lie before its history again.
  BOOST_TEST(!page->may_be_stale);
  List({Object("c", 9)}, 10);
  BOOST_TEST(!follower.objects().contains("a"));
  BOOST_TEST(follower.objects().contains("c"));
}

BOOST_FIXTURE_TEST_CASE(pauses_after_failures_grow_to_a_bound, fixture) {
  follower.Start();
  duration longest{};
  for (int failure = 0; failure < 30; ++failure) {
    const time_point failed_at = now;
    const auto resumed = Resume(follower.OnFailed(now));
    BOOST_TEST(Find<store_follower::list_page>(resumed) != nullptr);
    longest = std::max(longest, now - failed_at);
  }
  BOOST_TEST(longest <= store_follower::config().longest_backoff);
  BOOST_TEST(longest >= store_follower::config().first_backoff);
  BOOST_TEST(!follower.is_fresh(now));
}

// Pattern: many hosts start at once, at a price per call.
BOOST_FIXTURE_TEST_CASE(the_first_list_may_be_stale_and_is_watched_on,
                        fixture) {
  const auto first = follower.Start();
  BOOST_TEST_REQUIRE(Find<store_follower::list_page>(first) != nullptr);
  BOOST_TEST(Find<store_follower::list_page>(first)->may_be_stale);
  const auto watched = Resume(List({Object("a", 3)}, 5));
  const auto* probe = Find<store_follower::watch>(watched);
  BOOST_TEST_REQUIRE(probe != nullptr);
  // Comes back at once, with what the list did not show yet.
  BOOST_TEST((probe->wait == duration::zero()));
  const auto news = follower.OnWatch(
      now, object_changes{.events = {{.object = Object("a", 8)}},
                          .as_of = revision(9)});
  BOOST_TEST(follower.objects().at("a").at.value() == 8U);
  const auto next = Resume(news);
  BOOST_TEST_REQUIRE(Find<store_follower::watch>(next) != nullptr);
  BOOST_TEST((Find<store_follower::watch>(next)->wait ==
              store_follower::config().watch_wait));
}

// Pattern: the store was away and is back.
BOOST_FIXTURE_TEST_CASE(the_first_watch_after_a_failure_comes_back_at_once,
                        fixture) {
  follower.Start();
  Resume(List({}, 5));
  follower.OnWatch(now, object_changes{.events = {}, .as_of = revision(5)});
  const auto resumed = Resume(follower.OnFailed(now));
  const auto* probe = Find<store_follower::watch>(resumed);
  BOOST_TEST_REQUIRE(probe != nullptr);
  BOOST_TEST((probe->wait == duration::zero()));
}

// Pattern: a connection to the store goes silent without a reset.
BOOST_FIXTURE_TEST_CASE(a_store_that_says_nothing_is_not_fresh, fixture) {
  follower.Start();
  Resume(List({}, 5));
  BOOST_TEST(follower.is_fresh(now));
  now += store_follower::config().watch_wait + milliseconds(1000);
  BOOST_TEST(!follower.is_fresh(now));
  follower.OnWatch(now, object_changes{.events = {}, .as_of = revision(5)});
  BOOST_TEST(follower.is_fresh(now));
}

// Pattern: the store turns some hosts away and serves the others.
BOOST_FIXTURE_TEST_CASE(a_newer_copy_of_a_peer_is_taken_and_kept, fixture) {
  follower.Start();
  Resume(follower.OnFailed(now));
  store_follower::copy copy{.as_of = revision(20),
                            .objects = {Object("a", 18)}};
  BOOST_TEST(Find<store_follower::replaced>(follower.OnCopy(copy)) != nullptr);
  BOOST_TEST(follower.has_content());
  copy.as_of = revision(19);
  copy.objects.clear();
  BOOST_TEST(follower.OnCopy(copy).empty());
  // A list that was read before the copy was made must not undo it.
  List({}, 15);
  BOOST_TEST(follower.objects().contains("a"));
  BOOST_TEST(follower.as_of().value() == 20U);
}

// Pattern: few hosts of a zone watch; the others are fed.
BOOST_FIXTURE_TEST_CASE(a_host_that_is_fed_makes_no_calls, fixture) {
  follower.Start();
  const auto listed = List({Object("a", 3)}, 5);
  follower.SetWatching(false);
  BOOST_TEST(Resume(listed).empty());
  const auto fed = follower.OnFedChanges(
      revision(5),
      {.events = {{.object = Object("b", 8)}}, .as_of = revision(9)});
  BOOST_TEST(Find<store_follower::changed>(fed) != nullptr);
  BOOST_TEST(follower.changed_at().value() == 9U);
  // Told twice, by two watchers.
  BOOST_TEST(
      follower
          .OnFedChanges(revision(5), {.events = {{.object = Object("b", 8)}},
                                      .as_of = revision(9)})
          .empty());
  const auto resumed = follower.SetWatching(true);
  const auto* watch = Find<store_follower::watch>(resumed);
  BOOST_TEST_REQUIRE(watch != nullptr);
  BOOST_TEST(watch->since.value() == 9U);
}

BOOST_FIXTURE_TEST_CASE(changes_that_leave_a_gap_are_not_taken, fixture) {
  follower.Start();
  List({Object("a", 3)}, 5);
  BOOST_TEST(
      follower
          .OnFedChanges(revision(7), {.events = {{.object = Object("b", 8)}},
                                      .as_of = revision(8)})
          .empty());
  BOOST_TEST(!follower.objects().contains("b"));
}

BOOST_FIXTURE_TEST_CASE(a_list_without_news_is_no_change, fixture) {
  follower.Start();
  follower.SetWatching(false);
  Resume(List({Object("a", 3)}, 5));
  follower.Relist();
  const auto again = List({Object("a", 3)}, 30);
  BOOST_TEST(Find<store_follower::replaced>(again) == nullptr);
  BOOST_TEST(follower.changed_at().value() == 5U);
  BOOST_TEST(follower.as_of().value() == 30U);
}

}  // namespace trefoilmill
