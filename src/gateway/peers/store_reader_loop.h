/// Runs StoreReaderPolicy: makes its calls to the contact registry, and evaluates it periodically
/// and after each answer.
#pragma once

#include <functional>

#include "common/event_loop.h"
#include "gateway/peers/store_reader_policy.h"

namespace pumicemast {

class StoreReaderLoop {
 public:
  struct Callbacks {
    /// This gateway starts to read the store (true), or leaves it to other gateways (false).
    std::function<void(bool reads)> on_reader_change;
    /// The zone's contact is known, to exchange digests with. Called repeatedly until the list of
    /// back ends is known.
    std::function<void(const Address& gateway)> on_contact;
  };

  StoreReaderLoop(const Address& self, PeerId self_id, ContactRegistry& registry,
                  Callbacks callbacks);
  void start();
  /// A gateway of the same zone advertises whether it is a store reader and reaches the store.
  void on_reader_status(PeerId gateway, bool reads);
  void on_list_known();
  bool reads() const { return reads_; }

 private:
  void update();
  void search();
  void call(const ReadContact& action);
  void call(const ClaimContact& action);
  void on_answer(const ContactRegistryAnswer& answer);

  Address self_;
  ContactRegistry& registry_;
  Callbacks callbacks_;
  StoreReaderPolicy policy_;
  bool reads_ = false;
  Timer timer_;
};

}  // namespace pumicemast
