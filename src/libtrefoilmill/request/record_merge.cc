#include <algorithm>
#include <functional>
#include <string_view>

#include "trefoilmill/request/request_run.h"

namespace trefoilmill {

std::string MergeRecords(const std::vector<const std::string*>& parts,
                         std::size_t top_k) {
  // std::string_view compares its characters as unsigned bytes.
  std::vector<std::string_view> records;
  for (const std::string* part : parts) {
    const std::string_view bytes = *part;
    for (std::size_t offset = 0; offset + kRecordBytes <= bytes.size();
         offset += kRecordBytes) {
      records.push_back(bytes.substr(offset, kRecordBytes));
    }
  }
  const std::size_t count = std::min(top_k, records.size());
  const auto end = records.begin() + static_cast<std::ptrdiff_t>(count);
  std::ranges::partial_sort(records, end, std::greater<>());
  std::string merged;
  merged.reserve(count * kRecordBytes);
  std::for_each(records.begin(), end,
                [&](std::string_view record) { merged += record; });
  return merged;
}

}  // namespace trefoilmill
