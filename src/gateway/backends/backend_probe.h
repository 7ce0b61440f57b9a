/// Checks whether a process still listens at a back end's address.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "common/event_loop.h"
#include "common/settings.h"
#include "http1/deferred_deleter.h"

namespace pumicemast {

class BackendProbes {
 public:
  /// Called when a probe that began at `started` ends. `listening` is false if the machine refused
  /// the connection: no process listens at the back end's address.
  using ResultHandler =
      std::function<void(const std::string& backend, bool listening, TimePoint started)>;

  explicit BackendProbes(ResultHandler on_result);
  ~BackendProbes();

  /// Opens a connection and closes it again, one at a time to each back end. It has found a process
  /// if the connection stays open for longer than the exit of a process takes. One that is
  /// requested while another is under way follows it, unless that one is refused. An attempt that
  /// times out, for example behind a network partition, has no result.
  void start(const std::string& backend, const Address& address);

 private:
  class Probe;
  /// @param listening  empty if the probe found out nothing.
  void finish(const std::string& backend, std::optional<bool> listening);

  ResultHandler on_result_;
  std::map<std::string, std::unique_ptr<Probe>> probes_;
  DeferredDeleter deleter_;
};

}  // namespace pumicemast
