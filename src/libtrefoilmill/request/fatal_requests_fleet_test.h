/// Fleets whose endpoints end under some requests while their ports stay open:
/// connections are reset, or nothing answers any more. Such requests come again
/// at all hosts, beside others. Without a network; request_run and what it uses
/// are the product's.
#ifndef TREFOILMILL_LIBTREFOILMILL_REQUEST_FATAL_REQUESTS_FLEET_TEST_H_
#define TREFOILMILL_LIBTREFOILMILL_REQUEST_FATAL_REQUESTS_FLEET_TEST_H_

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "fatal_requests_hosts_test.h"

namespace trefoilmill {

/// The platform's rule counts retries that reach endpoints so long after the
/// third end.
inline constexpr duration kContact = seconds(4);

inline constexpr duration kFatalAfter = milliseconds(30);
inline constexpr duration kDown = seconds(2);
/// Until hosts know of a new instance.
inline constexpr duration kMaxAnnouncement = milliseconds(300);

/// Callers, and endpoints that end under some of their requests.
class fleet : public fleet_hosts {
 public:
  explicit fleet(const fleet_scenario& played) : fleet_hosts(played) {
    BuildTable();
  }

  void Play() {
    for (std::size_t n = 0; n < played_.fatal_requests; ++n) {
      At(now() + seconds(1), [this, n] { AskFatal(n); });
    }
    At(now(), [this] { AskOther(); });
    if (played_.all_end_at.has_value()) {
      At(now() + *played_.all_end_at, [this] {
        for (endpoint_model& e : endpoints_) {
          GoDown(e);
        }
      });
    }
    events_.RunUntil(now() + played_.length);
  }

  /// Of a fatal request, those that the rule counts.
  std::size_t late_retries(std::size_t fatal) const {
    const auto& ended = ends_by_.find(fatal);
    if (ended == ends_by_.end() || ended->second.size() < 3) {
      return 0;
    }
    const time_point third = ended->second[2];
    return static_cast<std::size_t>(
        std::ranges::count_if(reached_, [&](const auto& retry) {
          return retry.first == fatal && retry.second > third + kContact;
        }));
  }
  std::size_t ends() const { return ends_; }
  double served() const {
    return static_cast<double>(served_) / static_cast<double>(answered_);
  }

 private:
  std::vector<service_id> Services() const {
    std::vector<service_id> services(played_.shards);
    std::ranges::generate(services, [shard = std::size_t{0}]() mutable {
      return Service(shard++);
    });
    return services;
  }

  void BuildTable() {
    route r;
    r.id = route_id("sweep");
    r.host = "h";
    r.prefix = "/";
    r.retry = retry_rule::kIdempotent;
    r.timeout = seconds(3);
    r.objective = seconds(1);
    r.priority = 1;
    r.max_endpoints = 2;
    r.target =
        gather_target{.shards = Services(), .top_k = 5, .min_coverage = 0.8};
    routing_config config;
    config.routes = {r};
    table_ = route_table::Create(std::move(config)).value();
  }

  void AskFatal(std::size_t number) {
    At(now() + played_.fatal_interval, [this, number] { AskFatal(number); });
    Ask(random_() % hosts_.size(),
        {.identity = {.content = request_fingerprint(10 + number),
                      .content_and_caller = request_fingerprint(100 + number)},
         .fatal = number});
  }

  void AskOther() {
    std::exponential_distribution<double> gap(played_.others_per_second);
    At(now() + std::chrono::duration_cast<duration>(
                   std::chrono::duration<double>(gap(random_))),
       [this] { AskOther(); });
    const std::uint64_t unique = 1000 + 2 * ++others_;
    Ask(random_() % hosts_.size(),
        {.identity = {.content = request_fingerprint(unique),
                      .content_and_caller = request_fingerprint(unique + 1)}});
  }

  void Ask(std::size_t at, active_request asked) {
    host& h = *hosts_[at];
    asked.asked = now();
    if (h.shared.quarantine.StandingOf(now(), asked.identity) ==
        request_standing::kQuarantined) {
      OnAnswered(asked, false);
      return;
    }
    const route* r = table_->Match("h", "/x");
    asked.run = std::make_unique<request_run>(
        table_, *r, Services(), now(), now() + seconds(3), asked.identity);
    const std::uint64_t number = ++requests_;
    active_request& active = h.requests[number] = std::move(asked);
    Carry(at, number, active.run->Start(now(), h.shared));
  }

  void Carry(std::size_t at,
             std::uint64_t number,
             const request_run::actions& actions) {
    host& h = *hosts_[at];
    for (const request_run::action& action : actions) {
      if (const auto* s = std::get_if<request_run::send>(&action)) {
        At(now() + kOneWay,
           [this, at, number, sent = *s] { Arrive(at, number, sent); });
      } else if (const auto* w = std::get_if<request_run::wake>(&action)) {
        const std::uint64_t wake = ++h.requests.at(number).wakes;
        At(w->at, [this, at, number, wake] { Wake(at, number, wake); });
      } else if (const auto* f = std::get_if<request_run::finish>(&action)) {
        const auto* gathered = std::get_if<gathered_answer>(&f->answer);
        const bool whole = gathered != nullptr && gathered->missing == 0;
        OnAnswered(h.requests.at(number), whole);
        At(now(), [this, at, number] { Abandon(at, number); });
      }
    }
  }

  void Wake(std::size_t at, std::uint64_t number, std::uint64_t wake) {
    host& h = *hosts_[at];
    const auto found = h.requests.find(number);
    if (found != h.requests.end() && found->second.wakes == wake) {
      request_run& run = *found->second.run;
      const silence_warning warned = run.counts().warned;
      const request_run::actions next = run.Tick(now(), h.shared);
      if (run.counts().warned != warned) {
        ScheduleNews(h);
      }
      Carry(at, number, next);
    }
  }

  /// Callers that got no whole answer come once more, at another host.
  void OnAnswered(const active_request& asked, bool whole) {
    if (asked.fatal.has_value()) {
      return;
    }
    if (!whole && !asked.is_retry) {
      At(now() + milliseconds(10), [this, identity = asked.identity] {
        Ask(random_() % hosts_.size(),
            {.identity = identity, .is_retry = true});
      });
      return;
    }
    ++answered_;
    served_ += whole ? 1 : 0;
  }

  /// The request is answered: what is still in flight has no outcome.
  void Abandon(std::size_t at, std::uint64_t number) {
    for (endpoint_model& e : endpoints_) {
      std::vector<job> abandoned;
      std::erase_if(e.jobs, [&](const job& j) {
        const bool ends = j.request == number;
        if (ends) {
          abandoned.push_back(j);
        }
        return ends;
      });
      for (const job& j : abandoned) {
        Report(j, reply_lost{reason_code::kDeadlineExceeded});
      }
    }
    hosts_[at]->requests.erase(number);
  }

  void Report(const job& j, attempt_outcome outcome) {
    host& h = *hosts_[j.host];
    const auto found = h.requests.find(j.request);
    if (found == h.requests.end()) {
      return;
    }
    const bool lost = std::holds_alternative<reply_lost>(outcome);
    Carry(j.host, j.request,
          found->second.run->OnOutcome(now(), h.shared, j.attempt,
                                       std::move(outcome)));
    if (lost) {
      TellNews(h);
      StartChecks(j.host);
    }
  }

  void Arrive(std::size_t at,
              std::uint64_t number,
              const request_run::send& sent) {
    const auto found = hosts_[at]->requests.find(number);
    if (found == hosts_[at]->requests.end()) {
      return;
    }
    endpoint_model& e = endpoints_[NumberOf(sent.endpoint)];
    const job j{.host = at, .request = number, .attempt = sent.attempt};
    if (sent.endpoint != IdOf(e)) {
      hosts_[at]->shared.selector.crashes().OnInstanceGone(now(),
                                                           sent.endpoint);
      Report(j, endpoint_refused{reason_code::kWrongInstance});
      return;
    }
    if (e.down && played_.form == down_form::kReset) {
      Report(j, reply_lost{reason_code::kConnectionReset});
      return;
    }
    e.jobs.push_back(j);
    if (e.down) {
      return;
    }
    const auto fatal = found->second.fatal;
    if (fatal.has_value()) {
      reached_.insert({*fatal, found->second.asked});
    }
    At(now() + (fatal.has_value() ? kFatalAfter : kWork + kOneWay),
       [this, number = e.number, life = e.life, j, fatal] {
         EndJob(endpoints_[number], life, j, fatal);
       });
  }

  void EndJob(endpoint_model& e,
              std::uint64_t life,
              const job& j,
              std::optional<std::size_t> fatal) {
    if (e.life != life || e.down) {
      return;
    }
    if (fatal.has_value()) {
      ends_by_[*fatal].push_back(now());
      GoDown(e);
      return;
    }
    const auto removed = std::erase_if(e.jobs, [&](const job& other) {
      return other.attempt == j.attempt && other.host == j.host;
    });
    if (removed == 0) {
      return;
    }
    shared_request_state& shared = hosts_[j.host]->shared;
    OnResponse(shared, IdOf(e));
    endpoint_replied reply;
    reply.response.body = std::string(kRecordBytes, 'x');
    reply.stamp = "stamp";
    Report(j, reply);
  }

  void GoDown(endpoint_model& e) {
    if (e.down) {
      return;
    }
    e.down = true;
    ++ends_;
    if (played_.form == down_form::kReset) {
      LoseJobs(e);
      // Idle connections are reset, too, and new ones at once.
      for (const auto& h : hosts_) {
        h->shared.selector.SetIdleConnections(IdOf(e), 0);
      }
    }
    At(now() + kDown,
       [this, number = e.number] { Restart(endpoints_[number]); });
  }

  void LoseJobs(endpoint_model& e) {
    for (const job& j : std::exchange(e.jobs, {})) {
      Report(j, reply_lost{reason_code::kConnectionReset});
    }
  }

  void Restart(endpoint_model& e) {
    const endpoint_id ended = IdOf(e);
    LoseJobs(e);
    ++e.life;
    e.down = false;
    for (const auto& h : hosts_) {
      const duration delay(random_() % kMaxAnnouncement.count());
      At(now() + delay, [this, &h = *h, ended, &e] {
        h.shared.registry.Withdraw(now(), ended);
        Announce(h, e);
      });
    }
  }

  std::shared_ptr<const route_table> table_;
  std::uint64_t requests_ = 0;
  std::uint64_t others_ = 0;
  std::size_t ends_ = 0;
  std::map<std::size_t, std::vector<time_point>> ends_by_;
  /// Fatal requests that reached endpoints, and when they were sent.
  std::set<std::pair<std::size_t, time_point>> reached_;
  std::size_t answered_ = 0;
  std::size_t served_ = 0;
};

/// Seeds to play; more by hand, with `-- 20`.
inline unsigned LastSeed() {
  const auto& arguments = boost::unit_test::framework::master_test_suite();
  return arguments.argc > 1
             ? static_cast<unsigned>(std::atoi(arguments.argv[1]))
             : 1;
}

/// Fleets of the users' sizes. In the largest each host has few requests.
inline const std::vector<fleet_scenario> fleets = {
    {.hosts = 9, .shards = 5, .replicas = 3, .others_per_second = 40},
    {.hosts = 74, .shards = 12, .replicas = 3, .others_per_second = 150},
    {.hosts = 195, .shards = 42, .replicas = 3, .others_per_second = 150}};

/// Plays one and three fatal requests in both forms in each fleet.
inline void PlayAll(
    duration length,
    const std::function<void(const fleet_scenario&, const fleet&)>& check) {
  for (fleet_scenario played : fleets) {
    for (const down_form form : {down_form::kReset, down_form::kSilent}) {
      for (const std::size_t fatal : {1U, 3U}) {
        played.form = form;
        played.fatal_requests = fatal;
        played.length = length;
        for (played.seed = 1; played.seed <= LastSeed(); ++played.seed) {
          fleet f(played);
          f.Play();
          check(played, f);
        }
      }
    }
  }
}

/// For the message of a failed check.
inline std::string Describe(const fleet_scenario& played, const fleet& f) {
  std::ostringstream text;
  text << played.hosts << " hosts, seed " << played.seed << ", "
       << played.fatal_requests << " fatal, "
       << (played.form == down_form::kSilent ? "silent: " : "reset: ")
       << f.ends() << " ends, " << f.served() << " served";
  return text.str();
}

}  // namespace trefoilmill

#endif  // TREFOILMILL_LIBTREFOILMILL_REQUEST_FATAL_REQUESTS_FLEET_TEST_H_
