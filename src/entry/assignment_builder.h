/// Derives each machine's assignment from the configuration in force.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "configuration/configuration_store.h"
#include "generated/wire_generated.h"
#include "routing/backend_directory.h"

namespace pumicemast {

/// Builds assignments and records the last one sent, so that only changes are sent.
class AssignmentBuilder {
 public:
  /// @return the assignment of `machine`, or null when it equals the one last sent.
  std::unique_ptr<wire::AssignmentT> build_if_changed(const ConfigurationStore& configuration,
                                                      const BackendDirectory& directory,
                                                      const std::string& machine);
  /// Discards the assignment last sent, because a reconnected agent needs it again.
  void forget(const std::string& machine) { sent_.erase(machine); }

 private:
  std::map<std::string, std::vector<std::uint8_t>>
      sent_;  ///< Serialized without revision, by machine.
};

}  // namespace pumicemast
