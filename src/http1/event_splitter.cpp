#include "http1/event_splitter.h"

#include <algorithm>
#include <utility>

#include "http1/input_buffer.h"

namespace pumicemast {
namespace {

/// Longer than the name of any field.
constexpr std::size_t kKeptLineBytes = 64;

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  return text;
}

/// Whether the line stands for itself and needs no event around it.
bool is_comment_or_retry(std::string_view line) {
  return line.starts_with(':') || line.starts_with("retry:");
}

}  // namespace

bool is_event_stream(std::string_view content_type) {
  return content_type.starts_with("text/event-stream");
}

std::optional<EventSplitter::Line> EventSplitter::next_line() {
  const std::size_t at = partial_.find_first_of("\r\n", std::max(line_start_, searched_));
  if (at == std::string::npos) {
    searched_ = partial_.size();
    return std::nullopt;
  }
  std::size_t end = at + 1;
  if (partial_[at] == '\r') {
    // The last byte may be the first half of a CR LF.
    if (end == partial_.size()) return std::nullopt;
    if (partial_[end] == '\n') {
      ++end;
    } else {
      lines_end_with_cr_ = true;
    }
  }
  return Line{std::string_view(partial_).substr(line_start_, at - line_start_), end};
}

void EventSplitter::add_line(std::string_view line) {
  constexpr std::string_view kIdField = "id:";
  if (is_comment_or_retry(line)) return;
  block_has_event_field_ = true;
  if (line.starts_with(kIdField)) block_id_ = std::string(trimmed(line.substr(kIdField.size())));
}

void EventSplitter::end_block() {
  if (block_has_event_field_) ++event_count_;
  if (block_id_) last_id_ = std::exchange(block_id_, std::nullopt);
  block_has_event_field_ = false;
}

std::string EventSplitter::take_complete_events(std::string_view bytes) {
  partial_.append(bytes);
  std::size_t consumed = 0;
  while (const auto line = next_line()) {
    std::string_view content = line->content;
    if (std::exchange(at_stream_start_, false) && content.starts_with(kByteOrderMark)) {
      content.remove_prefix(kByteOrderMark.size());
    }
    line_start_ = line->end;
    searched_ = 0;
    if (!content.empty()) {
      add_line(content);
      continue;
    }
    end_block();
    consumed = line_start_;
  }
  std::string complete_events = partial_.substr(0, consumed);
  partial_.erase(0, consumed);
  release_unused(partial_);
  line_start_ -= consumed;
  searched_ -= std::min(searched_, consumed);
  return complete_events;
}

void EventSplitter::end_stream() {
  const std::string_view line = std::string_view(partial_).substr(line_start_);
  if (!lines_end_with_cr_ || line != "\r") return;
  line_start_ = partial_.size();
  end_block();
}

std::string EventSplitter::take_partial_event() {
  std::string rest = std::move(partial_);
  discard_partial_event();
  return rest;
}

void EventSplitter::shorten_partial_event() {
  const bool ends_with_cr = partial_.ends_with('\r');
  const std::size_t end = partial_.size() - (ends_with_cr ? 1 : 0);
  // The beginning of the line tells which field it is.
  const std::size_t kept = std::min(end, line_start_ + kKeptLineBytes);
  partial_.erase(kept, end - kept);
  partial_.erase(0, line_start_);
  release_unused(partial_);
  line_start_ = 0;
  searched_ = 0;
}

void EventSplitter::discard_partial_event() {
  partial_.clear();
  release_unused(partial_);
  line_start_ = 0;
  searched_ = 0;
  at_stream_start_ = true;
  lines_end_with_cr_ = false;
  block_has_event_field_ = false;
  block_id_.reset();
}

bool is_truncated(const EventSplitter& stream, std::uint64_t events, ResponseEnd end) {
  if (stream.inside_event()) return true;
  return end == ResponseEnd::inferred_from_close && events == 0;
}

}  // namespace pumicemast
