/// The operators' query and command language: typed commands and their parser.
///
///   show SUBJECT [where FIELD=VALUE [and FIELD=VALUE]...]
///   explain MODEL MACHINE
///   create version MODEL VERSION digest=D bytes=N chunks=N
///   create rollout MODEL VERSION [objective=time|origin_bytes] [max_unavailable=N]
///                  [priority=N]
///   pause|resume|abort|rollback rollout MODEL
///   set target MODEL replicas=N [floor=N]
///   set route NAME path=/PREFIX service=SERVICE  |  set route NAME alias=ALIAS model=MODEL
///   set tenant NAME [rate=R] [burst=B] [in_flight=N] [priority=P]
///   delete target|route|tenant|version NAME
///   plan stop MACHINE [force=true]
///   cancel stop MACHINE
/// Every command that changes an object accepts expect=VERSION, the version that the object must
/// have. The default is the version that the entry running the command sees.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/error.h"
#include "configuration/objects.h"

namespace pumicemast {

enum class ShowSubject {
  versions,
  rollouts,
  targets,
  routes,
  tenants,
  stops,
  machines,
  replicas,
  status,
};

struct FieldCondition {
  std::string field;
  std::string value;
};

struct ShowCommand {
  ShowSubject subject = ShowSubject::status;
  std::vector<FieldCondition> conditions;
};
struct ExplainCommand {
  std::string model;
  std::string machine;
};
struct CreateVersionCommand {
  ModelVersion version;
};
struct CreateRolloutCommand {
  std::string model;
  std::string version;
  RolloutObjective objective = RolloutObjective::time;
  std::optional<std::uint32_t> max_unavailable;
  int priority = 0;
};
enum class RolloutOperation { pause, resume, abort, rollback };
struct ControlRolloutCommand {
  RolloutOperation operation = RolloutOperation::pause;
  std::string model;
};
struct SetTargetCommand {
  ReplicaTarget target;
};
struct SetRouteCommand {
  Route route;
};
struct SetTenantCommand {
  Tenant tenant;
};
struct DeleteCommand {
  std::string kind;  ///< Kind of the object, such as "route".
  std::string name;
};
struct PlanStopCommand {
  std::string machine;
  bool force = false;
};
struct CancelStopCommand {
  std::string machine;
};

using CommandBody =
    std::variant<ShowCommand, ExplainCommand, CreateVersionCommand, CreateRolloutCommand,
                 ControlRolloutCommand, SetTargetCommand, SetRouteCommand, SetTenantCommand,
                 DeleteCommand, PlanStopCommand, CancelStopCommand>;

struct Command {
  CommandBody body;
  std::optional<ObjectVersion> expect;
};

/// Parses the words of one command. Fails with invalid_argument; the error states the word and
/// what was expected instead.
leaf::result<Command> parse_command(const std::vector<std::string>& words);

/// @return whether `command` only reads, so that it is safe to repeat.
bool is_query(const Command& command);

}  // namespace pumicemast
