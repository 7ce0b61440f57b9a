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

std::string EventSplitter::take_whole_events(std::string_view bytes) {
  rest_.append(bytes);
  std::size_t taken = 0;
  for (std::size_t end = event_end(rest_, 0); end != std::string::npos;
       end = event_end(rest_, taken)) {
    note_event(std::string_view(rest_).substr(taken, end - taken));
    taken = end;
  }
  std::string whole = rest_.substr(0, taken);
  rest_.erase(0, taken);
  return whole;
}

std::string EventSplitter::take_rest() {
  std::string rest = std::move(rest_);
  rest_.clear();
  return rest;
}

void EventSplitter::note_event(std::string_view event) {
  constexpr std::string_view kIdField = "id:";
  ++events_;
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
