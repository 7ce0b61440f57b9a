#include "gateway/peers/store_reading_loop.h"

namespace pumicemast {
namespace {

constexpr Duration kLookInterval = milliseconds(100);

}  // namespace

StoreReadingLoop::StoreReadingLoop(const Address& self, PeerId self_id, ContactRegistry& board,
                                   Callbacks callbacks)
    : self_(self), board_(board), callbacks_(std::move(callbacks)), reading_(self, self_id) {}

void StoreReadingLoop::start() {
  timer_.start_repeating(kLookInterval, [this] { look(); });
  look();
}

void StoreReadingLoop::on_gateway_heard(PeerId gateway, bool reads) {
  reading_.on_heard(gateway, reads, loop_now());
}

void StoreReadingLoop::on_list_known() { reading_.on_list_known(); }

void StoreReadingLoop::look() {
  if (!reading_.list_known()) search();
  const bool reads = reading_.decide(loop_now());
  if (reads == reads_) return;
  reads_ = reads;
  callbacks_.on_reads(reads);
}

void StoreReadingLoop::search() {
  const auto action = reading_.search().next_action(loop_now());
  if (action) std::visit([this](const auto& typed) { call(typed); }, *action);
  const auto& contact = reading_.search().contact();
  if (contact) callbacks_.on_contact(contact->gateway);
}

void StoreReadingLoop::call(const ReadContact&) {
  board_.read([this](const ContactRegistryAnswer& answer) { on_answer(answer); });
}

void StoreReadingLoop::call(const ClaimContact& action) {
  board_.claim(self_, action.replaces,
               [this](const ContactRegistryAnswer& answer) { on_answer(answer); });
}

void StoreReadingLoop::on_answer(const ContactRegistryAnswer& answer) {
  reading_.search().on_answer(answer, loop_now());
  look();
}

}  // namespace pumicemast
