/// Crash updates: what gateways tell each other about requests that were running when back ends
/// crashed, and about shared parts of their prompts.
///
/// A decision core: no I/O.
#pragma once

#include <cstdint>
#include <vector>

#include "common/time.h"
#include "gateway/quarantine/crash_suspect.h"
#include "limits/token_bucket.h"

namespace pumicemast {

/// The exit of a back end's process while requests were running there.
struct CrashEvent {
  std::uint64_t backend = 0;  ///< Hash of the back end's incarnation, unique for each crash.
  TimePoint at{};
  bool in_burst = false;  ///< Several back ends exited at about the same time.
  /// The observing gateway did not know yet which requests complete.
  bool observer_warming_up = false;
  std::uint64_t carrier = 0;  ///< Of a shared part, as in SuspectedPart.
};

/// A crash, as one gateway reports it to another.
struct ReportedCrash {
  std::uint64_t backend = 0;  ///< As in CrashEvent.
  Duration age = Duration::zero();
  std::vector<RequestFingerprint> requests;  ///< Or shared parts, depending on `kind`.
  bool in_burst = false;                     ///< As in CrashEvent.
  bool observer_warming_up = false;          ///< As in CrashEvent.
  SuspectKind kind = SuspectKind::request;
  std::vector<std::uint64_t> carriers = {};  ///< Of each of these parts; empty for requests.
};

/// A complete response to a suspect with recorded crashes: this time the back end survived it.
struct ReportedCompletion {
  CrashSuspect suspect;
  Duration age = Duration::zero();
};

/// One message between gateways.
struct CrashUpdate {
  std::vector<ReportedCrash> crashes;
  std::vector<ReportedCompletion> completions;
  bool empty() const { return crashes.empty() && completions.empty(); }
};

/// Queues new crashes and completions for other gateways, and limits the rate at which they are
/// sent.
class CrashUpdateQueue {
 public:
  CrashUpdateQueue();

  /// @param known_crashes  number of crashes recorded for the suspect; entries with more are sent
  ///                       first.
  void add_crash(const CrashSuspect& suspect, const CrashEvent& event, std::size_t known_crashes);
  void add_completion(const CrashSuspect& suspect, TimePoint at);
  /// Returns the entries to be sent now; empty when the rate limit is reached. The rest stays
  /// queued.
  CrashUpdate take(TimePoint now);

 private:
  struct QueuedCrash {
    CrashSuspect suspect;
    CrashEvent event;
    std::size_t known_crashes = 0;
  };
  struct QueuedCompletion {
    CrashSuspect suspect;
    TimePoint at{};
  };

  std::vector<QueuedCrash> crashes_;
  std::vector<QueuedCompletion> completions_;
  TokenBucket bucket_;
};

}  // namespace pumicemast
