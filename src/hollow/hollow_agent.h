/// A hollow agent speaks the agent protocol with entries but holds no weights and runs no engine.
/// Many hollow agents share one process, to measure an entry that serves thousands of machines.
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
  Duration live_delay = milliseconds(500);  ///< From an assignment until its replicas report LIVE.
  std::uint64_t seed = 1;
};

/// Messages and bytes exchanged by all hollow agents of a process.
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
  std::map<std::string, HollowReplica> replicas_;  ///< Keyed by model.
  std::uint64_t revision_ = 0;
  bool draining_ = false;
  Timer heartbeat_;
  Timer live_timer_;
};

}  // namespace pumicemast
