/// Derives each machine's assignment from the configuration in force.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "configuration/configuration_store.h"
#include "generated/wire_generated.h"
#include "routing/backend_directory.h"

namespace pumicemast {

/// Builds assignments and remembers what was sent, so that only changes go out.
class AssignmentBuilder {
 public:
  /// The assignment of `machine`, or null when the one last sent still says the same.
  std::unique_ptr<wire::AssignmentT> build_if_changed(const ConfigurationStore& configuration,
                                                      const BackendDirectory& directory,
                                                      const std::string& machine);
  /// The agent connected anew: everything must be sent again.
  void forget(const std::string& machine) { sent_.erase(machine); }

 private:
  std::map<std::string, std::vector<std::uint8_t>> sent_;  ///< Serialized without revision.
};

}  // namespace pumicemast
