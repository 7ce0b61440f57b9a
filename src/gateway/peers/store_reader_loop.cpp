#include "gateway/peers/store_reader_loop.h"

namespace pumicemast {
namespace {

constexpr Duration kUpdateInterval = milliseconds(100);

}  // namespace

StoreReaderLoop::StoreReaderLoop(const Address& self, PeerId self_id, ContactRegistry& registry,
                                 Callbacks callbacks)
    : self_(self), registry_(registry), callbacks_(std::move(callbacks)), policy_(self, self_id) {}

void StoreReaderLoop::start() {
  timer_.start_repeating(kUpdateInterval, [this] { update(); });
  update();
}

void StoreReaderLoop::on_reader_status(PeerId gateway, bool reads) {
  policy_.on_reader_status(gateway, reads, loop_now());
}

void StoreReaderLoop::on_list_known() { policy_.on_list_known(); }

void StoreReaderLoop::update() {
  if (!policy_.list_known()) search();
  const bool reads = policy_.decide(loop_now());
  if (reads == reads_) return;
  reads_ = reads;
  callbacks_.on_reader_change(reads);
}

void StoreReaderLoop::search() {
  const auto action = policy_.search().next_action(loop_now());
  if (action) std::visit([this](const auto& typed) { call(typed); }, *action);
  const auto& contact = policy_.search().contact();
  if (contact) callbacks_.on_contact(contact->gateway);
}

void StoreReaderLoop::call(const ReadContact&) {
  registry_.read([this](const ContactRegistryAnswer& answer) { on_answer(answer); });
}

void StoreReaderLoop::call(const ClaimContact& action) {
  registry_.claim(self_, action.replaces,
                  [this](const ContactRegistryAnswer& answer) { on_answer(answer); });
}

void StoreReaderLoop::on_answer(const ContactRegistryAnswer& answer) {
  policy_.search().on_answer(answer, loop_now());
  update();
}

}  // namespace pumicemast
