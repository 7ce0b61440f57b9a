/// Bounds how many log lines of each kind a process writes a second.
///
/// A decision core: no I/O. What is left out is counted, so that a reader knows of it.
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

  /// Kinds with lines left out since the last call, and how many.
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
