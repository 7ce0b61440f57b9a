#include "drain/admission_gate.h"

#include <cassert>

namespace pumicemast {

AdmissionGate::AdmissionGate(const StateChart& chart, std::uint32_t limit)
    : chart_(chart), limit_(limit), state_(chart.initial()) {}

AdmissionResult AdmissionGate::admit(const std::string& model, const std::string& digest) {
  if (draining()) return AdmissionResult::draining;
  ModelGate& gate = models_[model];
  const bool is_service = model.empty();
  if (!is_service && gate.digest.empty()) return AdmissionResult::not_live;
  if (!digest.empty() && gate.digest != digest) return AdmissionResult::not_live;
  if (in_flight_ >= limit_) return AdmissionResult::overloaded;
  ++gate.in_flight;
  ++in_flight_;
  return AdmissionResult::admitted;
}

void AdmissionGate::finish(const std::string& model) {
  ModelGate& gate = models_[model];
  assert(gate.in_flight > 0 && in_flight_ > 0);
  --gate.in_flight;
  --in_flight_;
  finish_drain_if_idle();
}

void AdmissionGate::open(const std::string& model, const std::string& digest) {
  models_[model].digest = digest;
}

void AdmissionGate::close(const std::string& model) { models_[model].digest.clear(); }

void AdmissionGate::set_stop(bool stop) {
  if (!stop) {
    if (!terminating_) step("stop_cancelled");
    return;
  }
  if (state_ == "SERVING") step("stop_planned");
  if (state_ == "REQUESTED") step("stop_admitted");
  finish_drain_if_idle();
}

void AdmissionGate::set_terminating() {
  terminating_ = true;
  set_stop(true);
}

void AdmissionGate::finish_drain_if_idle() {
  if (state_ == "DRAINING" && in_flight_ == 0) step("in_flight_zero");
}

std::uint32_t AdmissionGate::in_flight(const std::string& model) const {
  const auto found = models_.find(model);
  return found == models_.end() ? 0 : found->second.in_flight;
}

}  // namespace pumicemast
