#include <algorithm>
#include <functional>
#include <string_view>

#include "trefoilmill/request/request_run.h"

namespace trefoilmill {

std::string MergeRecords(const std::vector<const std::string*>& parts,
                         std::size_t top_k) {
  std::vector<std::string_view> records;
  for (const std::string* part : parts) {
    const std::string_view bytes = *part;
    for (std::size_t at = 0; at + kRecordBytes <= bytes.size();
         at += kRecordBytes) {
      records.push_back(bytes.substr(at, kRecordBytes));
    }
  }
  const std::size_t kept = std::min(top_k, records.size());
  const auto end = records.begin() + static_cast<std::ptrdiff_t>(kept);
  std::ranges::partial_sort(records, end, std::greater<>());
  std::string merged;
  merged.reserve(kept * kRecordBytes);
  std::for_each(records.begin(), end,
                [&](std::string_view record) { merged += record; });
  return merged;
}

}  // namespace trefoilmill
