/// The modelled network: a link for each machine and one for the origin.
///
/// A transfer first occupies the sender's link for its whole size, then the receiver's. Each
/// link serves first come, first served, at its rate; with half duplex one link carries both
/// directions. This keeps links busy as TCP with several connections does, and lets a
/// receiver be offered at most what it has asked for. Not modelled: TCP's start, packet loss
/// other than whole transfers lost, and queues inside the switches (docs/design/simulation.md).
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "common/time.h"

namespace pumicemast::simulation {

/// A machine's number in the simulated fleet.
using MachineNumber = std::uint32_t;
constexpr MachineNumber kOrigin = UINT32_MAX;

/// How long a sender takes to see that its peer cannot be reached.
constexpr Duration kUnreachableDetectionDelay = seconds(3);

enum class Duplex { full, half };

struct NetworkOptions {
  Duplex duplex = Duplex::full;
  double machine_bytes_per_second = 0;  ///< Each way (full) or both together (half).
  double origin_bytes_per_second = 0;
  /// What all transfers into one region from outside share; 0 for no limit.
  double region_ingress_bytes_per_second = 0;
  Duration latency_in_zone = Duration(250);
  Duration latency_between_zones = Duration(1500);
  Duration latency_between_regions = milliseconds(3);
  Duration latency_to_origin = milliseconds(3);
  /// Each latency varies by up to this share of itself.
  double latency_jitter = 0.2;
};

struct MachineLocation {
  std::uint32_t region = 0;
  std::uint32_t zone = 0;
};

class NetworkModel {
 public:
  NetworkModel(NetworkOptions options, std::vector<MachineLocation> locations, std::uint64_t seed);

  /// Books the sender's link (kOrigin for the origin's) for `bytes`.
  /// @return when the last byte has left it; call deliver() at that time.
  TimePoint send(MachineNumber from, std::uint64_t bytes, TimePoint now);
  /// Books what follows of a transfer whose last byte left the sender at `now`.
  /// @return when the whole transfer has reached the receiver.
  TimePoint deliver(MachineNumber from, MachineNumber to, std::uint64_t bytes, TimePoint now);
  /// When a small message sent at `now` arrives.
  TimePoint message(MachineNumber from, MachineNumber to, TimePoint now);
  /// Whether anything gets through between the two at `now`.
  bool connected(MachineNumber from, MachineNumber to, TimePoint now) const;

  /// The machine's link carries nothing between the times, without closing anything.
  void stall(MachineNumber machine, TimePoint from, TimePoint until);
  /// The region is cut off from all others and from the origin between the times.
  void isolate_region(std::uint32_t region, TimePoint from, TimePoint until);

 private:
  struct Link {
    double bytes_per_second = 0;
    TimePoint free_at{};
    TimePoint stalled_from{};
    TimePoint stalled_until{};
    /// Books `bytes` no earlier than `earliest`; returns when the last byte has passed.
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
  std::vector<Link> down_;  ///< Empty with half duplex.
  Link origin_;
  std::vector<Link> region_ingress_;
  std::vector<IsolationPeriod> isolations_;
  std::minstd_rand random_;
};

}  // namespace pumicemast::simulation
