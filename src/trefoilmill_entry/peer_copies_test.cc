/// Tests how a host fetches what it lacks from other hosts, over real sockets:
/// what is sent follows what differs, and nothing that arrived is sent again.
#define BOOST_TEST_MODULE peer_copies
#include "trefoilmill_entry/peer_copies.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "../libtmnet/net_test_support.h"
#include "platform/documents.h"
#include "trefoilmill/wire/copy_codec.h"
#include "trefoilmill/wire/document_splitter.h"

namespace trefoilmill::entry {
namespace {

constexpr auto kKind = object_kind::kConfiguration;
constexpr char kPartsOfConfiguration[] = "/parts/configuration";
constexpr char kCopyOfConfiguration[] = "/copies/configuration";

/// A configuration of so many routes; `moved` of them go to another service.
std::string Document(int version, int routes, int moved = 0) {
  std::string text = "{\"version\":" + std::to_string(version) +
                     ",\"backends\":[],\"routes\":[";
  for (int i = 0; i < routes; ++i) {
    text += std::string(i == 0 ? "" : ",") + R"({"name":"r)" +
            std::to_string(i) + R"(","host":"shop.example","prefix":"/r)" +
            std::to_string(i) + R"(/","type":"idempotent","timeout_ms":3000,)" +
            R"("slo_ms":1000,"priority":1,"max_attempts":2,"backend":")" +
            (i < moved ? "ledger" : "shelf") + "\"}";
  }
  return text + "]}";
}

store_follower::copy CopyAt(std::uint64_t at, const std::string& document) {
  stored_object object{.name = platform::kConfigurationObjectName,
                       .at = revision(at),
                       .content = document};
  SplitContent(kKind, object);
  BOOST_TEST_REQUIRE(object.parts != nullptr);
  return {.as_of = revision(at), .objects = {object}};
}

telemetry SilentTelemetry() {
  return {.log = std::move(logger::Create({.to_stdout = false}).value()),
          .meter = metrics::Create()};
}

/// The objects of one host, whose store is away.
struct host_objects {
  telemetry process = SilentTelemetry();
  store_sync store;

  explicit host_objects(event_loop& loop)
      : store(loop,
              {kTestIp, 1},
              kTestIp,
              false,
              process,
              {.on_replaced = [](object_kind) {},
               .on_changed = [](object_kind, const object_event&) {},
               .on_store_changes = [](object_kind,
                                      const store_sync::store_changes&) {}},
              std::mt19937_64(1)) {}

  void Hold(std::uint64_t at, const std::string& document) {
    store.ApplyPeerCopy(kKind, CopyAt(at, document));
  }
  /// The parts of the configuration; empty if there is none.
  part_set Parts() const { return PartsOf(kKind, store.Follower(kKind)).parts; }
};

/// A host that fetches, and peers that are servers of the test.
struct fixture {
  std::unique_ptr<event_loop> loop = MakeLoop();
  host_objects fetching{*loop};
  /// What the peers give.
  host_objects given{*loop};
  part_server given_parts{given.store};
  entry_settings settings{.host = host_id("h1"),
                          .callers = {kTestIp, 0},
                          .peers = {kTestIp, 0}};
  std::unique_ptr<peer_datagrams> datagrams =
      std::move(peer_datagrams::Bind(*loop,
                                     {kTestIp, 0},
                                     fetching.process,
                                     [](const host_id&, const peer_message&) {})
                    .value());
  fleet_membership fleet{
      *loop,
      settings,
      std::move(CreateMembership(*loop, settings, std::mt19937_64(1)).value()),
      *datagrams,
      fetching.process,
      [] {}};
  std::unique_ptr<peer_copies> copies =
      std::move(peer_copies::Listen(
                    *loop,
                    settings,
                    fetching.store,
                    fleet,
                    fetching.process,
                    [](const http_request&,
                       const http_responder&,
                       const forwarded_mark&) {},
                    std::mt19937_64(1))
                    .value());
  std::vector<std::unique_ptr<http_server>> peers;
  int pages = 0;
  std::size_t page_bytes = 0;

  fixture() { copies->Start(); }

  /// The reply of a peer of this version.
  http_response Page(const http_request& request) {
    BOOST_TEST(request.path == kPartsOfConfiguration);
    http_response response{.status = 200};
    response.body = given_parts.PageFor(kKind, request.body).value();
    ++pages;
    page_bytes += response.body.size();
    return response;
  }

  /// Adds a peer; it says that it has the revision of what is given.
  void AddPeer(const std::function<void(const http_request&,
                                        const http_responder&)>& answer) {
    peers.push_back(std::move(
        http_server::Listen(*loop, {kTestIp, 0}, {}, answer).value()));
    StateRevision();
  }
  void AddPeer() {
    AddPeer(
        [this](const http_request& request, const http_responder& responder) {
          responder.Send(Page(request));
        });
  }
  /// All peers say what they have.
  void StateRevision() {
    for (const auto& peer : peers) {
      copies->OnFed(kKind, {.at = given.store.Follower(kKind).changed_at(),
                            .source = {kTestIp, peer->port()}});
    }
  }

  bool IsEqual() const { return fetching.Parts() == given.Parts(); }
  void WaitUntilEqual() {
    BOOST_TEST_REQUIRE(RunUntil(*loop, [this] { return IsEqual(); }));
  }
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(a_host_without_content_gets_all_of_it, fixture) {
  given.Hold(7, Document(1, 3000));
  AddPeer();
  WaitUntilEqual();
  BOOST_TEST(pages > 1);
  BOOST_TEST(page_bytes < Document(1, 3000).size() / 4);
  BOOST_TEST((fetching.store.Follower(kKind).as_of() == revision(7)));
}

BOOST_FIXTURE_TEST_CASE(one_changed_route_of_many_costs_one_small_page,
                        fixture) {
  fetching.Hold(5, Document(1, 10'000));
  given.Hold(7, Document(2, 10'000, 1));
  AddPeer();
  WaitUntilEqual();
  BOOST_TEST(pages == 1);
  BOOST_TEST(page_bytes < 4000U);
}

BOOST_FIXTURE_TEST_CASE(a_host_that_missed_many_versions_gets_the_newest,
                        fixture) {
  fetching.Hold(5, Document(1, 3000));
  for (int version = 2; version < 40; ++version) {
    given.Hold(100 + static_cast<std::uint64_t>(version),
               Document(version, 3000, version));
  }
  AddPeer();
  WaitUntilEqual();
  BOOST_TEST(pages == 1);
}

// A peer breaks off after its first page: the rest comes from another one, and
// what had arrived is not sent again.
BOOST_FIXTURE_TEST_CASE(a_half_received_copy_is_taken_up_at_another_peer,
                        fixture) {
  given.Hold(7, Document(1, 4000));
  int whole_pages = 0;
  {
    fixture undisturbed;
    undisturbed.given.Hold(7, Document(1, 4000));
    undisturbed.AddPeer();
    undisturbed.WaitUntilEqual();
    whole_pages = undisturbed.pages;
  }
  bool is_broken = false;
  AddPeer([&](const http_request& request, const http_responder& responder) {
    if (is_broken) {
      responder.Abort();
      return;
    }
    is_broken = true;
    responder.Send(Page(request));
  });
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return is_broken; }));
  AddPeer();
  WaitUntilEqual();
  BOOST_TEST(pages == whole_pages);
}

// Each page is followed by a newer version: the fetch ends at the newest one,
// with about the pages of one version.
BOOST_FIXTURE_TEST_CASE(newer_versions_do_not_begin_the_fetch_anew, fixture) {
  constexpr int kRoutes = 4000;
  int version = 1;
  given.Hold(10, Document(version, kRoutes));
  AddPeer([&](const http_request& request, const http_responder& responder) {
    responder.Send(Page(request));
    if (version < 8) {
      ++version;
      given.Hold(10 + static_cast<std::uint64_t>(version),
                 Document(version, kRoutes, version));
      StateRevision();
    }
  });
  BOOST_TEST_REQUIRE(
      RunUntil(*loop, [&] { return version == 8 && IsEqual(); }));
  BOOST_TEST(pages <= 7 + 8);
  BOOST_TEST(page_bytes < Document(1, kRoutes).size() / 3);
}

BOOST_FIXTURE_TEST_CASE(a_peer_of_the_version_before_gives_a_whole_copy,
                        fixture) {
  const std::string document = Document(3, 50);
  given.Hold(7, document);
  AddPeer([&](const http_request& request, const http_responder& responder) {
    http_response response{.status = 404};
    if (request.path == kCopyOfConfiguration) {
      response.status = 200;
      response.body = EncodeCopy(
          {.as_of = revision(7),
           .objects = {
               {.name = "main", .at = revision(7), .content = document}}});
    }
    responder.Send(response);
  });
  WaitUntilEqual();
}

BOOST_FIXTURE_TEST_CASE(a_peer_of_the_version_before_is_given_a_whole_copy,
                        fixture) {
  fetching.Hold(7, Document(3, 50, 4));
  http_client old_host(*loop);
  std::optional<http_result> result;
  old_host.Send({kTestIp, copies->server().port()},
                {.method = "GET", .path = kCopyOfConfiguration},
                std::chrono::seconds(5),
                [&](const http_result& exchange) { result = exchange; });
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return result.has_value(); }));
  const auto copy = DecodeCopy(result->response->body);
  BOOST_TEST_REQUIRE(copy.has_value());
  const auto parts =
      platform::SplitConfiguration(copy.value().objects.at(0).content);
  BOOST_TEST_REQUIRE(parts.has_value());
  BOOST_TEST((parts.value() == fetching.Parts()));
}

BOOST_FIXTURE_TEST_CASE(a_busy_peer_is_asked_again, fixture) {
  given.Hold(7, Document(1, 100));
  int refusals = 3;
  AddPeer([&](const http_request& request, const http_responder& responder) {
    if (refusals-- > 0) {
      responder.Send({.status = 503});
      return;
    }
    responder.Send(Page(request));
  });
  WaitUntilEqual();
}

BOOST_FIXTURE_TEST_CASE(malformed_pages_change_nothing, fixture) {
  fetching.Hold(5, Document(1, 20));
  given.Hold(7, Document(2, 20, 3));
  int malformed = 0;
  AddPeer([&](const http_request& request, const http_responder& responder) {
    http_response response = Page(request);
    if (malformed == 0) {
      response.body.resize(response.body.size() / 2);
    } else if (malformed == 1) {
      parts_page page = DecodePartsPage(response.body).value();
      page.buckets.at(0).index = (page.buckets.at(0).index + 1) % 1024;
      response.body = EncodePartsPage(page);
    }
    BOOST_TEST((fetching.store.Follower(kKind).as_of() == revision(5)));
    ++malformed;
    responder.Send(response);
  });
  WaitUntilEqual();
  BOOST_TEST(malformed == 3);
}

}  // namespace trefoilmill::entry
