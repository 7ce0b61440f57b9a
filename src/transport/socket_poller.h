/// Watches all wire sockets of a process through one epoll descriptor.
///
/// GLib polls every source in every turn of its loop, so that a process with n connections
/// pays n for each message on any of them: before 2,000 agents an entry spent two thirds of
/// its time there. The loop now polls one descriptor, whatever the number of connections.
#pragma once

#include <glib.h>

#include <cstdint>
#include <unordered_map>

namespace pumicemast {

/// Told when its socket is ready. It may remove any registration meanwhile.
class SocketHandler {
 public:
  virtual ~SocketHandler() = default;
  virtual void on_readable() = 0;
  virtual void on_writable() = 0;
  /// The connection failed or was closed by both sides. Reported whatever the interest is,
  /// again and again until the registration is removed.
  virtual void on_broken() = 0;
};

class SocketPoller {
 public:
  using Registration = std::uint64_t;

  /// The poller of the default main context.
  static SocketPoller& instance();

  SocketPoller(const SocketPoller&) = delete;
  SocketPoller& operator=(const SocketPoller&) = delete;

  /// Watches `descriptor` until removed; the handler must live as long.
  Registration add(int descriptor, SocketHandler& handler, bool readable = false,
                   bool writable = false);
  /// Which readiness is of interest.
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
