/// Schedules each caller's request from acceptance to its single final response.
///
/// A decision core: no I/O. Queues requests while no back end has capacity, dispatches them to back
/// ends, retries or resumes failed attempts, and states with every refusal whether the request may
/// have run.
///
/// Invariants:
/// - each request gets exactly one final action (FinishResponse, RefuseRequest,
/// AbortStreamedResponse);
/// - a refusal says `not_run` only when no back end can have started the request;
/// - a non-repeatable request is submitted again only after a refusal that proves it did
///   not run;
/// - a streamed response continues only from a replica of the same digest.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "common/time.h"
#include "routing/backend_directory.h"
#include "routing/retry_budget.h"
#include "routing/router.h"
#include "routing/wait_queue.h"

namespace pumicemast {

/// Identifies a request within one entry.
using RequestNumber = std::uint64_t;

/// Whether a request without a complete response may have run, as reported to the caller.
enum class Outcome { not_run, unknown };
const char* to_string(Outcome outcome);

enum class RefusalCode {
  unknown_model,
  no_capacity,  ///< No back end had capacity within queue_wait.
  queue_full,
  deadline_passed,
  backend_failed,  ///< A back end failed while it handled the request.
  shutting_down,
};
const char* to_string(RefusalCode code);

struct RequestProfile {
  std::string tenant;
  RoutingRequirements requirements;
  bool stream = false;
  bool non_repeatable = false;
  int priority = 0;
  TimePoint deadline = TimePoint::max();
};

struct SchedulerOptions {
  std::uint32_t queue_limit = 1024;
  /// Longest time in the queue before the request is refused.
  Duration queue_wait = seconds(5);
  /// Failed attempts, each of which may have run, after which a request is given up.
  std::uint32_t attempts = 3;
  /// Refusals by back ends after which a request is given up.
  std::uint32_t refusals = 8;
  /// Retries that each first attempt earns.
  double retry_ratio = 0.2;
  Duration retry_after_hint = seconds(1);
};

// ---- actions, to be executed in order ----
struct SubmitToBackend {
  RequestNumber request = 0;
  std::string machine;
  std::string digest;
  std::uint32_t resume_from_event = 0;
};
struct CancelAtBackend {
  RequestNumber request = 0;
  std::string machine;
};
struct StartResponse {
  RequestNumber request = 0;
  std::uint16_t status = 0;
  std::string content_type;
};
struct ForwardBytes {
  RequestNumber request = 0;
  std::string bytes;
};
struct FinishResponse {
  RequestNumber request = 0;
};
/// Send an error response; nothing has been sent to the caller yet.
struct RefuseRequest {
  RequestNumber request = 0;
  RefusalCode code = RefusalCode::no_capacity;
  Outcome outcome = Outcome::not_run;
  Duration retry_after = Duration::zero();
};
/// A streamed response cannot be completed: send an error event, then close the connection.
struct AbortStreamedResponse {
  RequestNumber request = 0;
  RefusalCode code = RefusalCode::backend_failed;
};
using SchedulerAction = std::variant<SubmitToBackend, CancelAtBackend, StartResponse, ForwardBytes,
                                     FinishResponse, RefuseRequest, AbortStreamedResponse>;
using SchedulerActions = std::vector<SchedulerAction>;

/// Totals for metrics.
struct SchedulerCounters {
  std::uint64_t submitted = 0;
  std::uint64_t refused_by_backend = 0;
  std::uint64_t retried = 0;
  std::uint64_t resumed = 0;
  std::uint64_t retry_budget_spent = 0;
  std::uint64_t final_not_run = 0;
  std::uint64_t final_unknown = 0;
  std::uint64_t finished = 0;
};

class RequestScheduler {
 public:
  RequestScheduler(BackendDirectory& directory, const Router& router, SchedulerOptions options);

  SchedulerActions on_request(RequestNumber request, RequestProfile profile, TimePoint now);
  /// The back end refused: the request did not and will not run there.
  SchedulerActions on_refused(RequestNumber request, const std::string& machine, TimePoint now);
  SchedulerActions on_head(RequestNumber request, const std::string& machine, std::uint16_t status,
                           const std::string& content_type, TimePoint now);
  SchedulerActions on_data(RequestNumber request, const std::string& machine,
                           const std::string& bytes, TimePoint now);
  /// @param complete  false when the back end failed during the response.
  SchedulerActions on_end(RequestNumber request, const std::string& machine, bool complete,
                          TimePoint now);
  /// The connection to `machine` was lost: every request submitted there may have run.
  SchedulerActions on_backend_lost(const std::string& machine, TimePoint now);
  SchedulerActions on_caller_disconnected(RequestNumber request, TimePoint now);
  /// Dispatches queued requests where back ends have capacity. Call after membership changes too.
  SchedulerActions on_capacity(TimePoint now);
  /// Ends requests whose deadline or queue wait has passed. Call several times a second.
  SchedulerActions on_tick(TimePoint now);
  /// Refuses all queued requests; requests in progress continue.
  SchedulerActions on_shutdown(TimePoint now);

  std::size_t active() const { return sessions_.size(); }
  std::size_t queued() const { return queue_.size(); }
  const SchedulerCounters& counters() const { return counters_; }

 private:
  struct Session {
    RequestProfile profile;
    std::string machine;         ///< Back end that runs it; "" while queued.
    std::string running_digest;  ///< Digest of the version of the last attempt.
    std::set<std::string>
        excluded;  ///< Back ends that refused it or failed; cleared while it is queued.
    std::uint32_t attempts = 0;
    std::uint32_t refusals = 0;
    bool may_have_run = false;
    bool response_started = false;  ///< Bytes were sent to the caller.
    std::uint32_t events_forwarded = 0;
    std::uint16_t status = 0;
    std::string content_type;
    std::string buffered;  ///< Complete response, or the incomplete last event.
    TimePoint queued_at{};
  };
  using Sessions = std::map<RequestNumber, Session>;

  Session* running_at(RequestNumber request, const std::string& machine);
  void dispatch_or_queue(RequestNumber request, TimePoint now, SchedulerActions& actions);
  bool dispatch(RequestNumber request, Session& session, TimePoint now, SchedulerActions& actions);
  void release_backend(Session& session);
  void fail_attempt(RequestNumber request, TimePoint now, SchedulerActions& actions);
  void give_up(RequestNumber request, RefusalCode code, SchedulerActions& actions);
  void finish(RequestNumber request, SchedulerActions& actions);
  void forward_events(RequestNumber request, Session& session, SchedulerActions& actions);

  BackendDirectory& directory_;
  const Router& router_;
  SchedulerOptions options_;
  Sessions sessions_;
  WaitQueue queue_;
  RetryBudget budget_;
  SchedulerCounters counters_;
};

}  // namespace pumicemast
