/// One connection from a caller: requests in, answers out, one after the other.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "http1/request_reader.h"
#include "http1/tcp_stream.h"

namespace pumicemast {

class CallerConnection;

class CallerConnectionObserver {
 public:
  virtual ~CallerConnectionObserver() = default;
  /// A whole request; exactly one answer is owed.
  virtual void on_caller_request(CallerConnection& connection, ReceivedRequest request) = 0;
  /// The caller left while its request was in progress; no answer can be given any more.
  virtual void on_caller_disconnected(CallerConnection& connection) = 0;
  /// The connection is over; the owner drops it after this turn.
  virtual void on_caller_connection_closed(CallerConnection& connection) = 0;
};

/// How the body of an answer is delimited.
enum class ResponseFraming { length, chunked };

class CallerConnection : private StreamObserver {
 public:
  CallerConnection(int descriptor, RequestLimits limits, CallerConnectionObserver& observer);

  /// Begins an answer. `fields` are whole "Name: value\r\n" lines without framing fields.
  void begin_response(int status, std::string_view reason, std::string_view fields,
                      ResponseFraming framing, std::size_t length = 0);
  void write_body(std::string_view bytes);
  /// The answer is whole.
  void end_response();
  /// A short answer in one piece.
  void respond(int status, std::string_view fields, std::string_view body);
  /// The answer can't be completed: the caller sees the connection fail.
  void abort_response();
  /// Sends what is gathered; called once after a group of writes.
  void flush();
  void close();

  /// Answers end with Connection: close from now on; an idle connection is closed after a
  /// while, but not one whose caller has not sent anything yet.
  void set_closing() { closing_ = true; }
  void set_limits(RequestLimits limits) { reader_.set_limits(limits); }
  /// Ends a connection that has rested, or has been sending a head, for too long.
  void expire(TimePoint now, Duration idle_timeout, Duration head_timeout);

  bool handling() const { return state_ == State::handling; }
  /// Its caller has connected and not sent its first request yet, or has sent a part of one.
  bool awaits_request() const {
    return state_ == State::waiting && (!received_request_ || reader_.has_partial());
  }
  bool is_open() const { return stream_.is_open(); }
  std::size_t queued_bytes() const { return stream_.queued_bytes(); }
  std::uint64_t request_number = 0;  ///< The owner's number of the request in progress.

 private:
  enum class State { waiting, handling, closed };

  void on_stream_data(std::string_view bytes) override;
  void on_stream_end(StreamEnd end) override;
  void on_stream_drained() override;
  void handle(RequestStatus status);
  void refuse(int status);
  void close_after_flush();

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
  bool close_when_drained_ = false;
};

}  // namespace pumicemast
