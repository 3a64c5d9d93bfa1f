/// Tests how the calls that followers ask for are carried out, over real
/// sockets, against a store whose replies the test holds back: what a late
/// reply brings is not taken for known, and connections that went silent are
/// not used again.
#define BOOST_TEST_MODULE store_sync
#include "trefoilmill_entry/store_sync.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <iterator>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "../libtmnet/net_test_support.h"
#include "platform/store_api.h"

namespace trefoilmill::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The shortest drain time of the deployments.
constexpr duration kDrainTime = seconds(3);
/// Past the pause after changes of endpoints.
constexpr duration kSettled = milliseconds(300);

telemetry SilentTelemetry() {
  return {.log = std::move(logger::Create({.to_stdout = false}).value()),
          .meter = metrics::Create()};
}

/// A store whose content is one list of changes.
class scripted_store {
 public:
  /// A watch that waits for its reply.
  struct held_watch {
    object_kind kind;
    std::uint64_t since;
    /// Without a wait: a check, or the first watch after a failure.
    bool is_immediate;
    http_responder responder;
  };

  explicit scripted_store(event_loop& loop)
      : server_(std::move(
            http_server::Listen(loop,
                                {kTestIp, 0},
                                {},
                                [this](const http_request& request,
                                       const http_responder& responder) {
                                  OnRequest(request, responder);
                                })
                .value())) {}

  socket_address address() const { return {kTestIp, server_->port()}; }
  std::uint64_t last() const { return changes_.size(); }

  void Write(object_kind kind) {
    changes_.push_back(kind);
    ReplyToAll();
  }
  /// Replies are only sent by Reply() from now on.
  void HoldReplies() { holds_replies_ = true; }
  /// Requests on all connections made so far get no reply from now on.
  void SilenceConnections() {
    silent_connections_ = connections_;
    std::ranges::transform(held_, std::back_inserter(silent_),
                           &held_watch::responder);
    held_.clear();
  }

  /// Answers a held watch with the changes up to revision `until`.
  void Reply(std::size_t index, std::uint64_t until) {
    const held_watch watch = held_.at(index);
    held_.erase(held_.begin() + static_cast<std::ptrdiff_t>(index));
    Respond(watch, until);
  }
  /// The first held watch of a kind; unset if there is none.
  std::optional<std::size_t> Find(object_kind kind, bool is_immediate) const {
    const auto found = std::ranges::find_if(held_, [&](const held_watch& w) {
      return w.kind == kind && w.is_immediate == is_immediate;
    });
    return found == held_.end()
               ? std::nullopt
               : std::optional(static_cast<std::size_t>(found - held_.begin()));
  }

 private:
  static std::string ObjectText(std::uint64_t at) {
    const std::string revision_text = std::to_string(at);
    return R"({"meta":{"name":"o)" + revision_text + R"(","revision":)" +
           revision_text + R"(},"spec":{},"status":null})";
  }

  void OnRequest(const http_request& request, const http_responder& responder) {
    connections_.insert(responder.connection());
    if (silent_connections_.contains(responder.connection())) {
      silent_.push_back(responder);
      return;
    }
    for (const object_kind kind : kObjectKinds) {
      if (request.path != platform::MakeListRequest(kind, "", false).path) {
        continue;
      }
      const auto since = request.query.find("watch");
      if (since == request.query.end()) {
        RespondWith(responder, R"({"items":[],"has_more":false,"as_of":1})");
        return;
      }
      held_.push_back({.kind = kind,
                       .since = std::stoull(since->second),
                       .is_immediate = request.query.at("wait_ms") == "0",
                       .responder = responder});
      ReplyToAll();
    }
  }

  /// Answers the watches that have changes or do not wait.
  void ReplyToAll() {
    if (holds_replies_) {
      return;
    }
    std::erase_if(held_, [this](const held_watch& watch) {
      const bool is_due =
          watch.is_immediate ||
          std::ranges::find(
              changes_.begin() + static_cast<std::ptrdiff_t>(watch.since),
              changes_.end(), watch.kind) != changes_.end();
      if (is_due) {
        Respond(watch, last());
      }
      return is_due;
    });
  }

  void Respond(const held_watch& watch, std::uint64_t until) {
    std::string events;
    for (std::uint64_t at = watch.since + 1; at <= until; ++at) {
      if (changes_[at - 1] == watch.kind) {
        events += std::string(events.empty() ? "" : ",") + R"({"object":)" +
                  ObjectText(at) + R"(,"deleted":false})";
      }
    }
    RespondWith(watch.responder, R"({"events":[)" + events + R"(],"as_of":)" +
                                     std::to_string(until) + "}");
  }

  static void RespondWith(const http_responder& responder,
                          const std::string& body) {
    http_response response{.status = 200};
    response.content_type = "application/json";
    response.body = body;
    responder.Send(response);
  }

  /// The kind of each change; the first one is revision 1.
  std::vector<object_kind> changes_;
  std::vector<held_watch> held_;
  std::vector<http_responder> silent_;
  std::set<std::uint64_t> connections_;
  std::set<std::uint64_t> silent_connections_;
  bool holds_replies_ = false;
  std::unique_ptr<http_server> server_;
};

struct fixture {
  std::unique_ptr<event_loop> loop = MakeLoop();
  scripted_store store{*loop};
  telemetry process = SilentTelemetry();
  store_sync sync{*loop,
                  store.address(),
                  kTestIp,
                  false,
                  process,
                  {.on_replaced = [](object_kind) {},
                   .on_changed = [](object_kind, const object_event&) {},
                   .on_store_changes = [](object_kind,
                                          const store_sync::store_changes&) {}},
                  std::mt19937_64(1)};

  /// The host watches the configuration and the endpoints.
  fixture() {
    store.Write(object_kind::kConfiguration);
    sync.Start();
    sync.SetWatching(true);
    AwaitWatch(object_kind::kConfiguration);
    AwaitWatch(object_kind::kEndpoints);
  }

  std::size_t AwaitWatch(object_kind kind, bool is_immediate = false) {
    BOOST_TEST_REQUIRE(RunUntil(
        *loop, [&] { return store.Find(kind, is_immediate).has_value(); }));
    return *store.Find(kind, is_immediate);
  }
  bool Knows(std::uint64_t at) const {
    return sync.Follower(object_kind::kEndpoints)
        .objects()
        .contains("o" + std::to_string(at));
  }
};

}  // namespace

// A check is answered after the watch that it checks, with more than that. The
// next watch is never answered. The check's changes counted as seen, though
// they were dropped, so that nothing ever asked for them again.
BOOST_FIXTURE_TEST_CASE(changes_in_a_check_that_comes_late_are_not_lost,
                        fixture) {
  store.HoldReplies();
  store.Write(object_kind::kEndpoints);
  const std::uint64_t first = store.last();
  store.Write(object_kind::kEndpoints);
  const std::uint64_t second = store.last();
  store.Reply(AwaitWatch(object_kind::kConfiguration), second);
  AwaitWatch(object_kind::kEndpoints, /*is_immediate=*/true);
  store.Reply(AwaitWatch(object_kind::kEndpoints), first);
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return Knows(first); }));
  store.Reply(AwaitWatch(object_kind::kEndpoints, /*is_immediate=*/true),
              second);
  RunFor(*loop, kSettled);
  // The watch that follows stays without a reply; its check gets one.
  AwaitWatch(object_kind::kEndpoints);
  store.Reply(AwaitWatch(object_kind::kConfiguration), second);
  store.Reply(AwaitWatch(object_kind::kEndpoints, /*is_immediate=*/true),
              second);
  BOOST_TEST(RunUntil(*loop, [&] { return Knows(second); }));
}

// Connections go silent, the idle ones, too, and new ones work. Each call that
// failed was followed by one on another connection that was silent.
BOOST_FIXTURE_TEST_CASE(silent_connections_delay_news_by_one_call_only,
                        fixture) {
  store.SilenceConnections();
  const time_point begin = loop->Now();
  store.Write(object_kind::kEndpoints);
  BOOST_TEST(RunUntil(*loop, [&] { return Knows(store.last()); }));
  BOOST_TEST((loop->Now() - begin < kDrainTime));
}

}  // namespace trefoilmill::entry
