#include "trefoilmill/process/stop_schedule.h"

#include <algorithm>

namespace trefoilmill {
namespace {

/// How long before the end of the grace time connections are accepted no more:
/// long enough for a usual request.
constexpr duration kAcceptMargin = std::chrono::milliseconds(1500);
/// How long before that end every request has its answer: long enough to write
/// it to a slow caller.
constexpr duration kAnswerMargin = std::chrono::milliseconds(600);
/// How long before that end the process ends: the loop may run late.
constexpr duration kEndMargin = std::chrono::milliseconds(300);
/// The same while answers are being written.
constexpr duration kWriteMargin = std::chrono::milliseconds(50);
/// The margins are at most these fractions of a short grace time.
constexpr int kAcceptDivisor = 2;
constexpr int kAnswerDivisor = 4;
constexpr int kEndDivisor = 8;
constexpr int kWriteDivisor = 32;

}  // namespace

stop_schedule stop_schedule::Create(time_point told_at, duration grace) {
  const time_point killed_at = told_at + grace;
  return {
      .accept_until =
          killed_at - std::min(kAcceptMargin, grace / kAcceptDivisor),
      .answer_by = killed_at - std::min(kAnswerMargin, grace / kAnswerDivisor),
      .end_by = killed_at - std::min(kEndMargin, grace / kEndDivisor),
      .write_until = killed_at - std::min(kWriteMargin, grace / kWriteDivisor)};
}

}  // namespace trefoilmill
