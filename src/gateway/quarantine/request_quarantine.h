/// Decides which requests are run no more, because back ends end when they run them.
///
/// A decision core: no I/O. Each gateway keeps what it and the others have seen: under which
/// requests a back end ended, and which of these ended well elsewhere. What is kept only grows by
/// union, so that gateways that hear of the same in any order come to the same verdict.
///
/// Invariants:
/// - a request is in quarantine only after `ends_to_convict` different ends of back ends under it,
///   none of them followed by an answer to it that was whole;
/// - no end of a machine, link or agent counts, only that of a back end's process alone;
/// - an end in a crowd counts only for a request that was under another one of the crowd: what has
///   ended all of them at a moment (a bad rollout, an operator) was not a request that one ran;
/// - of a gateway that has only begun to see whole answers no end in a crowd counts: it can't know
///   yet which requests end well, and one that many callers send is under every end of the crowd;
/// - a request that ended well a moment before is no suspect: one that many callers send at a time
///   is under way at each back end, and so under every end;
/// - memory is bounded, however many requests end back ends.
///
/// Why three ends: a back end that ends breaks off all that it runs, and most of that is innocent.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "common/recent_set.h"
#include "common/time.h"
#include "gateway/quarantine/crash_correlator.h"
#include "gateway/quarantine/crash_update.h"
#include "gateway/quarantine/request_fingerprint.h"

namespace pumicemast {

struct QuarantineOptions {
  std::size_t crash_threshold = 3;
  /// From the third end on, and twice as long with each further one. Then the request is run again,
  /// and one more end convicts again: one that is sent all day costs a few engines, and a wrong
  /// verdict heals by itself.
  Duration hold = seconds(600);
  /// Requests that are kept; about 200 bytes each. When there are more, those with the fewest ends
  /// are forgotten first, of these the oldest.
  std::size_t capacity = 4096;
};

/// A request in quarantine, for operators.
struct QuarantinedRequest {
  RequestFingerprint request;
  std::size_t crashes = 0;
  Duration held_for = Duration::zero();  ///< From now on.
};

class RequestQuarantine {
 public:
  /// @param started  of this process; the least time: it has learnt what ends well.
  explicit RequestQuarantine(QuarantineOptions options = {}, TimePoint started = TimePoint::min());

  /// Seen by this gateway.
  void on_crash(const BackendCrash& crash);
  /// An answer to the request was whole.
  void on_completed(const RequestFingerprint& request, TimePoint now);
  /// Told by another gateway; what is new is told on.
  /// @return whether anything was.
  bool on_update(const CrashUpdate& update, TimePoint now);

  /// Ends of back ends under the request that speak against it.
  std::size_t crash_count(const RequestFingerprint& request) const;
  bool quarantined(const RequestFingerprint& request, TimePoint now) const;
  std::vector<QuarantinedRequest> list(TimePoint now) const;
  /// Requests that no verdict holds for: operators know better. The evidence is kept.
  void set_pardoned(std::set<RequestFingerprint> requests) { pardoned_ = std::move(requests); }
  void set_hold(Duration hold) { options_.hold = hold; }
  std::size_t crash_threshold() const { return options_.crash_threshold; }

  /// What has come since the last call, for other gateways.
  CrashUpdate take_update(TimePoint now) { return updates_.take(now); }
  /// Requests whose quarantine has begun since the last call.
  std::vector<RequestFingerprint> take_newly_quarantined();
  /// What a gateway that knows nothing is to be told: the evidence of the verdicts, of the newest
  /// where there are many.
  CrashUpdate verdicts(TimePoint now) const;
  /// Differs where the verdicts do.
  std::uint64_t verdict_digest(TimePoint now) const;
  /// Forgets what has no weight any more. Call now and then.
  void sweep(TimePoint now);

 private:
  struct RecordedCrash {
    CrashEvent event;
    bool discounted = false;  ///< A whole answer came later: it does not count.
  };
  struct Record {
    std::vector<RecordedCrash> crashes;  ///< In the order in which they became known.
    /// Like the ends, it may lie before the clock of this machine began.
    std::optional<TimePoint> completed_at;
    /// Ends that no whole answer came after, and that are not one of a crowd's by themselves.
    std::size_t counted_crashes() const;
    /// Of all that is known.
    TimePoint last_event_at() const;
  };

  /// @return whether it was not known before.
  bool add_crash(const RequestFingerprint& request, const CrashEvent& event);
  /// @return whether an end counted until now.
  bool discount_crashes(const RequestFingerprint& request, TimePoint at);
  bool over_threshold(const Record& record, TimePoint now) const;
  /// From the last end on.
  Duration hold_duration(const Record& record) const;
  void make_room();

  QuarantineOptions options_;
  TimePoint started_;
  /// From then on this process knows what ends well; none while it has not seen a whole answer.
  std::optional<TimePoint> warmed_up_at_;
  std::map<RequestFingerprint, Record> records_;
  std::set<RequestFingerprint> pardoned_;
  /// Requests that this gateway has seen to end well.
  RecentSet<RequestFingerprint, RequestFingerprintHash> recently_completed_;
  CrashUpdateQueue updates_;
  std::vector<RequestFingerprint> newly_quarantined_;
};

}  // namespace pumicemast
