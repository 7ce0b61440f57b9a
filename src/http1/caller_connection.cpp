#include "http1/caller_connection.h"

#include <algorithm>
#include <charconv>

#include "common/event_loop.h"

namespace pumicemast {
namespace {

/// Reading pauses when a caller has sent more bytes than this while its request is in progress.
constexpr std::size_t kMaximumPipelinedBytes = 64U * 1024U;
/// Idle time after which a connection is closed once set_closing() was called. It is not closed at
/// once, since the caller's next request may be in transit.
constexpr Duration kClosingIdleTimeout = milliseconds(500);
/// A caller that takes nothing of a queued response for this long has stopped reading.
constexpr Duration kUnreadTimeout = seconds(30);
/// A lingering connection is closed when its caller has sent nothing for this long, and in any case
/// after the second time.
constexpr Duration kLingerIdleTimeout = seconds(2);
constexpr Duration kLingerTimeout = seconds(10);
/// A caller that sends more than this after its last request is not read any further.
constexpr std::size_t kMaximumDiscardedBytes = 64U * 1024U * 1024U;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusTimeout = 408;
constexpr int kStatusBodyTooLarge = 413;
constexpr int kStatusHeadTooLarge = 431;
constexpr int kHttp11 = 11;

std::string status_line(int status, std::string_view reason) {
  std::string line = "HTTP/1.1 " + std::to_string(status) + " ";
  line.append(reason);
  line.append("\r\n");
  return line;
}

}  // namespace

const char* to_string(CloseReason reason) {
  switch (reason) {
    case CloseReason::completed:
      return "completed";
    case CloseReason::idle:
      return "idle";
    case CloseReason::unread:
      return "unread";
    case CloseReason::aborted:
      return "aborted";
    case CloseReason::evicted:
      return "evicted";
    case CloseReason::by_caller:
      return "by_caller";
  }
  return "unknown";
}

CallerConnection::CallerConnection(int descriptor, RequestLimits limits,
                                   CallerConnectionObserver& observer)
    : observer_(observer),
      reader_(limits),
      stream_(descriptor, *this),
      waiting_since_(loop_now()) {}

void CallerConnection::on_stream_data(std::string_view bytes) {
  if (state_ == State::closed) return;
  if (state_ == State::draining || state_ == State::lingering || state_ == State::aborting ||
      discarding_input_) {
    discard(bytes.size());
    return;
  }
  if (state_ == State::handling || stream_.queued_bytes() > 0) {
    // Pipelined bytes are kept until the current response has been written.
    reader_.append_pending(bytes);
    if (reader_.pending_bytes() > kMaximumPipelinedBytes) stream_.set_reading(false);
    observer_.on_caller_progress(*this);
    return;
  }
  if (!reader_.has_partial()) waiting_since_ = loop_now();
  handle(reader_.consume(bytes));
}

void CallerConnection::handle(RequestStatus status) {
  switch (status) {
    case RequestStatus::need_more:
      if (!admit_body()) {
        discarding_input_ = true;
        report_request(reader_.take_head());
        return;
      }
      if (reader_.expects_continue() && !continue_sent_) {
        continue_sent_ = true;
        stream_.send("HTTP/1.1 100 Continue\r\n\r\n");
      }
      observer_.on_caller_progress(*this);
      return;
    case RequestStatus::malformed:
      refuse(kStatusBadRequest);
      return;
    case RequestStatus::head_too_large:
      refuse(kStatusHeadTooLarge);
      return;
    case RequestStatus::body_too_large:
      refuse(kStatusBodyTooLarge);
      return;
    case RequestStatus::complete:
      break;
  }
  const bool admitted = admit_body();
  ReceivedRequest request = reader_.take_request();
  if (!admitted) {
    request.body = std::string();
    request.body_refused = true;
  }
  report_request(std::move(request));
}

bool CallerConnection::admit_body() {
  const std::size_t received = reader_.body_bytes();
  const std::size_t stated = reader_.stated_body_bytes();
  if (std::max(received, stated) <= expected_body_bytes_) return true;
  const std::size_t wanted = stated > 0 ? stated : 2 * received;
  if (!observer_.admits_body(*this, wanted)) return false;
  expected_body_bytes_ = wanted;
  return true;
}

void CallerConnection::report_request(ReceivedRequest request) {
  expected_body_bytes_ = 0;
  state_ = State::handling;
  received_request_ = true;
  continue_sent_ = false;
  keep_alive_ = request.keep_alive && !discarding_input_;
  http_1_0_ = request.head.version < kHttp11;
  head_request_ = request.head.is("HEAD");
  observer_.on_caller_request(*this, std::move(request));
}

void CallerConnection::refuse(int status, std::string_view fields) {
  keep_alive_ = false;
  expected_body_bytes_ = 0;
  reader_.discard();
  state_ = State::handling;
  respond(status, fields, {});
  if (state_ != State::closed) observer_.on_caller_progress(*this);
}

void CallerConnection::drop_unadmitted_input(int status, std::string_view fields) {
  if (has_unfinished_request()) {
    refuse(status, fields);
    return;
  }
  if (state_ != State::handling && state_ != State::waiting) return;
  discard(reader_.pending_bytes());
  reader_.discard();
  discarding_input_ = true;
  keep_alive_ = false;
  stream_.set_reading(true);
  if (state_ == State::waiting) begin_closing();
}

CallerMemory CallerConnection::measure_memory() const {
  CallerMemory memory;
  memory.queued_response = queued_bytes();
  memory.response_read = bytes_sent();
  memory.held.unread_response = memory.queued_response;
  const std::size_t input = input_memory_bytes();
  memory.held.request_body = std::min(input, reader_.body_bytes());
  memory.held.request_head = input - memory.held.request_body;
  // A body above this size is received only after it was admitted.
  if (expected_body_bytes_ <= MemoryBudget::kSmallBodyBytes) memory.unadmitted_input = input;
  memory.promised = expected_body_bytes_ - std::min(expected_body_bytes_, memory.held.request_body);
  return memory;
}

std::size_t CallerConnection::input_memory_bytes() const {
  // In the other states input is dropped as it arrives.
  const bool keeps_input = state_ == State::waiting || state_ == State::handling;
  const std::size_t unread = keeps_input && !stream_.is_reading() ? stream_.unread_bytes() : 0;
  return reader_.allocated_bytes() + unread;
}

void CallerConnection::begin_response(int status, std::string_view reason, std::string_view fields,
                                      ResponseFraming framing, std::size_t length) {
  framing_ = framing;
  response_begins_at_ = stream_.bytes_sent() + stream_.queued_bytes();
  if ((closing_ && !has_pipelined()) || (http_1_0_ && framing == ResponseFraming::chunked))
    keep_alive_ = false;
  output_.append(status_line(status, reason));
  output_.append(fields);
  if (framing == ResponseFraming::length) {
    append_field(output_, "Content-Length", std::to_string(length));
  } else if (!http_1_0_) {
    append_field(output_, "Transfer-Encoding", "chunked");
  }
  if (!keep_alive_) append_field(output_, "Connection", "close");
  output_.append("\r\n");
}

void CallerConnection::write_body(std::string_view bytes) {
  if (bytes.empty() || head_request_) return;
  if (framing_ == ResponseFraming::length || http_1_0_) {
    output_.append(bytes);
    return;
  }
  char size[2 * sizeof(std::size_t)];
  const auto end = std::to_chars(size, size + sizeof(size), bytes.size(), 16);
  output_.append(size, end.ptr);
  output_.append("\r\n");
  output_.append(bytes);
  output_.append("\r\n");
}

void CallerConnection::flush() {
  if (output_.empty()) return;
  const std::string bytes = std::move(output_);
  output_.clear();
  stream_.send(bytes);
}

void CallerConnection::end_response() {
  if (state_ != State::handling) return;
  if (framing_ == ResponseFraming::chunked && !http_1_0_ && !head_request_) {
    output_.append("0\r\n\r\n");
  }
  flush();
  if (state_ != State::handling) return;  // The write failed.
  if (!keep_alive_) {
    begin_closing();
    return;
  }
  state_ = State::waiting;
  waiting_since_ = loop_now();
  undelivered_ = 0;
  stream_.set_reading(true);
  resume_pipelined();
  if (!resuming_) close_after_last_request();
}

void CallerConnection::resume_pipelined() {
  // A loop instead of recursion, since a caller may have pipelined many requests.
  if (resuming_) return;
  resuming_ = true;
  while (state_ == State::waiting && has_pipelined() && stream_.queued_bytes() == 0) {
    const std::size_t before = reader_.pending_bytes();
    handle(reader_.resume());
    if (reader_.pending_bytes() == before) break;
  }
  resuming_ = false;
}

void CallerConnection::respond(int status, std::string_view fields, std::string_view body) {
  begin_response(status, reason_phrase(status), fields, ResponseFraming::length, body.size());
  write_body(body);
  end_response();
}

void CallerConnection::abort_response() {
  if (state_ == State::closed) return;
  flush();
  if (state_ == State::closed) return;  // The write failed.
  state_ = State::aborting;
  // A reset would also discard what is left of the responses before this one, which have been
  // written: a response begins only then.
  if (earlier_responses_delivered()) {
    reset();
  } else {
    stream_.drop_queued();
    reader_.discard();
    stream_.set_reading(true);
  }
}

void CallerConnection::reset() {
  record_remains(CloseReason::aborted);
  state_ = State::closed;
  stream_.reset();
  observer_.on_caller_connection_closed(*this);
}

bool CallerConnection::earlier_responses_delivered() const {
  const std::uint64_t written = stream_.bytes_sent() + stream_.queued_bytes();
  return written - stream_.undelivered_bytes() >= response_begins_at_;
}

void CallerConnection::begin_closing() {
  if (state_ == State::closed) return;
  state_ = State::draining;
  discard(reader_.pending_bytes());
  reader_.discard();
  undelivered_ = 0;
  stream_.set_reading(true);
  if (stream_.queued_bytes() == 0) linger();
}

void CallerConnection::linger() {
  state_ = State::lingering;
  lingering_since_ = loop_now();
  last_discard_ = lingering_since_;
  if (!stream_.input_ended()) {
    stream_.shutdown_sending();
  } else if (stream_.undelivered_bytes() == 0) {
    close(CloseReason::completed);
  }
}

void CallerConnection::discard(std::size_t bytes) {
  discarded_bytes_ += bytes;
  last_discard_ = loop_now();
  if (discarded_bytes_ > kMaximumDiscardedBytes) stream_.set_reading(false);
}

std::optional<Evictable> CallerConnection::evictable() const {
  if (state_ != State::waiting && state_ != State::lingering) return std::nullopt;
  if (stream_.undelivered_bytes() > 0) return std::nullopt;
  if (state_ == State::lingering) return Evictable{Evictable::Kind::lingering, lingering_since_};
  if (awaits_request()) return Evictable{Evictable::Kind::incomplete, waiting_since_};
  if (has_unread_input()) return std::nullopt;
  return Evictable{Evictable::Kind::idle, waiting_since_};
}

bool CallerConnection::is_delivering() const {
  if (state_ == State::draining || state_ == State::lingering || state_ == State::aborting)
    return true;
  return state_ == State::waiting && stream_.undelivered_bytes() > 0;
}

bool CallerConnection::delivery_progresses(TimePoint now) {
  const std::size_t undelivered = stream_.undelivered_bytes();
  if (undelivered != undelivered_) {
    undelivered_ = undelivered;
    delivered_at_ = now;
  }
  return now - delivered_at_ < kUnreadTimeout;
}

void CallerConnection::record_remains(CloseReason reason) {
  remains_ = {reason, stream_.undelivered_bytes(), stream_.unread_bytes()};
}

void CallerConnection::close(CloseReason reason) {
  if (state_ == State::closed) return;
  record_remains(reason);
  state_ = State::closed;
  stream_.close();
  observer_.on_caller_connection_closed(*this);
}

void CallerConnection::on_stream_drained() {
  if (state_ == State::draining) {
    linger();
  } else if (state_ == State::waiting) {
    waiting_since_ = loop_now();
    stream_.set_reading(true);
    resume_pipelined();
    close_after_last_request();
  }
}

bool CallerConnection::on_stream_input_end() {
  // A caller that waits for a response has left; one that only has to read the rest of it may have
  // closed its own direction alone.
  const bool reads_on = state_ == State::waiting && stream_.queued_bytes() > 0;
  return reads_on || state_ == State::draining || state_ == State::aborting;
}

void CallerConnection::close_after_last_request() {
  const bool unwritten = stream_.queued_bytes() > 0;
  if (state_ == State::waiting && stream_.input_ended() && !unwritten) begin_closing();
}

void CallerConnection::on_stream_written() {
  if (state_ != State::closed) observer_.on_caller_progress(*this);
}

void CallerConnection::on_stream_end(StreamEnd) {
  if (state_ == State::closed) return;
  const bool in_progress = state_ == State::handling;
  record_remains(CloseReason::by_caller);
  state_ = State::closed;
  if (in_progress) observer_.on_caller_disconnected(*this);
  observer_.on_caller_connection_closed(*this);
}

void CallerConnection::expire(TimePoint now, Duration idle_timeout, Duration head_timeout) {
  switch (state_) {
    case State::handling:
    case State::closed:
      return;
    case State::draining:
      if (!delivery_progresses(now)) close(CloseReason::unread);
      return;
    case State::aborting:
      if (earlier_responses_delivered() || !delivery_progresses(now)) reset();
      return;
    case State::lingering:
      if (stream_.input_ended() || now - last_discard_ >= kLingerIdleTimeout ||
          now - lingering_since_ >= kLingerTimeout) {
        expire_lingering(now);
      }
      return;
    case State::waiting:
      expire_waiting(now, idle_timeout, head_timeout);
  }
}

void CallerConnection::expire_lingering(TimePoint now) {
  if (stream_.undelivered_bytes() == 0) {
    close(CloseReason::completed);
  } else if (!delivery_progresses(now)) {
    close(CloseReason::unread);
  }
}

void CallerConnection::expire_waiting(TimePoint now, Duration idle_timeout, Duration head_timeout) {
  if (stream_.queued_bytes() > 0) {
    if (!delivery_progresses(now)) close(CloseReason::unread);
    return;
  }
  const Duration waited = now - waiting_since_;
  if (reader_.has_partial()) {
    if (waited >= head_timeout && !has_unread_input()) refuse(kStatusTimeout);
    return;
  }
  // A caller that has not sent a request yet is about to send one, however slow its machine is.
  const bool idle_while_closing = closing_ && received_request_ && waited >= kClosingIdleTimeout;
  if (!idle_while_closing && waited < idle_timeout) return;
  if (has_unread_input()) return;
  if (stream_.undelivered_bytes() == 0) {
    close(CloseReason::idle);
  } else if (!delivery_progresses(now)) {
    close(CloseReason::unread);
  }
}

}  // namespace pumicemast
