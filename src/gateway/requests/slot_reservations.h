/// Tracks at which engines each waiting request of this gateway is queued for a slot.
///
/// A decision core: no I/O. A request waits at several engines at once and is sent to the one that
/// grants a slot first; the other reservations are given up then.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/settings.h"
#include "gateway/requests/forwarder_actions.h"
#include "scheduling/slot_messages.h"

namespace pumicemast {

struct SlotReservationCounters {
  std::uint64_t queued = 0;     ///< Reservations made.
  std::uint64_t granted = 0;    ///< Slots granted and used.
  std::uint64_t denied = 0;     ///< Reservations denied, or lost with their agent.
  std::uint64_t withdrawn = 0;  ///< Reservations given up while they waited.
  std::uint64_t returned = 0;   ///< Slots granted and not used.
};

class SlotReservations {
 public:
  /// Engines at which a request is queued at once: with two, a single slow engine doubles the wait;
  /// each further one adds two messages for each request.
  static constexpr std::size_t kCopies = 3;
  /// Times that a request is queued; the second time at engines that it has not tried.
  static constexpr std::uint32_t kRounds = 2;

  /// Queues the request at the engine.
  void reserve(const std::string& backend, const Address& engine, const SlotRequest& request,
               ForwarderActions& actions);
  /// A round of reservations has been made.
  void on_round(RequestNumber number) { ++states_[number].rounds; }
  /// Whether the request may be queued at further engines.
  bool may_reserve(RequestNumber number) const;
  /// Back ends where the request has been queued before.
  std::set<std::string> tried(RequestNumber number) const;
  /// The engines where any request is queued.
  std::set<Address> engines() const;
  /// Whether the request is queued anywhere.
  bool waits(RequestNumber number) const;
  /// The engine denied a slot.
  /// @return whether the request was queued there; a denial may cross a withdrawal.
  bool on_denied(RequestNumber number, const Address& engine, SlotDenialReason reason);
  /// The engine granted a slot: the request is no longer queued there.
  void on_granted(RequestNumber number, const Address& engine);
  /// The granted slot is used.
  void on_used() { ++counters_.granted; }
  /// The grant crossed the withdrawal of its request.
  void on_crossed_grant() { ++counters_.returned; }
  /// The granted slot is not used, and is given back.
  void give_back(RequestNumber number, const Address& engine, ForwarderActions& actions);
  /// Gives all reservations of the request up: it was sent, or has ended.
  void leave(RequestNumber number, ForwarderActions& actions);
  /// The connection to the engine's agent was lost, and its queue with it.
  /// @return the requests that were queued there.
  std::vector<RequestNumber> on_queue_lost(const Address& engine);
  /// The reason of the denials of a request; empty without any. The most specific one counts: what
  /// one engine lacks another may have.
  std::optional<SlotDenialReason> denial_reason(RequestNumber number) const;
  const SlotReservationCounters& counters() const { return counters_; }

 private:
  struct State {
    std::set<Address> engines;  ///< Where the request waits.
    std::set<std::string> tried;
    std::uint32_t rounds = 0;
    std::optional<SlotDenialReason> reason;
  };

  std::map<RequestNumber, State> states_;
  SlotReservationCounters counters_;
};

}  // namespace pumicemast
