#define BOOST_TEST_MODULE document_sync
#include "trefoilmill/document_sync.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using sync = document_sync;

const document_id zones_document("zones");

host_record Host(int number, const std::string& zone = "a") {
  host_record record;
  record.id = host_id("h" + std::to_string(number));
  record.zone = zone_id(zone);
  return record;
}

std::vector<host_record> Hosts(int count) {
  std::vector<host_record> hosts;
  hosts.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    hosts.push_back(Host(i));
  }
  return hosts;
}

/// All actions of one type.
template <class action_type>
std::vector<action_type> ActionsOf(const sync::actions& actions) {
  std::vector<action_type> matches;
  for (const auto& action : actions) {
    if (const auto* match = std::get_if<action_type>(&action)) {
      matches.push_back(*match);
    }
  }
  return matches;
}

sync MakeSync(time_point now, const host_id& self, unsigned seed = 5) {
  sync::config settings;
  settings.self = self;
  settings.zone = zone_id("a");
  settings.documents = {zones_document};
  return {now, settings, std::mt19937_64(seed)};
}

/// One of 10 hosts, either a watcher or not, after the delay of the first call
/// to the store.
struct fixture {
  explicit fixture(bool watcher) : documents(MakeSync(now, SelfFor(watcher))) {
    documents.HostsChanged(now, Hosts(10), 10);
    now += seconds(1);
  }
  static host_id SelfFor(bool watcher) {
    const auto watchers =
        sync::SelectWatchers(zones_document, zone_id("a"), Hosts(10), 2);
    for (const host_record& host : Hosts(10)) {
      const bool watches =
          std::ranges::find(watchers, host.id) != watchers.end();
      if (watches == watcher) {
        return host.id;
      }
    }
    return {};
  }
  void Adopt(std::uint64_t at) {
    documents.PeerBody(
        now, host_id("h9"),
        {zones_document, revision(at), "body " + std::to_string(at)});
    documents.Adopted(now, zones_document, revision(at));
  }

  time_point now;
  sync documents;
};

}  // namespace

BOOST_AUTO_TEST_CASE(watcher_watches_for_revisions_above_its_own) {
  fixture host(true);
  auto calls = ActionsOf<sync::call_store>(host.documents.Tick(host.now));
  BOOST_REQUIRE(calls.size() == 1U);
  BOOST_TEST(calls[0].wait > duration::zero());
  // At most one call is open.
  BOOST_TEST(
      ActionsOf<sync::call_store>(host.documents.Tick(host.now)).empty());
  const auto adopted = ActionsOf<sync::adopt>(host.documents.StoreReply(
      host.now, zones_document, sync::store_document{revision(4), "{}"}));
  BOOST_REQUIRE(adopted.size() == 1U);
  const auto out =
      host.documents.Adopted(host.now, zones_document, revision(4));
  BOOST_TEST(ActionsOf<sync::announce>(out).at(0).to.size() == 4U);
  host.now += milliseconds(100);
  calls = ActionsOf<sync::call_store>(host.documents.Tick(host.now));
  BOOST_REQUIRE(calls.size() == 1U);
  BOOST_TEST(calls[0].after == revision(4));
}

BOOST_AUTO_TEST_CASE(revision_never_goes_down) {
  fixture host(true);
  host.Adopt(7);
  host.documents.Tick(host.now);
  BOOST_TEST(
      ActionsOf<sync::adopt>(
          host.documents.StoreReply(host.now, zones_document,
                                    sync::store_document{revision(6), "old"}))
          .empty());
  BOOST_TEST(ActionsOf<sync::adopt>(host.documents.PeerBody(
                                        host.now, host_id("h9"),
                                        {zones_document, revision(7), "other"}))
                 .empty());
  host.documents.StoreReply(host.now, zones_document, sync::store_absent{});
  BOOST_TEST(host.documents.Digests().at(0).in_force == revision(7));
}

BOOST_AUTO_TEST_CASE(
    non_watcher_requests_from_a_peer_and_after_a_timeout_from_another) {
  fixture host(false);
  auto requests = ActionsOf<sync::request_from_peer>(host.documents.PeerDigest(
      host.now, host_id("h1"), {{zones_document, revision(3)}}));
  BOOST_REQUIRE(requests.size() == 1U);
  BOOST_TEST(requests[0].to == host_id("h1"));
  host.documents.PeerDigest(host.now, host_id("h2"),
                            {{zones_document, revision(3)}});
  host.now += milliseconds(600);
  const auto out = host.documents.Tick(host.now);
  BOOST_TEST(ActionsOf<sync::request_from_peer>(out).at(0).to == host_id("h2"));
  BOOST_TEST(ActionsOf<sync::call_store>(out).empty());
}

BOOST_AUTO_TEST_CASE(non_watcher_without_a_revision_reads_the_store) {
  fixture host(false);
  BOOST_TEST(
      ActionsOf<sync::call_store>(host.documents.Tick(host.now)).empty());
  host.now += seconds(2);
  const auto calls = ActionsOf<sync::call_store>(host.documents.Tick(host.now));
  BOOST_REQUIRE(calls.size() == 1U);
  BOOST_TEST((calls[0].wait == duration::zero()));
}

BOOST_AUTO_TEST_CASE(failed_calls_back_off) {
  fixture host(true);
  int calls = 0;
  for (const time_point end = host.now + seconds(60); host.now < end;
       host.now += milliseconds(10)) {
    for (const auto& call :
         ActionsOf<sync::call_store>(host.documents.Tick(host.now))) {
      ++calls;
      host.documents.StoreReply(host.now, call.id, sync::store_failed{});
    }
  }
  BOOST_TEST(calls < 35);
  BOOST_TEST(host.documents.StatusOf(zones_document)->store_failures == calls);
}

BOOST_AUTO_TEST_CASE(invalid_document_leaves_the_last_valid_one_in_force) {
  fixture host(true);
  host.Adopt(3);
  host.documents.Tick(host.now);
  host.documents.StoreReply(host.now, zones_document,
                            sync::store_document{revision(4), "bad"});
  const auto out =
      host.documents.Rejected(host.now, zones_document, revision(4), "line 1");
  BOOST_TEST(ActionsOf<sync::announce>(out).empty());
  BOOST_TEST(host.documents.Digests().at(0).in_force == revision(3));
  BOOST_TEST(
      (host.documents.StatusOf(zones_document)->rejected == revision(4)));
  // The invalid revision is neither read again nor requested from a peer.
  host.now += seconds(1);
  BOOST_TEST(
      ActionsOf<sync::call_store>(host.documents.Tick(host.now)).at(0).after ==
      revision(4));
  BOOST_TEST(ActionsOf<sync::request_from_peer>(
                 host.documents.PeerDigest(host.now, host_id("h1"),
                                           {{zones_document, revision(4)}}))
                 .empty());
  // Peers are still sent the last valid revision.
  const auto sent = ActionsOf<sync::send_body>(
      host.documents.PeerRequest(host.now, host_id("h1"), zones_document));
  BOOST_TEST(sent.at(0).body.body == "body 3");
}

BOOST_AUTO_TEST_CASE(store_call_rate_does_not_grow_with_the_fleet) {
  const auto count_store_calls = [](int count) {
    const std::vector<host_record> hosts = Hosts(count);
    time_point now;
    std::vector<sync> fleet;
    for (int i = 0; i < count; ++i) {
      fleet.push_back(MakeSync(now, hosts[static_cast<std::size_t>(i)].id,
                               static_cast<unsigned>(i)));
      fleet.back().HostsChanged(now, hosts, hosts.size());
      fleet.back().PeerBody(now, host_id("h0"),
                            {zones_document, revision(1), "{}"});
      fleet.back().Adopted(now, zones_document, revision(1));
    }
    int calls = 0;
    for (int second = 0; second < 60; ++second, now += seconds(1)) {
      for (sync& host : fleet) {
        calls += static_cast<int>(
            ActionsOf<sync::call_store>(host.Tick(now)).size());
        // The store closes a watch after 20 s.
        if (second % 20 == 19) {
          host.StoreReply(now, zones_document, sync::store_unchanged{});
        }
      }
    }
    return calls;
  };
  const int small_fleet_calls = count_store_calls(9);
  BOOST_TEST(small_fleet_calls > 0);
  BOOST_TEST(count_store_calls(300) == small_fleet_calls);
}

}  // namespace trefoilmill
