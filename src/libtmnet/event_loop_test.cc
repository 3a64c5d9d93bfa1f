#define BOOST_TEST_MODULE event_loop
#include "trefoilmill/net/event_loop.h"

#include <sys/wait.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <vector>

#include "net_test_support.h"

namespace trefoilmill {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_CASE(posted_tasks_run_in_order_and_timers_by_expiry) {
  const auto loop = MakeLoop();
  std::vector<int> calls;
  const timer later = loop->RunAfter(milliseconds(5), [&] {
    calls.push_back(3);
    loop->Stop();
  });
  const timer soon =
      loop->RunAfter(milliseconds(1), [&] { calls.push_back(2); });
  loop->Post([&] { calls.push_back(0); });
  loop->Post([&] { calls.push_back(1); });
  loop->Run();
  BOOST_TEST(calls == (std::vector{0, 1, 2, 3}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_destroyed_timer_does_not_fire) {
  const auto loop = MakeLoop();
  bool fired = false;
  {
    const timer cancelled =
        loop->RunAfter(milliseconds(1), [&] { fired = true; });
  }
  RunFor(*loop, milliseconds(10));
  BOOST_TEST(!fired);
}

BOOST_AUTO_TEST_CASE(a_repeating_timer_may_be_destroyed_by_its_own_task) {
  const auto loop = MakeLoop();
  int call_count = 0;
  timer repeating = loop->RunEvery(milliseconds(1), [&] {
    if (++call_count == 3) {
      repeating = timer();
      loop->Stop();
    }
  });
  loop->Run();
  RunFor(*loop, milliseconds(10));
  BOOST_TEST(call_count == 3);
}

BOOST_AUTO_TEST_CASE(a_signal_before_its_handler_reaches_it) {
  event_loop::HoldSignals();
  std::raise(SIGHUP);
  const auto loop = MakeLoop();
  loop->OnSignal(SIGHUP, [&] { loop->Stop(); });
  const timer limit = loop->RunAfter(kTestTimeout, [] { std::abort(); });
  loop->Run();
}

// A supervisor may signal in series, also while the process cleans up.
BOOST_AUTO_TEST_CASE(a_signal_after_the_loop_does_not_end_the_process) {
  const pid_t child = fork();
  if (child == 0) {
    event_loop::HoldSignals();
    auto loop = MakeLoop();
    loop->OnSignal(SIGHUP, [] {});
    RunFor(*loop, std::chrono::milliseconds(1));
    loop.reset();
    std::raise(SIGHUP);
    _exit(0);
  }
  int status = -1;
  waitpid(child, &status, 0);
  BOOST_TEST(WIFEXITED(status));
}

BOOST_AUTO_TEST_CASE(signal_handlers_run_on_the_loop) {
  const auto loop = MakeLoop();
  loop->OnSignal(SIGUSR1, [&] { loop->Stop(); });
  loop->Post([] { std::raise(SIGUSR1); });
  loop->Run();
}

BOOST_AUTO_TEST_CASE(a_task_posted_by_a_task_runs) {
  const auto loop = MakeLoop();
  loop->Post([&] { loop->Post([&] { loop->Stop(); }); });
  loop->Run();
}

}  // namespace trefoilmill
