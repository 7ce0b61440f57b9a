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
  /// @param on_result  called when a probe ends. `listening` is false if the machine refused the
  ///                   connection: no process listens at the back end's address.
  explicit BackendProbes(std::function<void(const std::string& backend, bool listening)> on_result);
  ~BackendProbes();

  /// Opens a connection and closes it again, one at a time to each back end. An attempt that times
  /// out, for example behind a network partition, has no result.
  void start(const std::string& backend, const Address& address);

 private:
  class Probe;
  /// @param listening  empty if the probe found out nothing.
  void finish(const std::string& backend, std::optional<bool> listening);

  std::function<void(const std::string& backend, bool listening)> on_result_;
  std::map<std::string, std::unique_ptr<Probe>> probes_;
  DeferredDeleter deleter_;
};

}  // namespace pumicemast
