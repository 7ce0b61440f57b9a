/// Folders of the checkout that tests read.
#pragma once

#include <string>

namespace pumicemast::tests {

/// The state charts of the programs.
const std::string& charts_folder();
/// Scripts of operators' commands with their expected transcripts.
const std::string& sessions_folder();

}  // namespace pumicemast::tests
