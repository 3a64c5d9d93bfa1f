/// Calls to the store, by kind and by the peer's IP number.
#ifndef TREFOILMILL_TM_OBJECT_STORE_CALL_COUNTS_H_
#define TREFOILMILL_TM_OBJECT_STORE_CALL_COUNTS_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace trefoilmill {

enum class call_kind { kGet, kWatch, kList, kHosts, kPut, kDelete };

/// "get", "watch", "list", "hosts", "put" or "delete".
const char* ToString(call_kind kind);

class call_counts {
 public:
  /// A waiting watch counts as one call, when it arrives.
  void Count(call_kind kind, const std::string& peer, std::uint64_t wall_us);

  /// `{"calls": {KIND: {"total", "by_peer": {IP: n}}}, "peak_per_s":
  /// {"reads", "writes"}}`; the peaks are over whole wall-clock seconds.
  nlohmann::json ToJson() const;

 private:
  struct peak_rate {
    std::uint64_t second = 0;
    std::uint64_t count = 0;
    std::uint64_t peak = 0;
    void Add(std::uint64_t at_second);
  };

  std::map<call_kind, std::map<std::string, std::uint64_t>> by_peer_;
  peak_rate reads_;
  peak_rate writes_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_TM_OBJECT_STORE_CALL_COUNTS_H_
