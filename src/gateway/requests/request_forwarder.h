/// Carries each caller's request from its arrival to its one final answer.
///
/// A decision core: no I/O. It authorizes, routes, admits or refuses, sends to a back end,
/// sends again or resumes what failed, and keeps every deadline. What time alone brings about is in
/// request_forwarder_time.cpp.
///
/// Invariants:
/// - each request gets exactly one final action (EndAnswer, RefuseCaller, CutAnswer),
///   unless its caller has left;
/// - a refusal says "not run" only when no back end may have run the request, or ever will;
/// - a request that may not be repeated is sent again only after proof that it did not run;
/// - a request in quarantine is sent nowhere, and taken back where it has not begun;
/// - a resumed stream continues after the last whole event that the caller was sent.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "admission/overload_detector.h"
#include "common/time.h"
#include "gateway/backends/backend_pool.h"
#include "gateway/backends/weight_targets.h"
#include "gateway/quarantine/crash_witness.h"
#include "gateway/quarantine/request_quarantine.h"
#include "gateway/requests/answer_relay.h"
#include "gateway/requests/attempt_watch.h"
#include "gateway/requests/forwarder_actions.h"
#include "gateway/requests/forwarder_options.h"
#include "gateway/requests/request_authorizer.h"
#include "gateway/requests/request_planner.h"
#include "gateway/requests/request_session.h"
#include "gateway/requests/retry_budgets.h"

namespace pumicemast {

struct ForwarderCounters {
  std::uint64_t requests = 0;
  std::uint64_t engine_first_attempts = 0;  ///< By callers that were not refused before.
  std::uint64_t returning = 0;              ///< Requests whose callers were held to come back.
  std::uint64_t told_to_return = 0;         ///< Refused, with the time after which to come back.
  std::uint64_t sends = 0;
  std::uint64_t limited_sends = 0;  ///< To back ends that name a limit.
  std::uint64_t repeats = 0;
  std::uint64_t resumes = 0;
  std::uint64_t refused_by_backend = 0;
  std::uint64_t budget_exhausted = 0;
  std::uint64_t taken_back = 0;
  std::uint64_t begun_late = 0;  ///< First tokens from weights that may start nothing any more.
  std::uint64_t yielded = 0;     ///< Refused as returning callers, under overload.
  std::uint64_t finished = 0;
  std::uint64_t refused = 0;
  std::uint64_t aborted = 0;
  std::uint64_t callers_gone = 0;
};

class RequestForwarder {
 public:
  RequestForwarder(BackendPool& pool, const WeightTargets& targets, RequestQuarantine& quarantine,
                   ForwarderOptions options);

  /// The configuration in force; null before the first.
  void set_routes(RouteTablePointer routes) { routes_ = std::move(routes); }
  /// This gateway's part of the retries that all may spend beyond their share of requests.
  void set_retry_allowance(const RetryAllowance& allowance) { retries_.set_allowance(allowance); }
  const RetryBudgets& retries() const { return retries_; }
  /// New requests are refused from now on.
  void set_stopping() { stopping_ = true; }

  void on_request(RequestNumber number, RequestFacts request, TimePoint now,
                  ForwarderActions& actions);
  void on_response_head(RequestNumber number, const ResponseFacts& facts, bool event_stream,
                        TimePoint now);
  void on_response_body(RequestNumber number, std::string_view bytes, TimePoint now,
                        ForwarderActions& actions);
  void on_response_complete(RequestNumber number, TimePoint now, ForwarderActions& actions);
  void on_attempt_failed(RequestNumber number, AttemptFailure failure, TimePoint now,
                         ForwarderActions& actions);
  void on_connected(RequestNumber number);
  /// The process of a back end has ended, whatever ended it.
  void on_backend_ended(const std::string& backend, TimePoint now);
  void on_caller_gone(RequestNumber number, TimePoint now, ForwarderActions& actions);
  /// Room may have appeared.
  void on_capacity(TimePoint now, ForwarderActions& actions);
  /// Keeps deadlines. Call every few hundredths of a second while requests are active.
  void on_tick(TimePoint now, ForwarderActions& actions);

  std::size_t active() const { return sessions_.size(); }
  std::size_t waiting() const { return waiting_.size(); }
  const ForwarderCounters& counters() const { return counters_; }
  /// Passes on to the quarantine under which requests back ends have ended since the last call, and
  /// returns them. Call often.
  std::vector<BackendCrash> take_crashes(TimePoint now);
  /// Forgets what is of no use any more. Call now and then.
  void sweep(TimePoint now) { crash_witness_.sweep(now); }
  /// Requests that ended since the last call.
  std::vector<RequestSummary> take_summaries();

 private:
  using Sessions = std::map<RequestNumber, RequestSession>;
  /// The order in which requests that wait get room: the most urgent first; then those that can
  /// still be answered in time; then in order of arrival.
  struct WaitingRank {
    int priority = 0;
    bool returning = false;
    RequestNumber number = 0;
    auto operator<=>(const WaitingRank&) const = default;
  };
  static WaitingRank rank_of(RequestNumber number, const RequestSession& session) {
    return {session.priority, session.returning, number};
  }

  /// Turns away what was sent nowhere; who may succeed later is told when to come back.
  void refuse_unsent(RequestNumber number, RequestSession& session, const RequestRefusal& refusal,
                     TimePoint now, ForwarderActions& actions);
  /// Whether a caller that comes back is to leave what room there is to others: it can't be
  /// answered in time any more, they can.
  bool must_yield(const RequestSession& session, TimePoint now) const;
  /// @return whether the session was sent, or is over.
  bool dispatch(RequestNumber number, RequestSession& session, TimePoint now,
                ForwarderActions& actions);
  void send(RequestNumber number, RequestSession& session, const BackendChoice& choice,
            TimePoint now, ForwarderActions& actions);
  void leave_backend(RequestSession& session);
  /// The attempt broke off: did its back end end?
  void note_cut_off(const RequestSession& session, TimePoint now, ForwarderActions& actions);
  /// Whether the request would be in quarantine if its last attempt ended a back end: that shows a
  /// moment later, and another attempt would end one more.
  bool may_end_another(const RequestSession& session, TimePoint now) const;
  /// The first token of an attempt came.
  void note_begin(RequestSession& session, TimePoint now);
  /// Another back end for a request whose last attempt failed, if it may be sent again at all;
  /// a retry of the budget is then spent.
  std::optional<BackendChoice> choose_again(const RequestSession& session, TimePoint now);
  void send_again(RequestNumber number, RequestSession& session, const BackendChoice& choice,
                  TimePoint now, ForwarderActions& actions);
  /// After a failed attempt: sends again, or ends the request.
  void recover(RequestNumber number, RequestSession& session, TimePoint now,
               ForwarderActions& actions);
  void give_up(RequestNumber number, RequestSession& session, RefusalReason reason, TimePoint now,
               ForwarderActions& actions);
  void refuse(RequestNumber number, RequestSession& session, int status, RefusalReason reason,
              Duration retry_after, TimePoint now, ForwarderActions& actions);
  void abort(RequestNumber number, RequestSession& session, RefusalReason reason, TimePoint now,
             ForwarderActions& actions);
  void finish(RequestNumber number, RequestSession& session, TimePoint now,
              ForwarderActions& actions);
  /// Ends what has waited or run for too long; looks after the attempt of what goes on.
  void keep_deadline(RequestNumber number, RequestSession& session, TimePoint now,
                     ForwarderActions& actions);
  /// Why a request that waited found no room.
  RefusalReason reason_at_end(const RequestSession& session, TimePoint now) const;
  void end_at_deadline(RequestNumber number, RequestSession& session, TimePoint now,
                       ForwarderActions& actions);
  void take_back(RequestNumber number, RequestSession& session, TimePoint now,
                 ForwarderActions& actions);
  /// Sends a request elsewhere whose back end is silent, if another one may run it.
  void replace_attempt(RequestNumber number, RequestSession& session, TimePoint now,
                       ForwarderActions& actions);
  /// Ends an attempt of a request that came into quarantine before it had begun there.
  void withdraw(RequestNumber number, RequestSession& session, TimePoint now,
                ForwarderActions& actions);
  void check_attempt(RequestNumber number, RequestSession& session, TimePoint now,
                     ForwarderActions& actions);
  void summarize(const RequestSession& session, const char* outcome, const char* reason, int status,
                 TimePoint now);

  BackendPool& pool_;
  const WeightTargets& targets_;
  RequestQuarantine& quarantine_;
  ForwarderOptions options_;
  RequestPlanner planner_;
  AnswerRelay relay_;
  AttemptWatch watch_;
  RouteTablePointer routes_;
  Sessions sessions_;
  std::set<WaitingRank> waiting_;
  OverloadDetector overload_;
  RetryBudgets retries_;
  CrashWitness crash_witness_;
  std::vector<RequestSummary> summaries_;
  RequestAuthorizer authorizer_;
  ForwarderCounters counters_;
  bool stopping_ = false;
};

}  // namespace pumicemast
