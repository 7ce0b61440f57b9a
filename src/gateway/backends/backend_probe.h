/// Finds out whether a process still listens at a back end's address.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "common/event_loop.h"
#include "common/settings.h"
#include "http1/deferred_deleter.h"

namespace pumicemast {

class BackendProbes {
 public:
  /// @param on_refused  the machine answers, and nothing listens at the back end's address.
  explicit BackendProbes(std::function<void(const std::string& backend)> on_refused);
  ~BackendProbes();

  /// Opens a connection and closes it again; one at a time to each back end. One that does not
  /// come up in time, as behind a cut, says nothing.
  void start(const std::string& backend, const Address& address);

 private:
  class Probe;
  void finish(const std::string& backend, bool refused);

  std::function<void(const std::string& backend)> on_refused_;
  std::map<std::string, std::unique_ptr<Probe>> probes_;
  DeferredDeleter deleter_;
};

}  // namespace pumicemast
