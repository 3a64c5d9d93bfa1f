#include "trefoilmill/version/rollout.h"

namespace trefoilmill {

std::string_view ToString(rollout_state state) {
  switch (state) {
    case rollout_state::kRunning:
      return "running";
    case rollout_state::kCompleted:
      return "completed";
    case rollout_state::kRolledBack:
      return "rolled_back";
  }
  return "unknown";
}

}  // namespace trefoilmill
