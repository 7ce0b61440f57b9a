/// Answers queries from the configuration and the membership that one entry sees.
#pragma once

#include "commands/command.h"
#include "commands/table.h"
#include "configuration/configuration_store.h"
#include "routing/backend_directory.h"

namespace pumicemast {

/// What a query may look at.
struct QueryView {
  const ConfigurationStore& configuration;
  const BackendDirectory& directory;
  std::string entry;
  std::string controller;  ///< Holder of the controller lease as last seen.
  bool platform_reachable = false;
  TimePoint now;
};

leaf::result<Table> run_show(const ShowCommand& command, const QueryView& view);

/// Says step by step why a model is, or is not, live at a machine.
Table run_explain(const ExplainCommand& command, const QueryView& view);

}  // namespace pumicemast
