/// One TCP connection between pumicemast processes, driven by the GLib loop.
#pragma once

#include <gio/gio.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "common/error.h"
#include "common/gobject_pointer.h"
#include "common/settings.h"
#include "common/time.h"
#include "transport/frame_codec.h"
#include "transport/socket_poller.h"

namespace pumicemast {

/// Sends and receives frames. Callbacks run on the loop; a connection may be closed, but
/// not destroyed, inside its own callbacks (owners drop it from an idle or timer call).
class WireConnection : private SocketHandler {
 public:
  struct Callbacks {
    std::function<void(const wire::Frame&)> on_frame;
    /// Called once, also after close(). `reason` is for metrics and log lines.
    std::function<void(const std::string& reason)> on_closed;
    /// The send queue became empty. The function may be null.
    std::function<void()> on_drained;
  };

  explicit WireConnection(GObjectPointer<GSocketConnection> connection);
  ~WireConnection() override;
  WireConnection(const WireConnection&) = delete;
  WireConnection& operator=(const WireConnection&) = delete;

  void start(Callbacks callbacks);

  /// Queues one message; a closed connection drops it.
  template <class Table>
  void send(const Table& body) {
    queue(encode_frame(body));
  }
  void close(const std::string& reason);
  /// Pauses or resumes reading; while paused, TCP flow control holds the sender back.
  void set_reading(bool reading);
  /// Closes the connection when the peer has not acknowledged sent bytes for `limit`; zero keeps
  /// the default of the system.
  void set_user_timeout(Duration limit);
  bool is_open() const { return open_; }
  std::size_t queued_bytes() const { return queued_bytes_; }

 private:
  void on_readable() override;
  void on_writable() override;
  void on_broken() override;
  void update_interest();
  static gboolean report_closed(gpointer self);
  void queue(EncodedFrame frame);
  void read_available();
  bool write_available();

  GObjectPointer<GSocketConnection> connection_;
  GSocket* socket_;
  SocketPoller::Registration registration_ = 0;  ///< 0 before start() and after close().
  bool writing_ = false;  ///< Whether unsent bytes wait for the socket to become writable.
  guint closed_source_ = 0;
  Callbacks callbacks_;
  FrameReader reader_;
  std::deque<EncodedFrame> outgoing_;
  std::size_t front_offset_ = 0;
  std::size_t queued_bytes_ = 0;
  bool open_ = true;
  bool reading_ = true;
  std::string close_reason_;
};

/// Accepts connections on one address.
class WireListener {
 public:
  using OnConnection = std::function<void(std::unique_ptr<WireConnection>)>;

  /// Fails with ErrorCode::unavailable when the address cannot be bound.
  static leaf::result<std::unique_ptr<WireListener>> listen(const Address& address,
                                                            OnConnection on_connection);
  ~WireListener();

 private:
  WireListener() = default;
  static gboolean handle_incoming(GSocketService* service, GSocketConnection* connection,
                                  GObject* source, gpointer self);

  GSocketService* service_ = nullptr;
  OnConnection on_connection_;
};

/// Starts a connection; calls back with null after a failure or `timeout`.
void connect_wire(const Address& address, Duration timeout,
                  std::function<void(std::unique_ptr<WireConnection>)> on_result);

}  // namespace pumicemast
