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
        children_(settings.strategy == Strategy::pipeline ? 1 : 2),
        faults_(FaultSchedule::draw(settings)),
        places_(place_machines(settings)),
        network_(settings.network, places_, settings.seed),
        received_(settings.machines, 0),
        alive_(settings.machines, true),
        live_at_s_(settings.machines, -1) {}

  BurstResult run() {
    faults_.apply_to(network_, settings_.faults);
    for (const auto& [time, machine] : faults_.deaths) {
      events_.schedule_at(time, [this, victim = machine] { alive_[victim] = false; });
    }
    send_from_origin(0);
    const TimePoint end(from_seconds(settings_.allowed_s * settings_.time_limit_share));
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
      arrive(kOrigin, kRoot);
      send_from_origin(chunk + 1);
    });
  }

  /// The last byte has left `from`.
  void arrive(MachineNumber from, MachineNumber to) {
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
        const bool crosses = places_[from].region != places_[to].region;
        if (crosses) result_.inter_region_bytes += settings_.chunk_bytes;
      }
      if (++received_[to] == settings_.chunk_count()) {
        live_at_s_[to] = to_seconds(events_.now().time_since_epoch());
      }
      pass_on(to);
    });
  }

  void pass_on(MachineNumber machine) {
    for (MachineNumber child = 1; child <= children_; ++child) {
      const MachineNumber receiver = machine * children_ + child;
      if (receiver >= settings_.machines) return;
      ++open_transfers_;
      const TimePoint sent = network_.send(machine, settings_.chunk_bytes, events_.now());
      events_.schedule_at(sent, [this, machine, receiver] {
        if (alive_[machine]) {
          arrive(machine, receiver);
        } else {
          --open_transfers_;
        }
      });
    }
  }

  const BurstSettings& settings_;
  MachineNumber children_;  ///< Of each machine.
  FaultSchedule faults_;
  std::vector<MachinePlace> places_;
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
