#include "trefoilmill/process/cut_off_hosts.h"

namespace trefoilmill {
namespace {

/// How long a host's own word holds; it repeats it several times in this time.
constexpr duration kOwnWordLifetime = std::chrono::milliseconds(1500);
/// Longer, as it is heard only on occasion.
constexpr duration kHearsayLifetime = std::chrono::milliseconds(3000);

}  // namespace

bool cut_off_hosts::OnOwnWord(time_point now,
                              const host_id& host,
                              bool is_cut_off) {
  const bool before = Contains(now, host);
  hearsay_until_.erase(host);
  if (is_cut_off) {
    own_word_until_[host] = now + kOwnWordLifetime;
  } else {
    own_word_until_.erase(host);
  }
  return before != is_cut_off;
}

bool cut_off_hosts::OnHearsay(time_point now, const host_id& host) {
  const bool before = Contains(now, host);
  hearsay_until_[host] = now + kHearsayLifetime;
  return !before;
}

bool cut_off_hosts::Contains(time_point now, const host_id& host) const {
  const auto holds = [&](const beliefs& held) {
    const auto found = held.find(host);
    return found != held.end() && now < found->second;
  };
  return holds(own_word_until_) || holds(hearsay_until_);
}

std::vector<host_id> cut_off_hosts::ByOwnWord(time_point now) const {
  std::vector<host_id> hosts;
  for (const auto& [host, until] : own_word_until_) {
    if (now < until) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

}  // namespace trefoilmill
