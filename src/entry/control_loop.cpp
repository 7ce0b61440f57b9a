#include "entry/control_loop.h"

#include <nlohmann/json.hpp>

#include "common/log.h"

namespace pumicemast {
namespace {

constexpr char kControllerLease[] = "controller";
/// A write that the watch has not delivered within this time is decided again from the
/// configuration in force.
constexpr Duration kPendingWriteTimeout = seconds(2);
constexpr std::uint64_t kTakeoverJitterRangeMs = 1000;

LeaseOptions lease_options(const EntrySettings& settings, std::uint64_t incarnation) {
  LeaseOptions options;
  options.id = kControllerLease;
  options.holder = settings.name + "/" + std::to_string(incarnation);
  options.ttl = settings.lease_ttl;
  options.renew_interval = settings.lease_renew;
  options.safety_margin = settings.lease_margin;
  options.takeover_delay =
      milliseconds(static_cast<std::int64_t>(incarnation % kTakeoverJitterRangeMs));
  return options;
}

}  // namespace

ControlLoop::ControlLoop(const EntrySettings& settings, const Charts& charts, ObjectStore& store,
                         const ConfigurationStore& configuration, const BackendDirectory& directory,
                         Metrics& metrics, std::uint64_t incarnation)
    : settings_(settings),
      store_(store),
      configuration_(configuration),
      directory_(directory),
      metrics_(metrics),
      lease_(charts.lease, lease_options(settings, incarnation)),
      controller_(charts.rollout, charts.drain, {settings.replace_after}) {}

void ControlLoop::start() {
  if (!settings_.controller_candidate) return;
  tick_timer_.start_repeating(settings_.control_interval, [this] { tick(); });
}

void ControlLoop::stop() { tick_timer_.cancel(); }

void ControlLoop::tick() {
  const TimePoint now = loop_now();
  if (const auto lease_write = lease_.on_tick(now)) write_lease(*lease_write);
  const bool holds = lease_.holds(now);
  update_role(holds);
  if (holds) {
    decide(now);
  } else if (now >= next_lease_read_ && !reading_lease_) {
    read_lease();
  }
}

void ControlLoop::update_role(bool holds) {
  if (holds == was_holder_) return;
  was_holder_ = holds;
  if (holds) controller_.on_lease_acquired(loop_now());
  metrics_.count("pumicemast_entry_lease_transitions_total",
                 {{"to", holds ? "holder" : "follower"}});
  LOG(INFO) << "lease id=" << kControllerLease << " term=" << lease_.term()
            << " state=" << (holds ? "FOLLOWING->HOLDING" : "HOLDING->FOLLOWING");
}

void ControlLoop::read_lease() {
  reading_lease_ = true;
  next_lease_read_ = loop_now() + settings_.lease_ttl / 3;
  store_.read(LeaseRecord::kKind, kControllerLease, [this](const ObjectReadResult& result) {
    reading_lease_ = false;
    if (!result.answered) return;
    if (!result.exists) {
      lease_.on_record(nullptr, 0, loop_now());
      return;
    }
    handle_error(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(record, object_from_json<LeaseRecord>(result.object.value));
          lease_.on_record(&record, result.object.version, loop_now());
          return {};
        },
        [this](const Error&) { metrics_.count("pumicemast_entry_configuration_rejected_total"); });
  });
}

void ControlLoop::write_lease(const WriteLease& lease_write) {
  store_.write(LeaseRecord::kKind, kControllerLease, to_json(lease_write.record),
               lease_write.expected, [this](const ObjectWriteResult& result) {
                 lease_.on_write_result(result.outcome, result.version, loop_now());
                 const bool settled = result.outcome == WriteOutcome::applied;
                 if (!settled && !reading_lease_) read_lease();
               });
}

void ControlLoop::decide(TimePoint now) {
  std::erase_if(pending_, [&](const auto& entry) { return now >= entry.second; });
  const ControllerActions actions =
      controller_.decide(configuration_, directory_, lease_.term(), now);
  for (const ControllerAction& action : actions) execute(action, now);
}

void ControlLoop::execute(const ControllerAction& action, TimePoint now) {
  if (const auto* placement = std::get_if<WritePlacement>(&action)) {
    write(Placement::kKind, placement->placement.name(), to_json(placement->placement),
          placement->expected, now);
  } else if (const auto* rollout = std::get_if<WriteRollout>(&action)) {
    LOG(INFO) << "rollout model=" << rollout->rollout.model
              << " version=" << rollout->rollout.version << " state=->" << rollout->rollout.state;
    write(Rollout::kKind, rollout->rollout.name(), to_json(rollout->rollout), rollout->expected,
          now);
  } else if (const auto* stop = std::get_if<WritePlannedStop>(&action)) {
    write(PlannedStop::kKind, stop->stop.name(), to_json(stop->stop), stop->expected, now);
  }
}

void ControlLoop::write(const std::string& kind, const std::string& name,
                        const nlohmann::json& value, ObjectVersion expected, TimePoint now) {
  const std::string key = kind + "/" + name + "@" + std::to_string(expected);
  // A write that expects the same version is not repeated: the first may still be in flight.
  if (pending_.contains(key)) return;
  pending_[key] = now + kPendingWriteTimeout;
  store_.write(kind, name, value, expected, [this, key, kind](const ObjectWriteResult& result) {
    const char* outcome = result.outcome == WriteOutcome::applied    ? "applied"
                          : result.outcome == WriteOutcome::conflict ? "conflict"
                          : result.outcome == WriteOutcome::unknown  ? "unknown"
                                                                     : "not_applied";
    metrics_.count("pumicemast_entry_control_writes_total", {{"kind", kind}, {"outcome", outcome}});
    if (result.outcome == WriteOutcome::not_applied) pending_.erase(key);
  });
}

}  // namespace pumicemast
