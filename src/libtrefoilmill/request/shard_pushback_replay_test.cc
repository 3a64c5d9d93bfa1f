/// Replays a shard of which every endpoint refuses and asks for a pause while
/// the load is higher than usual: who is sent to meanwhile, what callers get,
/// and what happens when the pause ends.
#define BOOST_TEST_MODULE shard_pushback_replay
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <iterator>
#include <map>
#include <ranges>
#include <set>
#include <utility>
#include <vector>

#include "endpoint_simulation_test.h"

namespace trefoilmill {
namespace {

using simulation::answered_attempt;
using simulation::arrival;
using simulation::request_kind;
using simulation::scenario;
using simulation::world;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// The load is raised at this time, and stays so.
constexpr time_point kRaised(seconds(3));
constexpr double kRaisedLoad = 1.5;
/// All endpoints of the first shard refuse between these times.
constexpr time_point kFrom(seconds(5));
constexpr duration kPause = seconds(2);
constexpr time_point kTo = kFrom + kPause;
/// A host may prolong a pause by up to a tenth; callers may be told to return
/// within as long again.
constexpr duration kLongestPause = kPause + kPause / 10;
constexpr duration kCallerReturnSpread = kPause / 10;
/// What is on its way to an endpoint when it refuses may take this long.
constexpr duration kSettling = milliseconds(500);
constexpr int kMaxSendsIntoPause = 2;
/// The least time after which a refused caller is told to return.
constexpr duration kMinReturn = milliseconds(100);
/// Part of the goodput before the pause that has to remain.
constexpr double kGoodputKept = 0.8;
constexpr duration kHerdWindow = milliseconds(100);

/// Settings that no play changes.
const scenario defaults;

struct recording {
  /// At the endpoints of the shard that pushes back.
  std::vector<arrival> arrivals;
  std::vector<answered_attempt> answers;
};

/// Requests per second before the load is raised: then endpoints work for a
/// quarter or for two thirds of their time.
constexpr double kUsualRates[] = {60, 150};
/// Several, as arrivals at random differ by more than a tenth between seconds.
constexpr unsigned kSeeds[] = {1, 2, 3, 4, 5};

/// Whether endpoints also answer nothing for short times, unannounced.
enum class other_trouble { kNone, kShortPauses };

scenario PushingBack(double usual_rate, other_trouble trouble, unsigned seed) {
  scenario played;
  played.length = seconds(11);
  played.seed = seed;
  played.rate = usual_rate;
  if (trouble == other_trouble::kNone) {
    played.pause = duration::zero();
  }
  played.load = [](time_point now) {
    return now >= kRaised ? kRaisedLoad : 1.0;
  };
  played.whole_share = 0.2;
  played.lookup_share = 0.2;
  played.pushback = [](int shard, int /*replica*/,
                       time_point now) -> std::optional<duration> {
    if (shard != 0 || now < kFrom || now >= kTo) {
      return std::nullopt;
    }
    return kPause;
  };
  return played;
}

recording Play(scenario played) {
  recording seen;
  played.on_arrival = [&seen](const arrival& a) {
    if (a.shard == 0) {
      seen.arrivals.push_back(a);
    }
  };
  played.on_answer = [&seen](const answered_attempt& a) {
    seen.answers.push_back(a);
  };
  world(std::move(played)).Play();
  return seen;
}

/// Plays one load with all seeds; each is played once.
const std::vector<recording>& PlaysOf(double usual_rate,
                                      other_trouble trouble) {
  static std::map<std::pair<double, other_trouble>, std::vector<recording>>
      played;
  std::vector<recording>& plays = played[{usual_rate, trouble}];
  if (plays.empty()) {
    for (const unsigned seed : kSeeds) {
      plays.push_back(Play(PushingBack(usual_rate, trouble, seed)));
    }
  }
  return plays;
}

/// The most sends of a host to an endpoint that it has to leave alone.
std::ptrdiff_t MostSendsIntoPause(const recording& seen) {
  std::ptrdiff_t most = 0;
  for (const arrival& refused : seen.arrivals) {
    if (!refused.pause.has_value()) {
      continue;
    }
    most = std::max(
        most, std::ranges::count_if(seen.arrivals, [&](const arrival& a) {
          return a.host == refused.host && a.replica == refused.replica &&
                 a.at > refused.at + kSettling &&
                 a.at < refused.at + *refused.pause;
        }));
  }
  return most;
}

/// When the shard is usable again, as far as a host knows.
struct usable_again {
  /// The first of the endpoints' pauses ends.
  time_point earliest;
  /// The latest that a caller may be told.
  time_point latest;
};

/// What `host` knows at `now`; nullopt if an endpoint did not refuse yet.
std::optional<usable_again> KnownTo(const recording& seen,
                                    std::size_t host,
                                    time_point now) {
  std::map<int, time_point> refused_at;
  for (const arrival& a : seen.arrivals) {
    if (a.host == host && a.pause.has_value() && a.at + world::kOneWay <= now) {
      refused_at[a.replica] = a.at;
    }
  }
  if (refused_at.size() < static_cast<std::size_t>(defaults.replicas)) {
    return std::nullopt;
  }
  const time_point first = std::ranges::min(std::views::values(refused_at));
  return usable_again{
      .earliest = first + kPause,
      .latest = first + world::kOneWay + kLongestPause + kCallerReturnSpread};
}

/// The attempts that arrived at a host which knew that the shard is paused.
std::vector<answered_attempt> AskedInPause(const recording& seen) {
  std::vector<answered_attempt> asked;
  std::ranges::copy_if(seen.answers, std::back_inserter(asked),
                       [&](const answered_attempt& a) {
                         const auto known = KnownTo(seen, a.host, a.asked);
                         return known.has_value() && a.asked < known->earliest;
                       });
  return asked;
}

/// What callers were told who were refused in the pause.
struct returns {
  int refused = 0;
  int early = 0;
  int late = 0;
};

void CountReturns(const recording& seen, returns& total) {
  for (const answered_attempt& a : seen.answers) {
    const auto* refused = std::get_if<refused_answer>(&a.answer);
    const auto known = KnownTo(seen, a.host, a.answered);
    if (refused == nullptr || a.kind == request_kind::kSweep ||
        !known.has_value() || a.answered >= known->earliest) {
      continue;
    }
    const time_point back = a.answered + refused->retry_after;
    const time_point latest = std::max(known->latest, a.answered + kMinReturn);
    ++total.refused;
    total.early += back < known->earliest ? 1 : 0;
    total.late += back > latest ? 1 : 0;
  }
}

bool IsPrompt(const answered_attempt& a) {
  return a.answered + world::kCallerWay - a.asked <= defaults.objective;
}

bool IsServed(const answered_attempt& a) {
  return IsPrompt(a) && (std::holds_alternative<gathered_answer>(a.answer) ||
                         std::holds_alternative<relayed_answer>(a.answer));
}

/// Part of the other shards that a sweep's answer includes.
double OtherShards(const answered_attempt& a) {
  const auto* gathered = std::get_if<gathered_answer>(&a.answer);
  if (a.kind != request_kind::kSweep || gathered == nullptr) {
    return 0;
  }
  const auto included = std::ranges::count_if(
      gathered->stamps,
      [](const std::string& stamp) { return !stamp.starts_with("s0-"); });
  return static_cast<double>(included) / (defaults.shards - 1);
}

/// Part of its shards that an answer of any kind includes.
double AllShards(const answered_attempt& a) {
  if (std::holds_alternative<relayed_answer>(a.answer)) {
    return 1;
  }
  const auto* gathered = std::get_if<gathered_answer>(&a.answer);
  return gathered == nullptr
             ? 0
             : static_cast<double>(gathered->stamps.size()) / defaults.shards;
}

/// Prompt answers per second to attempts that began in a period, mean of all
/// plays. Each counts as `worth` says.
double Goodput(const std::vector<recording>& plays,
               time_point from,
               time_point to,
               double (*worth)(const answered_attempt&)) {
  double sum = 0;
  for (const answered_attempt& a :
       plays | std::views::transform(&recording::answers) | std::views::join) {
    if (a.asked >= from && a.asked < to && IsPrompt(a)) {
      sum += worth(a);
    }
  }
  return sum / std::chrono::duration<double>(to - from).count() /
         static_cast<double>(plays.size());
}

/// Arrivals at an endpoint within kHerdWindow from `first` on.
std::ptrdiff_t ArrivalsFrom(const recording& seen, const arrival& first) {
  return std::ranges::count_if(seen.arrivals, [&](const arrival& a) {
    return a.replica == first.replica && a.at >= first.at &&
           a.at < first.at + kHerdWindow;
  });
}

/// The most arrivals at an endpoint within kHerdWindow, in a period.
std::ptrdiff_t MostAtOnce(const std::vector<recording>& plays,
                          time_point from,
                          time_point to) {
  std::ptrdiff_t most = 0;
  for (const recording& seen : plays) {
    for (const arrival& first : seen.arrivals) {
      if (first.at >= from && first.at < to) {
        most = std::max(most, ArrivalsFrom(seen, first));
      }
    }
  }
  return most;
}

/// The most arrivals at an endpoint within kHerdWindow from the first one after
/// its pause.
std::ptrdiff_t MostAtFirst(const std::vector<recording>& plays) {
  std::ptrdiff_t most = 0;
  for (const recording& seen : plays) {
    std::set<int> returned;
    for (const arrival& a : seen.arrivals) {
      if (a.at >= kTo && returned.insert(a.replica).second) {
        most = std::max(most, ArrivalsFrom(seen, a));
      }
    }
  }
  return most;
}

/// What an endpoint can take at once, and what it runs within kHerdWindow.
const std::ptrdiff_t bearable =
    defaults.slots + static_cast<std::ptrdiff_t>(defaults.queue);
const std::ptrdiff_t run_meanwhile =
    defaults.slots * (kHerdWindow / defaults.work);

}  // namespace

// Sends to an endpoint that refused are not repeated until its pause ends.
BOOST_AUTO_TEST_CASE(endpoints_on_pause_are_left_alone) {
  for (const double rate : kUsualRates) {
    BOOST_TEST_CONTEXT("usual load " << rate) {
      std::ptrdiff_t most = 0;
      for (const recording& seen : PlaysOf(rate, other_trouble::kShortPauses)) {
        most = std::max(most, MostSendsIntoPause(seen));
      }
      BOOST_TEST_MESSAGE("at most "
                         << most << " sends of a host to an endpoint on pause");
      BOOST_TEST(most <= kMaxSendsIntoPause);
    }
  }
}

BOOST_AUTO_TEST_CASE(requests_that_need_the_shard_are_refused_at_once) {
  for (const double rate : kUsualRates) {
    BOOST_TEST_CONTEXT("usual load " << rate) {
      int needing = 0;
      int refused_at_once = 0;
      for (const recording& seen : PlaysOf(rate, other_trouble::kShortPauses)) {
        for (const answered_attempt& a : AskedInPause(seen)) {
          if (a.kind == request_kind::kSweep) {
            continue;
          }
          ++needing;
          const bool refused = std::holds_alternative<refused_answer>(a.answer);
          refused_at_once += refused && a.answered == a.asked ? 1 : 0;
        }
      }
      BOOST_TEST_MESSAGE(refused_at_once << " of " << needing
                                         << " that need it refused at once");
      BOOST_TEST(needing > 0);
      BOOST_TEST(refused_at_once == needing);
    }
  }
}

// Also callers whose request made the host learn of the pauses.
BOOST_AUTO_TEST_CASE(refused_callers_return_when_the_shard_is_usable) {
  for (const double rate : kUsualRates) {
    BOOST_TEST_CONTEXT("usual load " << rate) {
      returns total;
      for (const recording& seen : PlaysOf(rate, other_trouble::kShortPauses)) {
        CountReturns(seen, total);
      }
      BOOST_TEST_MESSAGE("of "
                         << total.refused << " refused callers " << total.early
                         << " are told to return too early, " << total.late
                         << " too late");
      BOOST_TEST(total.refused > 0);
      BOOST_TEST(total.early == 0);
      BOOST_TEST(total.late == 0);
    }
  }
}

// Whichever host they ask then.
BOOST_AUTO_TEST_CASE(callers_that_return_find_the_shard_usable) {
  for (const double rate : kUsualRates) {
    BOOST_TEST_CONTEXT("usual load " << rate) {
      int returned = 0;
      int in_vain = 0;
      int served = 0;
      for (const recording& seen : PlaysOf(rate, other_trouble::kShortPauses)) {
        for (const answered_attempt& a : seen.answers) {
          const bool was_paused = a.refused_before == reason_code::kNoReplica ||
                                  a.refused_before == reason_code::kShed;
          const auto* refused = std::get_if<refused_answer>(&a.answer);
          const bool is_paused =
              refused != nullptr && refused->reason == reason_code::kNoReplica;
          returned += was_paused ? 1 : 0;
          in_vain += was_paused && is_paused ? 1 : 0;
          served += was_paused && IsServed(a) ? 1 : 0;
        }
      }
      BOOST_TEST_MESSAGE(in_vain << " of " << returned
                                 << " callers returned while it was on pause, "
                                 << served << " were answered in time");
      BOOST_TEST(returned > 0);
      BOOST_TEST(in_vain == 0);
    }
  }
}

// With other trouble a second shard may be late, which is one too many.
BOOST_AUTO_TEST_CASE(requests_that_can_do_without_the_shard_are_answered) {
  for (const double rate : kUsualRates) {
    BOOST_TEST_CONTEXT("usual load " << rate) {
      int sweeps = 0;
      int partial_and_prompt = 0;
      for (const recording& seen : PlaysOf(rate, other_trouble::kNone)) {
        for (const answered_attempt& a : AskedInPause(seen)) {
          const auto* gathered = std::get_if<gathered_answer>(&a.answer);
          sweeps += a.kind == request_kind::kSweep ? 1 : 0;
          partial_and_prompt +=
              gathered != nullptr && gathered->missing == 1 && IsPrompt(a) ? 1
                                                                           : 0;
        }
      }
      BOOST_TEST_MESSAGE(partial_and_prompt << " of " << sweeps
                                            << " sweeps partial and in time");
      BOOST_TEST(sweeps > 0);
      BOOST_TEST(partial_and_prompt == sweeps);
    }
  }
}

BOOST_AUTO_TEST_CASE(the_other_shards_goodput_is_kept) {
  for (const double rate : kUsualRates) {
    BOOST_TEST_CONTEXT("usual load " << rate) {
      const auto& plays = PlaysOf(rate, other_trouble::kShortPauses);
      const double before = Goodput(plays, kRaised, kFrom, OtherShards);
      const double during = Goodput(plays, kFrom, kTo, OtherShards);
      BOOST_TEST_MESSAGE("other shards' goodput "
                         << before << "/s before the pause, " << during
                         << " in it");
      BOOST_TEST(during >= kGoodputKept * before);
    }
  }
}

BOOST_AUTO_TEST_CASE(endpoints_are_not_hit_by_everything_when_the_pause_ends) {
  for (const double rate : kUsualRates) {
    BOOST_TEST_CONTEXT("usual load " << rate) {
      const auto& plays = PlaysOf(rate, other_trouble::kShortPauses);
      const std::ptrdiff_t usual = MostAtOnce(plays, kRaised, kFrom);
      const std::ptrdiff_t at_first = MostAtFirst(plays);
      const std::ptrdiff_t after = MostAtOnce(plays, kTo, kTo + seconds(1));
      BOOST_TEST_MESSAGE("arrivals at an endpoint in 100 ms: "
                         << at_first << " at most when it is used again, "
                         << after << " within a second of its pause, " << usual
                         << " before it");
      BOOST_TEST(at_first <= bearable);
      BOOST_TEST(after <= bearable + run_meanwhile);
    }
  }
}

BOOST_AUTO_TEST_CASE(the_goodput_is_back_a_second_after_the_pause) {
  for (const double rate : kUsualRates) {
    BOOST_TEST_CONTEXT("usual load " << rate) {
      const auto& plays = PlaysOf(rate, other_trouble::kShortPauses);
      const double before = Goodput(plays, kRaised, kFrom, AllShards);
      const double after =
          Goodput(plays, kTo + seconds(1), kTo + seconds(2), AllShards);
      BOOST_TEST_MESSAGE("goodput " << before << "/s before the pause, "
                                    << after << " a second after it");
      BOOST_TEST(after >= kGoodputKept * before);
    }
  }
}

}  // namespace trefoilmill
