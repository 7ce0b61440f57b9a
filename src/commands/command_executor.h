/// Executes commands: queries against the entry's view, changes as conditional writes through
/// the object API.
#pragma once

#include <functional>
#include <string>

#include "commands/command.h"
#include "commands/query.h"
#include "configuration/object_store.h"

namespace pumicemast {

/// Outcome of a command.
struct CommandResult {
  bool ok = false;
  Error error;                ///< Set if `ok` is false.
  Table table;                ///< Result of a query.
  std::string text;           ///< One line that describes a change.
  ObjectVersion version = 0;  ///< New version of the changed object.
};

class CommandExecutor {
 public:
  using OnDone = std::function<void(const CommandResult&)>;

  /// @param view  called for each command; the view is used only during the command's start.
  CommandExecutor(ObjectStore& store, std::function<QueryView()> view);

  /// Parses and runs a command. Calls `on_done` exactly once.
  /// @param user  operator who issued the command; reported to others on a conflict.
  void run(const std::vector<std::string>& words, const std::string& user, OnDone on_done);

 private:
  /// A conditional write and the text that reports its success.
  struct Change {
    std::string kind;
    std::string name;
    nlohmann::json value;
    bool deletion = false;
    ObjectVersion expected = 0;
    std::string success_text;
  };

  leaf::result<Change> plan(const Command& command, const std::string& user,
                            const QueryView& view) const;
  leaf::result<Change> plan_body(const CreateVersionCommand& body, const std::string& user,
                                 const QueryView& view) const;
  leaf::result<Change> plan_body(const CreateRolloutCommand& body, const std::string& user,
                                 const QueryView& view) const;
  leaf::result<Change> plan_body(const ControlRolloutCommand& body, const std::string& user,
                                 const QueryView& view) const;
  leaf::result<Change> plan_body(const SetTargetCommand& body, const std::string& user,
                                 const QueryView& view) const;
  leaf::result<Change> plan_body(const SetRouteCommand& body, const std::string& user,
                                 const QueryView& view) const;
  leaf::result<Change> plan_body(const SetTenantCommand& body, const std::string& user,
                                 const QueryView& view) const;
  leaf::result<Change> plan_body(const DeleteCommand& body, const std::string& user,
                                 const QueryView& view) const;
  leaf::result<Change> plan_body(const PlanStopCommand& body, const std::string& user,
                                 const QueryView& view) const;
  leaf::result<Change> plan_body(const CancelStopCommand& body, const std::string& user,
                                 const QueryView& view) const;
  leaf::result<Change> plan_body(const ShowCommand& body, const std::string& user,
                                 const QueryView& view) const;
  leaf::result<Change> plan_body(const ExplainCommand& body, const std::string& user,
                                 const QueryView& view) const;

  void write(const Change& change, int attempt, OnDone on_done);
  void resolve_unknown_outcome(const Change& change, int attempt, OnDone on_done);
  void report_conflict(const Change& change, OnDone on_done);

  ObjectStore& store_;
  std::function<QueryView()> view_;
};

}  // namespace pumicemast
