#include "common/log.h"

#include <iostream>

INITIALIZE_EASYLOGGINGPP

namespace pumicemast {
namespace {

/// easylogging++ writes to standard output or files; operators expect standard error.
class StandardErrorDispatch : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    const el::base::type::string_t line = data->logMessage()->logger()->logBuilder()->build(
        data->logMessage(), data->dispatchAction() == el::base::DispatchAction::NormalLog);
    std::cerr << line;
  }
};

}  // namespace

void configure_log(const std::string& process_name) {
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  configuration.setGlobally(el::ConfigurationType::Format,
                            "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level " + process_name + " %msg");
  el::Loggers::reconfigureAllLoggers(configuration);
  el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
      "DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<StandardErrorDispatch>("StandardErrorDispatch");
}

}  // namespace pumicemast
