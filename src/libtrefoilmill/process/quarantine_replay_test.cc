/// Plays fleets of hosts that tell each other of requests under which endpoints
/// end, with messages lost, hosts restarted and cut off.
#define BOOST_TEST_MODULE quarantine_replay
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "trefoilmill/process/request_quarantine.h"

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// As in quarantine_sync: hosts told at a time, and time between comparisons.
constexpr std::size_t kReceivers = 8;
constexpr std::size_t kReportsPerMessage = 24;
constexpr duration kStep = milliseconds(100);
constexpr int kStepsPerComparison = 10;
/// The platform's rule: so long after the third endpoint has ended at most so
/// many sends reach endpoints.
constexpr duration kContact = seconds(4);
constexpr int kAllowed = 3;

struct fleet_scenario {
  std::size_t hosts = 195;
  std::size_t requests = 6;
  /// How often each request comes, at hosts drawn at random.
  duration interval = milliseconds(200);
  duration length = seconds(30);
  double message_loss = 0.05;
  /// Fraction of the hosts that lose all they know, each second.
  double restarts = 0;
  /// A host is back for this long before its sends count.
  duration learning = seconds(4);
  unsigned seed = 1;
};

/// Hosts that exchange records as quarantine_sync does.
class fleet {
 public:
  explicit fleet(const fleet_scenario& played)
      : played_(played),
        random_(played.seed),
        hosts_(played.hosts),
        started_(played.hosts, time_point()) {}

  void Run() {
    for (; now_ < time_point(played_.length); now_ += kStep) {
      RestartSome();
      for (std::size_t r = 0; r < played_.requests; ++r) {
        if (now_ >= next_[r]) {
          next_[r] = now_ + played_.interval;
          Ask(r, random_() % hosts_.size());
        }
      }
      TellNews();
      if (++step_ % kStepsPerComparison == 0) {
        Compare();
      }
    }
  }

  /// Sends of a request that the rule counts.
  int late_sends(std::size_t request) { return late_sends_[request]; }
  int ends(std::size_t request) { return ends_[request]; }
  /// Messages sent by the busiest host in a step.
  std::size_t most_messages() const { return most_messages_; }
  const std::vector<request_quarantine>& hosts() const { return hosts_; }
  time_point now() const { return now_; }

  static request_identity Request(std::size_t r) {
    return {.content = request_fingerprint(100 + r),
            .content_and_caller = request_fingerprint(1000 + r)};
  }

 private:
  void Ask(std::size_t r, std::size_t host) {
    request_quarantine& asked = hosts_[host];
    if (asked.StandingOf(now_, Request(r)) == request_standing::kQuarantined) {
      return;
    }
    ++ends_[r];
    if (ends_[r] == 3) {
      third_end_[r] = now_;
    }
    const bool learning = now_ - started_[host] < played_.learning;
    if (ends_[r] > 3 && now_ > third_end_[r] + kContact && !learning) {
      ++late_sends_[r];
    }
    asked.OnEndpointEnded(
        now_, {.endpoint = endpoint_id("e" + std::to_string(++endpoints_)),
               .started_ms = 1,
               .request = Request(r),
               .abandoned = false,
               .lost_at = now_});
  }

  void RestartSome() {
    const double chance =
        played_.restarts * std::chrono::duration<double>(kStep).count();
    std::bernoulli_distribution restarts(chance);
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
      if (restarts(random_)) {
        hosts_[host] = request_quarantine();
        started_[host] = now_;
      }
    }
  }

  bool IsLost() {
    return std::bernoulli_distribution(played_.message_loss)(random_);
  }

  void Send(std::size_t to, const std::vector<quarantine_report>& reports) {
    for (const quarantine_report& report : reports) {
      hosts_[to].Merge(now_, report);
    }
  }

  void TellNews() {
    for (request_quarantine& host : hosts_) {
      const auto news = host.TakeNews(now_, kReportsPerMessage);
      for (std::size_t n = 0; !news.empty() && n < kReceivers; ++n) {
        if (!IsLost()) {
          Send(random_() % hosts_.size(), news);
        }
      }
      most_messages_ = std::max(most_messages_, news.empty() ? 0 : kReceivers);
    }
  }

  void Compare() {
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
      const std::size_t other = random_() % hosts_.size();
      if (hosts_[host].size() == 0 || IsLost() ||
          hosts_[host].Digest() == hosts_[other].Digest()) {
        continue;
      }
      Send(host, hosts_[other].Reports(now_, 240));
      Send(other, hosts_[host].Reports(now_, 240));
    }
  }

  fleet_scenario played_;
  std::mt19937_64 random_;
  std::vector<request_quarantine> hosts_;
  std::vector<time_point> started_;
  time_point now_;
  int step_ = 0;
  int endpoints_ = 0;
  std::size_t most_messages_ = 0;
  std::map<std::size_t, time_point> next_;
  std::map<std::size_t, time_point> third_end_;
  std::map<std::size_t, int> ends_;
  std::map<std::size_t, int> late_sends_;
};

void CheckRule(const fleet_scenario& played) {
  fleet f(played);
  f.Run();
  for (std::size_t r = 0; r < played.requests; ++r) {
    BOOST_TEST(f.late_sends(r) <= kAllowed);
    BOOST_TEST(f.ends(r) >= 3);
  }
  BOOST_TEST(f.most_messages() <= kReceivers);
}

}  // namespace

BOOST_AUTO_TEST_CASE(several_requests_in_fleets_of_any_size) {
  for (const std::size_t hosts : {1, 2, 9, 195}) {
    for (const unsigned seed : {1U, 2U, 3U}) {
      CheckRule({.hosts = hosts, .seed = seed});
    }
  }
  CheckRule({.hosts = 2400, .requests = 3, .length = seconds(10)});
}

BOOST_AUTO_TEST_CASE(requests_that_come_rarely) {
  for (const unsigned seed : {1U, 2U, 3U}) {
    CheckRule({.requests = 3,
               .interval = seconds(6),
               .length = seconds(120),
               .seed = seed});
  }
}

BOOST_AUTO_TEST_CASE(hosts_that_are_restarted_all_the_time) {
  for (const std::size_t hosts : {9, 195}) {
    for (const unsigned seed : {1U, 2U, 3U}) {
      CheckRule({.hosts = hosts, .restarts = 0.05, .seed = seed});
    }
  }
}

BOOST_AUTO_TEST_CASE(messages_that_are_lost) {
  for (const unsigned seed : {1U, 2U, 3U}) {
    CheckRule({.message_loss = 0.5, .seed = seed});
  }
}

// What all hosts have recorded is the same in the end, so that comparisons cost
// no more than a digest.
BOOST_AUTO_TEST_CASE(records_converge) {
  fleet f({.hosts = 60, .message_loss = 0.3});
  f.Run();
  for (const request_quarantine& host : f.hosts()) {
    BOOST_TEST(host.Digest() == f.hosts().front().Digest());
  }
}

}  // namespace trefoilmill
