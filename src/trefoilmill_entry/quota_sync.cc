#include "trefoilmill_entry/quota_sync.h"

#include <utility>

namespace trefoilmill::entry {

quota_sync::quota_sync(event_loop& loop,
                       shared_request_state& shared_state,
                       peer_datagrams& datagrams,
                       std::function<void()> on_lent)
    : loop_(loop),
      shared_state_(shared_state),
      datagrams_(datagrams),
      on_lent_(std::move(on_lent)) {}

void quota_sync::SetRouteTable(std::shared_ptr<const route_table> table) {
  table_ = std::move(table);
}

void quota_sync::SendWants() {
  for (auto& [host, wants] : shared_state_.quotas.TakeWants(loop_.Now())) {
    datagrams_.Send(host, quota_request_message{.wanted = std::move(wants)});
  }
}

void quota_sync::RunHousekeeping() {
  if (shared_state_.quotas.size() > 0) {
    SendWants();
    shared_state_.quotas.RemoveIdle(loop_.Now());
  }
}

void quota_sync::OnRequest(const host_id& from,
                           const quota_request_message& message) {
  quota_grant_message grant;
  for (const permit_amount& wanted : message.wanted) {
    const organisation* owner =
        table_ == nullptr ? nullptr : table_->Find(wanted.organisation);
    const request_quota quota =
        owner == nullptr ? request_quota() : owner->quota;
    const permit_amount lent =
        shared_state_.quotas.Lend(loop_.Now(), wanted, quota);
    if (wanted.milli > 0) {
      grant.lent.push_back(lent);
    }
  }
  if (!grant.lent.empty()) {
    datagrams_.Send(from, grant);
  }
}

void quota_sync::OnGrant(const host_id& from,
                         const quota_grant_message& message) {
  for (const permit_amount& lent : message.lent) {
    shared_state_.quotas.OnLent(loop_.Now(), from, lent);
  }
  on_lent_();
  SendWants();
}

}  // namespace trefoilmill::entry
