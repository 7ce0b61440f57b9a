/// Grants the free slots of one engine to the requests that wait for them at all gateways.
///
/// A decision core: no I/O. A gateway that finds no free slot queues its request at a few engines
/// and sends it to the one that grants a slot first. The queue, not the gateway, decides who is
/// next, so that the order holds over all gateways:
/// 1. requests of callers that were not refused before: the others can hardly be served in time;
/// among these
/// 2. a priority level below its guaranteed share of the grants, then the most urgent level;
/// within a level
/// 3. a tenant below its guaranteed share, then the tenant that got the fewest recent grants;
/// 4. the request that arrived first.
/// A request that cannot be granted a slot in time is denied as soon as that is known.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "common/time.h"
#include "scheduling/guaranteed_shares.h"
#include "scheduling/slot_messages.h"
#include "swarm/swarm_membership.h"

namespace pumicemast {

/// The engine's load, as last read by its agent.
struct SlotCapacity {
  bool available = false;                   ///< In service, and without a limit that needs permits.
  std::uint32_t slots = 0;                  ///< 0 while the engine's profile is unknown.
  std::uint32_t occupied = 0;               ///< Requests running or queued at the engine.
  TimePoint read_at{};                      ///< When `occupied` was read.
  std::uint32_t pending_prompt_tokens = 0;  ///< Of requests without a first token.
  std::uint32_t prefill_chunk_tokens = 2048;  ///< Prompt tokens per prefill pass; 0 if unknown.
};

class SlotQueue {
 public:
  struct Options {
    /// Requests granted beyond the free slots while others wait, so that a slot that becomes free
    /// between two load reports, or while the next request is on its way, is not left idle.
    std::uint32_t grants_ahead = 1;
    /// Time after which a load report shows a granted request, if it was sent.
    Duration grant_transit = milliseconds(15);
    /// Prompts are admitted while the engine can read all pending ones in this many passes.
    double maximum_backlog_passes = 2;
    GuaranteedShares::Options level_shares;
    /// There are more tenants than levels, so that their shares show only over more grants.
    GuaranteedShares::Options tenant_shares{0.5, seconds(10)};
    std::size_t maximum_waiting = 512;  ///< Further requests are denied.
  };

  explicit SlotQueue(Options options);

  /// A request of `gateway` waits for a slot. A repeated number replaces the earlier
  /// request, in its place. Values out of range are replaced by the nearest valid ones.
  void add(PeerId gateway, const SlotRequest& stated, TimePoint now);
  /// The gateway needs no slot for the request any more, whether or not one was granted.
  void withdraw(PeerId gateway, std::uint64_t number);
  /// The link to the gateway was lost; its requests and unused grants are dropped.
  void remove_gateway(PeerId gateway);
  /// Grants free slots, and denies requests that cannot be granted one in time. Call after each
  /// change of the queue or the load.
  /// @return the decisions for each gateway.
  std::map<PeerId, SlotDecisions> decide(const SlotCapacity& capacity, TimePoint now);
  std::size_t waiting() const { return waiting_.size(); }
  /// Granted requests that a load read at `read_at` cannot show yet.
  std::uint32_t grants_in_transit(TimePoint read_at) const;
  /// Prompt tokens of these.
  std::uint32_t prompt_tokens_in_transit(TimePoint read_at) const;

 private:
  /// Identifies a request among those of all gateways.
  struct Key {
    PeerId gateway = 0;
    std::uint64_t number = 0;
    auto operator<=>(const Key&) const = default;
  };
  struct Waiting {
    SlotRequest request;
    TimePoint since{};
    std::uint64_t arrival = 0;  ///< Counts the requests in the order of their arrival.
  };
  struct Grant {
    Key key;
    SlotRequest request;
    TimePoint at{};
  };
  using Iterator = std::map<Key, Waiting>::iterator;
  using Replies = std::map<PeerId, SlotDecisions>;
  /// Requests that are expected to be granted a slot before another one, each counted as the part
  /// of a request that it is at this engine: one divided by its copies.
  struct WorkAhead {
    double all = 0;
    double more_urgent = 0;    ///< Of more urgent levels.
    double same_level = 0;     ///< Of the same level.
    double other_tenants = 0;  ///< Of the same level, of tenants that take less.
  };

  static GuaranteedShares::Group level_of(const SlotRequest& request);
  static TimePoint useful_until(const Waiting& waiting);
  /// The request that is next in the order; the end if a slot is of no use to any.
  Iterator next(TimePoint now);
  /// Useful requests of the level whose turn it is, of first attempts if there are any.
  std::vector<Iterator> in_turn(TimePoint now);
  /// The level whose turn it is among these requests, of which there is at least one.
  GuaranteedShares::Group level_in_turn(const std::vector<Iterator>& candidates,
                                        TimePoint now) const;
  void grant(Iterator next, Replies& replies, TimePoint now);
  void grant_free_slots(const SlotCapacity& capacity, Replies& replies, TimePoint now);
  /// Learns from `grants` at once how fast slots are granted while requests wait.
  void measure_interval(std::size_t grants, TimePoint now);
  /// The interval between grants; empty until enough of them were seen.
  std::optional<Duration> grant_interval(TimePoint now) const;
  void deny_all(SlotDenialReason reason, Replies& replies);
  void deny_unservable(Replies& replies, TimePoint now);
  /// Keys of all waiting requests, in the order in which slots are expected to be granted.
  std::vector<Key> expected_order(TimePoint now) const;
  Duration expected_wait(const SlotRequest& request, const WorkAhead& ahead, Duration interval,
                         TimePoint now) const;
  void deny(const Key& key, SlotDenialReason reason, Duration expected_wait, Replies& replies);
  void forget_seen_grants(TimePoint read_at);

  Options options_;
  std::map<Key, Waiting> waiting_;
  std::deque<Grant> grants_in_transit_;  ///< In the order of their times.
  GuaranteedShares level_shares_;
  GuaranteedShares tenant_shares_;
  std::uint64_t arrivals_ = 0;
  /// Last grant, if requests have been waiting ever since.
  std::optional<TimePoint> contended_since_grant_;
  double mean_interval_ms_ = 0;
  std::uint32_t measured_intervals_ = 0;
  TimePoint swept_at_{};
};

}  // namespace pumicemast
