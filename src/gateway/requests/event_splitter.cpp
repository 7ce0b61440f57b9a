#include "gateway/requests/event_splitter.h"

#include <algorithm>

namespace pumicemast {
namespace {

/// Position after the blank line that ends the first event in `text`, or npos.
std::size_t event_end(std::string_view text, std::size_t from) {
  std::size_t line_end = text.find('\n', from);
  while (line_end != std::string_view::npos) {
    std::size_t next = line_end + 1;
    if (next < text.size() && text[next] == '\r') ++next;
    if (next >= text.size()) return std::string_view::npos;
    if (text[next] == '\n') return next + 1;
    line_end = text.find('\n', next);
  }
  return std::string_view::npos;
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  while (!text.empty() && text.back() == '\r') text.remove_suffix(1);
  return text;
}

}  // namespace

std::string EventSplitter::take_complete_events(std::string_view bytes) {
  partial_.append(bytes);
  std::size_t consumed = 0;
  for (std::size_t end = event_end(partial_, 0); end != std::string::npos;
       end = event_end(partial_, consumed)) {
    record_event(std::string_view(partial_).substr(consumed, end - consumed));
    consumed = end;
  }
  std::string complete_events = partial_.substr(0, consumed);
  partial_.erase(0, consumed);
  return complete_events;
}

std::string EventSplitter::take_partial_event() {
  std::string rest = std::move(partial_);
  partial_.clear();
  return rest;
}

void EventSplitter::record_event(std::string_view event) {
  constexpr std::string_view kIdField = "id:";
  ++event_count_;
  while (!event.empty()) {
    const std::size_t line_end = std::min(event.find('\n'), event.size());
    const std::string_view line = event.substr(0, line_end);
    if (line.starts_with(kIdField)) {
      last_id_ = std::string(trimmed(line.substr(kIdField.size())));
    }
    event.remove_prefix(std::min(line_end + 1, event.size()));
  }
}

}  // namespace pumicemast
