/// One connection from a caller: reads requests and writes responses, one at a time.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http1/request_reader.h"
#include "http1/tcp_stream.h"
#include "memory/memory_budget.h"

namespace pumicemast {

class CallerConnection;

class CallerConnectionObserver {
 public:
  virtual ~CallerConnectionObserver() = default;
  /// Asked before a body of `bytes` is received; for a body of unknown length also whenever it has
  /// grown to the last value.
  /// @return false if the request is to be refused; it is then reported with `body_refused`.
  virtual bool admits_body(CallerConnection&, std::size_t /*bytes*/) { return true; }
  /// What is held for the caller has changed: a part of a request has arrived or was dropped, or
  /// the caller has read queued response bytes. May refuse the request or drop further input.
  virtual void on_caller_progress(CallerConnection&) {}
  /// A complete request was received; the observer must send exactly one response.
  virtual void on_caller_request(CallerConnection& connection, ReceivedRequest request) = 0;
  /// The caller disconnected while its request was in progress; no response can be sent any more.
  virtual void on_caller_disconnected(CallerConnection& connection) = 0;
  /// The connection is closed; the owner destroys it after this loop iteration. See remains().
  virtual void on_caller_connection_closed(CallerConnection& connection) = 0;
};

/// Why a connection was closed.
enum class CloseReason {
  completed,  ///< After its last response.
  idle,       ///< No request for the idle timeout, or for a short time while closing.
  unread,     ///< The caller took nothing of its response for a long time.
  aborted,    ///< Its response could not be completed.
  evicted,    ///< For another one, as the process has as many as it may have.
  by_caller,  ///< By the caller, or by a failure of the network.
};
const char* to_string(CloseReason reason);

/// What was left on a connection when it was closed. Output is lost if the system resets the
/// connection, which it does if there is input.
struct ConnectionRemains {
  CloseReason reason = CloseReason::by_caller;
  std::size_t undelivered_bytes = 0;  ///< Response bytes that the caller's system had not received.
  std::size_t unread_bytes = 0;       ///< Bytes of the caller that had not been read.
};

/// How readily a connection is closed for another one; lower values first.
struct Evictable {
  enum class Kind {
    lingering,   ///< Its last response is delivered; it waits until the caller closes.
    incomplete,  ///< It waits for a first request, or for the rest of one.
    idle,        ///< It waits for another request.
  };
  Kind kind;
  TimePoint since;  ///< When it began to wait.

  auto operator<=>(const Evictable&) const = default;
};

/// How the body of a response is delimited.
enum class ResponseFraming { length, chunked };

/// A connection ends in steps, so that its last response arrives whole: the response is written,
/// this direction is closed, and the input is discarded until the caller closes as well. Closing at
/// once would make the system reset the connection if the caller has sent more, or sends more
/// before it has read the response.
class CallerConnection : private StreamObserver {
 public:
  CallerConnection(int descriptor, RequestLimits limits, CallerConnectionObserver& observer);

  /// Begins a response. `fields` are complete "Name: value\r\n" lines without framing fields.
  void begin_response(int status, std::string_view reason, std::string_view fields,
                      ResponseFraming framing, std::size_t length = 0);
  void write_body(std::string_view bytes);
  /// Completes the response.
  void end_response();
  /// Sends a response with a body of known length.
  void respond(int status, std::string_view fields, std::string_view body);
  /// Refuses a request of which only a part has arrived, or else drops what was sent ahead of the
  /// response in progress. The connection closes after that response.
  void drop_unadmitted_input(int status, std::string_view fields);
  /// Resets the connection, so that the caller sees that the response is incomplete; if it still
  /// receives earlier responses, only after these. What is queued is dropped at once.
  void abort_response();
  /// Sends the buffered output; called once after a group of writes.
  void flush();
  void close(CloseReason reason);

  /// From now on, responses that begin carry Connection: close, unless the caller has already sent
  /// a further request. An idle connection is closed after a short time, unless its caller has not
  /// sent a request yet.
  void set_closing() { closing_ = true; }
  void limit_send_buffer(int bytes) { stream_.limit_send_buffer(bytes); }
  void set_limits(RequestLimits limits) { reader_.set_limits(limits); }
  /// Closes a connection that has been idle for `idle_timeout`, and refuses a request that has been
  /// incomplete for `head_timeout`. A connection whose caller still reads a response is not idle.
  /// Call every few hundred milliseconds.
  void expire(TimePoint now, Duration idle_timeout, Duration head_timeout);

  bool handling() const { return state_ == State::handling; }
  /// Whether the caller has not sent its first request yet, or has sent a part of a request.
  bool awaits_request() const {
    return state_ == State::waiting && (!received_request_ || reader_.has_partial());
  }
  /// Whether a part of a request has arrived, and the connection waits for the rest.
  bool has_unfinished_request() const {
    return state_ == State::waiting && reader_.has_partial() && stream_.queued_bytes() == 0;
  }
  /// Whether bytes of a further request wait until the current response is written.
  bool has_pipelined() const { return state_ != State::closed && reader_.pending_bytes() > 0; }
  /// Empty while a request is in progress, or a response that is not delivered.
  std::optional<Evictable> evictable() const;
  /// Whether input has arrived that was not read yet: after a stall, timers may fire before it is.
  bool has_unread_input() const { return stream_.unread_bytes() > 0; }
  /// Whether the caller has not received its last response whole, as far as can be known.
  bool is_delivering() const;
  bool is_open() const { return stream_.is_open(); }
  std::size_t queued_bytes() const { return stream_.queued_bytes(); }
  /// Response bytes passed to the caller's system since the connection was opened.
  std::uint64_t bytes_sent() const { return stream_.bytes_sent(); }
  /// What is held for the caller, besides the request in progress and its copies.
  CallerMemory measure_memory() const;
  /// Memory for input: heads, bodies and bytes that are not parsed, or not even read while reading
  /// pauses.
  std::size_t input_memory_bytes() const;
  /// Response bytes that the caller's system has not received yet.
  std::size_t undelivered_bytes() const { return stream_.undelivered_bytes(); }
  /// Of a closed connection.
  const ConnectionRemains& remains() const { return remains_; }
  /// Expected length of the body being received; 0 when none is.
  std::size_t expected_body_bytes() const { return expected_body_bytes_; }
  std::uint64_t request_number = 0;  ///< Set by the owner to identify the request in progress.
  std::uint64_t caller_number = 0;   ///< Set by the owner to identify the connection.

 private:
  enum class State {
    waiting,    ///< For a request, or until the caller has taken the last response.
    handling,   ///< A request is in progress.
    draining,   ///< The last response is being written.
    aborting,   ///< The connection is reset once earlier responses are delivered.
    lingering,  ///< This direction is closed; waits until the caller closes its own.
    closed,
  };

  void on_stream_data(std::string_view bytes) override;
  void on_stream_end(StreamEnd end) override;
  bool on_stream_input_end() override;
  void on_stream_drained() override;
  void on_stream_written() override;
  void handle(RequestStatus status);
  /// Whether the body received so far, or stated by the head, is or becomes admitted.
  bool admit_body();
  void report_request(ReceivedRequest request);
  void refuse(int status, std::string_view fields = {});
  /// Handles requests that the caller sent before it had the response to an earlier one.
  void resume_pipelined();
  void begin_closing();
  /// Begins to close if the caller has closed its direction and no request of it is left.
  void close_after_last_request();
  void linger();
  void reset();
  bool earlier_responses_delivered() const;
  void expire_waiting(TimePoint now, Duration idle_timeout, Duration head_timeout);
  void expire_lingering(TimePoint now);
  void discard(std::size_t bytes);
  /// @return whether the caller has taken bytes of its response since the last call, or not too
  ///         long ago.
  bool delivery_progresses(TimePoint now);
  void record_remains(CloseReason reason);

  CallerConnectionObserver& observer_;
  RequestReader reader_;
  TcpStream stream_;
  std::string output_;
  State state_ = State::waiting;
  ResponseFraming framing_ = ResponseFraming::length;
  TimePoint waiting_since_{};
  bool received_request_ = false;
  bool keep_alive_ = true;
  bool http_1_0_ = false;
  bool head_request_ = false;
  bool closing_ = false;
  bool continue_sent_ = false;
  bool resuming_ = false;
  bool discarding_input_ = false;  ///< The rest of a body, or further requests.
  std::size_t discarded_bytes_ = 0;
  TimePoint last_discard_{};  ///< Also when lingering began.
  TimePoint lingering_since_{};
  std::uint64_t response_begins_at_ = 0;  ///< Offset among all bytes of the connection.
  std::size_t undelivered_ = 0;           ///< At the last check of the delivery.
  TimePoint delivered_at_{};              ///< When the caller was last seen to take response bytes.
  std::size_t expected_body_bytes_ = 0;
  ConnectionRemains remains_;
};

}  // namespace pumicemast
