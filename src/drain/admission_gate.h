/// Admits or refuses work at a back end, and knows when a planned stop has finished.
///
/// A decision core: no I/O. This is the last gate: entries learn of a stop or a switch of
/// versions some time after the machine does, and what they still send is refused here as
/// not run. Nothing admitted is ever cut off by the gate.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "common/state_chart.h"

namespace pumicemast {

enum class AdmissionResult { admitted, draining, not_live, overloaded };

class AdmissionGate {
 public:
  /// @param chart  charts/drain.ini
  /// @param limit  requests that may be in progress at once.
  AdmissionGate(const StateChart& chart, std::uint32_t limit);

  /// Asks for one request of `model` ("" for a plain service). With a `digest`, only while
  /// that version serves. Every admitted request must be finished.
  AdmissionResult admit(const std::string& model, const std::string& digest);
  void finish(const std::string& model);

  /// `model` is served from `digest` from now on.
  void open(const std::string& model, const std::string& digest);
  /// No new request of `model`; those in progress go on.
  void close(const std::string& model);

  /// A planned stop is in force, or is no longer.
  void set_stop(bool stop);
  /// The process was told to end: like a stop that cannot be cancelled.
  void set_terminating();

  bool draining() const { return state_ != "SERVING"; }
  bool drained() const { return state_ == "DRAINED"; }
  std::uint32_t in_flight() const { return in_flight_; }
  std::uint32_t in_flight(const std::string& model) const;
  std::uint32_t limit() const { return limit_; }

 private:
  struct ModelGate {
    std::string digest;  ///< "" while closed.
    std::uint32_t in_flight = 0;
  };
  void step(const char* event) { state_ = chart_.next(state_, event); }
  void finish_drain_if_idle();

  const StateChart& chart_;
  std::uint32_t limit_;
  std::string state_;
  bool terminating_ = false;
  std::uint32_t in_flight_ = 0;
  std::map<std::string, ModelGate> models_;
};

}  // namespace pumicemast
