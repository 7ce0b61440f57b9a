#include "common/state_chart.h"

#include <glib.h>

#include <algorithm>
#include <memory>
#include <set>

#include "common/settings.h"

namespace pumicemast {
namespace {

constexpr char kChartSection[] = "chart";

bool contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

std::set<std::string> reachable_states(
    const std::string& initial,
    const std::map<std::string, std::map<std::string, std::string>>& transitions) {
  std::set<std::string> reached{initial};
  std::vector<std::string> pending{initial};
  while (!pending.empty()) {
    const std::string state = pending.back();
    pending.pop_back();
    const auto found = transitions.find(state);
    if (found == transitions.end()) continue;
    for (const auto& [event, target] : found->second) {
      if (reached.insert(target).second) pending.push_back(target);
    }
  }
  return reached;
}

const ChartVocabulary kReplicaVocabulary{
    "replica",
    {"ABSENT", "FETCHING", "STAGED", "SWITCHING", "LIVE", "DRAINING"},
    {"stage_ordered", "content_verified", "serve_ordered", "idle", "activated", "activation_failed",
     "superseded", "drop_ordered", "engine_lost"}};
const ChartVocabulary kRolloutVocabulary{"rollout",
                                         {"RUNNING", "PAUSED", "ABORTING", "ABORTED", "COMPLETED"},
                                         {"pause", "resume", "abort", "all_live", "all_reverted"}};
const ChartVocabulary kDrainVocabulary{
    "drain",
    {"SERVING", "REQUESTED", "DRAINING", "DRAINED"},
    {"stop_planned", "stop_admitted", "stop_cancelled", "in_flight_zero"}};
const ChartVocabulary kLeaseVocabulary{"lease",
                                       {"FOLLOWING", "ACQUIRING", "HOLDING", "RENEWING"},
                                       {"expired", "write_applied", "write_conflict",
                                        "write_unknown", "renew_due", "deadline_passed"}};
const ChartVocabulary kGatewayVocabulary{
    "gateway", {"STARTING", "SERVING", "STOPPING", "STOPPED"}, {"configured", "stop", "finished"}};
const ChartVocabulary kStagingVocabulary{
    "staging",
    {"UNKNOWN", "FETCHING", "CHECKING", "READY", "STARTING", "LIVE"},
    {"manifest_read", "all_staged", "verified", "spoilt", "turn_came", "check_expired", "serving",
     "start_failed", "engine_lost", "target_changed"}};

}  // namespace

StateChart StateChart::load(const std::string& path, const ChartVocabulary& vocabulary,
                            Findings& findings) {
  StateChart chart;
  Settings settings(path, findings);
  const std::string name = settings.required_string(kChartSection, "name");
  if (!name.empty() && name != vocabulary.name) {
    findings.add({path, 0, kChartSection, "name", "\"" + name + "\" is not " + vocabulary.name});
  }
  chart.initial_ = settings.required_string(kChartSection, "initial");
  for (const std::string& state : vocabulary.states) {
    for (const std::string& event : vocabulary.events) {
      const std::string target = settings.string_or(state, event, "");
      if (target.empty()) continue;
      if (!contains(vocabulary.states, target)) {
        findings.add({path, 0, state, event, "unknown state \"" + target + "\""});
      }
      chart.transitions_[state][event] = target;
    }
  }
  settings.report_unknown();  // Sections and keys left over are unknown states and events.
  if (!contains(vocabulary.states, chart.initial_)) {
    findings.add({path, 0, kChartSection, "initial", "unknown state \"" + chart.initial_ + "\""});
    return chart;
  }
  const auto reached = reachable_states(chart.initial_, chart.transitions_);
  for (const std::string& state : vocabulary.states) {
    if (!reached.contains(state)) findings.add({path, 0, state, "", "unreachable state"});
  }
  return chart;
}

const std::string& StateChart::next(const std::string& state, const std::string& event) const {
  const auto from = transitions_.find(state);
  if (from == transitions_.end()) return state;
  const auto target = from->second.find(event);
  return target == from->second.end() ? state : target->second;
}

bool StateChart::accepts(const std::string& state, const std::string& event) const {
  const auto from = transitions_.find(state);
  return from != transitions_.end() && from->second.contains(event);
}

Charts Charts::load(const std::string& directory, Findings& findings) {
  Charts charts;
  charts.replica = StateChart::load(directory + "/replica.ini", kReplicaVocabulary, findings);
  charts.rollout = StateChart::load(directory + "/rollout.ini", kRolloutVocabulary, findings);
  charts.drain = StateChart::load(directory + "/drain.ini", kDrainVocabulary, findings);
  charts.lease = StateChart::load(directory + "/lease.ini", kLeaseVocabulary, findings);
  charts.gateway = StateChart::load(directory + "/gateway.ini", kGatewayVocabulary, findings);
  charts.staging = StateChart::load(directory + "/staging.ini", kStagingVocabulary, findings);
  return charts;
}

}  // namespace pumicemast
