/// Runs queries on the configuration and the back ends that one entry sees.
#pragma once

#include "commands/command.h"
#include "commands/table.h"
#include "configuration/configuration_store.h"
#include "routing/backend_directory.h"

namespace pumicemast {

/// The state of an entry that queries read.
struct QueryView {
  const ConfigurationStore& configuration;
  const BackendDirectory& directory;
  std::string entry;
  std::string controller;  ///< Last known holder of the controller lease.
  bool platform_reachable = false;
  TimePoint now;
};

leaf::result<Table> run_show(const ShowCommand& command, const QueryView& view);

/// Lists the conditions for a model to be live at a machine, up to the first unmet one.
Table run_explain(const ExplainCommand& command, const QueryView& view);

}  // namespace pumicemast
