/// Reloads a settings file on SIGHUP, or when a periodic check finds it changed.
#pragma once

#include <sys/stat.h>

#include <functional>
#include <string>

#include "common/event_loop.h"

namespace pumicemast {

class SettingsReloader {
 public:
  /// @param on_changed  reads the file again; called from the loop.
  SettingsReloader(std::string path, EventLoop& loop, std::function<void()> on_changed)
      : path_(std::move(path)), on_changed_(std::move(on_changed)) {
    changed();
    loop.on_hangup([this] {
      changed();
      on_changed_();
    });
    timer_.start_repeating(kCheckInterval, [this] {
      if (changed()) on_changed_();
    });
  }

 private:
  static constexpr Duration kCheckInterval = seconds(2);

  /// Whether the file differs from the last check.
  bool changed() {
    struct stat state {};
    if (stat(path_.c_str(), &state) != 0) return false;
    const bool differs = state.st_mtim.tv_sec != seen_.st_mtim.tv_sec ||
                         state.st_mtim.tv_nsec != seen_.st_mtim.tv_nsec ||
                         state.st_size != seen_.st_size || state.st_ino != seen_.st_ino;
    seen_ = state;
    return differs;
  }

  std::string path_;
  std::function<void()> on_changed_;
  struct stat seen_ {};
  Timer timer_;
};

}  // namespace pumicemast
