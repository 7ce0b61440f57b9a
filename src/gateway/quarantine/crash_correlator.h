/// Finds the requests that were running on a back end when its process exited.
///
/// A decision core: no I/O. A broken connection alone is weak evidence: a link failure, a drain or
/// a fault in one response break it as well. It counts as a crash only if the exit of the process
/// is reported within a short time. For an engine, the report comes from the agent on its machine,
/// which keeps running when only the engine exits; a machine that lost power or its network sends
/// none. Plain services have no agent: there a refused connection shows that the process exited.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "common/time.h"
#include "fleet/backend_record.h"
#include "gateway/quarantine/crash_suspect.h"
#include "gateway/quarantine/prompt_part.h"
#include "gateway/quarantine/request_fingerprint.h"

namespace pumicemast {

/// The exit of a back end's process while these requests were running there.
struct BackendCrash {
  BackendIncarnation backend;
  TimePoint at{};
  std::vector<RequestFingerprint> requests;
  /// Several back ends exited at about the same time, possibly for a common cause.
  bool in_burst = false;
  SuspectedParts prompt_parts = {};  ///< Shared parts of these requests' prompts, each once.
};

class CrashCorrelator {
 public:
  /// An attempt of a request ended before its response was complete.
  /// @param prompt_parts  the shared parts of the request's prompt.
  void on_response_interrupted(const BackendIncarnation& backend, const RequestFingerprint& request,
                               TimePoint now, const PromptParts& prompt_parts = {});
  /// The back end's process exited, with or without requests running.
  void on_process_exit(const std::string& backend, TimePoint now);
  /// Whether the back end's process exited a short time ago, but not before `since`.
  bool exited_since(const std::string& backend, TimePoint since, TimePoint now) const;
  /// Returns the crashes found since the last call, and again those taken before that have turned
  /// out to be part of a burst.
  std::vector<BackendCrash> take_crashes(TimePoint now);
  /// Whether a report that a back end exited under the suspect may still arrive.
  bool awaits_confirmation(const CrashSuspect& suspect, TimePoint now) const;
  /// Drops interrupted responses that were not confirmed in time. Call periodically.
  void sweep(TimePoint now);

 private:
  struct InterruptedResponse {
    BackendIncarnation backend;
    RequestFingerprint request;
    TimePoint at{};
    PromptParts prompt_parts;

    bool concerns(const CrashSuspect& suspect) const;
  };

  bool exited_recently(const std::string& backend, TimePoint now) const;
  bool in_burst(TimePoint at) const;

  std::map<std::string, std::vector<InterruptedResponse>>
      interrupted_;                            ///< By id; no exit reported yet.
  std::map<std::string, TimePoint> exited_;    ///< Recent exits, by id.
  std::vector<BackendCrash> unreported_;       ///< Not taken yet.
  std::vector<BackendCrash> taken_as_single_;  ///< Recently, not in a burst.
};

}  // namespace pumicemast
