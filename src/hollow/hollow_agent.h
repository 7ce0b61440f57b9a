/// A hollow agent: speaks to entries like a real one, but holds no weights and runs nothing.
/// Many share a process, so that an entry can be measured before thousands of machines.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "agent/entry_links.h"
#include "common/event_loop.h"

namespace pumicemast {

struct HollowOptions {
  std::string machine;
  std::string region;
  std::string zone;
  std::vector<Address> entries;
  Duration heartbeat = seconds(1);
  Duration live_delay = milliseconds(500);  ///< From an order until the replica is live.
  std::uint64_t seed = 1;
};

/// What all hollow agents of a process have exchanged.
struct HollowTotals {
  std::uint64_t statuses_sent = 0;
  std::uint64_t status_bytes_sent = 0;
  std::uint64_t assignments_received = 0;
  std::uint64_t assignment_bytes_received = 0;
  std::uint64_t requests_answered = 0;
};

class HollowAgent {
 public:
  HollowAgent(HollowOptions options, HollowTotals& totals);
  void start();

 private:
  struct HollowReplica {
    std::string version;
    std::string digest;
    std::string state;
  };
  wire::AgentHelloT hello() const;
  wire::AgentStatusT status() const;
  void report();
  void on_frame(EntryNumber entry, const wire::Frame& frame);
  void on_assignment(const wire::Assignment& assignment);
  void respond_to(EntryNumber entry, const wire::SubmitRequest& submit);

  HollowOptions options_;
  HollowTotals& totals_;
  EntryLinks links_;
  std::map<std::string, HollowReplica> replicas_;  ///< By model.
  std::uint64_t revision_ = 0;
  bool draining_ = false;
  Timer heartbeat_;
  Timer live_timer_;
};

}  // namespace pumicemast
