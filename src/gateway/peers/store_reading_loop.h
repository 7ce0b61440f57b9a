/// Carries out what StoreReading decides: calls at the contact board, and when to look again.
#pragma once

#include <functional>

#include "common/event_loop.h"
#include "gateway/peers/store_reading.h"

namespace pumicemast {

class StoreReadingLoop {
 public:
  struct Callbacks {
    /// This gateway is to read the store, or leaves it to others.
    std::function<void(bool reads)> on_reads;
    /// To be asked for what it knows; again and again while the list is not known here.
    std::function<void(const Address& gateway)> on_contact;
  };

  StoreReadingLoop(const Address& self, PeerId self_id, ContactRegistry& board,
                   Callbacks callbacks);
  void start();
  /// A gateway of the same zone tells whether it reads the store, and reaches it.
  void on_gateway_heard(PeerId gateway, bool reads);
  void on_list_known();
  bool reads() const { return reads_; }

 private:
  void look();
  void search();
  void call(const ReadContact& action);
  void call(const ClaimContact& action);
  void on_answer(const ContactRegistryAnswer& answer);

  Address self_;
  ContactRegistry& board_;
  Callbacks callbacks_;
  StoreReading reading_;
  bool reads_ = false;
  Timer timer_;
};

}  // namespace pumicemast
