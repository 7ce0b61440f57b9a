/// A listening TCP socket driven by the main loop.
#pragma once

#include <memory>

#include "common/event_loop.h"
#include "common/settings.h"
#include "transport/connection_filter.h"
#include "transport/socket_poller.h"

namespace pumicemast {

/// Accepts connections on one address.
class TcpListener : private SocketHandler {
 public:
  class Acceptor {
   public:
    virtual ~Acceptor() = default;
    /// Asked before each connection is accepted. While it returns false, new connections wait in
    /// the system's queue.
    virtual bool ready_to_accept() { return true; }
    /// The acceptor takes ownership of the descriptor.
    virtual void on_accepted(int descriptor) = 0;
  };

  /// Returns null if the address cannot be bound.
  static std::unique_ptr<TcpListener> listen(const Address& address, Acceptor& acceptor);
  ~TcpListener() override;
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  /// Refuses new connections; those whose handshake has begun are still accepted.
  /// @return false when the kernel does not accept the filter.
  bool refuse_new() { return refuse_new_connections(descriptor_); }

 private:
  TcpListener(int descriptor, Acceptor& acceptor);
  void on_readable() override;
  void on_writable() override {}
  void on_broken() override {}
  void pause();

  int descriptor_;
  Acceptor& acceptor_;
  SocketPoller::Registration registration_;
  Timer resume_timer_;
};

}  // namespace pumicemast
