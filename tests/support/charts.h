/// The repository's state charts, loaded once for all tests.
#pragma once

#include <stdexcept>

#include "common/state_chart.h"
#include "support/source_folders.h"

namespace pumicemast::tests {

inline const Charts& charts() {
  static const Charts loaded = [] {
    Findings findings;
    Charts result = Charts::load(charts_folder(), findings);
    if (!findings.empty()) throw std::runtime_error(findings.report());
    return result;
  }();
  return loaded;
}

}  // namespace pumicemast::tests
