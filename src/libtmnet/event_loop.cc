#include "trefoilmill/net/event_loop.h"

#include <event2/event.h>
#include <event2/util.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <utility>
#include <vector>

namespace trefoilmill {

namespace {

// Converts to libevent's format; a negative delay becomes zero.
timeval ToTimeval(duration delay) {
  const auto microseconds = std::max<duration::rep>(delay.count(), 0);
  return {.tv_sec = static_cast<time_t>(microseconds / 1'000'000),
          .tv_usec = static_cast<suseconds_t>(microseconds % 1'000'000)};
}

// Signals that a process handles on its loop.
sigset_t HandledSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

// Whether HoldSignals() was called in this process.
bool holds_signals = false;

using shared_task = std::shared_ptr<std::function<void()>>;

struct event_deleter {
  void operator()(event* e) const { event_free(e); }
};
using event_pointer = std::unique_ptr<event, event_deleter>;

}  // namespace

struct timer::impl {
  event_pointer handle;
  shared_task task;

  // libevent callback. The task may destroy its own timer, hence the local copy
  // that keeps the function alive during the call.
  static void RunTask(evutil_socket_t, short, void* self) {
    const shared_task task = static_cast<impl*>(self)->task;
    (*task)();
  }
};

timer::timer() = default;
timer::timer(timer&&) noexcept = default;
timer& timer::operator=(timer&&) noexcept = default;
timer::~timer() = default;

struct event_loop::impl {
  // Declared first so that it is destroyed last: events must be freed before
  // their base.
  std::unique_ptr<event_base, decltype(&event_base_free)> base{
      nullptr, &event_base_free};
  event_pointer posted_event;
  std::vector<std::function<void()>> posted_tasks;
  std::vector<std::unique_ptr<timer::impl>> signal_handlers;
  connection_budget connections;

  static void RunPosted(evutil_socket_t, short, void* self) {
    // Tasks that these tasks post run when the event next fires.
    auto tasks = std::exchange(static_cast<impl*>(self)->posted_tasks, {});
    for (const auto& task : tasks) {
      task();
    }
  }
};

event_loop::event_loop(std::unique_ptr<impl> state) : impl_(std::move(state)) {}

event_loop::~event_loop() {
  // Tasks may own objects that use the event base, so they are destroyed first.
  impl_->posted_tasks.clear();
}

result<std::unique_ptr<event_loop>> event_loop::Create() {
  // Writing to a socket that the peer has closed must fail with EPIPE rather
  // than terminate the process.
  std::signal(SIGPIPE, SIG_IGN);
  auto state = std::make_unique<impl>();
  const std::unique_ptr<event_config, decltype(&event_config_free)> config(
      event_config_new(), &event_config_free);
  if (config != nullptr) {
    event_config_set_flag(config.get(), EVENT_BASE_FLAG_PRECISE_TIMER);
    state->base.reset(event_base_new_with_config(config.get()));
  }
  if (state->base == nullptr) {
    failure error;
    error.detail = "cannot create a libevent event base";
    return error;
  }
  state->posted_event.reset(event_new(state->base.get(), -1, EV_PERSIST,
                                      &impl::RunPosted, state.get()));
  return std::unique_ptr<event_loop>(new event_loop(std::move(state)));
}

time_point event_loop::Now() const {
  const auto since_boot = std::chrono::steady_clock::now().time_since_epoch();
  return time_point(std::chrono::duration_cast<duration>(since_boot));
}

std::uint64_t event_loop::SystemTimeMicros() const {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(since_epoch)
          .count());
}

void event_loop::HoldSignals() {
  holds_signals = true;
  const sigset_t signals = HandledSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void event_loop::Run() {
  const sigset_t signals = HandledSignals();
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
  event_base_loop(impl_->base.get(), EVLOOP_NO_EXIT_ON_EMPTY);
  if (holds_signals) {
    HoldSignals();
  }
}

void event_loop::Stop() {
  event_base_loopbreak(impl_->base.get());
}

timer event_loop::RunAfter(duration delay, std::function<void()> task) {
  timer new_timer;
  new_timer.impl_ = std::make_unique<timer::impl>();
  new_timer.impl_->task =
      std::make_shared<std::function<void()>>(std::move(task));
  new_timer.impl_->handle.reset(event_new(
      impl_->base.get(), -1, 0, &timer::impl::RunTask, new_timer.impl_.get()));
  const timeval tv = ToTimeval(delay);
  event_add(new_timer.impl_->handle.get(), &tv);
  return new_timer;
}

timer event_loop::RunEvery(duration period, std::function<void()> task) {
  timer new_timer;
  new_timer.impl_ = std::make_unique<timer::impl>();
  new_timer.impl_->task =
      std::make_shared<std::function<void()>>(std::move(task));
  new_timer.impl_->handle.reset(event_new(impl_->base.get(), -1, EV_PERSIST,
                                          &timer::impl::RunTask,
                                          new_timer.impl_.get()));
  const timeval tv = ToTimeval(period);
  event_add(new_timer.impl_->handle.get(), &tv);
  return new_timer;
}

void event_loop::Post(std::function<void()> task) {
  impl_->posted_tasks.push_back(std::move(task));
  event_active(impl_->posted_event.get(), 0, 0);
}

void event_loop::OnSignal(int signal_number, std::function<void()> task) {
  auto handler = std::make_unique<timer::impl>();
  handler->task = std::make_shared<std::function<void()>>(std::move(task));
  handler->handle.reset(evsignal_new(impl_->base.get(), signal_number,
                                     &timer::impl::RunTask, handler.get()));
  event_add(handler->handle.get(), nullptr);
  impl_->signal_handlers.push_back(std::move(handler));
}

connection_budget& event_loop::connections() {
  return impl_->connections;
}

event_base* event_loop::base() const {
  return impl_->base.get();
}

}  // namespace trefoilmill
