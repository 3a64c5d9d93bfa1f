#include "trefoilmill/messages.h"

namespace trefoilmill {

std::string_view ToString(member_state state) {
  switch (state) {
    case member_state::kAlive:
      return "alive";
    case member_state::kSuspect:
      return "suspect";
    case member_state::kLeaving:
      return "leaving";
    case member_state::kLeft:
      return "left";
    case member_state::kReleased:
      return "released";
    case member_state::kDead:
      return "dead";
  }
  return "unknown";
}

}  // namespace trefoilmill
