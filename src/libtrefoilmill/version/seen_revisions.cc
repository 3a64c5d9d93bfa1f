#include "trefoilmill/version/seen_revisions.h"

#include <iterator>

namespace trefoilmill {
namespace {

/// Changes that are remembered; watches end, and catch up, long before.
constexpr std::size_t kMaxRevisions = 4096;

}  // namespace

void seen_revisions::Add(revision at) {
  seen_.insert(at);
  if (seen_.size() > kMaxRevisions) {
    seen_.erase(seen_.begin());
  }
}

bool seen_revisions::HasAll(revision from, revision to) const {
  if (from.era() != to.era() || to < from) {
    return false;
  }
  const auto first = seen_.upper_bound(from);
  const auto last = seen_.upper_bound(to);
  return static_cast<std::uint64_t>(std::distance(first, last)) ==
         to.value() - from.value();
}

}  // namespace trefoilmill
