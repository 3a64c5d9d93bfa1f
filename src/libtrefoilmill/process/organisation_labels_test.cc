#define BOOST_TEST_MODULE organisation_labels
#include "trefoilmill/process/organisation_labels.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

namespace trefoilmill {
namespace {

organisation_id Organisation(int number) {
  return organisation_id("o" + std::to_string(number));
}

}  // namespace

// With a label for each organisation, metrics would outgrow the process.
BOOST_AUTO_TEST_CASE(many_organisations_get_few_labels) {
  organisation_labels labels;
  std::set<std::string> given;
  for (int request = 0; request < 100'000; ++request) {
    given.insert(labels.CountRequest(Organisation(request % 10'000)));
  }
  for (int request = 0; request < 100'000; ++request) {
    given.insert(labels.CountRequest(Organisation(request % 40)));
  }
  BOOST_TEST(given.size() <= 33U);
}

BOOST_AUTO_TEST_CASE(large_organisations_are_told_apart) {
  organisation_labels labels;
  std::string last_large;
  std::string last_small;
  for (int request = 0; request < 2000; ++request) {
    last_large = labels.CountRequest(Organisation(0));
    last_small = labels.CountRequest(Organisation(1 + request));
  }
  BOOST_TEST(last_large == "o0");
  BOOST_TEST(last_small == "other");
}

BOOST_AUTO_TEST_CASE(a_label_stays_when_an_organisation_becomes_small) {
  organisation_labels labels;
  for (int request = 0; request < 1000; ++request) {
    labels.CountRequest(Organisation(0));
  }
  for (int request = 0; request < 100'000; ++request) {
    labels.CountRequest(Organisation(1));
  }
  BOOST_TEST(labels.CountRequest(Organisation(0)) == "o0");
}

}  // namespace trefoilmill
