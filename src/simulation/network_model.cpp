#include "simulation/network_model.h"

#include <algorithm>

namespace pumicemast::simulation {

TimePoint NetworkModel::Link::reserve(std::uint64_t bytes, TimePoint earliest) {
  TimePoint start = std::max(earliest, free_at);
  if (start >= stalled_from && start < stalled_until) start = stalled_until;
  const double duration_us =
      static_cast<double>(bytes) / bytes_per_second * static_cast<double>(Duration::period::den);
  TimePoint end = start + Duration(static_cast<Duration::rep>(duration_us));
  const bool stalls_in_between = start < stalled_from && end > stalled_from;
  if (stalls_in_between) end += stalled_until - stalled_from;
  free_at = end;
  return end;
}

NetworkModel::NetworkModel(NetworkOptions options, std::vector<MachineLocation> locations,
                           std::uint64_t seed)
    : options_(options),
      locations_(std::move(locations)),
      random_(static_cast<std::minstd_rand::result_type>(seed % std::minstd_rand::modulus + 1)) {
  Link machine_link;
  machine_link.bytes_per_second = options_.machine_bytes_per_second;
  up_.assign(locations_.size(), machine_link);
  if (options_.duplex == Duplex::full) down_ = up_;
  origin_.bytes_per_second = options_.origin_bytes_per_second;
  std::uint32_t regions = 0;
  for (const MachineLocation& location : locations_)
    regions = std::max(regions, location.region + 1);
  isolations_.resize(regions);
  Link ingress;
  ingress.bytes_per_second = options_.region_ingress_bytes_per_second;
  region_ingress_.assign(regions, ingress);
}

NetworkModel::Link& NetworkModel::upstream(MachineNumber machine) {
  return machine == kOrigin ? origin_ : up_[machine];
}

NetworkModel::Link& NetworkModel::downstream(MachineNumber machine) {
  return down_.empty() ? up_[machine] : down_[machine];
}

bool NetworkModel::crosses_regions(MachineNumber from, MachineNumber to) const {
  if (from == kOrigin || to == kOrigin) return true;
  return locations_[from].region != locations_[to].region;
}

TimePoint NetworkModel::send(MachineNumber from, std::uint64_t bytes, TimePoint now) {
  return upstream(from).reserve(bytes, now);
}

TimePoint NetworkModel::deliver(MachineNumber from, MachineNumber to, std::uint64_t bytes,
                                TimePoint now) {
  TimePoint at_receiver = now;
  const bool ingress_limited = options_.region_ingress_bytes_per_second > 0;
  if (ingress_limited && from != kOrigin && crosses_regions(from, to)) {
    at_receiver = region_ingress_[locations_[to].region].reserve(bytes, at_receiver);
  }
  Link& down = downstream(to);
  if (options_.duplex == Duplex::half) return down.reserve(bytes, at_receiver) + latency(from, to);
  // Cut-through: the receiver's link already carries bytes while the sender is still sending.
  const double duration_us = static_cast<double>(bytes) / down.bytes_per_second *
                             static_cast<double>(Duration::period::den);
  const TimePoint first_byte = at_receiver - Duration(static_cast<Duration::rep>(duration_us));
  return std::max(at_receiver, down.reserve(bytes, first_byte)) + latency(from, to);
}

TimePoint NetworkModel::after_stalls(MachineNumber machine, TimePoint time) const {
  if (machine == kOrigin) return time;
  const Link& link = up_[machine];
  const bool stalled = time >= link.stalled_from && time < link.stalled_until;
  return stalled ? link.stalled_until : time;
}

TimePoint NetworkModel::message(MachineNumber from, MachineNumber to, TimePoint now) {
  const TimePoint left = after_stalls(from, now);
  return after_stalls(to, left + latency(from, to));
}

Duration NetworkModel::latency(MachineNumber from, MachineNumber to) {
  Duration base = options_.latency_in_zone;
  if (from == kOrigin || to == kOrigin) {
    base = options_.latency_to_origin;
  } else if (locations_[from].region != locations_[to].region) {
    base = options_.latency_between_regions;
  } else if (locations_[from].zone != locations_[to].zone) {
    base = options_.latency_between_zones;
  }
  constexpr std::uint32_t kSteps = 1000;
  const double position = static_cast<double>(random_() % kSteps) / kSteps;
  const double factor = 1 + options_.latency_jitter * (2 * position - 1);
  return Duration(static_cast<Duration::rep>(static_cast<double>(base.count()) * factor));
}

bool NetworkModel::is_isolated(std::uint32_t region, TimePoint now) const {
  return now >= isolations_[region].from && now < isolations_[region].until;
}

bool NetworkModel::connected(MachineNumber from, MachineNumber to, TimePoint now) const {
  if (!crosses_regions(from, to)) return true;
  if (from != kOrigin && is_isolated(locations_[from].region, now)) return false;
  return to == kOrigin || !is_isolated(locations_[to].region, now);
}

void NetworkModel::stall(MachineNumber machine, TimePoint from, TimePoint until) {
  for (Link* link : {&upstream(machine), &downstream(machine)}) {
    link->stalled_from = from;
    link->stalled_until = until;
  }
}

void NetworkModel::isolate_region(std::uint32_t region, TimePoint from, TimePoint until) {
  isolations_[region] = {from, until};
}

}  // namespace pumicemast::simulation
