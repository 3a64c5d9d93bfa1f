/// Property test of endpoint_scheduler: random event sequences against a model
/// of an endpoint that restarts cold, keeps running requests whose connection
/// was lost, sheds load and drains.
#define BOOST_TEST_MODULE endpoint_scheduler_property
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "trefoilmill/endpoint_scheduler.h"

namespace trefoilmill {
namespace {

using namespace std::chrono_literals;

/// Random events per simulation.
constexpr int kSteps = 1500;
/// Longest time that the endpoint runs one search.
constexpr duration kMaxRunTime = 400ms;
/// Time until the endpoint notices that the scheduler closed a connection.
constexpr duration kCloseDelay = 5ms;

/// One connection as the endpoint and the network see it.
struct model_connection {
  bool open = false;
  /// The process at the other end; 0 once that process is gone.
  int instance = 0;
  /// Sent by the scheduler but not received by the endpoint yet.
  std::optional<scheduler_action> pending;
  /// The search that the endpoint runs for it.
  std::optional<attempt_id> running;
};

/// A search that the endpoint runs, whether or not its connection still exists.
struct running_attempt {
  int instance = 0;
  time_point ends_at;
};

/// Drives a scheduler with random events and checks it against the model.
class scheduler_simulation {
 public:
  explicit scheduler_simulation(std::uint32_t seed) : random_(seed) {
    limits_.slots = RandomInt(1, 6);
    limits_.connections = RandomInt(limits_.slots + 1, 20);
    limits_.cold_slots = RandomInt(1, 2);
    limits_.cold_connections = RandomInt(1, 4);
    limits_.warmup_successes = RandomInt(1, 4);
    limits_.warmup_step = 20ms;
    scheduler_ = endpoint_scheduler::Create({}, limits_, {}).assume_value();
    Perform(scheduler_->SetStanding(now_, ownership_standing::kCertain));
  }

  /// Runs the simulation. Afterwards, each submitted task must have finished
  /// exactly once.
  void Run() {
    for (int step = 0; step < kSteps; ++step) {
      Step();
      CheckLimits();
    }
    DrainAfterOwnershipLoss();
    RC_ASSERT(finished_ == submitted_);
  }

 private:
  int RandomInt(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random_);
  }

  void Step() {
    now_ += duration(RandomInt(0, 5000));
    RemoveExpired();
    const int choice = RandomInt(0, 999);
    if (choice < 250) {
      SubmitTask();
    } else if (choice < 900) {
      AdvanceRandomConnection();
    } else if (choice < 905) {
      BreakRandomConnection();
    } else if (choice < 910) {
      RestartEndpoint();
    } else if (choice < 925) {
      cold_ = false;
    } else if (choice < 950) {
      Perform(scheduler_->Cancel(now_,
                                 attempt_id(RandomInt(1, last_attempt_ + 1))));
    } else if (choice < 955) {
      ChangeStanding();
    } else if (choice < 965) {
      Perform(scheduler_->SetStanding(now_, ownership_standing::kCertain));
      Perform(scheduler_->SetServingState(now_, serving_state::kInService));
    } else {
      Perform(scheduler_->Tick(now_));
    }
  }

  void SubmitTask() {
    shard_task task;
    task.attempt = attempt_id(++last_attempt_);
    task.deadline = now_ + duration(RandomInt(0, 300000));
    task.priority = RandomInt(0, 9);
    task.idempotent = RandomInt(0, 1) == 0;
    submitted_.insert(task.attempt);
    Perform(scheduler_->Submit(now_, task));
  }

  void ChangeStanding() {
    const auto standing = RandomInt(0, 2);
    Perform(scheduler_->SetStanding(now_, ownership_standing(standing)));
    Perform(scheduler_->SetServingState(
        now_, serving_state(RandomInt(0, 3) == 0 ? 1 : 0)));
  }

  void Perform(const scheduler_actions& actions) {
    for (const scheduler_action& action : actions) {
      std::visit([this](const auto& typed_action) { Apply(typed_action); },
                 action);
    }
  }

  void Apply(const open_connection& action) {
    connections_[action.connection] = {};
  }
  void Apply(const close_connection& action) {
    const auto found = connections_.find(action.connection);
    RC_ASSERT(found != connections_.end());
    // A pending action is lost; a running search goes on.
    if (found->second.open && found->second.instance == instance_) {
      closing_until_.push_back(now_ + kCloseDelay);
    }
    connections_.erase(found);
  }
  void Apply(const send_request& action) {
    RC_ASSERT(sent_.insert(action.attempt).second);
    SetPending(action.connection, action);
  }
  void Apply(const send_cancel& action) {
    SetPending(action.connection, action);
  }
  void Apply(const check_health& action) {
    SetPending(action.connection, action);
  }
  void Apply(const finish_task& action) {
    const shard_reply& reply = action.reply;
    RC_ASSERT(submitted_.contains(reply.attempt));
    RC_ASSERT(finished_.insert(reply.attempt).second);
    if (reply.outcome == verdict::kNotRun) {
      RC_ASSERT(!started_.contains(reply.attempt));
      confirmed_not_run_.insert(reply.attempt);
    }
  }
  void Apply(const hedge_started& /*action*/) {}
  void Apply(const wake_at& action) { RC_ASSERT(action.at > now_); }

  void SetPending(connection_id connection, const scheduler_action& action) {
    model_connection& used = connections_.at(connection);
    RC_ASSERT(used.open && !used.pending.has_value() &&
              !used.running.has_value());
    used.pending = action;
  }

  /// Lets the next event happen on one randomly chosen connection.
  void AdvanceRandomConnection() {
    if (connections_.empty()) {
      return;
    }
    const int chosen = RandomInt(0, static_cast<int>(connections_.size()) - 1);
    const auto found = std::next(connections_.begin(), chosen);
    const connection_id id = found->first;
    model_connection& connection = found->second;
    if (!connection.open) {
      FinishConnecting(id, connection);
    } else if (connection.instance != instance_) {
      EndOldProcessConnection(id, connection);
    } else if (connection.running.has_value()) {
      FinishSearch(id, connection);
    } else if (connection.pending.has_value()) {
      ProcessPending(id, connection);
    }
  }

  /// The connection breaks, or first delivers an answer that the old process
  /// sent before it ended.
  void EndOldProcessConnection(connection_id id, model_connection& connection) {
    if (!connection.running.has_value() || RandomInt(0, 1) == 0) {
      BreakConnection(id);
      return;
    }
    connection.running.reset();
    endpoint_reply reply;
    reply.instance = instance_id(std::to_string(connection.instance));
    Perform(scheduler_->Replied(now_, id, reply));
  }

  void FinishConnecting(connection_id id, model_connection& connection) {
    if (RandomInt(0, 19) == 0) {
      connections_.erase(id);
      Perform(scheduler_->ConnectionFailed(now_, id));
      return;
    }
    connection.open = true;
    connection.instance = instance_;
    Perform(scheduler_->ConnectionOpened(now_, id));
  }

  void ProcessPending(connection_id id, model_connection& connection) {
    const scheduler_action action = *std::exchange(connection.pending, {});
    if (const auto* search = std::get_if<send_request>(&action)) {
      StartSearch(id, connection, *search);
    } else if (const auto* cancel = std::get_if<send_cancel>(&action)) {
      const bool running = running_.contains(cancel->attempt);
      Perform(scheduler_->CancelReplied(
          now_, id, running ? cancel_reply::kRunning : cancel_reply::kUnknown));
    } else {
      Perform(scheduler_->HealthReplied(now_, id, CurrentHealth()));
    }
  }

  void StartSearch(connection_id id,
                   model_connection& connection,
                   const send_request& search) {
    if (RandomInt(0, 49) == 0) {
      const std::array refusals{reply_kind::kShed, reply_kind::kVersionGone,
                                reply_kind::kCancelled};
      const int kind = RandomInt(0, 29);
      Reply(id, kind == 0 ? reply_kind::kDraining : refusals.at(kind % 3));
      return;
    }
    RC_ASSERT(!confirmed_not_run_.contains(search.attempt));
    RC_ASSERT(started_.insert(search.attempt).second);
    running_[search.attempt] = {.instance = instance_,
                                .ends_at = now_ + kMaxRunTime};
    connection.running = search.attempt;
  }

  void FinishSearch(connection_id id, model_connection& connection) {
    running_.erase(*std::exchange(connection.running, {}));
    const std::array kinds{reply_kind::kError, reply_kind::kMalformed,
                           reply_kind::kMismatch};
    const int kind = RandomInt(0, 99);
    Reply(id, kind < 3 ? kinds.at(kind) : reply_kind::kAnswer);
  }

  void Reply(connection_id id, reply_kind kind) {
    endpoint_reply reply;
    reply.kind = kind;
    reply.instance = CurrentInstance();
    Perform(scheduler_->Replied(now_, id, reply));
  }

  /// Breaks the connection; a search that runs on it goes on.
  void BreakConnection(connection_id id) {
    const model_connection broken = connections_.at(id);
    connections_.erase(id);
    const bool carries_search =
        broken.running.has_value() ||
        (broken.pending.has_value() &&
         std::holds_alternative<send_request>(*broken.pending));
    if (!broken.open) {
      Perform(scheduler_->ConnectionFailed(now_, id));
    } else if (carries_search) {
      Perform(scheduler_->Replied(now_, id, BrokenReply(broken)));
    } else if (!broken.pending.has_value()) {
      Perform(scheduler_->ConnectionClosed(now_, id));
    } else if (std::holds_alternative<send_cancel>(*broken.pending)) {
      Perform(scheduler_->CancelReplied(now_, id, cancel_reply::kFailed));
    } else {
      Perform(scheduler_->HealthReplied(now_, id, std::nullopt));
    }
  }

  endpoint_reply BrokenReply(const model_connection& broken) {
    endpoint_reply reply;
    const bool gone = broken.pending.has_value() && RandomInt(0, 1) == 0;
    reply.kind = gone ? reply_kind::kNotSent : reply_kind::kReset;
    return reply;
  }

  void BreakRandomConnection() {
    if (!connections_.empty()) {
      const int chosen =
          RandomInt(0, static_cast<int>(connections_.size()) - 1);
      BreakConnection(std::next(connections_.begin(), chosen)->first);
    }
  }

  /// Replaces the endpoint's process by a cold one. The scheduler learns of it
  /// on each connection separately.
  void RestartEndpoint() {
    ++instance_;
    cold_ = true;
    running_.clear();
    closing_until_.clear();
  }

  void RemoveExpired() {
    std::erase_if(closing_until_, [this](time_point at) { return at <= now_; });
    std::erase_if(running_, [this](const auto& item) {
      return item.second.ends_at <= now_;
    });
  }

  instance_id CurrentInstance() const {
    return instance_id(std::to_string(instance_));
  }

  health_report CurrentHealth() const {
    return {.instance = CurrentInstance(),
            .state = cold_ ? reported_state::kCold : reported_state::kWarm};
  }

  /// The endpoint's limits must hold for its current process, counting
  /// connections whose end it has not noticed yet.
  void CheckLimits() {
    const auto open_now =
        std::ranges::count_if(connections_, [&](const auto& c) {
          return c.second.open && c.second.instance == instance_;
        });
    const auto held =
        open_now + static_cast<std::int64_t>(closing_until_.size());
    const auto running = static_cast<int>(running_.size());
    RC_ASSERT(running <= (cold_ ? std::min(limits_.cold_slots, limits_.slots)
                                : limits_.slots));
    RC_ASSERT(held <= limits_.connections);
    if (cold_) {
      RC_ASSERT(open_now <= limits_.cold_connections);
    }
  }

  /// Ends ownership and waits until every task must have finished.
  void DrainAfterOwnershipLoss() {
    Perform(scheduler_->SetStanding(now_, ownership_standing::kNotOwner));
    for (int i = 0; i < 50; ++i) {
      now_ += kMaxRunTime;
      Perform(scheduler_->Tick(now_));
    }
  }

  std::mt19937 random_;
  endpoint_limits limits_;
  time_point now_{1h};
  std::optional<endpoint_scheduler> scheduler_;
  std::map<connection_id, model_connection> connections_;
  /// When the endpoint notices each closed connection.
  std::vector<time_point> closing_until_;
  std::map<attempt_id, running_attempt> running_;
  int instance_ = 1;
  bool cold_ = true;
  std::uint64_t last_attempt_ = 0;
  std::set<attempt_id> submitted_;
  std::set<attempt_id> sent_;
  std::set<attempt_id> started_;
  std::set<attempt_id> confirmed_not_run_;
  std::set<attempt_id> finished_;
};

}  // namespace

BOOST_AUTO_TEST_CASE(limits_and_verdicts_hold_over_random_sequences) {
  const bool held = rc::check("limits and verdicts", [] {
    scheduler_simulation(*rc::gen::arbitrary<std::uint32_t>()).Run();
  });
  BOOST_TEST(held);
}

}  // namespace trefoilmill
