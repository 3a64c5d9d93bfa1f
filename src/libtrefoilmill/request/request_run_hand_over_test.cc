/// Requests of a host that loses the endpoints: those that another host may run
/// again are given up, at the cost of the budget for extra sends.
#define BOOST_TEST_MODULE request_run_hand_over
#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "request_run_fixture_test.h"
#include "trefoilmill/request/earlier_attempts.h"

namespace trefoilmill {
namespace {

struct fixture : request_fixture {
  fixture() {
    // Extra sends are saved up.
    now += std::chrono::minutes(1);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(a_request_without_a_reply_is_handed_over, fixture) {
  Start("/sweep/1");
  BOOST_TEST(run->TryHandOver(now, shared));
  BOOST_TEST(run->finished());
  // The replies come after all, and are not used.
  ReportReplies(0, sends.size());
  BOOST_TEST(!answer.has_value());
  BOOST_TEST(!run->TryHandOver(now, shared));
}

BOOST_FIXTURE_TEST_CASE(a_request_with_a_reply_goes_on_here, fixture) {
  Start("/sweep/1");
  ReportReply(request_run::send(sends.front()));
  BOOST_TEST(!run->TryHandOver(now, shared));
  BOOST_TEST(!run->finished());
}

BOOST_FIXTURE_TEST_CASE(a_request_that_must_not_run_twice_stays, fixture) {
  Start("/book/1");
  BOOST_TEST_REQUIRE(sends.size() == 1U);
  BOOST_TEST(!run->TryHandOver(now, shared));
  BOOST_TEST(!run->finished());
}

BOOST_FIXTURE_TEST_CASE(each_handed_over_request_is_an_extra_send, fixture) {
  int handed_over = 0;
  for (int request = 0; request < 100; ++request) {
    Start("/sweep/1");
    handed_over += run->TryHandOver(now, shared) ? 1 : 0;
  }
  BOOST_TEST(handed_over >= 1);
  BOOST_TEST(handed_over < 100);
  BOOST_TEST(!shared.extra_sends.TrySpend(now, Service(0)));
}

namespace {

/// Routes that allow few endpoints, and how many.
struct limited_route {
  const char* path;
  std::size_t limit;
};
constexpr limited_route kLimitedRoutes[] = {{"/sweep/1", 2},
                                            {"/read/1", 2},
                                            {"/one/1", 1},
                                            {"/split/1", 1}};

/// One host of several that run a request one after the other.
struct host : fixture {
  host() {
    routing_config config;
    route one = RelayRoute("one", retry_rule::kIdempotent);
    one.max_endpoints = 1;
    route split = RelayRoute("split", retry_rule::kIdempotent);
    split.max_endpoints = 1;
    split.target = relay_target{{{.service = Service(0), .weight = 1},
                                 {.service = Service(1), .weight = 1}}};
    config.routes = {GatherRoute(), RelayRoute("read", retry_rule::kIdempotent),
                     one, split};
    table = route_table::Create(std::move(config)).value();
  }

  /// Runs a request that other hosts have sent to `earlier`.
  void Continue(const std::string& path,
                std::vector<service_id> services,
                const earlier_attempts& earlier) {
    run = std::make_unique<request_run>(
        table, *table->Match("h", path), std::move(services), now,
        now + kTimeout, std::nullopt, request_owner(), earlier);
    Apply(run->Start(now, shared));
  }
};

attempt_outcome Outcome(int drawn) {
  switch (drawn) {
    case 0:
      return reply_lost{reason_code::kConnectionReset};
    case 1:
      return reply_lost{reason_code::kDeadlineExceeded};
    case 2:
      return endpoint_refused{reason_code::kShed};
    default:
      return endpoint_replied{.response = {.status = 500}, .stamp = "s"};
  }
}

}  // namespace

// However hosts fail and hand a request over, it goes to no more endpoints than
// its route allows. A host that did not know of the attempts of another one
// sent the request to as many endpoints again.
BOOST_AUTO_TEST_CASE(all_hosts_together_keep_the_limit_of_the_route) {
  const auto holds = [] {
    const limited_route drawn =
        kLimitedRoutes[*rc::gen::inRange<std::size_t>(0, 4)];
    std::map<service_id, std::set<endpoint_id>> sent_to;
    earlier_attempts attempts;
    const int hosts = *rc::gen::inRange(1, 5);
    for (int number = 0; number < hosts; ++number) {
      host h;
      const route* matched = h.table->Match("h", drawn.path);
      std::vector<service_id> services = ServicesOf(*matched);
      if (std::holds_alternative<relay_target>(matched->target)) {
        // Hosts may draw different services, also those that another version
        // of the configuration has.
        services = {h.Service(*rc::gen::inRange(0, 3))};
      }
      h.Continue(drawn.path, services, attempts);
      for (int step = *rc::gen::inRange(0, 12); step > 0; --step) {
        h.now += std::chrono::milliseconds(*rc::gen::inRange(0, 40));
        h.Apply(h.run->Tick(h.now, h.shared));
        if (!h.sends.empty()) {
          const auto index = *rc::gen::inRange<std::size_t>(0, h.sends.size());
          h.ReportOutcome(request_run::send(h.sends[index]),
                          Outcome(*rc::gen::inRange(0, 4)));
        }
      }
      for (const request_run::send& sent : h.sends) {
        sent_to[services[sent.shard]].insert(sent.endpoint);
      }
      attempts = h.run->Attempts();
    }
    if (std::string_view(drawn.path) == "/sweep/1") {
      for (const auto& [service, endpoints] : sent_to) {
        RC_ASSERT(endpoints.size() <= drawn.limit);
      }
      return;
    }
    std::size_t total = 0;
    for (const auto& [service, endpoints] : sent_to) {
      total += endpoints.size();
    }
    RC_ASSERT(total <= drawn.limit);
  };
  BOOST_TEST(rc::check("hosts keep the limit together", holds));
}

// Endpoints of a host that was cut off are sound, and hold the only attempts
// that the route allows.
BOOST_AUTO_TEST_CASE(an_endpoint_that_had_the_request_may_get_it_again) {
  host first;
  first.Continue("/one/1", {first.Service(0)}, {});
  BOOST_TEST_REQUIRE(first.sends.size() == 1U);
  BOOST_TEST(first.run->TryHandOver(first.now, first.shared));

  host second;
  second.Continue("/one/1", {second.Service(0)}, first.run->Attempts());
  BOOST_TEST_REQUIRE(second.sends.size() == 1U);
  BOOST_TEST(second.sends[0].endpoint == first.sends[0].endpoint);
  second.ReportReply(request_run::send(second.sends[0]));
  BOOST_TEST(second.AnswerAs<relayed_answer>() != nullptr);
}

// The one endpoint that may get it is busy. Refused after a part of the
// objective, as new requests are, it would be lost: it may have run.
BOOST_AUTO_TEST_CASE(a_request_handed_over_waits_for_its_endpoint) {
  host h;
  const earlier_attempts earlier = {
      {.service = h.Service(0), .endpoints = {h.Endpoint(0, 0)}}};
  h.shared.selector.SetIdleConnections(h.Endpoint(0, 0), 0);
  h.Continue("/one/1", {h.Service(0)}, earlier);
  BOOST_TEST(h.sends.empty());
  h.RunUntil(h.now + host::kObjective);
  BOOST_TEST(!h.answer.has_value());
  h.shared.selector.SetIdleConnections(h.Endpoint(0, 0), 1);
  h.Apply(h.run->OnCapacity(h.now, h.shared, 0));
  BOOST_TEST_REQUIRE(h.sends.size() == 1U);
  h.ReportReply(request_run::send(h.sends[0]));
  BOOST_TEST(h.AnswerAs<relayed_answer>() != nullptr);
}

// The host that gave the request up has paid for the extra send; the request
// was counted as a first one there.
BOOST_AUTO_TEST_CASE(a_request_handed_over_earns_no_extra_sends) {
  host h;
  while (h.shared.extra_sends.TrySpend(h.now, h.Service(0))) {
  }
  const earlier_attempts earlier = {
      {.service = h.Service(0), .endpoints = {h.Endpoint(0, 0)}}};
  for (int request = 0; request < 20; ++request) {
    h.Continue("/read/1", {h.Service(0)}, earlier);
  }
  BOOST_TEST(h.sends.size() > 0U);
  BOOST_TEST(!h.shared.extra_sends.TrySpend(h.now, h.Service(0)));
}

// Hosts of earlier versions do not say which requests they sent to endpoints
// before: only those that just arrived there are certain to be new.
BOOST_AUTO_TEST_CASE(a_request_that_was_just_received_is_told_by_its_time) {
  using std::chrono::milliseconds;
  constexpr duration kLongest = milliseconds(588);
  BOOST_TEST(IsJustReceived(milliseconds(583), kLongest));
  BOOST_TEST(IsJustReceived(milliseconds(575), kLongest));
  BOOST_TEST(!IsJustReceived(milliseconds(550), kLongest));
  BOOST_TEST(!IsJustReceived(milliseconds(583), duration::max()));
}

}  // namespace trefoilmill
