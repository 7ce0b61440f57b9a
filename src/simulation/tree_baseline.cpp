#include "simulation/tree_baseline.h"

#include <algorithm>

#include "simulation/event_queue.h"
#include "simulation/fault_schedule.h"
#include "simulation/fleet_layout.h"

namespace pumicemast::simulation {
namespace {

constexpr MachineNumber kRoot = 0;

class TreeRun {
 public:
  explicit TreeRun(const BurstSettings& settings)
      : settings_(settings),
        children_per_machine_(settings.strategy == Strategy::pipeline ? 1 : 2),
        faults_(FaultSchedule::generate(settings)),
        locations_(assign_locations(settings)),
        network_(settings.network, locations_, settings.seed),
        received_(settings.machines, 0),
        alive_(settings.machines, true),
        live_at_s_(settings.machines, -1) {}

  BurstResult run() {
    faults_.apply_to(network_, settings_.faults);
    for (const auto& [time, machine] : faults_.deaths) {
      events_.schedule_at(time, [this, killed = machine] { alive_[killed] = false; });
    }
    send_from_origin(0);
    const TimePoint end(from_seconds(settings_.allowed_s * settings_.time_limit_factor));
    while (open_transfers_ > 0 && events_.now() < end && events_.run_next()) {
    }
    for (MachineNumber machine = 0; machine < settings_.machines; ++machine) {
      result_.survived.push_back(alive_[machine]);
      if (!alive_[machine]) continue;
      ++result_.survivors;
      if (live_at_s_[machine] < 0) {
        ++result_.never_live;
      } else {
        result_.live_times_s.push_back(live_at_s_[machine]);
      }
    }
    std::sort(result_.live_times_s.begin(), result_.live_times_s.end());
    result_.events = events_.executed();
    return std::move(result_);
  }

 private:
  void send_from_origin(ChunkIndex chunk) {
    if (chunk >= settings_.chunk_count()) return;
    ++open_transfers_;
    const TimePoint sent = network_.send(kOrigin, settings_.chunk_bytes, events_.now());
    events_.schedule_at(sent, [this, chunk] {
      result_.origin_bytes += settings_.chunk_bytes;
      deliver_to(kOrigin, kRoot);
      send_from_origin(chunk + 1);
    });
  }

  /// Called when the last byte of a chunk has left `from`.
  void deliver_to(MachineNumber from, MachineNumber to) {
    if (!alive_[to] || !network_.connected(from, to, events_.now())) {
      --open_transfers_;
      return;
    }
    const TimePoint arrived = network_.deliver(from, to, settings_.chunk_bytes, events_.now());
    events_.schedule_at(arrived, [this, from, to] {
      --open_transfers_;
      if (!alive_[to]) return;
      if (from != kOrigin) {
        result_.peer_bytes += settings_.chunk_bytes;
        const bool crosses = locations_[from].region != locations_[to].region;
        if (crosses) result_.inter_region_bytes += settings_.chunk_bytes;
      }
      if (++received_[to] == settings_.chunk_count()) {
        live_at_s_[to] = to_seconds(events_.now().time_since_epoch());
      }
      forward_to_children(to);
    });
  }

  void forward_to_children(MachineNumber machine) {
    for (MachineNumber child = 1; child <= children_per_machine_; ++child) {
      const MachineNumber receiver = machine * children_per_machine_ + child;
      if (receiver >= settings_.machines) return;
      ++open_transfers_;
      const TimePoint sent = network_.send(machine, settings_.chunk_bytes, events_.now());
      events_.schedule_at(sent, [this, machine, receiver] {
        if (alive_[machine]) {
          deliver_to(machine, receiver);
        } else {
          --open_transfers_;
        }
      });
    }
  }

  const BurstSettings& settings_;
  MachineNumber children_per_machine_;  ///< Maximum number of children.
  FaultSchedule faults_;
  std::vector<MachineLocation> locations_;
  EventQueue events_;
  NetworkModel network_;
  std::vector<ChunkIndex> received_;
  std::vector<bool> alive_;
  std::vector<double> live_at_s_;
  std::uint64_t open_transfers_ = 0;
  BurstResult result_;
};

}  // namespace

BurstResult run_tree_baseline(const BurstSettings& settings) { return TreeRun(settings).run(); }

}  // namespace pumicemast::simulation
