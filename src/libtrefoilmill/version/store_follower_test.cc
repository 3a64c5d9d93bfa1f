/// Tests how the local copy of stored objects follows the store and peers.
#define BOOST_TEST_MODULE store_follower
#include "trefoilmill/version/store_follower.h"

#include <boost/test/unit_test.hpp>

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;

stored_object Object(const std::string& name, std::uint64_t at) {
  return {.name = name, .at = revision(at), .content = "{}"};
}

/// Returns the first action of the given type, or nullptr.
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

  /// Advances the time to the end of the delay.
  store_follower::actions Resume(const store_follower::actions& actions) {
    const auto* wake = Find<store_follower::wake>(actions);
    BOOST_TEST_REQUIRE(wake != nullptr);
    now = wake->at;
    return follower.Tick(now);
  }
  /// Delivers a list of a single page.
  store_follower::actions List(std::vector<stored_object> items,
                               std::uint64_t as_of) {
    return follower.OnPage(now, {.items = std::move(items),
                                 .has_more = false,
                                 .as_of = revision(as_of)});
  }
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(all_pages_are_listed_before_the_first_watch, fixture) {
  follower.Start();
  const auto more = follower.OnPage(
      now, {.items = {Object("a", 3)}, .has_more = true, .as_of = revision(9)});
  const auto* page = Find<store_follower::list_page>(more);
  BOOST_TEST_REQUIRE(page != nullptr);
  BOOST_TEST(page->after == "a");
  const auto listed = List({Object("b", 4)}, 12);
  BOOST_TEST(Find<store_follower::content_replaced>(listed) != nullptr);
  BOOST_TEST(follower.objects().size() == 2U);
  const auto resumed = Resume(listed);
  const auto* watch = Find<store_follower::watch>(resumed);
  BOOST_TEST_REQUIRE(watch != nullptr);
  // The watch also covers changes made while the pages were read.
  BOOST_TEST(watch->since.value() == 9U);
}

BOOST_FIXTURE_TEST_CASE(a_timer_that_fires_early_is_rescheduled, fixture) {
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
  BOOST_TEST(Find<store_follower::object_changed>(stale) == nullptr);
  const auto deleted = follower.OnWatch(
      now,
      object_changes{.events = {{.object = Object("b", 9), .deleted = true}},
                     .as_of = revision(9)});
  BOOST_TEST(Find<store_follower::object_changed>(deleted) != nullptr);
  BOOST_TEST(!follower.objects().contains("b"));
}

// A peer feeds a deletion while the answer to a watch is on its way that shows
// the object as it was before: the object came back for good.
BOOST_FIXTURE_TEST_CASE(an_older_watch_answer_brings_nothing_deleted_back,
                        fixture) {
  follower.Start();
  Resume(List({Object("a", 3)}, 5));
  follower.OnPeerChanges(
      revision(5), {.events = {{.object = Object("b", 8)},
                               {.object = Object("a", 3), .deleted = true},
                               {.object = Object("b", 8), .deleted = true}},
                    .as_of = revision(12)});
  BOOST_TEST_REQUIRE(follower.objects().empty());
  const auto actions = follower.OnWatch(
      now, object_changes{.events = {{.object = Object("a", 7)},
                                     {.object = Object("b", 8)}},
                          .as_of = revision(8)});
  BOOST_TEST(follower.objects().empty());
  BOOST_TEST(Find<store_follower::object_changed>(actions) == nullptr);
  BOOST_TEST(follower.as_of().value() == 12U);
  BOOST_TEST(follower.changed_at().value() == 12U);
}

// Numbers of revisions start lower after a restoration.
BOOST_FIXTURE_TEST_CASE(a_later_era_goes_before_a_higher_number, fixture) {
  follower.Start();
  Resume(List({Object("a", 30)}, 40));
  const auto in_era = [](std::uint64_t at) {
    return revision(store_era(2), at);
  };
  follower.OnPeerCopy({.as_of = in_era(5), .objects = {}});
  stored_object written = Object("b", 0);
  written.at = in_era(7);
  follower.OnPeerChanges(in_era(5),
                         {.events = {{.object = written}}, .as_of = in_era(7)});
  BOOST_TEST(follower.objects().contains("b"));
  // Written in the earlier era, by its number after what is known.
  follower.OnPeerChanges(
      in_era(7), {.events = {{.object = Object("c", 90)}}, .as_of = in_era(8)});
  BOOST_TEST(!follower.objects().contains("c"));
}

BOOST_FIXTURE_TEST_CASE(a_list_follows_the_loss_of_history, fixture) {
  follower.Start();
  Resume(List({Object("a", 3)}, 5));
  const auto relisted = follower.OnWatch(now, history_compacted{});
  const auto* page = Find<store_follower::list_page>(relisted);
  BOOST_TEST_REQUIRE(page != nullptr);
  // A stale list could again precede the store's history.
  BOOST_TEST(!page->may_be_stale);
  List({Object("c", 9)}, 10);
  BOOST_TEST(!follower.objects().contains("a"));
  BOOST_TEST(follower.objects().contains("c"));
}

BOOST_FIXTURE_TEST_CASE(the_backoff_grows_up_to_a_limit, fixture) {
  follower.Start();
  duration longest{};
  for (int failure = 0; failure < 30; ++failure) {
    const time_point failed_at = now;
    const auto resumed = Resume(follower.OnFailed(now));
    BOOST_TEST(Find<store_follower::list_page>(resumed) != nullptr);
    longest = std::max(longest, now - failed_at);
  }
  BOOST_TEST(longest <= store_follower::config().max_backoff);
  BOOST_TEST(longest >= store_follower::config().initial_backoff);
  BOOST_TEST(!follower.is_fresh(now));
}

// Many hosts start simultaneously, and each call to the store has a cost.
BOOST_FIXTURE_TEST_CASE(a_stale_first_list_is_completed_by_a_watch, fixture) {
  const auto first = follower.Start();
  BOOST_TEST_REQUIRE(Find<store_follower::list_page>(first) != nullptr);
  BOOST_TEST(Find<store_follower::list_page>(first)->may_be_stale);
  const auto watched = Resume(List({Object("a", 3)}, 5));
  const auto* probe = Find<store_follower::watch>(watched);
  BOOST_TEST_REQUIRE(probe != nullptr);
  // Returns at once with the changes that the list did not include.
  BOOST_TEST((probe->wait == duration::zero()));
  const auto changed = follower.OnWatch(
      now, object_changes{.events = {{.object = Object("a", 8)}},
                          .as_of = revision(9)});
  BOOST_TEST(follower.objects().at("a").at.value() == 8U);
  const auto next = Resume(changed);
  BOOST_TEST_REQUIRE(Find<store_follower::watch>(next) != nullptr);
  BOOST_TEST((Find<store_follower::watch>(next)->wait ==
              store_follower::config().max_watch_wait));
}

// The store is reachable again after an outage.
BOOST_FIXTURE_TEST_CASE(the_first_watch_after_a_failure_returns_at_once,
                        fixture) {
  follower.Start();
  Resume(List({}, 5));
  follower.OnWatch(now, object_changes{.events = {}, .as_of = revision(5)});
  const auto resumed = Resume(follower.OnFailed(now));
  const auto* probe = Find<store_follower::watch>(resumed);
  BOOST_TEST_REQUIRE(probe != nullptr);
  BOOST_TEST((probe->wait == duration::zero()));
}

// A connection to the store becomes silent without a reset.
BOOST_FIXTURE_TEST_CASE(a_silent_store_is_not_fresh, fixture) {
  follower.Start();
  Resume(List({}, 5));
  BOOST_TEST(follower.is_fresh(now));
  now += store_follower::config().max_watch_wait + milliseconds(1000);
  BOOST_TEST(!follower.is_fresh(now));
  follower.OnWatch(now, object_changes{.events = {}, .as_of = revision(5)});
  BOOST_TEST(follower.is_fresh(now));
}

// The store refuses some hosts and serves the others.
BOOST_FIXTURE_TEST_CASE(a_newer_copy_of_a_peer_replaces_the_content, fixture) {
  follower.Start();
  Resume(follower.OnFailed(now));
  store_follower::copy copy{.as_of = revision(20),
                            .objects = {Object("a", 18)}};
  BOOST_TEST(Find<store_follower::content_replaced>(
                 follower.OnPeerCopy(copy)) != nullptr);
  BOOST_TEST(follower.has_content());
  copy.as_of = revision(19);
  copy.objects.clear();
  BOOST_TEST(follower.OnPeerCopy(copy).empty());
  // A list that is older than the copy must not overwrite it.
  List({}, 15);
  BOOST_TEST(follower.objects().contains("a"));
  BOOST_TEST(follower.as_of().value() == 20U);
}

// Few hosts of an availability zone watch the store and forward changes to the
// others.
BOOST_FIXTURE_TEST_CASE(a_host_with_watching_disabled_makes_no_calls, fixture) {
  follower.Start();
  const auto listed = List({Object("a", 3)}, 5);
  follower.SetWatching(false);
  BOOST_TEST(Resume(listed).empty());
  const auto forwarded = follower.OnPeerChanges(
      revision(5),
      {.events = {{.object = Object("b", 8)}}, .as_of = revision(9)});
  BOOST_TEST(Find<store_follower::object_changed>(forwarded) != nullptr);
  BOOST_TEST(follower.changed_at().value() == 9U);
  // A second watching host forwards the same changes.
  BOOST_TEST(
      follower
          .OnPeerChanges(revision(5), {.events = {{.object = Object("b", 8)}},
                                       .as_of = revision(9)})
          .empty());
  const auto resumed = follower.SetWatching(true);
  const auto* watch = Find<store_follower::watch>(resumed);
  BOOST_TEST_REQUIRE(watch != nullptr);
  BOOST_TEST(watch->since.value() == 9U);
}

BOOST_FIXTURE_TEST_CASE(changes_that_leave_a_gap_are_ignored, fixture) {
  follower.Start();
  List({Object("a", 3)}, 5);
  BOOST_TEST(
      follower
          .OnPeerChanges(revision(7), {.events = {{.object = Object("b", 8)}},
                                       .as_of = revision(8)})
          .empty());
  BOOST_TEST(!follower.objects().contains("b"));
}

BOOST_FIXTURE_TEST_CASE(an_unchanged_list_keeps_the_revision_of_the_last_change,
                        fixture) {
  follower.Start();
  follower.SetWatching(false);
  Resume(List({Object("a", 3)}, 5));
  follower.Relist();
  const auto again = List({Object("a", 3)}, 30);
  BOOST_TEST(Find<store_follower::content_replaced>(again) == nullptr);
  BOOST_TEST(follower.changed_at().value() == 5U);
  BOOST_TEST(follower.as_of().value() == 30U);
}

// The store goes back to an older copy: revisions are lost and used again.
BOOST_FIXTURE_TEST_CASE(a_restored_store_is_listed_again, fixture) {
  follower.Start();
  Resume(List({Object("a", 3)}, 50));
  const auto restored = follower.OnStoreRestored(store_era(1));
  const auto* page = Find<store_follower::list_page>(restored);
  BOOST_TEST_REQUIRE(page != nullptr);
  BOOST_TEST(page->after.empty());
  BOOST_TEST(!page->may_be_stale);
  // The content stays until the list is complete.
  BOOST_TEST(follower.objects().contains("a"));
  const revision later(store_era(1), 7);
  follower.OnPage(now, {.items = {{.name = "b", .at = later, .content = "{}"}},
                        .has_more = false,
                        .as_of = later});
  BOOST_TEST(!follower.objects().contains("a"));
  BOOST_TEST(follower.objects().contains("b"));
  BOOST_TEST((follower.as_of() == later));
}

BOOST_FIXTURE_TEST_CASE(a_restoration_voids_the_pages_read_so_far, fixture) {
  follower.Start();
  follower.OnPage(
      now, {.items = {Object("a", 3)}, .has_more = true, .as_of = revision(9)});
  const auto restored = follower.OnStoreRestored(store_era(1));
  BOOST_TEST_REQUIRE(Find<store_follower::list_page>(restored) != nullptr);
  BOOST_TEST(Find<store_follower::list_page>(restored)->after.empty());
  const revision later(store_era(1), 4);
  follower.OnPage(now, {.items = {{.name = "b", .at = later, .content = "{}"}},
                        .has_more = false,
                        .as_of = later});
  BOOST_TEST(follower.objects().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_host_that_does_not_watch_waits_for_a_peers_copy,
                        fixture) {
  follower.Start();
  follower.SetWatching(false);
  Resume(List({Object("a", 3)}, 50));
  BOOST_TEST(follower.OnStoreRestored(store_era(1)).empty());
  BOOST_TEST(follower.objects().contains("a"));
  const revision later(store_era(1), 7);
  const auto copied =
      follower.OnPeerCopy({.as_of = later, .objects = {Object("b", 2)}});
  BOOST_TEST(Find<store_follower::content_replaced>(copied) != nullptr);
  // It would go on from the copy, without a list.
  const auto watching = follower.SetWatching(true);
  const auto* watch = Find<store_follower::watch>(watching);
  BOOST_TEST_REQUIRE(watch != nullptr);
  BOOST_TEST((watch->since == later));
}

BOOST_FIXTURE_TEST_CASE(replies_of_an_earlier_era_change_nothing, fixture) {
  follower.Start();
  Resume(List({Object("a", 3)}, 50));
  const revision later(store_era(1), 7);
  follower.OnPeerCopy({.as_of = later, .objects = {}});
  const auto late = follower.OnWatch(
      now, object_changes{.events = {{.object = Object("c", 60)}},
                          .as_of = revision(60)});
  BOOST_TEST(follower.objects().empty());
  BOOST_TEST((follower.as_of() == later));
  const auto* watch = Find<store_follower::watch>(late);
  BOOST_TEST_REQUIRE(watch != nullptr);
  BOOST_TEST((watch->since == later));
  BOOST_TEST(
      follower
          .OnPeerChanges(revision(50), {.events = {{.object = Object("c", 60)}},
                                        .as_of = revision(60)})
          .empty());
  BOOST_TEST(
      follower.OnPeerCopy({.as_of = revision(99), .objects = {}}).empty());
}

namespace {

/// An object of the given parts.
stored_object PartedObject(std::uint64_t at, const std::vector<int>& numbers) {
  stored_object object{.name = "main", .at = revision(at)};
  auto parts = std::make_shared<part_set>();
  for (const int number : numbers) {
    parts->Insert(std::make_shared<const part>("list[]", revision(),
                                               std::to_string(number)));
  }
  object.parts = std::move(parts);
  return object;
}

object_patch PatchBetween(const stored_object& before,
                          const stored_object& after) {
  auto difference = part_set::Difference(*before.parts, *after.parts);
  return {.name = after.name,
          .at = after.at,
          .base_digest = before.parts->digest(),
          .digest = after.parts->digest(),
          .removed = difference.removed,
          .added = difference.added};
}

}  // namespace

BOOST_FIXTURE_TEST_CASE(a_patch_leads_to_the_next_version, fixture) {
  const stored_object before = PartedObject(5, {1, 2, 3});
  const stored_object after = PartedObject(8, {1, 3, 4});
  List({before}, 6);
  store_follower::actions actions;
  BOOST_TEST(follower.OnPeerPatch(PatchBetween(before, after), actions));
  BOOST_TEST((follower.objects().at("main") == after));
  BOOST_TEST((follower.as_of() == revision(8)));
  BOOST_TEST((follower.changed_at() == revision(8)));
  const auto* changed = Find<store_follower::object_changed>(actions);
  BOOST_TEST_REQUIRE(changed != nullptr);
  BOOST_TEST((changed->event.object == after));
}

// A host that missed a version, has a newer one, or whose store went back
// applies no patch to another content than the one that the patch starts from.
BOOST_FIXTURE_TEST_CASE(a_patch_for_another_version_changes_nothing, fixture) {
  const stored_object missed = PartedObject(7, {1, 2, 9});
  const stored_object mine = PartedObject(5, {1, 2, 3});
  const stored_object next = PartedObject(8, {1, 2, 9, 10});
  List({mine}, 6);
  store_follower::actions actions;
  BOOST_TEST(!follower.OnPeerPatch(PatchBetween(missed, next), actions));
  object_patch old = PatchBetween(mine, next);
  old.at = revision(6);
  BOOST_TEST(!follower.OnPeerPatch(old, actions));
  object_patch incomplete = PatchBetween(mine, next);
  incomplete.added.pop_back();
  BOOST_TEST(!follower.OnPeerPatch(incomplete, actions));
  object_patch other = PatchBetween(mine, next);
  other.name = "other";
  BOOST_TEST(!follower.OnPeerPatch(other, actions));
  BOOST_TEST(actions.empty());
  BOOST_TEST((follower.objects().at("main") == mine));
  // The same numbers in a later era are newer.
  object_patch restored = PatchBetween(mine, next);
  restored.at = revision(store_era(2), 3);
  BOOST_TEST(follower.OnPeerPatch(restored, actions));
}

}  // namespace trefoilmill
