/// What the command line's exit status means.
#ifndef TREFOILMILL_TREFOILMILLCTL_EXIT_CODE_H_
#define TREFOILMILL_TREFOILMILLCTL_EXIT_CODE_H_

namespace trefoilmill {

enum class exit_code {
  kDone = 0,
  /// The daemon refused; for `diff`, there are differences.
  kRefused = 1,
  kUsage = 2,
  /// A file has errors.
  kInvalid = 3,
  /// Another change came first.
  kConflict = 4,
  /// No daemon could be reached; nothing was changed.
  kUnreachable = 5,
  /// A change was sent and its outcome is unknown.
  kUnknown = 6,
  /// `--wait` ended before the change was in force everywhere.
  kNotYet = 7,
  /// `query --whole` got an answer that is not whole.
  kPartial = 8,
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_TREFOILMILLCTL_EXIT_CODE_H_
