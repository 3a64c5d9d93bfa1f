/// The entry role: runs callers' queries, from admission to the answer. Lives
/// as long as the process; each query's state lives as long as the query.
#ifndef TREFOILMILLD_ENTRY_TASK_H_
#define TREFOILMILLD_ENTRY_TASK_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "trefoilmill/admission.h"
#include "trefoilmill/caller_query.h"
#include "trefoilmill/entry_context.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/query_run.h"
#include "trefoilmill/settings.h"
#include "trefoilmilld/claim_task.h"
#include "trefoilmilld/document_task.h"
#include "trefoilmilld/fleet_task.h"
#include "trefoilmilld/telemetry.h"

namespace trefoilmill {

/// A recorded answer of an earlier submission with the same key.
struct replayed_answer {
  request_id request;
  std::string body;
};
/// A refusal with the id under which the query ran.
struct query_refusal {
  request_id request;
  failure error;
};
using query_end = std::variant<query_answer, replayed_answer, query_refusal>;

class entry_task {
 public:
  using on_end = std::function<void(const query_end&)>;
  /// Carries a message to the owner role of `owner`, which may be this host;
  /// false if there is no way to it.
  using deliver =
      std::function<bool(const host_id& owner, peer_message message)>;

  entry_task(event_loop& loop,
             const daemon_settings& settings,
             const fleet_task& fleet,
             claim_task& claims,
             telemetry& trace,
             deliver to_owner);

  /// @name Messages in
  /// @{
  void OnDocuments(const documents_in_force& documents);
  /// Starts a query; `done` is called once. Returns the query's id.
  request_id Submit(caller_query query, on_end done);
  /// False if no such query runs here.
  bool Cancel(const request_id& request);
  void OnReplies(const host_id& owner, const shard_reply_message& message);
  void OnHedgeStarted(const host_id& owner,
                      const hedge_started_message& message);
  void OnHostLost(const host_id& host);
  /// @}

  bool ready() const { return admission_.has_value(); }
  std::size_t in_progress() const { return queries_.size(); }
  const entry_context& context() const { return context_; }
  const deployment* config() const { return context_.config.get(); }

 private:
  /// One query in progress.
  struct active_query {
    std::optional<query_run> run;
    std::optional<admission_ticket> ticket;
    std::optional<claim_id> claim;
    time_point arrived;
    on_end done;
    timer wake;
  };
  using query_map = std::map<request_id, std::unique_ptr<active_query>>;

  request_id MakeRequestId();
  void Begin(const request_id& id, caller_query query);
  void BeginClaimed(const request_id& id,
                    const caller_query& query,
                    claim_verdict said);
  void Perform(const request_id& id, query_actions actions);
  void Do(const request_id& id, send_shards& action);
  void Do(const request_id& id, cancel_shards& action);
  void Do(const request_id& id, finish_answer& action);
  void Do(const request_id& id, finish_refusal& action);
  void Do(const request_id& id, wake_query_at& action);
  void GiveReplies(const shard_reply_message& message);
  void RefuseUnsent(const request_id& id, const shard_query_message& message);
  void End(const request_id& id, const query_end& end);
  void EndClaim(claim_id claim, const query_end& end);
  void Trace(const active_query& query, const query_end& end);
  void CountEnd(const active_query& query, const query_end& end);

  event_loop& loop_;
  host_id self_;
  const fleet_task& fleet_;
  claim_task& claims_;
  telemetry& trace_;
  deliver to_owner_;
  entry_context context_;
  std::optional<admission> admission_;
  query_map queries_;
  std::uint64_t last_query_ = 0;
};

}  // namespace trefoilmill

#endif  // TREFOILMILLD_ENTRY_TASK_H_
