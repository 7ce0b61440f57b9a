#include "routing/backend_directory.h"

#include <algorithm>

namespace pumicemast {

std::uint32_t Backend::estimated_in_flight() const {
  const std::uint32_t others_in_flight =
      status.in_flight - std::min(status.in_flight, outstanding_at_report);
  return others_in_flight + outstanding;
}

const ReplicaView* Backend::live_replica(const std::string& model) const {
  const auto [begin, end] = status.replicas.equal_range(model);
  const auto found =
      std::find_if(begin, end, [](const auto& entry) { return entry.second.is_live(); });
  return found == end ? nullptr : &found->second;
}

const ReplicaView* Backend::replica(const std::string& model, const std::string& version) const {
  const auto [begin, end] = status.replicas.equal_range(model);
  const auto found =
      std::find_if(begin, end, [&](const auto& entry) { return entry.second.version == version; });
  return found == end ? nullptr : &found->second;
}

void BackendDirectory::on_hello(const BackendHello& hello, TimePoint now) {
  Backend& backend = backends_[hello.machine];
  backend.hello = hello;
  backend.status = {};
  backend.outstanding_at_report = 0;
  backend.connected = true;
  backend.last_heard = now;
  backend.leaving = leaving_.contains(hello.machine);
  backend.stop_planned = stopping_.contains(hello.machine);
}

void BackendDirectory::on_status(const std::string& machine, const BackendStatus& status,
                                 TimePoint now) {
  const auto found = backends_.find(machine);
  if (found == backends_.end()) return;
  Backend& backend = found->second;
  backend.status = status;
  backend.last_heard = now;
  backend.outstanding_at_report = backend.outstanding;
}

void BackendDirectory::on_disconnected(const std::string& machine, TimePoint now) {
  const auto found = backends_.find(machine);
  if (found == backends_.end()) return;
  found->second.connected = false;
  found->second.disconnected_at = now;
}

void BackendDirectory::on_machine_list(const std::set<std::string>& leaving) {
  leaving_ = leaving;
  for (auto& [machine, backend] : backends_) backend.leaving = leaving_.contains(machine);
}

void BackendDirectory::on_planned_stops(const std::set<std::string>& stopping) {
  stopping_ = stopping;
  for (auto& [machine, backend] : backends_) backend.stop_planned = stopping_.contains(machine);
}

void BackendDirectory::on_submitted(const std::string& machine) {
  const auto found = backends_.find(machine);
  if (found != backends_.end()) ++found->second.outstanding;
}

void BackendDirectory::on_finished(const std::string& machine) {
  const auto found = backends_.find(machine);
  if (found == backends_.end()) return;
  Backend& backend = found->second;
  if (backend.outstanding > 0) --backend.outstanding;
  backend.outstanding_at_report = std::min(backend.outstanding_at_report, backend.outstanding);
}

void BackendDirectory::forget_lost(Duration age, TimePoint now) {
  std::erase_if(backends_, [&](const auto& entry) {
    const Backend& backend = entry.second;
    return !backend.connected && backend.outstanding == 0 && now - backend.disconnected_at > age;
  });
}

bool BackendDirectory::is_reachable(const Backend& backend, TimePoint now) const {
  return backend.connected && now - backend.last_heard <= silence_timeout_;
}

bool BackendDirectory::accepts_work(const Backend& backend, TimePoint now) const {
  return is_reachable(backend, now) && !backend.leaving && !backend.stop_planned &&
         !backend.status.draining;
}

const Backend* BackendDirectory::find(const std::string& machine) const {
  const auto found = backends_.find(machine);
  return found == backends_.end() ? nullptr : &found->second;
}

}  // namespace pumicemast
