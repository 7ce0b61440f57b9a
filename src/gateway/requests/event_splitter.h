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
  std::string take_whole_events(std::string_view bytes);
  /// Bytes of an event that has not ended; they are forgotten.
  std::string take_rest();
  void drop_rest() { rest_.clear(); }

  /// Id of the last whole event that carried one.
  const std::optional<std::string>& last_id() const { return last_id_; }
  std::uint64_t events() const { return events_; }

 private:
  void note_event(std::string_view event);

  std::string rest_;
  std::optional<std::string> last_id_;
  std::uint64_t events_ = 0;
};

}  // namespace pumicemast
