#include "adapters/configuration_watcher.h"

#include <algorithm>

namespace pumicemast {
namespace {

constexpr Duration kWatchWait = seconds(20);
constexpr std::int64_t kInitialRetryMs = 200;
constexpr std::int64_t kMaximumRetryMs = 2000;
constexpr std::uint32_t kMaximumDoublings = 8;

}  // namespace

ConfigurationWatcher::ConfigurationWatcher(ObjectStore& store, std::vector<std::string> kinds,
                                           Duration pause, Callbacks callbacks, std::uint64_t seed)
    : store_(store),
      kinds_(std::move(kinds)),
      pause_(pause),
      callbacks_(std::move(callbacks)),
      random_(static_cast<std::minstd_rand::result_type>(seed % std::minstd_rand::modulus + 1)) {}

void ConfigurationWatcher::start() { list(); }

void ConfigurationWatcher::set_reachable(bool reachable) {
  if (reachable) failures_ = 0;
  if (reachable == reachable_) return;
  reachable_ = reachable;
  callbacks_.on_reachability(reachable);
}

void ConfigurationWatcher::retry_later() {
  set_reachable(false);
  const std::int64_t doubled = kInitialRetryMs << std::min(failures_++, kMaximumDoublings);
  const std::int64_t limit_ms = std::min(doubled, kMaximumRetryMs);
  // Full jitter keeps processes from retrying at the same moment after an outage.
  const std::int64_t delay_ms =
      kInitialRetryMs / 2 + static_cast<std::int64_t>(random_()) % limit_ms;
  timer_.start_once(milliseconds(delay_ms), [this] { listed_ ? watch() : list(); });
}

void ConfigurationWatcher::list() {
  store_.list(kinds_, [this](const ObjectListResult& result) {
    if (!result.answered) {
      retry_later();
      return;
    }
    listed_ = true;
    revision_ = result.revision;
    set_reachable(true);
    callbacks_.on_listing(result.revision, result.objects);
    watch();
  });
}

void ConfigurationWatcher::watch() {
  store_.watch(kinds_, revision_, kWatchWait, [this](const ObjectWatchResult& result) {
    if (!result.answered) {
      retry_later();
      return;
    }
    set_reachable(true);
    if (result.expired) {
      listed_ = false;
      list();
      return;
    }
    revision_ = result.revision;
    if (!result.events.empty()) callbacks_.on_events(result.revision, result.events);
    timer_.start_once(pause_, [this] { watch(); });
  });
}

}  // namespace pumicemast
