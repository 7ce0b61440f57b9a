#include "gateway/peers/slot_request_outbox.h"

#include <utility>

namespace pumicemast {

void SlotRequestOutbox::queue(const Address& engine, const SlotRequest& request) {
  unsent_for(engine).requests.push_back(request);
}

void SlotRequestOutbox::withdraw(const Address& engine, std::uint64_t request) {
  SlotRequests& unsent = unsent_for(engine);
  // The agent handles withdrawals first, and would keep a request of the same message.
  std::erase_if(unsent.requests,
                [&](const SlotRequest& queued) { return queued.number == request; });
  unsent.withdrawn.push_back(request);
}

SlotRequests& SlotRequestOutbox::unsent_for(const Address& engine) {
  if (!timer_.active()) timer_.start_once(Duration::zero(), [this] { send_all(); });
  return unsent_[engine];
}

void SlotRequestOutbox::send_all() {
  const auto unsent = std::exchange(unsent_, {});
  for (const auto& [engine, requests] : unsent) send_(engine, requests);
}

}  // namespace pumicemast
