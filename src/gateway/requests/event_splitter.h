/// Splits a `text/event-stream` body into complete events and tracks their ids.
///
/// Free of I/O. A stream that may be resumed on another back end must be relayed in complete
/// events: an event that one back end left incomplete is sent again by the next one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pumicemast {

class EventSplitter {
 public:
  /// Adds received bytes.
  /// @return the events completed by them, byte for byte.
  std::string take_complete_events(std::string_view bytes);
  /// Removes and returns the bytes of an incomplete event.
  std::string take_partial_event();
  std::size_t partial_bytes() const { return partial_.size(); }
  void discard_partial_event() { partial_.clear(); }

  /// Id of the last complete event that has one.
  const std::optional<std::string>& last_id() const { return last_id_; }
  std::uint64_t event_count() const { return event_count_; }

 private:
  void record_event(std::string_view event);

  std::string partial_;
  std::optional<std::string> last_id_;
  std::uint64_t event_count_ = 0;
};

}  // namespace pumicemast
