/// Polls the engine's state and sends it the replica core's fenced orders.
#pragma once

#include <functional>
#include <string>

#include "adapters/engine_client.h"
#include "common/event_loop.h"
#include "common/metrics.h"
#include "replica/replica_manager.h"

namespace pumicemast {

class EngineSupervisor {
 public:
  struct Callbacks {
    /// The engine responds for the first time, again after it was lost, or after a restart that
    /// emptied its memory.
    std::function<void(const EngineState&)> on_engine_ready;
    /// The engine restarted or stopped responding.
    std::function<void()> on_engine_lost;
    std::function<void(const std::string& model, const std::string& digest, bool activated,
                       const std::string& reason)>
        on_activated;
  };

  EngineSupervisor(EngineClient& engine, Metrics& metrics, Callbacks callbacks);
  void start();
  void activate(const ActivateVersion& order);
  void drop(const DropVersion& order);
  bool ready() const { return ready_; }
  std::uint64_t memory_bytes() const { return memory_bytes_; }

 private:
  void poll();
  void on_state(const EngineState& state);

  EngineClient& engine_;
  Metrics& metrics_;
  Callbacks callbacks_;
  Timer timer_;
  std::string incarnation_;
  std::uint64_t memory_bytes_ = 0;
  bool ready_ = false;
  bool polling_ = false;
  std::uint32_t unanswered_polls_ = 0;
};

}  // namespace pumicemast
