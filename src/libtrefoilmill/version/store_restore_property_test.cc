/// Property test: several hosts follow a store that is restored from older
/// copies again and again, while calls, feeds and copies are late or lost. In
/// the end all hold the store's content, and at no time does the position that
/// a host has reached fall.
#define BOOST_TEST_MODULE store_restore_property
#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <optional>
#include <ranges>
#include <variant>
#include <vector>

#include "trefoilmill/version/store_follower.h"

namespace trefoilmill {
namespace {

/// The platform's store with its history.
struct model_store {
  struct content {
    std::uint64_t number = 1;
    std::map<std::string, stored_object> objects;
    std::vector<object_event> events;
  };
  content now;
  std::vector<content> backups;
  store_era era{1};

  revision position() const { return {era, now.number}; }
  void Write(const std::string& name, bool deleted) {
    ++now.number;
    // The same revision may stand for different content in another era.
    stored_object object{
        .name = name,
        .at = position(),
        .content = std::to_string(era.value() * 1000 + now.number)};
    now.events.push_back({.object = object, .deleted = deleted});
    if (deleted) {
      now.objects.erase(name);
    } else {
      now.objects.insert_or_assign(name, object);
    }
  }
  void Restore(std::size_t backup) {
    now = backups[backup];
    backups.resize(backup + 1);
    era = store_era(era.value() + 1);
  }
  /// Objects and events in the era of the reply that carries them.
  stored_object Stamp(stored_object object) const {
    object.at = revision(era, object.at.value());
    return object;
  }
  object_page List() const {
    object_page page{.items = {}, .has_more = false, .as_of = position()};
    for (const stored_object& object : std::views::values(now.objects)) {
      page.items.push_back(Stamp(object));
    }
    return page;
  }
  watch_result Watch(revision since) const {
    if (since.value() > now.number) {
      return history_compacted{};
    }
    object_changes changes{.events = {}, .as_of = position()};
    for (const object_event& event : now.events) {
      if (event.object.at.value() > since.value()) {
        changes.events.push_back(
            {.object = Stamp(event.object), .deleted = event.deleted});
      }
    }
    return changes;
  }
};

/// A host: a follower, and the replies on their way to it.
struct model_host {
  store_follower follower{{}, std::mt19937_64(1)};
  std::optional<store_era> era;
  std::uint64_t call = 0;
  std::optional<time_point> wake_at;
  struct reply {
    std::uint64_t call;
    store_era era;
    std::variant<object_page, watch_result> body;
  };
  std::deque<reply> replies;
  revision reached;
};

struct model_fleet {
  time_point now{std::chrono::seconds(1)};
  model_store store;
  std::vector<model_host> hosts = std::vector<model_host>(3);

  model_fleet() {
    store.Write("a", false);
    store.backups.push_back(store.now);
    for (model_host& host : hosts) {
      Run(host, host.follower.Start());
    }
    // The last host hears of changes from its peers only.
    Run(hosts.back(), hosts.back().follower.SetWatching(false));
  }

  void Run(model_host& host, const store_follower::actions& actions) {
    for (const auto& action : actions) {
      if (std::holds_alternative<store_follower::list_page>(action)) {
        host.replies.push_back({++host.call, store.era, store.List()});
      } else if (const auto* watch =
                     std::get_if<store_follower::watch>(&action)) {
        host.replies.push_back(
            {++host.call, store.era, store.Watch(watch->since)});
      } else if (const auto* wake =
                     std::get_if<store_follower::wake>(&action)) {
        host.wake_at = wake->at;
      }
    }
    RC_ASSERT(host.follower.as_of() >= host.reached);
    host.reached = host.follower.as_of();
  }
  void Observe(model_host& host, store_era era) {
    const auto before = host.era;
    if (before.has_value() && era <= *before) {
      return;
    }
    host.era = era;
    if (before.has_value()) {
      ++host.call;
      Run(host, host.follower.OnStoreRestored(era));
    }
  }
  /// The oldest reply on its way arrives, or is lost.
  void Deliver(model_host& host, bool lost) {
    if (host.replies.empty()) {
      return;
    }
    const model_host::reply reply = std::move(host.replies.front());
    host.replies.pop_front();
    if (!lost) {
      Observe(host, reply.era);
    }
    if (reply.call != host.call) {
      return;
    }
    if (lost || reply.era < *host.era) {
      Run(host, host.follower.OnFailed(now));
    } else if (const auto* page = std::get_if<object_page>(&reply.body)) {
      Run(host, host.follower.OnPage(now, *page));
    } else {
      Run(host, host.follower.OnWatch(now, std::get<watch_result>(reply.body)));
    }
  }
  void Tick(model_host& host) {
    now += std::chrono::seconds(2);
    if (host.wake_at.has_value()) {
      host.wake_at.reset();
      Run(host, host.follower.Tick(now));
    }
  }
  /// `to` fetches a copy if `from` is ahead.
  void Copy(const model_host& from, model_host& to) {
    if (from.follower.changed_at() > to.follower.as_of()) {
      const auto copy = from.follower.MakeCopy();
      Observe(to, copy.as_of.era());
      Run(to, to.follower.OnPeerCopy(copy));
    }
  }
  bool HoldsStore(const model_host& host) const {
    const auto listed = store.List();
    return host.follower.objects().size() == listed.items.size() &&
           std::ranges::all_of(listed.items, [&](const stored_object& object) {
             const auto found = host.follower.objects().find(object.name);
             return found != host.follower.objects().end() &&
                    found->second.content == object.content;
           });
  }
};

}  // namespace

BOOST_AUTO_TEST_CASE(all_hosts_end_with_the_content_of_the_store) {
  const bool holds = rc::check([](const std::vector<std::uint8_t>& steps) {
    model_fleet fleet;
    for (const std::uint8_t step : steps) {
      model_host& host = fleet.hosts[step / 16 % fleet.hosts.size()];
      const std::string name(1, static_cast<char>('a' + step / 16 % 4));
      switch (step % 8) {
        case 0:
          fleet.store.Write(name, false);
          break;
        case 1:
          fleet.store.Write(name, true);
          break;
        case 2:
          fleet.store.backups.push_back(fleet.store.now);
          break;
        case 3:
          fleet.store.Restore(step / 16 % fleet.store.backups.size());
          break;
        case 4:
          fleet.Tick(host);
          break;
        case 5:
          fleet.Copy(fleet.hosts[(step / 16 + 1) % fleet.hosts.size()], host);
          break;
        default:
          fleet.Deliver(host, step % 32 == 7);
      }
    }
    // Calm: replies arrive, and peers copy.
    fleet.store.Write("z", false);
    for (int round = 0; round < 12; ++round) {
      for (model_host& host : fleet.hosts) {
        fleet.Tick(host);
        // Each reply may cause a next call, as watches do.
        for (int reply = 0; reply < 8; ++reply) {
          fleet.Deliver(host, false);
        }
      }
      for (model_host& to : fleet.hosts) {
        for (const model_host& from : fleet.hosts) {
          fleet.Copy(from, to);
        }
      }
    }
    for (const model_host& host : fleet.hosts) {
      RC_ASSERT(fleet.HoldsStore(host));
    }
  });
  BOOST_TEST(holds);
}

}  // namespace trefoilmill
