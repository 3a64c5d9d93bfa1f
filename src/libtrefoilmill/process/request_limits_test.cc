#define BOOST_TEST_MODULE request_limits
#include "trefoilmill/process/request_limits.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <random>
#include <string>
#include <vector>

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const endpoint_id endpoint("e");
constexpr time_point kStart(seconds(100));
/// The platform judges windows of this length, and allows half as much again as
/// the limit, and some requests.
constexpr duration kWindow = seconds(4);
constexpr double kAllowedRatio = 1.5;
constexpr double kAllowedRequests = 5;

std::vector<host_id> Names(std::size_t count) {
  std::vector<host_id> names;
  names.reserve(count);
  for (std::size_t number = 0; number < count; ++number) {
    names.emplace_back("h" + std::to_string(number));
  }
  return names;
}

/// Hosts that each send as soon as their share allows.
struct fleet {
  std::vector<host_id> names;
  std::vector<request_limits> hosts;
  std::vector<time_point> sends;

  explicit fleet(std::size_t count) : names(Names(count)), hosts(count) {
    for (std::size_t number = 0; number < count; ++number) {
      hosts[number].SetSenders(names[number], names);
    }
  }

  void State(time_point now, std::optional<request_rate> limit) {
    for (request_limits& host : hosts) {
      host.OnResponse(now, endpoint, limit);
    }
  }
  void SendAll(time_point now) {
    for (request_limits& host : hosts) {
      while (host.AllowsSend(now, endpoint)) {
        host.OnSend(now, endpoint);
        sends.push_back(now);
      }
    }
  }
  std::size_t MostInWindow() const {
    std::size_t most = 0;
    for (auto first = sends.begin(); first != sends.end(); ++first) {
      const auto last = std::lower_bound(first, sends.end(), *first + kWindow);
      most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
  }
};

double Allowed(request_rate limit) {
  return kAllowedRatio * limit.Over(kWindow) + kAllowedRequests;
}

}  // namespace

BOOST_AUTO_TEST_CASE(an_endpoint_without_a_limit_gets_any_number) {
  request_limits limits;
  BOOST_TEST(!limits.OnResponse(kStart, endpoint, std::nullopt));
  for (int sent = 0; sent < 1000; ++sent) {
    BOOST_TEST(limits.AllowsSend(kStart, endpoint));
    limits.OnSend(kStart, endpoint);
  }
}

// Hosts save up what they may, and then all send at once.
BOOST_AUTO_TEST_CASE(all_hosts_together_stay_within_the_limit) {
  for (const std::size_t count : {1, 2, 9, 40, 195, 2400}) {
    for (const double per_second : {0.0, 0.3, 2.0, 24.0, 400.0, 5875.0}) {
      const auto limit = request_rate::PerSecond(per_second);
      fleet f(count);
      f.State(kStart, limit);
      for (int step = 0; step < 60; ++step) {
        const bool saving = step >= 20 && step < 40;
        if (!saving) {
          f.SendAll(kStart + step * milliseconds(200));
        }
      }
      const auto most = static_cast<double>(f.MostInWindow());
      BOOST_TEST(most <= Allowed(limit),
                 count << " hosts, " << per_second << " per second: " << most);
    }
  }
}

BOOST_AUTO_TEST_CASE(the_limit_is_used) {
  for (const std::size_t count : {1, 9, 195}) {
    const auto limit = request_rate::PerSecond(24);
    fleet f(count);
    f.State(kStart, limit);
    for (int step = 0; step <= 1000; ++step) {
      f.SendAll(kStart + step * milliseconds(10));
    }
    BOOST_TEST(static_cast<double>(f.sends.size()) >=
               0.9 * limit.Over(seconds(10)));
  }
}

// Each host counts no more than five of six.
BOOST_AUTO_TEST_CASE(hosts_that_know_a_part_of_the_others_stay_within_it) {
  for (const std::size_t count : {12, 195}) {
    const auto limit = request_rate::PerSecond(24);
    fleet f(count);
    std::mt19937_64 random(7);
    for (std::size_t number = 0; number < count; ++number) {
      std::vector<host_id> known = f.names;
      std::erase(known, f.names[number]);
      std::ranges::shuffle(known, random);
      known.resize(known.size() - count / 6);
      known.push_back(f.names[number]);
      f.hosts[number].SetSenders(f.names[number], known);
    }
    f.State(kStart, limit);
    for (int step = 0; step < 100; ++step) {
      f.SendAll(kStart + seconds(5) + step * milliseconds(100));
    }
    BOOST_TEST(static_cast<double>(f.MostInWindow()) <= Allowed(limit));
  }
}

BOOST_AUTO_TEST_CASE(a_limit_that_comes_and_goes_gives_no_new_burst) {
  const auto limit = request_rate::PerSecond(20);
  request_limits host;
  host.SetSenders(host_id("h0"), Names(4));
  int sent = 0;
  for (int round = 0; round < 100; ++round) {
    host.OnResponse(kStart + round * milliseconds(10), endpoint, std::nullopt);
    host.OnResponse(kStart + round * milliseconds(10), endpoint, limit);
    while (host.AllowsSend(kStart + round * milliseconds(10), endpoint)) {
      host.OnSend(kStart + round * milliseconds(10), endpoint);
      ++sent;
    }
  }
  BOOST_TEST(sent <= 20);
}

BOOST_AUTO_TEST_CASE(a_cancelled_send_is_given_back) {
  request_limits host;
  host.SetSenders(host_id("h0"), Names(4));
  host.OnResponse(kStart, endpoint, request_rate::PerSecond(2));
  const time_point later = kStart + seconds(2);
  BOOST_TEST(host.AllowsSend(later, endpoint));
  host.OnSend(later, endpoint);
  BOOST_TEST(!host.AllowsSend(later, endpoint));
  host.OnSendCancelled(endpoint);
  BOOST_TEST(host.AllowsSend(later, endpoint));
}

BOOST_AUTO_TEST_CASE(peers_learn_of_a_limit_and_of_its_end) {
  request_limits told;
  request_limits peer;
  told.SetSenders(host_id("h0"), Names(2));
  peer.SetSenders(host_id("h1"), Names(2));
  const auto limit = request_rate::PerSecond(3);
  BOOST_TEST(told.OnResponse(kStart, endpoint, limit));
  auto reports = told.TakeReports(kStart + milliseconds(250), 8);
  BOOST_REQUIRE(reports.size() == 1U);
  BOOST_TEST((reports[0].age == milliseconds(250)));
  BOOST_TEST(peer.OnPeerReport(kStart + milliseconds(251), reports[0]));
  BOOST_TEST((peer.LimitOf(endpoint) == limit));
  BOOST_TEST(!peer.AllowsSend(kStart + milliseconds(251), endpoint));
  // It was not told itself, and reports nothing.
  BOOST_TEST(peer.TakeReports(kStart + seconds(3), 8).empty());

  BOOST_TEST(told.OnResponse(kStart + seconds(4), endpoint, std::nullopt));
  reports = told.TakeReports(kStart + seconds(4), 8);
  BOOST_REQUIRE(reports.size() == 1U);
  BOOST_TEST(peer.OnPeerReport(kStart + seconds(4), reports[0]));
  BOOST_TEST(peer.AllowsSend(kStart + seconds(4), endpoint));
}

BOOST_AUTO_TEST_CASE(an_older_report_changes_nothing) {
  request_limits host;
  host.OnResponse(kStart, endpoint, request_rate::PerSecond(3));
  host.OnResponse(kStart + seconds(1), endpoint, std::nullopt);
  BOOST_TEST(
      !host.OnPeerReport(kStart + seconds(2), {.endpoint = endpoint,
                                               .per_thousand_seconds = 3000,
                                               .age = milliseconds(1500)}));
  BOOST_TEST(!host.LimitOf(endpoint).has_value());
}

// Those without a share hear of the limit in no other way.
BOOST_AUTO_TEST_CASE(limits_in_force_are_reported_to_hosts_without_a_share) {
  request_limits host;
  host.SetSenders(host_id("h0"), Names(195));
  int reports = 0;
  for (int step = 0; step < 40; ++step) {
    const time_point now = kStart + step * milliseconds(250);
    host.OnResponse(now, endpoint, request_rate::PerSecond(3));
    reports += static_cast<int>(host.TakeReports(now, 8).size());
  }
  BOOST_TEST(reports >= 6);
  BOOST_TEST(reports <= 8);
}

BOOST_AUTO_TEST_CASE(limits_that_all_hosts_share_are_reported_as_they_change) {
  request_limits host;
  host.SetSenders(host_id("h0"), Names(7));
  std::size_t reports = 0;
  for (int step = 0; step < 40; ++step) {
    const time_point now = kStart + step * milliseconds(250);
    host.OnResponse(now, endpoint, request_rate::PerSecond(3));
    reports += host.TakeReports(now, 8).size();
  }
  BOOST_TEST(reports == 3U);
}

// The end of a limit may never be reported to a host without a share.
BOOST_AUTO_TEST_CASE(a_host_without_a_share_finds_out_by_itself) {
  request_limits host;
  host.SetSenders(host_id("standby"), Names(4));
  host.OnResponse(kStart, endpoint, request_rate::PerSecond(50));
  BOOST_TEST(!host.AllowsSend(kStart + seconds(29), endpoint));
  const time_point later = kStart + seconds(31);
  BOOST_TEST(host.AllowsSend(later, endpoint));
  host.OnSend(later, endpoint);
  BOOST_TEST(!host.AllowsSend(later + seconds(1), endpoint));
  host.OnResponse(later + seconds(1), endpoint, std::nullopt);
  BOOST_TEST(host.AllowsSend(later + seconds(1), endpoint));
}

}  // namespace trefoilmill
