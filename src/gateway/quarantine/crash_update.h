/// What gateways tell each other of requests under which back ends end.
///
/// A decision core: no I/O.
#pragma once

#include <cstdint>
#include <vector>

#include "common/time.h"
#include "gateway/quarantine/request_fingerprint.h"
#include "limits/token_bucket.h"

namespace pumicemast {

/// The end of a back end's process.
struct CrashEvent {
  std::uint64_t backend = 0;  ///< A hash of its life: no two crashes have the same.
  TimePoint at{};
  bool in_burst = false;  ///< One of several at that moment.
  /// Seen by a gateway that did not know yet which requests end well.
  bool observer_warming_up = false;
};

/// An end of a back end, as one gateway tells another.
struct ReportedCrash {
  std::uint64_t backend = 0;  ///< As in CrashEvent.
  Duration age = Duration::zero();
  std::vector<RequestFingerprint> requests;
  bool in_burst = false;             ///< As in CrashEvent.
  bool observer_warming_up = false;  ///< As in CrashEvent.
};

/// A suspect's answer that was whole: its back end did not end.
struct ReportedCompletion {
  RequestFingerprint request;
  Duration age = Duration::zero();
};

/// One message.
struct CrashUpdate {
  std::vector<ReportedCrash> crashes;
  std::vector<ReportedCompletion> completions;
  bool empty() const { return crashes.empty() && completions.empty(); }
};

/// Gathers what is new, and bounds what of it is told in a second.
class CrashUpdateQueue {
 public:
  CrashUpdateQueue();

  /// @param ends_known  under the request: the more, the sooner it is told.
  void add_crash(const RequestFingerprint& request, const CrashEvent& event,
                 std::size_t known_crashes);
  void add_completion(const RequestFingerprint& request, TimePoint at);
  /// What is to be told now; empty while the bound is reached. The rest waits.
  CrashUpdate take(TimePoint now);

 private:
  struct QueuedCrash {
    RequestFingerprint request;
    CrashEvent event;
    std::size_t known_crashes = 0;
  };
  struct QueuedCompletion {
    RequestFingerprint request;
    TimePoint at{};
  };

  std::vector<QueuedCrash> crashes_;
  std::vector<QueuedCompletion> completions_;
  TokenBucket bucket_;
};

}  // namespace pumicemast
