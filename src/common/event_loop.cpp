#include "common/event_loop.h"

#include <glib-unix.h>

#include <algorithm>
#include <csignal>
#include <unordered_set>
#include <vector>

#include "common/clock.h"
#include "common/log.h"

namespace pumicemast {

namespace {

/// A SIGINT that follows another stop signal within this time is the same wish: a terminal and a
/// supervisor may both send it.
constexpr Duration kInterruptPause = seconds(1);

std::unordered_set<Timer*>& active_timers() {
  static std::unordered_set<Timer*> timers;
  return timers;
}

}  // namespace

TimePoint loop_now() { return read_elapsed(); }

void compensate_for_suspension() {
  static SuspensionDetector detector(read_clocks());
  const Duration suspended = detector.on_reading(read_clocks());
  if (suspended == Duration::zero()) return;
  for (Timer* timer : active_timers()) timer->bring_forward(suspended);
}

EventLoop::EventLoop() : loop_(g_main_loop_new(nullptr, FALSE)) {}

EventLoop::~EventLoop() { g_main_loop_unref(loop_); }

void EventLoop::on_terminate(std::function<void()> on_terminate) {
  on_terminate_ = std::move(on_terminate);
  g_unix_signal_add(SIGTERM, &EventLoop::handle_terminate, this);
  g_unix_signal_add(SIGINT, &EventLoop::handle_interrupt, this);
}

void EventLoop::begin_terminating() {
  terminating_ = true;
  last_stop_signal_ = loop_now();
  on_terminate_();
}

gboolean EventLoop::handle_terminate(gpointer self) {
  auto* loop = static_cast<EventLoop*>(self);
  if (loop->terminating_) {
    LOG(INFO) << "process event=repeated_stop_signal state=STOPPING";
    loop->last_stop_signal_ = loop_now();
  } else {
    loop->begin_terminating();
  }
  return G_SOURCE_CONTINUE;
}

gboolean EventLoop::handle_interrupt(gpointer self) {
  auto* loop = static_cast<EventLoop*>(self);
  const TimePoint now = loop_now();
  if (!loop->terminating_) {
    loop->begin_terminating();
  } else if (now - loop->last_stop_signal_ >= kInterruptPause) {
    LOG(WARNING) << "process event=interrupt state=ENDING";
    loop->quit();
  }
  loop->last_stop_signal_ = now;
  return G_SOURCE_CONTINUE;
}

void EventLoop::on_hangup(std::function<void()> on_hangup) {
  on_hangup_ = std::move(on_hangup);
  g_unix_signal_add(SIGHUP, &EventLoop::handle_hangup, this);
}

gboolean EventLoop::handle_hangup(gpointer self) {
  static_cast<EventLoop*>(self)->on_hangup_();
  return G_SOURCE_CONTINUE;
}

void EventLoop::run() { g_main_loop_run(loop_); }

void EventLoop::quit() { g_main_loop_quit(loop_); }

void Timer::start_repeating(Duration interval, std::function<void()> callback) {
  cancel();
  callback_ = std::move(callback);
  repeating_ = true;
  source_ = g_timeout_add(static_cast<guint>(to_milliseconds(interval)), &Timer::fire, this);
  active_timers().insert(this);
}

void Timer::start_once(Duration delay, std::function<void()> callback) {
  cancel();
  callback_ = std::move(callback);
  repeating_ = false;
  const auto delay_ms = std::max<std::int64_t>(0, to_milliseconds(delay));
  source_ = g_timeout_add(static_cast<guint>(delay_ms), &Timer::fire, this);
  active_timers().insert(this);
}

void Timer::cancel() {
  if (source_ == 0) return;
  g_source_remove(source_);
  source_ = 0;
  active_timers().erase(this);
}

void Timer::bring_forward(Duration by) {
  GSource* source = g_main_context_find_source_by_id(nullptr, source_);
  if (source == nullptr) return;
  // A negative ready time would disable the source.
  const gint64 due = g_source_get_ready_time(source) - by.count();
  g_source_set_ready_time(source, std::max<gint64>(0, due));
}

gboolean Timer::fire(gpointer self) {
  compensate_for_suspension();
  auto* timer = static_cast<Timer*>(self);
  if (timer->repeating_) {
    timer->callback_();
    return G_SOURCE_CONTINUE;
  }
  timer->source_ = 0;
  active_timers().erase(timer);
  const auto callback = std::move(timer->callback_);
  callback();  // May restart or destroy the timer.
  return G_SOURCE_REMOVE;
}

}  // namespace pumicemast
