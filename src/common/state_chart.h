/// State charts kept in INI files and interpreted by the cores.
///
/// A chart file has a `[chart]` section (`name`, `initial`) and one section per state
/// whose keys are events and whose values are the next states. A chart that names an
/// unknown state or event, or has an unreachable state, is refused with the file and section at
/// fault.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "common/findings.h"

namespace pumicemast {

/// The states and events that the code knows for a chart.
struct ChartVocabulary {
  std::string name;
  std::vector<std::string> states;
  std::vector<std::string> events;
};

/// A checked chart. Immutable once loaded.
class StateChart {
 public:
  /// Loads and checks `path`; every fault goes to `findings`.
  static StateChart load(const std::string& path, const ChartVocabulary& vocabulary,
                         Findings& findings);

  const std::string& initial() const { return initial_; }
  /// The state after `event` in `state`, or `state` itself when `state` has no transition for it.
  const std::string& next(const std::string& state, const std::string& event) const;
  /// Whether `state` has a transition for `event`.
  bool accepts(const std::string& state, const std::string& event) const;

 private:
  std::string initial_;
  std::map<std::string, std::map<std::string, std::string>> transitions_;
};

/// The charts of every core, loaded once at start.
struct Charts {
  StateChart replica;
  StateChart rollout;
  StateChart drain;
  StateChart lease;
  StateChart gateway;
  StateChart staging;

  /// Loads all of them from `directory`.
  static Charts load(const std::string& directory, Findings& findings);
};

}  // namespace pumicemast
