/// What goes into the request forwarder, and what it asks its shell to do.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/settings.h"
#include "common/time.h"
#include "fleet/rate_limit.h"
#include "gateway/quarantine/request_fingerprint.h"

namespace pumicemast {

/// Identifies a request within one gateway.
using RequestNumber = std::uint64_t;

/// What a caller's request says of itself.
struct RequestFacts {
  std::string id;  ///< The caller's own, for logs.
  std::string host;
  std::string target;
  RequestFingerprint content;             ///< Of what it asks for.
  std::string api_key;                    ///< Empty when there is none.
  Duration time_left = Duration::zero();  ///< How long the caller waits; zero: it did not say.
  std::string model;
  double prompt_tokens = 0;
  double answer_tokens = 0;  ///< As the caller expects; 0: it did not say.
};

/// How a back end's answer begins, as the translator of its protocol reads it.
struct ResponseFacts {
  int status = 0;
  bool not_run = false;   ///< It says that it did not run the request and never will.
  bool replaced = false;  ///< Another incarnation has the address.
  bool success = false;
  ResponseRateLimit rate_limit;
};

enum class RefusalReason {
  no_configuration,
  no_route,
  no_key,
  no_capacity,
  rate_limited,     ///< Back ends name limits, of which nothing is left for now.
  no_backend,       ///< No back end of the service may take it.
  weights_stale,    ///< Only back ends with older weights than allowed are there.
  backend_refused,  ///< Back ends declined it.
  backend_failed,   ///< It may have run; its answer was lost or spoilt.
  deadline_passed,
  stopping,
  quarantined,  ///< Back ends have ended when they ran it.
};
const char* to_string(RefusalReason reason);

enum class AttemptFailure {
  not_sent,
  cut_off,
  malformed,
};

// ---- actions, to be carried out in order ----
struct SendToBackend {
  RequestNumber request = 0;
  std::string backend;
  Address address;
  Duration time_left = Duration::zero();
  std::uint64_t expected_version = 0;  ///< 0: whichever it serves.
  std::string resume_after;            ///< Id of the last event the caller has; or empty.
  std::string tenant;                  ///< Empty when the request has none.
  /// Connections to this back end that may rest here between requests.
  std::size_t resting_connections = 0;
};
/// The caller left, or the attempt is given up: the back end is to stop.
struct CancelAttempt {
  RequestNumber request = 0;
};
/// An answer broke off: does a process still listen there?
struct ProbeBackend {
  std::string backend;
  Address address;
};
/// Begins the answer with the head that the back end gave to this attempt.
struct BeginAnswer {
  RequestNumber request = 0;
  std::optional<std::size_t> length;  ///< Chunked when empty.
};
struct RelayBytes {
  RequestNumber request = 0;
  std::string bytes;
};
struct EndAnswer {
  RequestNumber request = 0;
};
struct RefuseCaller {
  RequestNumber request = 0;
  int status = 0;
  RefusalReason reason = RefusalReason::no_capacity;
  Duration retry_after = Duration::zero();  ///< Zero: nothing is said.
};
/// The answer can't be completed: the caller must see it fail.
struct CutAnswer {
  RequestNumber request = 0;
  RefusalReason reason = RefusalReason::backend_failed;
};
using ForwarderAction = std::variant<SendToBackend, CancelAttempt, ProbeBackend, BeginAnswer,
                                     RelayBytes, EndAnswer, RefuseCaller, CutAnswer>;
using ForwarderActions = std::vector<ForwarderAction>;

}  // namespace pumicemast
