/// Decides which requests are no longer run because they crash back ends.
///
/// A decision core: no I/O. Each gateway records what it and the others have observed: which
/// requests were running when a back end crashed, and which of them completed elsewhere. The same
/// is recorded of the shared parts of their prompts, because requests that differ may crash back
/// ends by what they share. Records are merged by union only, so that gateways that receive the
/// same observations in any order reach the same verdict.
///
/// Invariants:
/// - a request is quarantined only after `crash_threshold` different crashes while it, or a request
///   with the same suspected part, was running, none of them followed by a complete response;
/// - only the exit of a back end's process counts, not the failure of a machine, link or agent;
/// - a crash in a burst counts only for a request that was also running in another crash of that
///   burst: a common cause (a bad rollout, an operator) is not a request that only one of them ran;
/// - a crash in a burst does not count if the observing gateway is still warming up: it can't know
///   yet which requests complete, and a request that many callers send is running in each crash;
/// - crashes shortly after a complete response to a request are not attributed to it: a request
///   that many callers send is in flight at every back end, and so running in every crash;
/// - a crash does not count against a part if the observing gateway has not seen for some time
///   which parts complete, or if any gateway has seen the part complete shortly before: a part that
///   most requests share is running in most crashes;
/// - only crashes under different requests count against a part, and those of a burst as one: a
///   request that is repeated while back ends crash around it, or a common cause, is no evidence
///   against what others share with it;
/// - memory is bounded, however many requests crash back ends.
///
/// The threshold is three because a crash interrupts all requests that a back end is running, most
/// of which did not cause it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "common/recent_set.h"
#include "common/time.h"
#include "gateway/quarantine/crash_correlator.h"
#include "gateway/quarantine/crash_suspect.h"
#include "gateway/quarantine/crash_update.h"
#include "gateway/quarantine/observer_knowledge.h"
#include "gateway/quarantine/request_fingerprint.h"

namespace pumicemast {

struct QuarantineOptions {
  std::size_t crash_threshold = 3;
  /// Duration of the quarantine that starts when the threshold is reached; doubled with each
  /// further crash. After it the request is run again, and one more crash starts the quarantine
  /// anew. A request that is sent all day therefore crashes only a few engines, and a wrong verdict
  /// expires.
  Duration hold = seconds(600);
  /// Maximum number of recorded requests, at about 200 bytes each. Beyond it, the request with the
  /// fewest counted crashes is evicted, among equals the oldest.
  std::size_t capacity = 4096;
};

/// A quarantined request or part, as listed for operators.
struct QuarantinedSuspect {
  CrashSuspect suspect;
  std::size_t crashes = 0;
  Duration held_for = Duration::zero();  ///< Remaining time of the quarantine.
};

class RequestQuarantine {
 public:
  /// @param started  start of this process; TimePoint::min() skips the warm-up.
  explicit RequestQuarantine(QuarantineOptions options = {}, TimePoint started = TimePoint::min());

  /// Handles a crash that this gateway observed.
  void on_crash(const BackendCrash& crash);
  /// A request with these properties got a complete response through this gateway.
  void on_completed(const CrashSuspects& suspects, TimePoint now);
  void on_completed(const CrashSuspect& suspect, TimePoint now);
  /// Merges an update from another gateway; whatever is new is queued for other gateways.
  /// @return whether anything was new.
  bool on_update(const CrashUpdate& update, TimePoint now);

  /// Number of crashes that count against the suspect.
  std::size_t crash_count(const CrashSuspect& suspect) const;
  bool quarantined(const CrashSuspect& suspect, TimePoint now) const;
  /// The first of these that is in quarantine; null if none is.
  const CrashSuspect* first_quarantined(const CrashSuspects& suspects, TimePoint now) const;
  std::vector<QuarantinedSuspect> list(TimePoint now) const;
  /// Sets the requests and parts that operators have exempted from quarantine. Their evidence is
  /// kept.
  void set_pardoned(std::set<RequestFingerprint> requests) { pardoned_ = std::move(requests); }
  void set_hold(Duration hold) { options_.hold = hold; }
  std::size_t crash_threshold() const { return options_.crash_threshold; }

  /// Returns what is to be sent to other gateways now.
  CrashUpdate take_update(TimePoint now) { return updates_.take(now); }
  /// Returns the suspects whose quarantine has started since the last call.
  CrashSuspects take_newly_quarantined();
  /// Returns the evidence for the verdicts, for a gateway that has none; limited to the newest.
  CrashUpdate verdicts(TimePoint now) const;
  /// Digest of the suspects over the threshold, including exempted ones, so that gateways with
  /// different settings agree on it. Differing digests show differing verdicts.
  std::uint64_t verdict_digest(TimePoint now) const;
  /// Drops records that no longer affect a verdict. Call periodically.
  void sweep(TimePoint now);

 private:
  struct RecordedCrash {
    CrashEvent event;
    bool discounted = false;  ///< Does not count: a complete response followed.
  };
  struct Record {
    std::vector<RecordedCrash> crashes;  ///< In the order in which they became known.
    /// Time of the last complete response. Like the times of crashes, it may be before the start of
    /// this machine's clock.
    std::optional<TimePoint> completed_at;
    SuspectKind kind = SuspectKind::request;
    /// Number of crashes that count against the suspect.
    std::size_t counted_crashes() const;
    /// Number of crashes that are not discounted and not single crashes of a burst.
    std::size_t counted_request_crashes() const;
    /// Number of such crashes under different requests; those of one burst count as one.
    std::size_t counted_part_crashes() const;
    /// Time of the last recorded crash or completion.
    TimePoint last_event_at() const;
  };

  /// @return whether the crash, or something about it, was not known before.
  bool add_crash(const CrashSuspect& suspect, const CrashEvent& event);
  void record_crash(const CrashSuspect& suspect, CrashEvent event);
  /// Discounts the crashes until `at`, when a response to the suspect was complete.
  /// @return whether any crash was newly discounted.
  bool discount_crashes(const CrashSuspect& suspect, TimePoint at);
  using CompletedSuspects = RecentSet<CrashSuspect, CrashSuspectHash>;
  CompletedSuspects& recently_completed(SuspectKind kind);
  Record& record_of(const CrashSuspect& suspect);
  bool over_threshold(const Record& record, TimePoint now) const;
  /// Duration of the quarantine, counted from last_event_at().
  Duration hold_duration(const Record& record) const;
  void make_room();

  QuarantineOptions options_;
  ObserverKnowledge request_knowledge_;
  ObserverKnowledge part_knowledge_;
  std::map<CrashSuspect, Record> records_;
  std::set<RequestFingerprint> pardoned_;
  /// Suspects with a recent complete response through this gateway. Apart from each other, so that
  /// requests with many parts do not displace requests.
  CompletedSuspects recently_completed_requests_;
  CompletedSuspects recently_completed_parts_;
  CrashUpdateQueue updates_;
  CrashSuspects newly_quarantined_;
};

}  // namespace pumicemast
