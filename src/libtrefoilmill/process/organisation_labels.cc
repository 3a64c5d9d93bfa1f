#include "trefoilmill/process/organisation_labels.h"

#include <algorithm>

namespace trefoilmill {
namespace {

constexpr std::size_t kMaxLabels = 32;
/// Organisations whose requests are counted at a time.
constexpr std::size_t kMaxCounted = 256;
/// An organisation gets a label once it makes this part of the requests.
constexpr std::uint64_t kMinPart = 50;
/// Before so many requests it is not clear which organisations are large.
constexpr std::uint64_t kMinRequests = 200;
constexpr const char* kOthersLabel = "other";

}  // namespace

std::string organisation_labels::CountRequest(const organisation_id& id) {
  ++total_;
  if (labelled_.contains(id)) {
    return id.value();
  }
  const std::uint64_t count = ++CountOf(id);
  const bool is_large = total_ >= kMinRequests && count * kMinPart >= total_;
  if (!is_large || labelled_.size() >= kMaxLabels) {
    return kOthersLabel;
  }
  labelled_.insert(id);
  counts_.erase(id);
  return id.value();
}

std::uint64_t& organisation_labels::CountOf(const organisation_id& id) {
  const auto found = counts_.find(id);
  if (found != counts_.end()) {
    return found->second;
  }
  std::uint64_t count = 0;
  if (counts_.size() >= kMaxCounted) {
    const auto fewest = std::ranges::min_element(
        counts_, {}, [](const auto& entry) { return entry.second; });
    // The new one may have had as many before it was counted.
    count = fewest->second;
    counts_.erase(fewest);
  }
  return counts_.emplace(id, count).first->second;
}

}  // namespace trefoilmill
