/// Network model with one link per machine and one for the origin.
///
/// A transfer first occupies the sender's link for its whole size, then the receiver's. Each
/// link serves first come, first served, at its rate; with half duplex one link carries both
/// directions. Links stay busy as with several TCP connections, and a receiver is sent at
/// most what it requested. Not modelled: TCP slow start, packet loss other than the loss of
/// complete transfers, and queues in switches (docs/design/simulation.md).
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "common/time.h"

namespace pumicemast::simulation {

/// Index of a machine in the simulated fleet.
using MachineNumber = std::uint32_t;
constexpr MachineNumber kOrigin = UINT32_MAX;

/// Time until a sender detects that its peer is unreachable.
constexpr Duration kUnreachableDetectionDelay = seconds(3);

enum class Duplex { full, half };

struct NetworkOptions {
  Duplex duplex = Duplex::full;
  double machine_bytes_per_second = 0;  ///< Per direction (full) or for both together (half).
  double origin_bytes_per_second = 0;
  /// Shared limit of all machines' transfers from other regions into a region; 0 for no limit.
  double region_ingress_bytes_per_second = 0;
  Duration latency_in_zone = Duration(250);
  Duration latency_between_zones = Duration(1500);
  Duration latency_between_regions = milliseconds(3);
  Duration latency_to_origin = milliseconds(3);
  /// Maximum deviation of each latency, as a fraction of it.
  double latency_jitter = 0.2;
};

struct MachineLocation {
  std::uint32_t region = 0;
  std::uint32_t zone = 0;
};

class NetworkModel {
 public:
  NetworkModel(NetworkOptions options, std::vector<MachineLocation> locations, std::uint64_t seed);

  /// Reserves the sender's link (kOrigin for the origin's) for `bytes`.
  /// @return the time at which the last byte has left; call deliver() then.
  TimePoint send(MachineNumber from, std::uint64_t bytes, TimePoint now);
  /// Reserves the remaining links of a transfer whose last byte left the sender at `now`.
  /// @return the time at which the receiver has all bytes.
  TimePoint deliver(MachineNumber from, MachineNumber to, std::uint64_t bytes, TimePoint now);
  /// Returns the arrival time of a small message sent at `now`.
  TimePoint message(MachineNumber from, MachineNumber to, TimePoint now);
  /// Whether the two can communicate at `now`.
  bool connected(MachineNumber from, MachineNumber to, TimePoint now) const;

  /// Stops the machine's link between the two times without closing connections.
  void stall(MachineNumber machine, TimePoint from, TimePoint until);
  /// Isolates the region from all others and from the origin between the two times.
  void isolate_region(std::uint32_t region, TimePoint from, TimePoint until);

 private:
  struct Link {
    double bytes_per_second = 0;
    TimePoint free_at{};
    TimePoint stalled_from{};
    TimePoint stalled_until{};
    /// Reserves the link for `bytes` from `earliest` on; returns the time of the last byte.
    TimePoint reserve(std::uint64_t bytes, TimePoint earliest);
  };
  struct IsolationPeriod {
    TimePoint from{};
    TimePoint until{};
  };
  Duration latency(MachineNumber from, MachineNumber to);
  TimePoint after_stalls(MachineNumber machine, TimePoint time) const;
  Link& upstream(MachineNumber machine);
  Link& downstream(MachineNumber machine);
  bool is_isolated(std::uint32_t region, TimePoint now) const;
  bool crosses_regions(MachineNumber from, MachineNumber to) const;

  NetworkOptions options_;
  std::vector<MachineLocation> locations_;
  std::vector<Link> up_;
  std::vector<Link> down_;  ///< Empty for half duplex.
  Link origin_;
  std::vector<Link> region_ingress_;
  std::vector<IsolationPeriod> isolations_;
  std::minstd_rand random_;
};

}  // namespace pumicemast::simulation
