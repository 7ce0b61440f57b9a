/// One non-blocking TCP connection driven by the main loop.
///
/// Unlike GIO streams, it reports whether any byte was written and whether the peer closed the
/// connection in an orderly way or reset it, and it can reset the connection itself.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "common/settings.h"
#include "common/time.h"
#include "transport/socket_poller.h"

namespace pumicemast {

/// How a connection ended.
enum class StreamEnd {
  closed_by_peer,   ///< The peer closed the connection in an orderly way.
  reset,            ///< Reset, timed out or failed in another way.
  connect_refused,  ///< Not established: nothing listens at the address.
  connect_failed,   ///< Not established for another reason; no byte was written.
};

/// Notified of events of a stream. Its functions may close the stream but must not destroy it.
class StreamObserver {
 public:
  virtual ~StreamObserver() = default;
  virtual void on_stream_data(std::string_view bytes) = 0;
  /// Called at most once, and not after close() or reset().
  virtual void on_stream_end(StreamEnd end) = 0;
  /// The peer has closed its direction; it may still read.
  /// @return true to keep the connection for sending; otherwise it ends as `closed_by_peer`.
  virtual bool on_stream_input_end() { return false; }
  /// All queued bytes have been written to the socket.
  virtual void on_stream_drained() {}
  /// Some of the queued bytes have been written to the socket, or all of them.
  virtual void on_stream_written() {}
  /// A connection opened by this process has been established.
  virtual void on_stream_connected() {}
};

class TcpStream : private SocketHandler {
 public:
  /// Takes ownership of the descriptor of an accepted connection. Keepalive probes start after
  /// kCallerKeepaliveIdle.
  TcpStream(int descriptor, StreamObserver& observer);
  /// Connects to `address`; a failure is reported from the main loop. Keepalive probes start after
  /// kFastKeepaliveIdle.
  /// @param user_timeout  closes the connection when sent bytes stay unacknowledged for this time.
  TcpStream(const Address& address, Duration user_timeout, StreamObserver& observer);
  ~TcpStream() override;
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  /// Writes what the socket accepts now and queues the rest.
  void send(std::string_view bytes);
  /// Closes the connection and drops queued bytes.
  void close();
  /// Resets the connection, so that the peer sees a failure instead of an orderly close.
  void reset();
  /// Drops bytes that were not written to the socket. Only for a connection that will be reset.
  void drop_queued();
  /// Closes this direction in an orderly way once all sent bytes have been delivered. Nothing may
  /// be queued. Bytes of the peer are still received.
  void shutdown_sending();
  /// Pauses or resumes reading; while paused, TCP flow control holds the sender back.
  void set_reading(bool reading);
  bool is_reading() const { return reading_; }
  /// Turns keepalive probes on or off for a connection opened by this process.
  void set_tcp_keepalive(bool probing);

  /// Bounds what the system keeps of sent bytes that the peer has not read, or of received bytes
  /// that are not read here; without a bound it grows to several megabytes.
  void limit_send_buffer(int bytes);
  void limit_receive_buffer(int bytes);

  bool is_open() const { return descriptor_ >= 0; }
  bool connected() const { return connected_; }
  /// Whether the peer has closed its direction.
  bool input_ended() const { return input_ended_; }
  std::uint64_t bytes_sent() const { return bytes_sent_; }
  std::size_t queued_bytes() const { return queued_bytes_; }
  /// Sent bytes that the peer's system has not acknowledged, and queued ones. They are lost if the
  /// connection is reset. After a failure, what was left then.
  std::size_t undelivered_bytes() const;
  /// Bytes that the system has received and that were not read. Closing the connection with such
  /// bytes resets it.
  std::size_t unread_bytes() const;

 private:
  void on_readable() override;
  void on_writable() override;
  void on_broken() override;
  void finish_connecting();
  void end_input();
  void update_interest();
  /// @return false after a failure, which has been reported to the observer.
  bool write_available(std::string_view& bytes);
  void queue(std::string_view bytes);
  /// Writes queued bytes until the socket accepts no more.
  /// @return false after a failure, which has been reported to the observer.
  bool write_queued();
  void fail(StreamEnd end);
  void drop_descriptor();

  int descriptor_ = -1;
  StreamObserver& observer_;
  SocketPoller::Registration registration_ = 0;
  std::list<std::string> outgoing_;  ///< In pieces, so that memory is freed as they are written.
  std::size_t outgoing_offset_ = 0;  ///< Bytes of the first piece that have been written.
  std::size_t queued_bytes_ = 0;
  std::uint64_t bytes_sent_ = 0;
  std::size_t undelivered_at_failure_ = 0;
  std::size_t unread_at_failure_ = 0;
  bool connected_ = false;
  bool reading_ = true;
  bool input_ended_ = false;
  bool writing_ = false;
};

}  // namespace pumicemast
