#include "trefoilmill/connection/connection_eviction.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <tuple>

namespace trefoilmill {
namespace {

/// Larger than an ordinary request with its head, 16 KiB.
constexpr std::size_t kOrdinaryRequestBytes = 16 << 10;
/// Part of the memory that connections may hold.
constexpr std::size_t kMemoryDivisor = 4;
/// Descriptors that are left for files, and for sockets that listen.
constexpr std::size_t kFileDescriptors = 200;
/// Parts of a limit to which it is relieved once it is exceeded, so that not
/// each further byte or connection leads to another choice.
constexpr std::size_t kParts = 8;

std::size_t RelievedTo(std::size_t limit) {
  return limit - limit / kParts;
}

/// Rank of a connection that may be closed to free memory, the first one first.
std::optional<int> RankByBytes(const connection_use& use) {
  const bool receives_much = use.phase == connection_phase::kReceiving &&
                             use.bytes > kOrdinaryRequestBytes;
  if (!use.is_inbound && !receives_much) {
    return std::nullopt;
  }
  switch (use.phase) {
    case connection_phase::kReceiving:
      return receives_much ? 0 : 2;
    case connection_phase::kSending:
      return 1;
    case connection_phase::kUnused:
    case connection_phase::kIdle:
      return 3;
    case connection_phase::kInProgress:
      return std::nullopt;
  }
  return std::nullopt;
}

/// Rank of a connection that may be closed to free a descriptor.
std::optional<int> RankByAge(const connection_use& use) {
  switch (use.phase) {
    case connection_phase::kUnused:
    case connection_phase::kReceiving:
      return 0;
    case connection_phase::kIdle:
      return 1;
    case connection_phase::kSending:
      return 2;
    case connection_phase::kInProgress:
      return std::nullopt;
  }
  return std::nullopt;
}

/// Whether `a` is closed before `b` to free memory.
bool GoesFirstByBytes(const connection_use& a, const connection_use& b) {
  const auto rank_a = RankByBytes(a);
  const auto rank_b = RankByBytes(b);
  if (rank_a != rank_b) {
    return rank_a < rank_b;
  }
  // Among small ones the age tells more than the size.
  return *rank_a >= 2 ? a.since < b.since : a.bytes > b.bytes;
}

bool GoesFirstByAge(const connection_use& a, const connection_use& b) {
  return std::tuple(RankByAge(a), a.since) < std::tuple(RankByAge(b), b.since);
}

std::size_t BytesOf(const std::vector<connection_use>& uses) {
  std::size_t sum = 0;
  for (const connection_use& use : uses) {
    sum += use.bytes;
  }
  return sum;
}

/// Moves connections out of `uses` into `chosen` until `bytes` are freed.
void FreeBytes(std::size_t bytes,
               std::vector<connection_use>& uses,
               std::vector<connection_number>& chosen) {
  const auto end =
      std::partition(uses.begin(), uses.end(), [](const connection_use& use) {
        return use.may_be_closed && RankByBytes(use).has_value();
      });
  std::sort(uses.begin(), end, GoesFirstByBytes);
  std::size_t freed = 0;
  auto next = uses.begin();
  for (; next != end && freed < bytes; ++next) {
    freed += next->bytes;
    chosen.push_back(next->number);
  }
  uses.erase(uses.begin(), next);
}

/// Moves `count` inbound connections out of `uses` into `chosen`.
void FreeDescriptors(std::size_t count,
                     std::vector<connection_use>& uses,
                     std::vector<connection_number>& chosen) {
  const auto end =
      std::partition(uses.begin(), uses.end(), [](const connection_use& use) {
        return use.is_inbound && use.may_be_closed &&
               RankByAge(use).has_value();
      });
  std::sort(uses.begin(), end, GoesFirstByAge);
  const auto last = uses.begin() +
                    std::min<std::ptrdiff_t>(static_cast<std::ptrdiff_t>(count),
                                             end - uses.begin());
  std::transform(uses.begin(), last, std::back_inserter(chosen),
                 [](const connection_use& use) { return use.number; });
  uses.erase(uses.begin(), last);
}

}  // namespace

connection_limits LimitsFor(std::size_t memory_bytes, std::size_t descriptors) {
  const std::size_t sockets = std::max(
      descriptors / 2, descriptors - std::min(descriptors, kFileDescriptors));
  return {.bytes = memory_bytes / kMemoryDivisor, .inbound = sockets / 2};
}

std::vector<connection_number> ChooseConnectionsToClose(
    std::vector<connection_use> uses,
    const connection_limits& limits) {
  std::vector<connection_number> chosen;
  const auto inbound = static_cast<std::size_t>(
      std::ranges::count_if(uses, &connection_use::is_inbound));
  if (inbound > limits.inbound) {
    FreeDescriptors(inbound - RelievedTo(limits.inbound), uses, chosen);
  }
  const std::size_t bytes = BytesOf(uses);
  if (bytes > limits.bytes) {
    FreeBytes(bytes - RelievedTo(limits.bytes), uses, chosen);
  }
  return chosen;
}

bool MayStartRequest(std::size_t bytes,
                     std::size_t in_progress,
                     std::size_t bytes_in_progress,
                     const connection_limits& limits) {
  const std::size_t sum = bytes_in_progress + bytes;
  if (sum <= limits.bytes / 2) {
    return true;
  }
  const bool is_small = bytes * in_progress < bytes_in_progress;
  return is_small && sum <= limits.bytes - limits.bytes / 4;
}

}  // namespace trefoilmill
