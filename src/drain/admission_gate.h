/// Admits or refuses requests at a back end and tracks the drain of a planned stop.
///
/// A decision core: no I/O. This is the last check before a request runs: entries learn of a stop
/// or a change of version later than the machine, and requests that they still send are refused
/// here as not run. The gate never interrupts an admitted request.
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
  /// @param limit  maximum number of requests in progress.
  AdmissionGate(const StateChart& chart, std::uint32_t limit);

  /// Requests admission of one request of `model` ("" for a plain service). With a `digest`, it is
  /// admitted only while that version is served. Call finish() for every admitted request.
  AdmissionResult admit(const std::string& model, const std::string& digest);
  void finish(const std::string& model);

  /// Admits requests of `model`, which is served from `digest`.
  void open(const std::string& model, const std::string& digest);
  /// Refuses new requests of `model`; requests in progress continue.
  void close(const std::string& model);

  /// Starts draining for a planned stop, or cancels it.
  void set_stop(bool stop);
  /// Starts a drain that cannot be cancelled, because the process is terminating.
  void set_terminating();

  bool draining() const { return state_ != "SERVING"; }
  bool drained() const { return state_ == "DRAINED"; }
  std::uint32_t in_flight() const { return in_flight_; }
  std::uint32_t in_flight(const std::string& model) const;
  std::uint32_t limit() const { return limit_; }

 private:
  struct ModelGate {
    std::string digest;  ///< "" while admission is closed.
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
