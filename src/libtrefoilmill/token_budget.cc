#include "trefoilmill/token_budget.h"

#include <algorithm>

namespace trefoilmill {

token_budget::token_budget(double share, double burst)
    : share_(share), burst_(burst), balance_(burst) {}

void token_budget::AddFirstAttempts(int count) {
  balance_ = std::min(burst_, balance_ + share_ * count);
}

bool token_budget::TrySpend() {
  if (balance_ < 1)
    return false;
  balance_ -= 1;
  return true;
}

void token_budget::Charge(int count) {
  balance_ = std::max(-burst_, balance_ - count);
}

void token_budget::Refund() {
  balance_ = std::min(burst_, balance_ + 1);
}

}  // namespace trefoilmill
