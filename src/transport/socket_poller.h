/// Polls all TCP sockets of a process through one epoll descriptor.
///
/// GLib polls every source in every iteration of its main loop, so the cost of each message grows
/// with the number of connections: with 2,000 agents an entry spent two thirds of its time polling.
/// With this class the loop polls one descriptor, whatever the number of connections.
#pragma once

#include <glib.h>

#include <cstdint>
#include <unordered_map>

namespace pumicemast {

/// Notified when its socket is ready. Its functions may remove any registration.
class SocketHandler {
 public:
  virtual ~SocketHandler() = default;
  virtual void on_readable() = 0;
  virtual void on_writable() = 0;
  /// The connection failed or was closed by both sides. Reported whatever the interest is, and
  /// repeatedly until the registration is removed.
  virtual void on_broken() = 0;
};

class SocketPoller {
 public:
  using Registration = std::uint64_t;

  /// The poller of the default main context.
  static SocketPoller& instance();

  SocketPoller(const SocketPoller&) = delete;
  SocketPoller& operator=(const SocketPoller&) = delete;

  /// Polls `descriptor` until removed; the handler must live as long.
  Registration add(int descriptor, SocketHandler& handler, bool readable = false,
                   bool writable = false);
  /// Selects which of readability and writability are reported.
  void set_interest(Registration registration, bool readable, bool writable);
  void remove(Registration registration);

 private:
  struct Entry {
    int descriptor = -1;
    SocketHandler* handler = nullptr;
  };
  SocketPoller();
  ~SocketPoller();
  static gboolean dispatch(gint descriptor, GIOCondition condition, gpointer self);
  static std::uint32_t event_mask(bool readable, bool writable);

  int epoll_;
  guint source_;
  Registration next_ = 1;
  std::unordered_map<Registration, Entry> entries_;
};

}  // namespace pumicemast
