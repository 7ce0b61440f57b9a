#include "support/source_folders.h"

namespace pumicemast::tests {

const std::string& charts_folder() {
  static const std::string path = std::string(PUMICEMAST_CHECKOUT) + "/charts";
  return path;
}

const std::string& sessions_folder() {
  static const std::string path = std::string(PUMICEMAST_CHECKOUT) + "/tests/commands/sessions";
  return path;
}

}  // namespace pumicemast::tests
