/// One non-blocking TCP connection on the process's loop.
///
/// Unlike GIO's streams it tells what the data path must know: whether any byte was written,
/// whether the peer ended the connection in order or reset it, and it can reset on purpose.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "common/settings.h"
#include "common/time.h"
#include "transport/socket_poller.h"

namespace pumicemast {

/// How a connection came to its end.
enum class StreamEnd {
  closed_by_peer,   ///< The peer ended the connection in order.
  reset,            ///< Reset, timed out, or failed in another way.
  connect_refused,  ///< It never came up: nothing listens at the address.
  connect_failed,   ///< It never came up for another reason; not one byte was written.
};

/// Told what happens on a stream. The stream may be closed, but not destroyed, meanwhile.
class StreamObserver {
 public:
  virtual ~StreamObserver() = default;
  virtual void on_stream_data(std::string_view bytes) = 0;
  /// Called at most once, and not after close() or reset().
  virtual void on_stream_end(StreamEnd end) = 0;
  /// Everything queued was taken by the system.
  virtual void on_stream_drained() {}
  /// A connection that was begun here has come up.
  virtual void on_stream_connected() {}
};

class TcpStream : private SocketHandler {
 public:
  /// Takes over an accepted, connected descriptor. It is probed where it rests.
  TcpStream(int descriptor, StreamObserver& observer);
  /// Begins a connection to `address`; a failure is told from the loop. It is probed promptly
  /// where it rests.
  /// @param user_timeout  bytes that the peer does not acknowledge for so long end it.
  TcpStream(const Address& address, Duration user_timeout, StreamObserver& observer);
  ~TcpStream() override;
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  /// Sends now what the system takes and queues the rest.
  void send(std::string_view bytes);
  /// Ends the connection; what is queued is dropped.
  void close();
  /// Ends the connection so that the peer sees a failure, not an orderly end.
  void reset();
  /// Stops or resumes reading, so that the sender is held back by TCP itself.
  void set_reading(bool reading);
  /// Whether a connection that was begun here is probed where it rests.
  void set_tcp_keepalive(bool probing);

  bool is_open() const { return descriptor_ >= 0; }
  bool connected() const { return connected_; }
  std::uint64_t bytes_sent() const { return bytes_sent_; }
  std::size_t queued_bytes() const { return outgoing_.size() - outgoing_offset_; }

 private:
  void on_readable() override;
  void on_writable() override;
  void on_broken() override;
  void finish_connecting();
  void update_interest();
  /// @return false after a failure, which was reported.
  bool write_available(std::string_view& bytes);
  void fail(StreamEnd end);
  void drop_descriptor();

  int descriptor_ = -1;
  StreamObserver& observer_;
  SocketPoller::Registration registration_ = 0;
  std::string outgoing_;
  std::size_t outgoing_offset_ = 0;
  std::uint64_t bytes_sent_ = 0;
  bool connected_ = false;
  bool reading_ = true;
  bool writing_ = false;
};

}  // namespace pumicemast
