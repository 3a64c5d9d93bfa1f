#define BOOST_TEST_MODULE token_budget
#include "trefoilmill/token_budget.h"

#include <boost/test/unit_test.hpp>

namespace trefoilmill {
namespace {
/// Spends tokens until none is left; returns how many were spent.
int SpendAll(token_budget& budget) {
  int spent = 0;
  while (budget.TrySpend())
    ++spent;
  return spent;
}
}  // namespace

BOOST_AUTO_TEST_CASE(spending_is_limited_to_a_share_of_first_attempts) {
  token_budget budget(0.05, 10);
  BOOST_TEST(SpendAll(budget) == 10);
  int spent = 0;
  for (int query = 0; query < 100; ++query) {
    budget.AddFirstAttempts(40);
    spent += SpendAll(budget);
  }
  BOOST_TEST(spent >= 199);
  BOOST_TEST(spent <= 200);
}

BOOST_AUTO_TEST_CASE(balance_is_capped_at_the_burst) {
  token_budget budget(0.5, 10);
  budget.AddFirstAttempts(1000);
  BOOST_TEST(SpendAll(budget) == 10);
}

BOOST_AUTO_TEST_CASE(overdraft_is_bounded_and_repaid_before_spending) {
  token_budget budget(1, 10);
  budget.Charge(1000);
  BOOST_TEST(budget.balance() == -10);
  budget.AddFirstAttempts(10);
  BOOST_TEST(!budget.TrySpend());
  budget.AddFirstAttempts(1);
  BOOST_TEST(budget.TrySpend());
}

}  // namespace trefoilmill
