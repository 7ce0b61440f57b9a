/// Collects what a gateway tells agents about requests for slots, for one message to each agent
/// per iteration of the event loop.
#pragma once

#include <functional>
#include <map>

#include "common/event_loop.h"
#include "common/settings.h"
#include "scheduling/slot_messages.h"

namespace pumicemast {

class SlotRequestOutbox {
 public:
  using Send = std::function<void(const Address& engine, const SlotRequests& requests)>;

  explicit SlotRequestOutbox(Send send) : send_(std::move(send)) {}

  /// Queues a request at the engine's agent.
  void queue(const Address& engine, const SlotRequest& request);
  /// Withdraws a request from the engine's agent.
  void withdraw(const Address& engine, std::uint64_t request);
  /// Drops what was not sent yet: the engine's agent was lost, with all requests there.
  void drop(const Address& engine) { unsent_.erase(engine); }

 private:
  SlotRequests& unsent_for(const Address& engine);
  void send_all();

  Send send_;
  std::map<Address, SlotRequests> unsent_;
  Timer timer_;
};

}  // namespace pumicemast
