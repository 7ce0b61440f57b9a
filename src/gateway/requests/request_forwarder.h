/// Forwards each caller's request, from its arrival to its single final response.
///
/// A decision core: no I/O. It authorizes, routes, admits or refuses requests, sends them to back
/// ends, retries or resumes failed attempts, and enforces deadlines. The timer-driven part is in
/// request_forwarder_time.cpp, waiting for slots in request_forwarder_slots.cpp, what follows a
/// failed attempt in request_forwarder_retry.cpp, and responses that end with their connection in
/// request_forwarder_ends.cpp.
///
/// Invariants:
/// - each request gets exactly one final action (EndResponse, SendRefusal, AbortResponse), unless
///   its caller has disconnected;
/// - a refusal states "not run" only when no back end can have run the request or ever will;
/// - a non-repeatable request is retried only after proof that it did not run;
/// - a quarantined request is not sent to any back end, and an attempt of it without a first token
///   is cancelled;
/// - a resumed stream continues after the last complete event that was sent to the caller.
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
#include "gateway/quarantine/crash_correlator.h"
#include "gateway/quarantine/request_quarantine.h"
#include "gateway/requests/attempt_monitor.h"
#include "gateway/requests/forwarder_actions.h"
#include "gateway/requests/forwarder_options.h"
#include "gateway/requests/request_authorizer.h"
#include "gateway/requests/request_planner.h"
#include "gateway/requests/request_session.h"
#include "gateway/requests/response_relay.h"
#include "gateway/requests/retry_budgets.h"
#include "gateway/requests/slot_reservations.h"
#include "http1/response_reader.h"

namespace pumicemast {

struct ForwarderCounters {
  std::uint64_t requests = 0;
  std::uint64_t engine_first_attempts = 0;    ///< Requests for engines by non-returning callers.
  std::uint64_t unreadable_prompt_parts = 0;  ///< Requests whose list of parts is not valid.
  std::uint64_t returning = 0;                ///< Requests estimated to be from returning callers.
  std::uint64_t told_to_return = 0;           ///< Refusals with a Retry-After time.
  std::uint64_t sends = 0;
  std::uint64_t limited_sends = 0;  ///< To back ends that state a rate limit.
  std::uint64_t repeats = 0;
  std::uint64_t resumes = 0;
  std::uint64_t refused_by_backend = 0;
  std::uint64_t truncated = 0;  ///< Responses cut off by an orderly close.
  std::uint64_t budget_exhausted = 0;
  std::uint64_t taken_back = 0;  ///< Attempts cancelled because they would have started too late.
  std::uint64_t begun_late = 0;  ///< First tokens after the start bound of their weights.
  std::uint64_t yielded = 0;     ///< Requests of returning callers refused under overload.
  std::uint64_t finished = 0;
  std::uint64_t refused = 0;
  std::uint64_t aborted = 0;
  std::uint64_t callers_gone = 0;
};

class RequestForwarder {
 public:
  RequestForwarder(BackendPool& pool, const WeightTargets& targets, RequestQuarantine& quarantine,
                   ForwarderOptions options);

  /// Sets the current configuration; null before the first one has been received.
  /// The regions that it allows also hold for retries of requests in progress.
  void set_routes(RouteTablePointer routes);
  /// Sets this gateway's part of the unearned retries that all gateways share.
  void set_retry_allowance(const RetryAllowance& allowance) { retries_.set_allowance(allowance); }
  const RetryBudgets& retries() const { return retries_; }
  /// Refuses new requests from now on.
  void set_stopping() { stopping_ = true; }
  /// Ends all requests in progress: those that have not run are refused as such, the others get the
  /// response of a failed attempt, or their started response is broken off.
  void end_all(TimePoint now, ForwarderActions& actions);

  void on_request(RequestNumber number, RequestMetadata request, TimePoint now,
                  ForwarderActions& actions);
  void on_response_head(RequestNumber number, const ResponseMetadata& response, bool event_stream,
                        TimePoint now);
  void on_response_body(RequestNumber number, std::string_view bytes, TimePoint now,
                        ForwarderActions& actions);
  void on_response_complete(RequestNumber number, ResponseEnd end, TimePoint now,
                            ForwarderActions& actions);
  void on_attempt_failed(RequestNumber number, AttemptFailure failure, TimePoint now,
                         ForwarderActions& actions);
  void on_connected(RequestNumber number);
  /// The process of a back end has ended, for any reason.
  void on_backend_ended(const std::string& backend, TimePoint now);
  /// A probe has found that a process listens at the back end's address.
  /// @param probed_at  when the probe began; it tells nothing about responses that ended later.
  void on_backend_listening(const std::string& backend, TimePoint probed_at, TimePoint now,
                            ForwarderActions& actions);
  void on_caller_gone(RequestNumber number, TimePoint now, ForwarderActions& actions);
  /// The response of the current attempt is held back, or no longer. An attempt that is held back
  /// does not count as stalled.
  void on_reading_paused(RequestNumber number, bool paused, TimePoint now);
  /// The caller of a started response reads too slowly: aborts the response without a retry.
  void on_slow_reader(RequestNumber number, TimePoint now, ForwarderActions& actions);
  /// Retries waiting requests: capacity may have become available.
  void on_capacity(TimePoint now, ForwarderActions& actions);
  /// An engine's agent has granted a slot to a request that is queued there.
  void on_slot_granted(const Address& engine, RequestNumber number, TimePoint now,
                       ForwarderActions& actions);
  void on_slot_denied(const Address& engine, const SlotDenial& denial, TimePoint now,
                      ForwarderActions& actions);
  /// The connection to the engine's agent was lost, and its queue with it.
  void on_slot_queue_lost(const Address& engine, TimePoint now, ForwarderActions& actions);
  /// Enforces deadlines. Call every few tens of milliseconds while requests are active.
  void on_tick(TimePoint now, ForwarderActions& actions);

  /// Plain responses up to this size are relayed only when complete.
  void set_max_buffered_response_bytes(std::size_t bytes) {
    options_.max_buffered_response_bytes = bytes;
  }
  /// Bytes of the request's response that are not relayed yet.
  std::size_t buffered_bytes(RequestNumber number) const;
  std::size_t active() const { return sessions_.size(); }
  std::size_t waiting() const { return waiting_.size(); }
  const ForwarderCounters& counters() const { return counters_; }
  const SlotReservationCounters& slot_counters() const { return reservations_.counters(); }
  /// Returns the back-end crashes found since the last call, and reports them to the quarantine.
  /// Call often.
  std::vector<BackendCrash> take_crashes(TimePoint now);
  /// Discards expired state. Call periodically.
  void sweep(TimePoint now) { crash_correlator_.sweep(now); }
  /// Returns the responses whose ends were inferred from a close since the last call.
  std::vector<InferredEnd> take_inferred_ends();
  /// Returns the decisions on such ends since the last call.
  std::vector<InferredEndVerdict> take_inferred_end_verdicts();
  /// Returns the requests that ended since the last call.
  std::vector<RequestSummary> take_summaries();

 private:
  using Sessions = std::map<RequestNumber, RequestSession>;
  /// Order in which waiting requests get capacity: by priority, the lowest number first; then those
  /// not from returning callers, which can still be answered in time; then by arrival.
  struct WaitingRank {
    int priority = 0;
    bool returning = false;
    RequestNumber number = 0;
    auto operator<=>(const WaitingRank&) const = default;
  };
  static WaitingRank rank_of(RequestNumber number, const RequestSession& session) {
    return {session.priority, session.returning, number};
  }

  /// Refuses a request that was not sent to any back end, with a retry time if a later attempt may
  /// succeed.
  void refuse_before_sending(RequestNumber number, RequestSession& session,
                             const RequestRefusal& refusal, TimePoint now,
                             ForwarderActions& actions);
  /// Refuses a request at once if the pauses of all back ends that could run it end after its wait.
  /// @return whether it was refused.
  bool refuse_while_paused(RequestNumber number, RequestSession& session, TimePoint now,
                           ForwarderActions& actions);
  /// The time after which a refused caller is told to return.
  Duration choose_retry_after(const RequestSession& session, TimePoint now);
  /// Why no back end may run the request, if all of them are outside the zones that its placement
  /// allows.
  std::optional<RefusalReason> placement_refusal(const BackendRequirements& requirements) const;
  /// Whether a returning caller's request has to leave the remaining capacity to other requests:
  /// they can still be answered in time, it hardly can.
  bool must_yield(const RequestSession& session, TimePoint now) const;
  /// @return whether the request was sent or has ended.
  bool dispatch(RequestNumber number, RequestSession& session, TimePoint now,
                ForwarderActions& actions);
  void send(RequestNumber number, RequestSession& session, const BackendChoice& choice,
            TimePoint now, ForwarderActions& actions);
  /// Queues a waiting request at engines that it has not tried, if its service grants slots by
  /// priority.
  void queue_for_slot(RequestNumber number, RequestSession& session, TimePoint now,
                      ForwarderActions& actions);
  /// The same for a request that no engine has in its queue any more; refuses it if there is none.
  void queue_elsewhere(RequestNumber number, RequestSession& session, TimePoint now,
                       ForwarderActions& actions);
  /// Gives up reservations at engines whose agents' reports have stopped, and queues requests that
  /// wait at no engine.
  void update_reservations(TimePoint now, ForwarderActions& actions);
  /// Sends a waiting request to the back end that granted a slot, if it may run there.
  bool use_granted_slot(RequestNumber number, RequestSession& session, const std::string& backend,
                        TimePoint now, ForwarderActions& actions);
  /// Why engines denied a slot, if that says more than a lack of capacity.
  std::optional<RefusalReason> slot_refusal(RequestNumber number) const;
  /// The attempt has ended at its back end, whatever becomes of its response.
  void release_slot(RequestSession& session);
  void release_backend(RequestSession& session);
  /// Sets what the request would be suspected by if a back end crashed under it.
  static void identify_suspects(RequestSession& session);
  /// Whether the request, or a part of its prompt, is in quarantine; records which for its summary.
  bool is_quarantined(RequestSession& session, TimePoint now) const;
  /// Records that the attempt broke off, which may be due to a crash of its back end.
  void record_possible_crash(const RequestSession& session, TimePoint now,
                             ForwarderActions& actions);
  /// Whether the request is in quarantine, or would be if its last attempt crashed a back end. A
  /// crash is confirmed only a moment later, and another attempt would crash one more.
  bool may_crash_another(const RequestSession& session, TimePoint now) const;
  /// Handles the first token of an attempt.
  void record_first_token(RequestSession& session, TimePoint now);
  /// Chooses another back end for a request whose last attempt failed, if it may be retried.
  /// Spends a retry of the budget when it returns one.
  std::optional<BackendChoice> choose_retry_backend(const RequestSession& session, TimePoint now);
  void retry_on(RequestNumber number, RequestSession& session, const BackendChoice& choice,
                TimePoint now, ForwarderActions& actions);
  /// After a failed attempt: retries or resumes the request, or ends it.
  void retry_or_fail(RequestNumber number, RequestSession& session, TimePoint now,
                     ForwarderActions& actions);
  void give_up(RequestNumber number, RequestSession& session, RefusalReason reason, TimePoint now,
               ForwarderActions& actions);
  void refuse(RequestNumber number, RequestSession& session, int status, RefusalReason reason,
              Duration retry_after, TimePoint now, ForwarderActions& actions);
  void abort(RequestNumber number, RequestSession& session, RefusalReason reason, TimePoint now,
             ForwarderActions& actions);
  void finish(RequestNumber number, RequestSession& session, TimePoint now,
              ForwarderActions& actions);
  /// Ends a request that has waited or run for too long; otherwise checks its current attempt.
  void enforce_deadline(RequestNumber number, RequestSession& session, TimePoint now,
                        ForwarderActions& actions);
  /// Why a request was not sent before its wait ended.
  RefusalReason refusal_reason_after_wait(RequestNumber number, const RequestSession& session,
                                          TimePoint now) const;
  /// Refuses a request that got no capacity in time.
  void refuse_after_wait(RequestNumber number, RequestSession& session, TimePoint now,
                         ForwarderActions& actions);
  void end_at_deadline(RequestNumber number, RequestSession& session, TimePoint now,
                       ForwarderActions& actions);
  /// Cancels the attempt in progress, if there is one, and ends the request.
  void end_request(RequestNumber number, RequestSession& session, RefusalReason reason,
                   TimePoint now, ForwarderActions& actions);
  void cancel_late_attempt(RequestNumber number, RequestSession& session, TimePoint now,
                           ForwarderActions& actions);
  /// Moves a request from a stalled back end to another one, if one may run it.
  void replace_attempt(RequestNumber number, RequestSession& session, TimePoint now,
                       ForwarderActions& actions);
  /// Cancels an attempt whose request was quarantined before its first token.
  void cancel_quarantined_attempt(RequestNumber number, RequestSession& session, TimePoint now,
                                  ForwarderActions& actions);
  void check_attempt(RequestNumber number, RequestSession& session, TimePoint now,
                     ForwarderActions& actions);
  /// Ends an attempt whose response exceeds the limits on what is kept or discarded of it.
  void end_oversized(RequestNumber number, RequestSession& session, TimePoint now,
                     ForwarderActions& actions);
  void record_inferred_end(const RequestSession& session);
  void record_verdict(const RequestSession& session, bool complete, EndEvidence evidence,
                      TimePoint now);
  /// Whether the content of a response shows that its end is missing. An empty continuation of a
  /// stream that may have been whole shows that it was.
  static bool ends_early(const RequestSession& session, ResponseEnd end);
  /// Holds the inferred end of a response back until there is evidence whether its back end's
  /// process has exited: the system closes the connections of such a process in an orderly way.
  /// @return false if the response is complete as far as can be known.
  bool check_inferred_end(RequestNumber number, RequestSession& session, TimePoint now,
                          ForwarderActions& actions);
  void probe_for_end(RequestSession& session, ForwarderActions& actions);
  /// Fails the attempt whose response was cut off by an orderly close.
  void fail_truncated(RequestNumber number, RequestSession& session, TimePoint now,
                      ForwarderActions& actions);
  /// Decides on a response whose end is held back, once there is evidence or none has come in time.
  void decide_inferred_end(RequestNumber number, RequestSession& session, TimePoint now,
                           ForwarderActions& actions);
  /// The back end's process has exited while the end was held back.
  void decide_after_exit(RequestNumber number, RequestSession& session, TimePoint now,
                         ForwarderActions& actions);
  /// Whether bytes that `other` receives would show that the process outlived the end of `session`.
  static bool shows_life_after(const RequestSession& other, const RequestSession& session);
  /// Whether another response of the same process may still show that it outlived the end.
  bool awaits_later_response(const RequestSession& session, TimePoint now) const;
  /// A response goes on: its process outlived the ends that were held back long enough.
  void on_later_bytes(const RequestSession& sender);
  /// No exit was reported while the end was held back.
  void decide_without_exit(RequestNumber number, RequestSession& session, TimePoint now,
                           ForwarderActions& actions);
  /// Takes the held back end of a response for its actual end.
  void accept_inferred_end(RequestNumber number, RequestSession& session, EndEvidence evidence,
                           TimePoint now, ForwarderActions& actions);
  /// Nothing tells whether the response is complete: asks another back end to continue it, which
  /// sends nothing if it is, or leaves it without an end.
  void continue_uncertain_response(RequestNumber number, RequestSession& session,
                                   EndEvidence evidence, TimePoint now, ForwarderActions& actions);
  /// Relays a complete response to its caller, or retries the request by what the response says.
  void evaluate_response(RequestNumber number, RequestSession& session, TimePoint now,
                         ForwarderActions& actions);
  void summarize(const RequestSession& session, const char* outcome, const char* reason, int status,
                 TimePoint now);

  BackendPool& pool_;
  const WeightTargets& targets_;
  RequestQuarantine& quarantine_;
  ForwarderOptions options_;
  RequestPlanner planner_;
  ResponseRelay response_relay_;
  AttemptMonitor attempt_monitor_;
  RouteTablePointer routes_;
  Sessions sessions_;
  std::set<WaitingRank> waiting_;
  SlotReservations reservations_;
  OverloadDetector overload_;
  RetryBudgets retries_;
  CrashCorrelator crash_correlator_;
  /// Held back ends for which bytes of another response would be evidence.
  std::set<RequestNumber> uncertain_ends_;
  std::vector<RequestSummary> summaries_;
  std::vector<InferredEnd> inferred_ends_;
  std::vector<InferredEndVerdict> inferred_end_verdicts_;
  RequestAuthorizer authorizer_;
  ForwarderCounters counters_;
  bool stopping_ = false;
};

}  // namespace pumicemast
