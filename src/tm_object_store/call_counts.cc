#include "tm_object_store/call_counts.h"

#include <algorithm>
#include <numeric>
#include <ranges>

namespace trefoilmill {

namespace {

constexpr std::uint64_t kMicrosPerSecond = 1'000'000;

}  // namespace

const char* ToString(call_kind kind) {
  switch (kind) {
    case call_kind::kGet:
      return "get";
    case call_kind::kWatch:
      return "watch";
    case call_kind::kList:
      return "list";
    case call_kind::kHosts:
      return "hosts";
    case call_kind::kPut:
      return "put";
    case call_kind::kDelete:
      return "delete";
  }
  return "";
}

void call_counts::peak_rate::Add(std::uint64_t at_second) {
  if (at_second != second) {
    second = at_second;
    count = 0;
  }
  ++count;
  peak = std::max(peak, count);
}

void call_counts::Count(call_kind kind,
                        const std::string& peer,
                        std::uint64_t wall_us) {
  ++by_peer_[kind][peer];
  const bool writes = kind == call_kind::kPut || kind == call_kind::kDelete;
  (writes ? writes_ : reads_).Add(wall_us / kMicrosPerSecond);
}

nlohmann::json call_counts::ToJson() const {
  nlohmann::json calls = nlohmann::json::object();
  for (const auto& [kind, peers] : by_peer_) {
    const auto counts = std::views::values(peers);
    const auto total =
        std::accumulate(counts.begin(), counts.end(), std::uint64_t{0});
    calls[ToString(kind)] = {{"total", total}, {"by_peer", peers}};
  }
  return {{"calls", calls},
          {"peak_per_s", {{"reads", reads_.peak}, {"writes", writes_.peak}}}};
}

}  // namespace trefoilmill
