/// Inputs of the request forwarder, and the actions that it asks its shell to perform.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/settings.h"
#include "common/time.h"
#include "fleet/backend_notice.h"
#include "fleet/rate_limit.h"
#include "gateway/quarantine/request_fingerprint.h"
#include "scheduling/slot_messages.h"

namespace pumicemast {

inline constexpr int kStatusUnavailable = 503;

/// Identifies a request within one gateway.
using RequestNumber = std::uint64_t;

/// Properties of a request, as its headers and body state them.
struct RequestMetadata {
  std::string id;  ///< Assigned by the caller; used in logs.
  std::string host;
  std::string target;
  RequestFingerprint content;             ///< Fingerprint of method, host, target and body.
  std::string api_key;                    ///< Empty when there is none.
  Duration time_left = Duration::zero();  ///< Until the caller times out; zero when not stated.
  std::string model;
  double prompt_tokens = 0;
  double answer_tokens = 0;  ///< Output length expected by the caller; 0 when not stated.
  std::vector<std::string> shared_prompt_parts;  ///< Ids of the parts that it shares with others.
  bool prompt_parts_readable = true;             ///< False if its list of parts is not valid.
  bool body_refused = false;  ///< There is no memory for its body, which was not received.
};

/// Properties of a response head, as decoded by the protocol translator.
struct ResponseMetadata {
  int status = 0;
  bool not_run = false;   ///< States that the back end did not and never will run the request.
  bool replaced = false;  ///< Another incarnation of the back end is using the address.
  bool success = false;
  ResponseRateLimit rate_limit;
  BackendNotice notice;
};

enum class RefusalReason {
  no_configuration,
  no_route,
  no_key,
  no_capacity,
  more_urgent_first,  ///< More urgent requests take the slots that it could have had.
  tenant_over_share,  ///< Its tenant takes more than its share of the slots.
  rate_limited,       ///< The rate limits stated by back ends are used up for now.
  backend_cold,       ///< The back ends that could run it are cold and bear no more for now.
  no_backend,         ///< The service has no usable back end.
  weights_stale,      ///< No back end has weights as new as required.
  backend_refused,    ///< The back ends tried refused it.
  backend_failed,     ///< It may have run; its response was lost or invalid.
  deadline_passed,
  stopping,
  quarantined,         ///< Back ends have crashed while running it.
  region_not_allowed,  ///< No back end is in a region where it may run.
  backends_paused,     ///< All back ends that could run it have asked for a pause.
  zone_evacuated,      ///< All back ends where it may run are in evacuated zones.
  memory,              ///< The gateway holds too much to receive its body.
  slow_reader,         ///< Its caller reads the response too slowly.
};
const char* to_string(RefusalReason reason);

enum class AttemptFailure {
  not_sent,
  connection_lost,
  malformed,
  truncated,  ///< The connection was closed in an orderly way before the end of the response.
};

// ---- actions, to be performed in order ----
struct SendToBackend {
  RequestNumber request = 0;
  std::string backend;
  Address address;
  Duration time_left = Duration::zero();
  std::uint64_t expected_version = 0;  ///< Required weight version; 0 for any.
  std::string resume_after;            ///< Id of the last event sent to the caller; or empty.
  std::string tenant;                  ///< Empty when the request has none.
  /// Priority for the engine's own queue, 0 first; empty when its service has no order by priority.
  std::optional<int> priority;
  /// Limit of idle connections to this back end that this gateway may keep open.
  std::size_t max_idle_connections = 0;
};
/// Cancels the attempt, because the caller disconnected or the forwarder gave the attempt up.
struct CancelAttempt {
  RequestNumber request = 0;
};
/// Checks whether a process still listens at the address after a response broke off.
struct ProbeBackend {
  std::string backend;
  Address address;
};
/// Starts the response with the head received from the back end in this attempt.
struct BeginResponse {
  RequestNumber request = 0;
  std::optional<std::size_t> length;  ///< Content length; chunked encoding when empty.
};
struct RelayBody {
  RequestNumber request = 0;
  std::string bytes;
};
struct EndResponse {
  RequestNumber request = 0;
};
struct SendRefusal {
  RequestNumber request = 0;
  int status = 0;
  RefusalReason reason = RefusalReason::no_capacity;
  Duration retry_after = Duration::zero();  ///< Zero: no retry time is stated.
};
/// Closes the caller's connection, so that an incomplete response is seen as failed.
struct AbortResponse {
  RequestNumber request = 0;
  RefusalReason reason = RefusalReason::backend_failed;
};
/// Queues a waiting request for a slot of an engine.
struct QueueForSlot {
  Address engine;
  SlotRequest request;  ///< Its number is that of the request.
};
/// Takes a request out of the queue of an engine; a slot that was granted to it is free again.
struct LeaveSlotQueue {
  Address engine;
  RequestNumber request = 0;
};
using ForwarderAction =
    std::variant<SendToBackend, CancelAttempt, ProbeBackend, BeginResponse, RelayBody, EndResponse,
                 SendRefusal, AbortResponse, QueueForSlot, LeaveSlotQueue>;
using ForwarderActions = std::vector<ForwarderAction>;

}  // namespace pumicemast
