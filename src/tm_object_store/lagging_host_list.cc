#include "tm_object_store/lagging_host_list.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace trefoilmill {

lagging_host_list::lagging_host_list(std::string first) {
  editions_.push_back({.since = time_point::min(), .hosts = std::move(first)});
}

void lagging_host_list::Set(std::string hosts, time_point now) {
  editions_.push_back({.since = now, .hosts = std::move(hosts)});
}

const std::string& lagging_host_list::At(time_point now, duration lag) const {
  // The first edition is older than any moment.
  const auto newest_first = std::views::reverse(editions_);
  const auto found = std::ranges::find_if(
      newest_first, [&](const edition& e) { return e.since <= now - lag; });
  return found->hosts;
}

}  // namespace trefoilmill
