/// Splits a `text/event-stream` body into complete events and tracks their ids.
///
/// Free of I/O. A stream that may be resumed on another back end must be relayed in complete
/// events: an event that one back end left incomplete is sent again by the next one. Lines end with
/// LF, CR LF or CR, as the format allows (WHATWG HTML, section 9.2.5).
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "http1/input_buffer.h"
#include "http1/response_reader.h"

namespace pumicemast {

/// Whether a response with this Content-Type is an event stream.
bool is_event_stream(std::string_view content_type);

class EventSplitter {
 public:
  /// Adds received bytes.
  /// @return the blocks completed by them, byte for byte: events, and comments outside of events.
  std::string take_complete_events(std::string_view bytes);
  /// No bytes follow: a CR at the end ends a line, if the stream's lines end with CR.
  void end_stream();
  /// Removes and returns the bytes that take_complete_events() has not returned.
  std::string take_partial_event();
  std::size_t partial_bytes() const { return partial_.size(); }
  /// Memory for the event that is not complete.
  std::size_t allocated_bytes() const { return pumicemast::allocated_bytes(partial_); }
  void discard_partial_event();
  /// Drops the bytes of the event that is not complete, except what tells where it ends. For
  /// streams whose bytes are relayed as they arrive.
  void shorten_partial_event();
  /// Whether a stream that ends here lacks a part of its last event. Complete lines of comments
  /// and retry times after the last event belong to none.
  bool inside_event() const { return block_has_event_field_ || line_start_ < partial_.size(); }

  /// Id of the last complete event that has one.
  const std::optional<std::string>& last_id() const { return last_id_; }
  std::uint64_t event_count() const { return event_count_; }

 private:
  struct Line {
    std::string_view content;
    std::size_t end;  ///< Position after its line end, in `partial_`.
  };
  std::optional<Line> next_line();
  void add_line(std::string_view line);
  void end_block();

  std::string partial_;
  std::size_t line_start_ = 0;  ///< Of the line in `partial_` that is not complete yet.
  std::size_t searched_ = 0;    ///< Bytes of `partial_` known to hold no end of that line.
  bool at_stream_start_ = true;
  bool lines_end_with_cr_ = false;
  bool block_has_event_field_ =
      false;  ///< Some line of the block is neither a comment nor `retry`.
  std::optional<std::string> block_id_;
  std::optional<std::string> last_id_;
  std::uint64_t event_count_ = 0;
};

/// Whether a stream lacks a part although its connection was closed in an orderly way, or its
/// framing says that it is complete: it ends inside an event, or its end is only inferred and it
/// has no event.
/// @param stream  all bytes were added, and end_stream() was called.
/// @param events  complete events of the response.
bool is_truncated(const EventSplitter& stream, std::uint64_t events, ResponseEnd end);

}  // namespace pumicemast
