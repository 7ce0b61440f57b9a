/// State of one request in progress at a gateway, and its summary.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "common/time.h"
#include "fleet/backend_record.h"
#include "gateway/quarantine/crash_suspect.h"
#include "gateway/quarantine/prompt_part.h"
#include "gateway/requests/forwarder_actions.h"
#include "gateway/requests/route_table.h"
#include "http1/event_splitter.h"
#include "locality/allowed_regions.h"

namespace pumicemast {

/// Outcome of one request, for logs and histograms.
struct RequestSummary {
  std::string id;
  std::string route;
  std::string tenant;
  std::string service;
  RequestKind kind = RequestKind::repeatable;
  RequestFingerprint fingerprint;  ///< Equal for all requests with the same content and tenant.
  std::string outcome;             ///< finished, refused, aborted or gone.
  std::string reason;
  std::string backends;  ///< Back ends tried, in order.
  int priority = 0;
  std::string quarantined_by;  ///< Kind and fingerprint of what it was refused for, or empty.
  std::string denied_by;       ///< Engines that denied a slot, each with its reason, in order.
  int status = 0;
  std::uint32_t sends = 0;
  std::uint64_t configuration = 0;
  std::uint64_t weight_version = 0;
  /// Time from the naming of the newest known weight version as target to the last send.
  Duration naming_age = Duration::zero();
  std::uint32_t taken_back = 0;  ///< Attempts cancelled because they would have started too late.
  bool begun_late = false;       ///< Started after the start bound of its weights.
  double expected_ms = 0;
  Duration waited = Duration::zero();  ///< From arrival to the first send.
  /// From arrival to the first events or the complete plain response; zero when none.
  Duration first_event = Duration::zero();
  /// Longest time between two deliveries of stream events.
  Duration longest_gap = Duration::zero();
  Duration total = Duration::zero();
  bool in_time = false;
};

/// A response without a length or chunks whose connection was closed in an orderly way, for logs
/// and metrics.
struct InferredEnd {
  std::string request_id;
  std::string backend;
  int status = 0;
  bool streaming = false;
  std::uint64_t events = 0;       ///< Complete events of this attempt.
  std::size_t partial_bytes = 0;  ///< Bytes after the last complete event.
  bool inside_event = false;
};

/// What an inferred end was judged by.
enum class EndEvidence {
  content,         ///< The stream ends inside an event, or has none.
  exit,            ///< The back end's process was reported to have exited.
  leaving_exit,    ///< The same of a back end that leaves: it may exit after its last response.
  later_response,  ///< Another response of the same process went on well after the close.
  listening,       ///< A probe found the back end listening after the close.
  report,          ///< The engine's agent reported it alive after the close.
  silence,         ///< Neither an exit nor a living process was reported.
  deadline,        ///< The caller's deadline came before any evidence.
};
const char* to_string(EndEvidence evidence);

/// The decision on an inferred end, for logs and metrics.
struct InferredEndVerdict {
  std::string request_id;
  std::string backend;
  bool complete = false;
  EndEvidence evidence = EndEvidence::content;
  Duration held = Duration::zero();  ///< From the close to the decision.
};

/// The forwarder's state of a request.
struct RequestSession {
  RequestMetadata request;
  RouteTablePointer routes;  ///< Keeps `route` alive.
  const RouteRule* route = nullptr;
  const ServiceProfile* service = nullptr;
  std::string tenant;
  AllowedRegions allowed_regions;
  RequestFingerprint fingerprint;  ///< Of the content and the tenant.
  PromptParts prompt_parts;        ///< Shared parts of its prompt.
  CrashSuspects suspects;          ///< The request and these parts.
  int priority = 0;
  /// The service's engines grant slots by priority; `priority` is then a level of its order.
  bool ordered_by_priority = false;
  TimePoint arrived{};
  /// Estimated arrival of the caller's first attempt; earlier than `arrived` for a returning
  /// caller.
  TimePoint first_arrival{};
  /// Its caller was probably refused before, so long ago that a response can hardly be in time.
  bool returning = false;
  TimePoint deadline{};
  TimePoint wait_until{};
  bool waiting = false;
  /// Earliest time at which engines expect a slot for a request like this; unset if unknown.
  std::optional<TimePoint> slot_expected_at;
  // Current attempt.
  std::string backend;  ///< Empty when there is no attempt.
  BackendIncarnation backend_incarnation;
  Address backend_address;
  TimePoint sent_at{};
  TimePoint last_progress{};
  std::uint64_t events_before = 0;  ///< Complete events of earlier attempts.
  /// Close of the connection from which the end of the attempt's response is inferred.
  std::optional<TimePoint> closed_at;
  /// The end of the response is held back until then, in case an exit of its back end is reported.
  std::optional<TimePoint> end_held_until;
  bool backend_ended = false;   ///< The exit has been reported.
  bool end_probed = false;      ///< A probe of the back end was requested for its end.
  bool later_response = false;  ///< Its process went on with another response after the close.
  int ticks_after_close = 0;    ///< Since bytes under way at the close have arrived.
  /// The stream was closed in an orderly way after the last complete event, which may be its last.
  bool may_be_whole = false;
  bool slot_released = false;  ///< The attempt no longer counts as running.
  bool connected = false;
  bool head_received = false;
  bool first_token_seen = false;
  bool reading_paused = false;  ///< Its response is held back until the caller has read more.
  bool event_stream = false;    ///< The response of the attempt is an event stream.
  bool streaming = false;       ///< The same, on a route for streams: it is relayed as it arrives.
  ResponseMetadata response;
  std::string buffered;
  std::size_t unused_response_bytes = 0;  ///< Body bytes that nobody gets.
  EventSplitter splitter;
  // Over all attempts.
  std::set<std::string> tried_backends;
  std::uint32_t sends = 0;
  std::uint32_t connect_failures = 0;
  std::uint32_t taken_back = 0;  ///< Attempts cancelled because they would have started too late.
  bool may_have_run = false;
  bool response_started = false;
  bool stream_started = false;  ///< The response being relayed is an event stream.
  bool begun_late = false;      ///< Started after the start bound of its weights.
  std::uint64_t response_version = 0;
  std::uint64_t last_version = 0;
  Duration naming_age = Duration::zero();  ///< Of the newest weights, at the last send.
  /// Whether the request may run more than once.
  bool repeatable() const;
  /// Level at which its refusal shows a lack of capacity; services without an order have one.
  int overload_level() const { return ordered_by_priority ? priority : 0; }
  /// Key of the requests that share the same capacity: those of the same service and allowed
  /// regions. Requires a service.
  std::string capacity_group() const { return service->name + allowed_regions.key(); }
  RequestSummary summarize(const char* outcome, const char* reason, int status,
                           TimePoint now) const;

  std::string tried_backend_names;
  std::string quarantined_by;  ///< As `RequestSummary::quarantined_by`.
  std::string slot_denials;    ///< As `RequestSummary::denied_by`.
  double expected_ms = 0;
  TimePoint first_sent{};
  TimePoint first_event{};
  TimePoint last_event{};
  Duration longest_gap = Duration::zero();
  RefusalReason last_reason = RefusalReason::no_capacity;
};

}  // namespace pumicemast
