#define BOOST_TEST_MODULE document_write
#include "trefoilmill/document_write.h"

#include <boost/test/unit_test.hpp>

namespace trefoilmill {
namespace {

using write = document_write;

/// The only action, if it is of this type, or nullptr.
template <class action>
const action* OnlyAction(const write::actions& actions) {
  BOOST_REQUIRE_EQUAL(actions.size(), 1U);
  return std::get_if<action>(&actions.front());
}

/// A started write over revision 4.
write StartWrite() {
  write w(revision(4), "mine");
  BOOST_TEST(OnlyAction<write::store_put>(w.Start())->expected->value() == 4U);
  return w;
}

BOOST_AUTO_TEST_CASE(confirmed_write_is_accepted) {
  write w = StartWrite();
  const auto actions = w.PutReply(write::put_written{.at = revision(5)});
  BOOST_TEST((OnlyAction<write::accepted>(actions)->at == revision(5)));
}

BOOST_AUTO_TEST_CASE(lost_reply_is_read_back_and_not_written_again) {
  write w = StartWrite();
  BOOST_TEST(OnlyAction<write::store_get>(w.PutReply(write::put_unknown{})));
  const auto actions =
      w.GetReply(write::get_found{.at = revision(5), .body = "mine"});
  BOOST_TEST((OnlyAction<write::accepted>(actions)->at == revision(5)));
}

BOOST_AUTO_TEST_CASE(conflict_returns_the_stored_body) {
  write w = StartWrite();
  BOOST_TEST(OnlyAction<write::store_get>(w.PutReply(write::put_conflict{})));
  const auto actions =
      w.GetReply(write::get_found{.at = revision(5), .body = "theirs"});
  BOOST_TEST(OnlyAction<write::conflict>(actions)->stored_body == "theirs");
}

BOOST_AUTO_TEST_CASE(write_of_unknown_result_may_have_run) {
  for (const char* body : {"old", "theirs"}) {
    write w = StartWrite();
    w.PutReply(write::put_unknown{});
    const auto actions = w.GetReply(write::get_found{
        .at = revision(body == std::string("old") ? 4 : 6), .body = body});
    BOOST_TEST((OnlyAction<write::unavailable>(actions)->outcome ==
                verdict::kMayHaveRun));
  }
}

BOOST_AUTO_TEST_CASE(failed_reads_end_the_write) {
  write w = StartWrite();
  w.PutReply(write::put_unknown{});
  BOOST_TEST(OnlyAction<write::store_get>(w.GetReply(write::get_failed{})));
  BOOST_TEST(OnlyAction<write::store_get>(w.GetReply(write::get_failed{})));
  BOOST_TEST((OnlyAction<write::unavailable>(w.GetReply(write::get_failed{}))
                  ->outcome == verdict::kMayHaveRun));
}

}  // namespace
}  // namespace trefoilmill
