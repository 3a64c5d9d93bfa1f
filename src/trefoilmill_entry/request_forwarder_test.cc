#define BOOST_TEST_MODULE request_forwarder
#include "trefoilmill_entry/request_forwarder.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "../libtmnet/net_test_support.h"
#include "platform/headers.h"

namespace trefoilmill::entry {
namespace {

using std::chrono::seconds;

/// A host that passes requests on to other hosts, which are servers of the
/// test.
struct fixture {
  std::unique_ptr<event_loop> loop = MakeLoop();
  telemetry process{
      .log = std::move(logger::Create({.to_stdout = false}).value()),
      .meter = metrics::Create()};
  std::vector<host_record> hosts;
  std::vector<host_id> cut_off;
  int run_here = 0;
  earlier_attempts attempts;
  bool at_most_once = false;
  http_request last_run_here;
  /// Requests that other hosts do not answer.
  std::vector<http_responder> kept;
  std::size_t unanswered = 0;
  request_forwarder forwarder{*loop, kTestIp, process, std::mt19937_64(1),
                              [this](const forwarded_request& not_taken) {
                                ++run_here;
                                last_run_here = not_taken.request;
                                not_taken.responder.Send({.status = 503});
                              }};
  std::vector<std::unique_ptr<http_server>> servers;
  std::unique_ptr<http_server> front =
      Listen([this](http_request request, const http_responder& responder) {
        forwarder.Forward({.id = request_id("r-1"),
                           .request = std::move(request),
                           .responder = responder,
                           .answer_by = loop->Now() + seconds(5),
                           .attempts = attempts,
                           .at_most_once = at_most_once});
      });

  fixture() {
    forwarder.SetPeers({.hosts = [this] { return hosts; },
                        .cut_off = [] { return std::vector<host_id>(); },
                        .on_cut_off =
                            [this](const std::vector<host_id>& named) {
                              cut_off = named;
                              std::erase_if(hosts, [&](const auto& host) {
                                return std::ranges::find(named, host.id) !=
                                       named.end();
                              });
                            }});
  }

  std::unique_ptr<http_server> Listen(http_server::request_handler handler) {
    return std::move(
        http_server::Listen(*loop, {kTestIp, 0}, {}, std::move(handler))
            .value());
  }
  void AddHost(const std::string& name, http_server::request_handler handler) {
    servers.push_back(Listen(std::move(handler)));
    hosts.push_back(
        {.id = host_id(name), .peer = {kTestIp, servers.back()->port()}});
  }
  http_result Ask() {
    http_client caller(*loop);
    std::optional<http_result> result;
    caller.Send({kTestIp, front->port()},
                {.method = "GET",
                 .path = "/sweep",
                 // What the caller writes of earlier attempts says nothing.
                 .headers = {{"Trefoilmill-Request-Id", "r-1"},
                             {"Trefoilmill-Forwarded-Unsent", "1"},
                             {"Trefoilmill-Handed-Over", "forged"}}},
                seconds(5),
                [&](const http_result& exchange) { result = exchange; });
    BOOST_REQUIRE(RunUntil(*loop, [&] { return result.has_value(); }));
    return *result;
  }
};

const earlier_attempts sent_once = {
    {.service = service_id("shelf-3"), .endpoints = {endpoint_id("i-7")}}};

void Answer(const http_request&, const http_responder& responder) {
  responder.Send({.status = 200, .body = "whole"});
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_host, fixture)

BOOST_AUTO_TEST_CASE(passes_a_request_on_and_its_answer_back) {
  bool marked = false;
  AddHost("b", [&](http_request request, const http_responder& responder) {
    const auto mark = TakeForwardedMark(request);
    marked = mark.has_value() && !TakeForwardedMark(request).has_value();
    BOOST_TEST((mark->attempts == earlier_attempts()));
    BOOST_TEST((request.Header("Trefoilmill-Request-Id") == "r-1"));
    Answer(request, responder);
  });
  const http_result result = Ask();
  BOOST_REQUIRE(result.response.has_value());
  BOOST_TEST(result.response->status == 200);
  BOOST_TEST(result.response->body == "whole");
  BOOST_TEST(marked);
  BOOST_TEST(run_here == 0);
}

// Most hosts of a large fleet are cut off, and do not know of each other yet.
BOOST_AUTO_TEST_CASE(learns_from_an_answer_which_hosts_are_cut_off) {
  for (const std::string name : {"b", "c", "d", "e", "f", "g"}) {
    AddHost(name, [](const http_request&, const http_responder& responder) {
      responder.Send(
          MakeCutOffResponse({host_id("b"), host_id("c"), host_id("d"),
                              host_id("e"), host_id("f"), host_id("g")}));
    });
  }
  AddHost("z", &Answer);
  for (int asked = 0; asked < 5; ++asked) {
    const http_result result = Ask();
    BOOST_REQUIRE(result.response.has_value());
    BOOST_TEST(result.response->status == 200);
  }
  BOOST_TEST(hosts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(keeps_a_request_that_no_host_takes) {
  AddHost("b", [](const http_request&, const http_responder& responder) {
    responder.Send(MakeCutOffResponse({}));
  });
  AddHost("gone", &Answer);
  servers.pop_back();
  BOOST_TEST(Ask().response->status == 503);
  BOOST_TEST(run_here == 1);
  BOOST_TEST((cut_off == std::vector{host_id("b")}));
  BOOST_TEST(forwarder.unanswered() == 0U);
}

// The time that other hosts took is not there any more.
BOOST_AUTO_TEST_CASE(runs_a_request_here_with_the_time_that_is_left) {
  AddHost("b", [](const http_request&, const http_responder& responder) {
    responder.Send(MakeCutOffResponse({}));
  });
  Ask();
  const auto left = last_run_here.Header("Trefoilmill-Deadline-Ms");
  BOOST_REQUIRE(left.has_value());
  BOOST_TEST(std::stoi(*left) <= 5000);
}

// A request that was sent to endpoints runs on further ones beyond its route's
// limit if the next host does not know of them.
BOOST_AUTO_TEST_CASE(names_the_endpoints_that_had_a_request) {
  attempts = sent_once;
  std::optional<forwarded_mark> mark;
  std::optional<std::string> id;
  AddHost("b", [&](http_request request, const http_responder& responder) {
    BOOST_TEST(!request.Header("Trefoilmill-Request-Id").has_value());
    mark = TakeForwardedMark(request);
    id = request.Header("Trefoilmill-Request-Id");
    BOOST_TEST(!request.Header("Trefoilmill-Handed-Over").has_value());
    Answer(request, responder);
  });
  BOOST_TEST(Ask().response->status == 200);
  BOOST_REQUIRE(mark.has_value());
  BOOST_TEST((mark->attempts == sent_once));
  BOOST_TEST((id == "r-1"));
}

// A host of an earlier version runs a forwarded request anew. It rejects one
// without an ID, before anything runs.
BOOST_AUTO_TEST_CASE(a_host_of_an_earlier_version_does_not_run_it_anew) {
  attempts = sent_once;
  int ran_by_earlier = 0;
  int ran = 0;
  for (const std::string name : {"b", "c", "d"}) {
    AddHost(name, [&](const http_request& request,
                      const http_responder& responder) {
      const bool has_id = request.Header("Trefoilmill-Request-Id").has_value();
      ran_by_earlier += has_id ? 1 : 0;
      responder.Send({.status = has_id ? 200 : 400});
    });
  }
  BOOST_TEST(Ask().response->status == 502);
  AddHost("z",
          [&](const http_request& request, const http_responder& responder) {
            ++ran;
            Answer(request, responder);
          });
  BOOST_TEST(Ask().response->status == 200);
  BOOST_TEST(ran == 1);
  BOOST_TEST(ran_by_earlier == 0);
  BOOST_TEST(run_here == 0);
}

// The endpoint has run the request: its answer is the caller's.
BOOST_AUTO_TEST_CASE(an_endpoint_s_own_rejection_is_not_sent_elsewhere) {
  attempts = sent_once;
  int ran = 0;
  for (const std::string name : {"b", "c"}) {
    AddHost(name, [&](const http_request&, const http_responder& responder) {
      ++ran;
      responder.Send({.status = 400,
                      .headers = {{platform::kServerStampHeader, "i-7.r-1"}}});
    });
  }
  BOOST_TEST(Ask().response->status == 400);
  BOOST_TEST(ran == 1);
}

// It would be taken for one that was sent nowhere.
BOOST_AUTO_TEST_CASE(a_malformed_statement_of_attempts_is_rejected) {
  for (const std::string text : {"", "{}", R"({"request":"r","sent_to":[]})"}) {
    http_request request{.headers = {{"Trefoilmill-Request-Id", "r-1"},
                                     {"Trefoilmill-Forwarded", "x"},
                                     {"Trefoilmill-Handed-Over", text}}};
    const auto mark = TakeForwardedMark(request);
    BOOST_REQUIRE(mark.has_value());
    BOOST_TEST(!mark->attempts.has_value());
    BOOST_TEST(!request.Header("Trefoilmill-Request-Id").has_value());
  }
}

// An endpoint's own answer may have any headers.
BOOST_AUTO_TEST_CASE(does_not_take_an_answer_for_a_declined_request) {
  int ran = 0;
  for (const std::string name : {"b", "c"}) {
    AddHost(name, [&](const http_request&, const http_responder& responder) {
      ++ran;
      http_response answer = MakeCutOffResponse({});
      answer.status = 503;
      responder.Send(answer);
    });
  }
  BOOST_TEST(Ask().response->status == 503);
  BOOST_TEST(ran == 1);
  BOOST_TEST(run_here == 0);
}

BOOST_AUTO_TEST_CASE(does_not_call_not_run_what_may_have_run_before) {
  attempts = sent_once;
  BOOST_TEST(Ask().response->status == 502);
  AddHost("b", [](const http_request&, const http_responder& responder) {
    responder.Send({.status = 503});
  });
  BOOST_TEST(Ask().response->status == 502);
  BOOST_TEST(run_here == 0);
}

// A host of an earlier version passes an endpoint's 503 on, though the request
// ran. The caller would send it again.
BOOST_AUTO_TEST_CASE(does_not_call_not_run_what_an_endpoint_ran) {
  AddHost("b", [](const http_request&, const http_responder& responder) {
    responder.Send({.status = 503,
                    .headers = {{platform::kServerStampHeader, "i-7.r-1"}}});
  });
  BOOST_TEST(Ask().response->status == 503);
  at_most_once = true;
  BOOST_TEST(Ask().response->status == 502);
}

BOOST_AUTO_TEST_CASE(does_not_send_again_what_may_have_run) {
  int ran = 0;
  const auto lose = [&](const http_request&, const http_responder& responder) {
    ++ran;
    responder.Abort();
  };
  AddHost("b", lose);
  AddHost("c", lose);
  BOOST_TEST(Ask().response->status == 502);
  BOOST_TEST(ran == 1);
  BOOST_TEST(run_here == 0);
}

// A stopping process whose last turn of the loop comes late would end without
// an answer to what it passed on.
BOOST_AUTO_TEST_CASE(answers_at_once_what_is_due_when_the_process_stops) {
  AddHost("b", [this](const http_request&, const http_responder& responder) {
    kept.push_back(responder);
    forwarder.AnswerBy(loop->Now());
    unanswered = forwarder.unanswered();
  });
  BOOST_TEST(Ask().response->status == 504);
  BOOST_TEST(unanswered == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilmill::entry
