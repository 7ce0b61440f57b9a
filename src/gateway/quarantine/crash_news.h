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
struct BackendEnd {
  std::uint64_t backend = 0;  ///< A hash of its life: no two ends have the same.
  TimePoint at{};
  bool in_crowd = false;  ///< One of several at that moment.
  /// Seen by a gateway that did not know yet which requests end well.
  bool by_newcomer = false;
};

/// An end of a back end, as one gateway tells another.
struct ToldCrash {
  std::uint64_t backend = 0;  ///< As in BackendEnd.
  Duration age = Duration::zero();
  std::vector<RequestFingerprint> requests;
  bool in_crowd = false;     ///< As in BackendEnd.
  bool by_newcomer = false;  ///< As in BackendEnd.
};

/// A suspect's answer that was whole: its back end did not end.
struct ToldAcquittal {
  RequestFingerprint request;
  Duration age = Duration::zero();
};

/// One message.
struct CrashNews {
  std::vector<ToldCrash> crashes;
  std::vector<ToldAcquittal> acquittals;
  bool empty() const { return crashes.empty() && acquittals.empty(); }
};

/// Gathers what is new, and bounds what of it is told in a second.
class CrashNewsQueue {
 public:
  CrashNewsQueue();

  /// @param ends_known  under the request: the more, the sooner it is told.
  void add_end(const RequestFingerprint& request, const BackendEnd& end, std::size_t ends_known);
  void add_acquittal(const RequestFingerprint& request, TimePoint at);
  /// What is to be told now; empty while the bound is reached. The rest waits.
  CrashNews take(TimePoint now);

 private:
  struct NewEnd {
    RequestFingerprint request;
    BackendEnd end;
    std::size_t ends_known = 0;
  };
  struct NewAcquittal {
    RequestFingerprint request;
    TimePoint at{};
  };

  std::vector<NewEnd> ends_;
  std::vector<NewAcquittal> acquittals_;
  TokenBucket bound_;
};

}  // namespace pumicemast
