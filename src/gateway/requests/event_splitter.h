/// Cuts a `text/event-stream` body into whole events and follows their ids.
///
/// Free of I/O. A stream that is to be resumed elsewhere may only be passed on by whole
/// events: what a back end left unfinished comes again from the next one.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pumicemast {

class EventSplitter {
 public:
  /// Adds received bytes.
  /// @return the events that are whole now, as received.
  std::string take_complete_events(std::string_view bytes);
  /// Bytes of an event that has not ended; they are forgotten.
  std::string take_partial_event();
  void discard_partial_event() { partial_.clear(); }

  /// Id of the last whole event that carried one.
  const std::optional<std::string>& last_id() const { return last_id_; }
  std::uint64_t event_count() const { return event_count_; }

 private:
  void record_event(std::string_view event);

  std::string partial_;
  std::optional<std::string> last_id_;
  std::uint64_t event_count_ = 0;
};

}  // namespace pumicemast
