/// The one GLib loop of a daemon: time, timers and termination signals.
#pragma once

#include <glib.h>

#include <functional>

#include "common/time.h"

namespace pumicemast {

/// Monotonic time of this process, which includes suspensions of the machine.
TimePoint loop_now();

/// Brings all active timers forward by the time that the machine was suspended; otherwise they
/// would fire that much later than loop_now() says. Each timer calls this when it fires.
void compensate_for_suspension();

/// Runs the default main context until quit().
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Calls `on_terminate` once at SIGTERM or SIGINT. Further SIGTERM signals have no effect, since
  /// supervisors repeat them; a SIGINT a second or more after the last signal quits the loop.
  void on_terminate(std::function<void()> on_terminate);
  /// Calls `on_hangup` at each SIGHUP, which by default terminates a process.
  void on_hangup(std::function<void()> on_hangup);
  void run();
  void quit();

 private:
  static gboolean handle_terminate(gpointer self);
  static gboolean handle_interrupt(gpointer self);
  static gboolean handle_hangup(gpointer self);

  void begin_terminating();

  GMainLoop* loop_;
  std::function<void()> on_terminate_;
  std::function<void()> on_hangup_;
  bool terminating_ = false;
  TimePoint last_stop_signal_{};
};

/// A timer that its destruction cancels. Its time includes suspensions of the machine; a timer that
/// falls due during one fires once, soon after the machine resumes.
class Timer {
 public:
  Timer() = default;
  ~Timer() { cancel(); }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /// Calls `callback` every `interval` until cancelled.
  void start_repeating(Duration interval, std::function<void()> callback);
  /// Calls `callback` once after `delay`; replaces a pending call.
  void start_once(Duration delay, std::function<void()> callback);
  void cancel();
  bool active() const { return source_ != 0; }

 private:
  friend void compensate_for_suspension();
  static gboolean fire(gpointer self);
  void bring_forward(Duration by);

  guint source_ = 0;
  bool repeating_ = false;
  std::function<void()> callback_;
};

}  // namespace pumicemast
