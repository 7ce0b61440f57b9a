#include "commands/command_executor.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace pumicemast {
namespace {

/// Maximum number of writes of a change. A write is repeated if its response was lost and it
/// had no effect.
constexpr int kWriteAttempts = 4;
/// By default a rollout may make target / this divisor replicas unavailable, but at least one.
constexpr std::uint32_t kDefaultUnavailableDivisor = 4;

Error not_found(const std::string& place, const std::string& reason) {
  return Error{ErrorCode::not_found, place, reason};
}

template <class Object>
ObjectVersion version_of(const QueryView& view, const std::string& name) {
  const auto* found = view.configuration.find<Object>(name);
  return found == nullptr ? 0 : found->version;
}

CommandResult failed(const Error& error) {
  CommandResult result;
  result.error = error;
  return result;
}

/// @return " by NAME" if the stored object records its author, "" otherwise.
std::string author_of(const nlohmann::json& value) {
  const auto author = value.find("created_by");
  if (author == value.end() || !author->is_string() || author->get<std::string>().empty()) {
    return "";
  }
  return " by " + author->get<std::string>();
}

}  // namespace

CommandExecutor::CommandExecutor(ObjectStore& store, std::function<QueryView()> view)
    : store_(store), view_(std::move(view)) {}

void CommandExecutor::run(const std::vector<std::string>& words, const std::string& user,
                          OnDone on_done) {
  const QueryView view = view_();
  const CommandResult immediate = handle_error(
      [&]() -> leaf::result<CommandResult> {
        BOOST_LEAF_AUTO(command, parse_command(words));
        CommandResult result;
        if (const auto* show = std::get_if<ShowCommand>(&command.body)) {
          BOOST_LEAF_ASSIGN(result.table, run_show(*show, view));
          result.ok = true;
          return result;
        }
        if (const auto* explain = std::get_if<ExplainCommand>(&command.body)) {
          result.table = run_explain(*explain, view);
          result.ok = true;
          return result;
        }
        BOOST_LEAF_AUTO(change, plan(command, user, view));
        write(change, 1, on_done);
        return result;
      },
      [](const Error& error) { return failed(error); });
  // A change reports its result later; queries and errors are reported now.
  const bool answered = immediate.ok || !immediate.error.reason.empty();
  if (answered) on_done(immediate);
}

leaf::result<CommandExecutor::Change> CommandExecutor::plan(const Command& command,
                                                            const std::string& user,
                                                            const QueryView& view) const {
  BOOST_LEAF_AUTO(change, std::visit([&](const auto& body) { return plan_body(body, user, view); },
                                     command.body));
  if (command.expect) change.expected = *command.expect;
  return change;
}

leaf::result<CommandExecutor::Change> CommandExecutor::plan_body(const CreateVersionCommand& body,
                                                                 const std::string&,
                                                                 const QueryView& view) const {
  const std::string name = body.version.name();
  const auto* existing = view.configuration.find<ModelVersion>(name);
  if (existing != nullptr && existing->value.digest != body.version.digest) {
    return leaf::new_error(Error{ErrorCode::conflict, name,
                                 "the version exists with other content; versions never change"});
  }
  return Change{ModelVersion::kKind,
                name,
                to_json(body.version),
                false,
                version_of<ModelVersion>(view, name),
                "version " + name + " created"};
}

leaf::result<CommandExecutor::Change> CommandExecutor::plan_body(const CreateRolloutCommand& body,
                                                                 const std::string& user,
                                                                 const QueryView& view) const {
  const std::string version_name = body.model + "@" + body.version;
  if (view.configuration.find<ModelVersion>(version_name) == nullptr) {
    return leaf::new_error(not_found(version_name, "no such version; publish it first"));
  }
  const auto* target = view.configuration.find<ReplicaTarget>(body.model);
  if (target == nullptr) {
    return leaf::new_error(not_found(body.model, "no replica target; set one first"));
  }
  Rollout rollout;
  rollout.model = body.model;
  rollout.version = body.version;
  rollout.objective = body.objective;
  rollout.max_unavailable = body.max_unavailable.value_or(
      std::max(1U, target->value.replicas / kDefaultUnavailableDivisor));
  rollout.priority = body.priority;
  rollout.created_by = user;
  if (const auto* current_rollout = view.configuration.find<Rollout>(body.model)) {
    const bool reverting =
        current_rollout->value.state == "ABORTING" || current_rollout->value.state == "ABORTED";
    rollout.previous_version =
        reverting ? current_rollout->value.previous_version : current_rollout->value.version;
    // A superseded unfinished rollout is not a version to roll back to, unless it is the first
    // rollout of its model.
    const bool unfinished =
        current_rollout->value.state == "RUNNING" || current_rollout->value.state == "PAUSED";
    if (unfinished && !current_rollout->value.previous_version.empty())
      rollout.previous_version = current_rollout->value.previous_version;
  }
  return Change{Rollout::kKind,
                body.model,
                to_json(rollout),
                false,
                version_of<Rollout>(view, body.model),
                "rollout of " + version_name + " created"};
}

leaf::result<CommandExecutor::Change> CommandExecutor::plan_body(const ControlRolloutCommand& body,
                                                                 const std::string& user,
                                                                 const QueryView& view) const {
  const auto* found = view.configuration.find<Rollout>(body.model);
  if (found == nullptr) return leaf::new_error(not_found(body.model, "no rollout of this model"));
  Rollout rollout = found->value;
  const std::string state = rollout.state;
  std::string done;
  bool allowed = false;
  switch (body.operation) {
    case RolloutOperation::pause:
      allowed = state == "RUNNING";
      rollout.state = "PAUSED";
      done = "paused";
      break;
    case RolloutOperation::resume:
      allowed = state == "PAUSED";
      rollout.state = "RUNNING";
      done = "resumed";
      break;
    case RolloutOperation::abort:
      allowed = state == "RUNNING" || state == "PAUSED";
      rollout.state = "ABORTING";
      done = "aborted; machines go back to " +
             (rollout.previous_version.empty() ? "serving nothing" : rollout.previous_version);
      break;
    case RolloutOperation::rollback:
      allowed = !rollout.previous_version.empty() && state == "COMPLETED";
      std::swap(rollout.version, rollout.previous_version);
      rollout.state = "RUNNING";
      done = "rolled back to " + rollout.version;
      break;
  }
  if (!allowed) {
    return leaf::new_error(Error{ErrorCode::invalid_argument, "rollout " + body.model,
                                 "is " + state + "; this order does not apply to it"});
  }
  rollout.created_by = user;
  return Change{Rollout::kKind, body.model,     to_json(rollout),
                false,          found->version, "rollout of " + body.model + " " + done};
}

leaf::result<CommandExecutor::Change> CommandExecutor::plan_body(const SetTargetCommand& body,
                                                                 const std::string&,
                                                                 const QueryView& view) const {
  return Change{ReplicaTarget::kKind,
                body.target.model,
                to_json(body.target),
                false,
                version_of<ReplicaTarget>(view, body.target.model),
                "target of " + body.target.model + " set to " +
                    std::to_string(body.target.replicas) + " replicas"};
}

leaf::result<CommandExecutor::Change> CommandExecutor::plan_body(const SetRouteCommand& body,
                                                                 const std::string&,
                                                                 const QueryView& view) const {
  return Change{Route::kKind,
                body.route.id,
                to_json(body.route),
                false,
                version_of<Route>(view, body.route.id),
                "route " + body.route.id + " set"};
}

leaf::result<CommandExecutor::Change> CommandExecutor::plan_body(const SetTenantCommand& body,
                                                                 const std::string&,
                                                                 const QueryView& view) const {
  return Change{Tenant::kKind,
                body.tenant.id,
                to_json(body.tenant),
                false,
                version_of<Tenant>(view, body.tenant.id),
                "tenant " + body.tenant.id + " set"};
}

leaf::result<CommandExecutor::Change> CommandExecutor::plan_body(const DeleteCommand& body,
                                                                 const std::string&,
                                                                 const QueryView& view) const {
  ObjectVersion version = 0;
  if (body.kind == ReplicaTarget::kKind) version = version_of<ReplicaTarget>(view, body.name);
  if (body.kind == Route::kKind) version = version_of<Route>(view, body.name);
  if (body.kind == Tenant::kKind) version = version_of<Tenant>(view, body.name);
  if (body.kind == ModelVersion::kKind) version = version_of<ModelVersion>(view, body.name);
  if (version == 0) return leaf::new_error(not_found(body.name, "there is none to delete"));
  if (body.kind == ModelVersion::kKind) {
    for (const auto& [model, rollout] : view.configuration.all<Rollout>()) {
      for (const std::string& used : {rollout.value.version, rollout.value.previous_version}) {
        if (model + "@" + used == body.name) {
          return leaf::new_error(
              Error{ErrorCode::conflict, body.name, "the rollout of " + model + " still needs it"});
        }
      }
    }
  }
  return Change{body.kind, body.name, nullptr, true, version, body.name + " deleted"};
}

leaf::result<CommandExecutor::Change> CommandExecutor::plan_body(const PlanStopCommand& body,
                                                                 const std::string& user,
                                                                 const QueryView& view) const {
  if (view.configuration.find<PlannedStop>(body.machine) != nullptr) {
    return leaf::new_error(
        Error{ErrorCode::conflict, body.machine, "a stop of this machine is planned already"});
  }
  if (view.directory.find(body.machine) == nullptr) {
    return leaf::new_error(not_found(body.machine, "no such machine is known"));
  }
  PlannedStop stop;
  stop.machine = body.machine;
  stop.force = body.force;
  stop.created_by = user;
  return Change{PlannedStop::kKind,
                body.machine,
                to_json(stop),
                false,
                0,
                "stop of " + body.machine + " planned"};
}

leaf::result<CommandExecutor::Change> CommandExecutor::plan_body(const CancelStopCommand& body,
                                                                 const std::string&,
                                                                 const QueryView& view) const {
  const auto* stop = view.configuration.find<PlannedStop>(body.machine);
  if (stop == nullptr) return leaf::new_error(not_found(body.machine, "no stop is planned"));
  return Change{PlannedStop::kKind,
                body.machine,
                nullptr,
                true,
                stop->version,
                "stop of " + body.machine + " cancelled"};
}

leaf::result<CommandExecutor::Change> CommandExecutor::plan_body(const ShowCommand&,
                                                                 const std::string&,
                                                                 const QueryView&) const {
  return leaf::new_error(Error{ErrorCode::invalid_argument, "show", "changes nothing"});
}

leaf::result<CommandExecutor::Change> CommandExecutor::plan_body(const ExplainCommand&,
                                                                 const std::string&,
                                                                 const QueryView&) const {
  return leaf::new_error(Error{ErrorCode::invalid_argument, "explain", "changes nothing"});
}

void CommandExecutor::write(const Change& change, int attempt, OnDone on_done) {
  const auto on_written = [this, change, attempt, on_done](const ObjectWriteResult& written) {
    CommandResult result;
    switch (written.outcome) {
      case WriteOutcome::applied:
        result.ok = true;
        result.text = change.success_text;
        result.version = written.version;
        on_done(result);
        return;
      case WriteOutcome::conflict:
        // After an attempt without a response, the conflicting write may be this command's own.
        if (attempt > 1) {
          resolve_unknown_outcome(change, kWriteAttempts, on_done);
        } else {
          report_conflict(change, on_done);
        }
        return;
      case WriteOutcome::not_applied:
        on_done(failed({ErrorCode::unavailable, change.kind + "/" + change.name,
                        "nothing was changed: " + written.reason}));
        return;
      case WriteOutcome::unknown:
        resolve_unknown_outcome(change, attempt, on_done);
        return;
    }
  };
  if (change.deletion) {
    store_.remove(change.kind, change.name, change.expected, on_written);
  } else {
    store_.write(change.kind, change.name, change.value, change.expected, on_written);
  }
}

void CommandExecutor::resolve_unknown_outcome(const Change& change, int attempt, OnDone on_done) {
  store_.read(change.kind, change.name, [=, this](const ObjectReadResult& read) {
    if (!read.answered) {
      on_done(failed({ErrorCode::unknown_outcome, change.kind + "/" + change.name,
                      "the answer was lost and the object cannot be read; it may have changed"}));
      return;
    }
    const bool is_own_write = change.deletion
                                  ? !read.exists
                                  : read.exists && read.object.version != change.expected &&
                                        read.object.value == change.value;
    if (is_own_write) {
      CommandResult result;
      result.ok = true;
      result.text = change.success_text;
      result.version = read.object.version;
      on_done(result);
      return;
    }
    const ObjectVersion current = read.exists ? read.object.version : 0;
    if (current != change.expected) {
      report_conflict(change, on_done);
      return;
    }
    if (attempt >= kWriteAttempts) {
      on_done(failed({ErrorCode::unavailable, change.kind + "/" + change.name,
                      "nothing was changed: the object API does not answer"}));
      return;
    }
    write(change, attempt + 1, on_done);
  });
}

void CommandExecutor::report_conflict(const Change& change, OnDone on_done) {
  store_.read(change.kind, change.name, [=](const ObjectReadResult& read) {
    std::string current_state = "it cannot be read now";
    if (read.answered && !read.exists) current_state = "it does not exist now";
    if (read.exists) {
      current_state = "version " + std::to_string(read.object.version) + " was written" +
                      author_of(read.object.value) + ": " + read.object.value.dump();
    }
    on_done(
        failed({ErrorCode::conflict, change.kind + "/" + change.name,
                "expected version " + std::to_string(change.expected) + ", but " + current_state}));
  });
}

}  // namespace pumicemast
