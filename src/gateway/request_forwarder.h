/// Carries each caller's request from its arrival to its one final answer.
///
/// A decision core: no I/O. It authorizes, routes, admits or refuses, sends to a back end,
/// sends again or resumes what failed, and keeps every deadline.
///
/// Invariants:
/// - each request gets exactly one final action (EndAnswer, RefuseCaller, CutAnswer),
///   unless its caller has left;
/// - a refusal says "not run" only when no back end may have run the request, or ever will;
/// - a request that may not be repeated is sent again only after proof that it did not run;
/// - a resumed stream continues after the last whole event that the caller was sent.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "common/time.h"
#include "gateway/backend_pool.h"
#include "gateway/event_splitter.h"
#include "gateway/route_table.h"
#include "gateway/weight_targets.h"
#include "routing/retry_budget.h"

namespace pumicemast {

/// Identifies a request within one gateway.
using RequestNumber = std::uint64_t;

/// What a caller's request says of itself.
struct RequestFacts {
  std::string id;  ///< The caller's own, for logs.
  std::string host;
  std::string target;
  std::string api_key;                    ///< Empty when there is none.
  Duration time_left = Duration::zero();  ///< How long the caller waits; zero: it did not say.
  std::string model;
  double prompt_tokens = 0;
};

/// How a back end's answer begins, as the translator of its protocol reads it.
struct ResponseFacts {
  int status = 0;
  bool not_run = false;   ///< It says that it did not run the request and never will.
  bool replaced = false;  ///< Another incarnation has the address.
  bool success = false;
};

enum class RefusalReason {
  no_configuration,
  no_route,
  no_key,
  no_capacity,
  no_backend,       ///< No back end of the service may take it.
  weights_stale,    ///< Only back ends with older weights than allowed are there.
  backend_refused,  ///< Back ends declined it.
  backend_failed,   ///< It may have run; its answer was lost or spoilt.
  deadline_passed,
  stopping,
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
  std::uint32_t maximum_connections = 0;
  Duration time_left = Duration::zero();
  std::uint64_t expected_version = 0;  ///< 0: whichever it serves.
  std::string resume_after;            ///< Id of the last event the caller has; or empty.
  std::string tenant;                  ///< Empty when the request has none.
  bool attempt_repeatable = false;     ///< A stale connection does no harm.
};
/// The caller left, or the attempt is given up: the back end is to stop.
struct CancelAttempt {
  RequestNumber request = 0;
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
using ForwarderAction = std::variant<SendToBackend, CancelAttempt, BeginAnswer, RelayBytes,
                                     EndAnswer, RefuseCaller, CutAnswer>;
using ForwarderActions = std::vector<ForwarderAction>;

struct ForwarderOptions {
  std::uint64_t seed = 1;
  /// Shared by all gateways: this one's part of the repeats.
  double retry_ratio = 0.18;
  double retry_reserve = 8;
  /// A request waits here for room at most this share of its goal.
  double wait_share = 0.15;
  /// Admitted when the predicted wait is within this share of what is left of the goal.
  double admit_share = 0.85;
  /// A caller that is refused is told to come back within this share of its time left, at a
  /// time drawn from the upper half, so that those who were refused together come apart.
  double retry_after_share = 0.32;
  Duration longest_retry_after = seconds(2);
  Duration connect_limit = milliseconds(350);
  /// A back end that is silent for so long is given up, if another one may run the request:
  /// soon when nothing says that it lives, late when its agent does (it may just be slow, and
  /// what it has done so far would be done again elsewhere).
  Duration doubtful_silence = milliseconds(350);
  Duration healthy_silence = milliseconds(1600);
  std::size_t whole_answer_bytes = 1U << 20U;  ///< Answers up to it are sent only when whole.
};

struct ForwarderCounters {
  std::uint64_t requests = 0;
  std::uint64_t sends = 0;
  std::uint64_t repeats = 0;
  std::uint64_t resumes = 0;
  std::uint64_t refused_by_backend = 0;
  std::uint64_t budget_exhausted = 0;
  std::uint64_t finished = 0;
  std::uint64_t refused = 0;
  std::uint64_t aborted = 0;
  std::uint64_t callers_gone = 0;
};

/// What became of one request, for logs and histograms.
struct RequestSummary {
  std::string id;
  std::string route;
  std::string tenant;
  std::string service;
  RequestKind kind = RequestKind::repeatable;
  std::string outcome;  ///< finished, refused, aborted or gone.
  std::string reason;
  std::string backends;  ///< Those tried, in order.
  int status = 0;
  std::uint32_t sends = 0;
  std::uint64_t configuration = 0;
  std::uint64_t weight_version = 0;
  double expected_ms = 0;
  Duration waited = Duration::zero();       ///< Before it was first sent.
  Duration first_event = Duration::zero();  ///< From arrival; zero when there was none.
  Duration longest_gap = Duration::zero();  ///< Between two arrivals of a stream's events.
  Duration total = Duration::zero();
  bool in_time = false;
};

class RequestForwarder {
 public:
  RequestForwarder(BackendPool& pool, const WeightTargets& targets, ForwarderOptions options);

  /// The configuration in force; null before the first.
  void set_routes(RouteTablePointer routes) { routes_ = std::move(routes); }
  /// New requests are refused from now on.
  void set_stopping() { stopping_ = true; }

  void on_request(RequestNumber number, RequestFacts request, TimePoint now,
                  ForwarderActions& actions);
  /// @return false when the answer belongs to no attempt in progress.
  bool on_response_head(RequestNumber number, const ResponseFacts& facts, bool event_stream,
                        TimePoint now, ForwarderActions& actions);
  void on_response_body(RequestNumber number, std::string_view bytes, TimePoint now,
                        ForwarderActions& actions);
  void on_response_complete(RequestNumber number, TimePoint now, ForwarderActions& actions);
  void on_attempt_failed(RequestNumber number, AttemptFailure failure, TimePoint now,
                         ForwarderActions& actions);
  void on_connected(RequestNumber number);
  void on_caller_gone(RequestNumber number, TimePoint now, ForwarderActions& actions);
  /// Room may have appeared.
  void on_capacity(TimePoint now, ForwarderActions& actions);
  /// Keeps deadlines. Call every few hundredths of a second while requests are active.
  void on_tick(TimePoint now, ForwarderActions& actions);

  std::size_t active() const { return sessions_.size(); }
  std::size_t waiting() const { return waiting_.size(); }
  const ForwarderCounters& counters() const { return counters_; }
  /// Requests that ended since the last call.
  std::vector<RequestSummary> take_summaries();

 private:
  struct Session {
    RequestFacts request;
    RouteTablePointer routes;  ///< Keeps `route` alive.
    const RouteRule* route = nullptr;
    const ServiceProfile* service = nullptr;
    std::string tenant;
    int priority = 0;
    TimePoint arrived{};
    TimePoint deadline{};
    TimePoint wait_until{};
    bool waiting = false;
    // The attempt in progress.
    std::string backend;  ///< Empty when there is none.
    TimePoint sent_at{};
    TimePoint last_progress{};
    bool connected = false;
    bool head_seen = false;
    bool first_token_seen = false;
    bool events = false;       ///< The answer in progress is an event stream.
    bool keep_answer = false;  ///< A failure of the back end that is passed on when whole.
    ResponseFacts facts;
    std::string buffered;
    EventSplitter splitter;
    // Over all attempts.
    std::set<std::string> tried;
    std::uint32_t sends = 0;
    std::uint32_t unsent_failures = 0;
    bool may_have_run = false;
    bool answer_begun = false;
    bool stream_begun = false;  ///< The answer begun is an event stream.
    std::uint64_t answer_version = 0;
    std::uint64_t last_version = 0;
    std::string tried_order;
    double expected_ms = 0;
    TimePoint first_sent{};
    TimePoint first_event{};
    TimePoint last_event{};
    Duration longest_gap = Duration::zero();
    RefusalReason last_reason = RefusalReason::no_capacity;
  };
  using Sessions = std::map<RequestNumber, Session>;

  const RouteRule* authorize(RequestNumber number, Session& session, ForwarderActions& actions);
  const std::string& pick_service(const RouteRule& route);
  bool repeatable(const Session& session) const;
  BackendNeed need_of(const Session& session, TimePoint now) const;
  /// @return whether the session was sent, or is over.
  bool dispatch(RequestNumber number, Session& session, TimePoint now, ForwarderActions& actions);
  double admission_limit_ms(const Session& session, TimePoint now) const;
  void send(RequestNumber number, Session& session, const BackendChoice& choice, TimePoint now,
            ForwarderActions& actions);
  void leave_backend(Session& session);
  void retry_or_give_up(RequestNumber number, Session& session, TimePoint now,
                        ForwarderActions& actions);
  void resume_or_abort(RequestNumber number, Session& session, TimePoint now,
                       ForwarderActions& actions);
  bool spend_retry(const Session& session);
  Duration draw_retry_after(const Session& session, TimePoint now);
  void give_up(RequestNumber number, Session& session, RefusalReason reason, TimePoint now,
               ForwarderActions& actions);
  void refuse(RequestNumber number, Session& session, int status, RefusalReason reason,
              Duration retry_after, TimePoint now, ForwarderActions& actions);
  void abort(RequestNumber number, Session& session, RefusalReason reason, TimePoint now,
             ForwarderActions& actions);
  void relay_events(RequestNumber number, Session& session, std::string_view bytes, TimePoint now,
                    ForwarderActions& actions);
  void finish(RequestNumber number, Session& session, TimePoint now, ForwarderActions& actions);
  void note_progress(Session& session, TimePoint now);
  void check_attempt(RequestNumber number, Session& session, TimePoint now,
                     ForwarderActions& actions);
  void summarize(const Session& session, const char* outcome, const char* reason, int status,
                 TimePoint now);
  RetryBudget& budget(const std::string& service);

  BackendPool& pool_;
  const WeightTargets& targets_;
  ForwarderOptions options_;
  RouteTablePointer routes_;
  Sessions sessions_;
  std::set<RequestNumber> waiting_;
  std::map<std::string, RetryBudget> budgets_;
  std::vector<RequestSummary> summaries_;
  std::minstd_rand random_;
  ForwarderCounters counters_;
  bool stopping_ = false;
};

}  // namespace pumicemast
