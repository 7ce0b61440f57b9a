/// Limits the log lines of each kind that a process writes per second.
///
/// A decision core: no I/O. Suppressed lines are counted, so that the log can state their number.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "common/time.h"

namespace pumicemast {

class LogBudget {
 public:
  /// @param lines_per_second  of each kind.
  explicit LogBudget(std::uint32_t lines_per_second) : lines_per_second_(lines_per_second) {}

  /// Whether a line of this kind may be written now.
  bool admit(const std::string& kind, TimePoint now) {
    Kind& state = kinds_[kind];
    if (now - state.window_start >= seconds(1)) {
      state.window_start = now;
      state.written = 0;
    }
    if (state.written < lines_per_second_) {
      ++state.written;
      return true;
    }
    ++state.suppressed;
    return false;
  }

  /// Kinds with lines suppressed since the last call, and their number.
  std::vector<std::pair<std::string, std::uint64_t>> take_suppressed() {
    std::vector<std::pair<std::string, std::uint64_t>> result;
    for (auto& [name, state] : kinds_) {
      if (state.suppressed == 0) continue;
      result.emplace_back(name, state.suppressed);
      state.suppressed = 0;
    }
    return result;
  }

 private:
  struct Kind {
    TimePoint window_start{};
    std::uint32_t written = 0;
    std::uint64_t suppressed = 0;
  };
  std::uint32_t lines_per_second_;
  std::map<std::string, Kind> kinds_;
};

}  // namespace pumicemast
