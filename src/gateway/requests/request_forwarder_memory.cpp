// Requests whose responses are held back, because their callers read slowly.
#include "gateway/requests/request_forwarder.h"

namespace pumicemast {

void RequestForwarder::on_reading_paused(RequestNumber number, bool paused, TimePoint now) {
  const auto found = sessions_.find(number);
  if (found == sessions_.end() || found->second.backend.empty()) return;
  found->second.reading_paused = paused;
  // While it was held back, the back end could not make progress.
  found->second.last_progress = now;
}

void RequestForwarder::on_slow_reader(RequestNumber number, TimePoint now,
                                      ForwarderActions& actions) {
  const auto found = sessions_.find(number);
  if (found == sessions_.end() || !found->second.response_started) return;
  if (!found->second.backend.empty()) {
    actions.emplace_back(CancelAttempt{number});
    release_backend(found->second);
  }
  abort(number, found->second, RefusalReason::slow_reader, now, actions);
}

std::size_t RequestForwarder::buffered_bytes(RequestNumber number) const {
  const auto found = sessions_.find(number);
  if (found == sessions_.end()) return 0;
  return allocated_bytes(found->second.buffered) + found->second.splitter.allocated_bytes();
}

}  // namespace pumicemast
