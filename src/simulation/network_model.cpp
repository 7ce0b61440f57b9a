#include "simulation/network_model.h"

#include <algorithm>

namespace pumicemast::simulation {

TimePoint NetworkModel::Link::book(std::uint64_t bytes, TimePoint earliest) {
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

NetworkModel::NetworkModel(NetworkOptions options, std::vector<MachinePlace> places,
                           std::uint64_t seed)
    : options_(options),
      places_(std::move(places)),
      random_(static_cast<std::minstd_rand::result_type>(seed % std::minstd_rand::modulus + 1)) {
  Link machine_link;
  machine_link.bytes_per_second = options_.machine_bytes_per_second;
  up_.assign(places_.size(), machine_link);
  if (options_.duplex == Duplex::full) down_ = up_;
  origin_.bytes_per_second = options_.origin_bytes_per_second;
  std::uint32_t regions = 0;
  for (const MachinePlace& place : places_) regions = std::max(regions, place.region + 1);
  cuts_.resize(regions);
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
  return places_[from].region != places_[to].region;
}

TimePoint NetworkModel::send(MachineNumber from, std::uint64_t bytes, TimePoint now) {
  return upstream(from).book(bytes, now);
}

TimePoint NetworkModel::deliver(MachineNumber from, MachineNumber to, std::uint64_t bytes,
                                TimePoint now) {
  TimePoint at_receiver = now;
  const bool ingress_limited = options_.region_ingress_bytes_per_second > 0;
  if (ingress_limited && from != kOrigin && crosses_regions(from, to)) {
    at_receiver = region_ingress_[places_[to].region].book(bytes, at_receiver);
  }
  Link& down = downstream(to);
  if (options_.duplex == Duplex::half) return down.book(bytes, at_receiver) + latency(from, to);
  // Cut-through: the receiver's link filled while the sender's still sent.
  const double duration_us = static_cast<double>(bytes) / down.bytes_per_second *
                             static_cast<double>(Duration::period::den);
  const TimePoint first_byte = at_receiver - Duration(static_cast<Duration::rep>(duration_us));
  return std::max(at_receiver, down.book(bytes, first_byte)) + latency(from, to);
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
  } else if (places_[from].region != places_[to].region) {
    base = options_.latency_between_regions;
  } else if (places_[from].zone != places_[to].zone) {
    base = options_.latency_between_zones;
  }
  constexpr std::uint32_t kSteps = 1000;
  const double position = static_cast<double>(random_() % kSteps) / kSteps;
  const double factor = 1 + options_.latency_jitter * (2 * position - 1);
  return Duration(static_cast<Duration::rep>(static_cast<double>(base.count()) * factor));
}

bool NetworkModel::region_is_cut(std::uint32_t region, TimePoint now) const {
  return now >= cuts_[region].from && now < cuts_[region].until;
}

bool NetworkModel::connected(MachineNumber from, MachineNumber to, TimePoint now) const {
  if (!crosses_regions(from, to)) return true;
  if (from != kOrigin && region_is_cut(places_[from].region, now)) return false;
  return to == kOrigin || !region_is_cut(places_[to].region, now);
}

void NetworkModel::stall(MachineNumber machine, TimePoint from, TimePoint until) {
  for (Link* link : {&upstream(machine), &downstream(machine)}) {
    link->stalled_from = from;
    link->stalled_until = until;
  }
}

void NetworkModel::cut_region(std::uint32_t region, TimePoint from, TimePoint until) {
  cuts_[region] = {from, until};
}

}  // namespace pumicemast::simulation
