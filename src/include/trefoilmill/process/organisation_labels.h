/// Names by which metrics tell organisations apart. A metric must not grow with
/// the number of organisations, so that only the largest have a name of their
/// own; the rest are counted as one.
#ifndef TREFOILMILL_PROCESS_ORGANISATION_LABELS_H_
#define TREFOILMILL_PROCESS_ORGANISATION_LABELS_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "trefoilmill/ids.h"

namespace trefoilmill {

class organisation_labels {
 public:
  /// Counts a request of the organisation and returns its label. Once given, a
  /// label stays, as a counter must not go back.
  std::string CountRequest(const organisation_id& id);

 private:
  /// Counts the organisation in place of the one with the fewest requests, so
  /// that no more than a bounded number is counted.
  std::uint64_t& CountOf(const organisation_id& id);

  std::unordered_map<organisation_id, std::uint64_t> counts_;
  std::uint64_t total_ = 0;
  std::unordered_set<organisation_id> labelled_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_ORGANISATION_LABELS_H_
