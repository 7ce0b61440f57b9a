#include "common/event_loop.h"

#include <glib-unix.h>

#include <csignal>

namespace pumicemast {

TimePoint loop_now() { return TimePoint(Duration(g_get_monotonic_time())); }

EventLoop::EventLoop() : loop_(g_main_loop_new(nullptr, FALSE)) {}

EventLoop::~EventLoop() { g_main_loop_unref(loop_); }

void EventLoop::on_terminate(std::function<void()> on_terminate) {
  on_terminate_ = std::move(on_terminate);
  g_unix_signal_add(SIGTERM, &EventLoop::handle_signal, this);
  g_unix_signal_add(SIGINT, &EventLoop::handle_signal, this);
}

gboolean EventLoop::handle_signal(gpointer self) {
  auto* loop = static_cast<EventLoop*>(self);
  if (loop->terminating_) {
    loop->quit();
    return G_SOURCE_CONTINUE;
  }
  loop->terminating_ = true;
  loop->on_terminate_();
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
}

void Timer::start_once(Duration delay, std::function<void()> callback) {
  cancel();
  callback_ = std::move(callback);
  repeating_ = false;
  const auto delay_ms = std::max<std::int64_t>(0, to_milliseconds(delay));
  source_ = g_timeout_add(static_cast<guint>(delay_ms), &Timer::fire, this);
}

void Timer::cancel() {
  if (source_ != 0) g_source_remove(source_);
  source_ = 0;
}

gboolean Timer::fire(gpointer self) {
  auto* timer = static_cast<Timer*>(self);
  if (timer->repeating_) {
    timer->callback_();
    return G_SOURCE_CONTINUE;
  }
  timer->source_ = 0;
  const auto callback = std::move(timer->callback_);
  callback();  // May restart or destroy the timer.
  return G_SOURCE_REMOVE;
}

}  // namespace pumicemast
