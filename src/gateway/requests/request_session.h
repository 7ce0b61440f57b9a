/// One request in progress at a gateway, and what is told of it at its end.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "common/time.h"
#include "fleet/backend_record.h"
#include "gateway/requests/event_splitter.h"
#include "gateway/requests/forwarder_actions.h"
#include "gateway/requests/route_table.h"

namespace pumicemast {

/// What became of one request, for logs and histograms.
struct RequestSummary {
  std::string id;
  std::string route;
  std::string tenant;
  std::string service;
  RequestKind kind = RequestKind::repeatable;
  RequestFingerprint fingerprint;  ///< The same for all repeats of it.
  std::string outcome;             ///< finished, refused, aborted or gone.
  std::string reason;
  std::string backends;  ///< Those tried, in order.
  int status = 0;
  std::uint32_t sends = 0;
  std::uint64_t configuration = 0;
  std::uint64_t weight_version = 0;
  /// How long ago the newest weights were named when it was last sent, as far as was known here.
  Duration naming_age = Duration::zero();
  std::uint32_t taken_back = 0;  ///< Attempts that would have begun on forbidden weights.
  bool begun_late = false;       ///< It began on weights that no request may begin on any more.
  double expected_ms = 0;
  Duration waited = Duration::zero();       ///< Before it was first sent.
  Duration first_event = Duration::zero();  ///< From arrival; zero when there was none.
  Duration longest_gap = Duration::zero();  ///< Between two arrivals of a stream's events.
  Duration total = Duration::zero();
  bool in_time = false;
};

/// What the forwarder knows of a request.
struct RequestSession {
  RequestFacts request;
  RouteTablePointer routes;  ///< Keeps `route` alive.
  const RouteRule* route = nullptr;
  const ServiceProfile* service = nullptr;
  std::string tenant;
  RequestFingerprint fingerprint;  ///< Of what is asked for, by this tenant.
  int priority = 0;
  TimePoint arrived{};
  /// When its caller asked first: earlier than `arrived` for one that was refused and came back.
  TimePoint first_asked{};
  /// Its caller was refused before; an answer would hardly be in time any more.
  bool returning = false;
  TimePoint deadline{};
  TimePoint wait_until{};
  bool waiting = false;
  // The attempt in progress.
  std::string backend;  ///< Empty when there is none.
  BackendIncarnation backend_life;
  Address backend_address;
  TimePoint sent_at{};
  TimePoint last_progress{};
  bool connected = false;
  bool head_seen = false;
  bool first_token_seen = false;
  bool events = false;  ///< The answer in progress is an event stream.
  ResponseFacts facts;
  std::string buffered;
  EventSplitter splitter;
  // Over all attempts.
  std::set<std::string> tried;
  std::uint32_t sends = 0;
  std::uint32_t unsent_failures = 0;
  std::uint32_t taken_back = 0;  ///< Attempts that would have begun on forbidden weights.
  bool may_have_run = false;
  bool answer_begun = false;
  bool stream_begun = false;  ///< The answer begun is an event stream.
  bool begun_late = false;    ///< It began on weights that no request may begin on any more.
  std::uint64_t answer_version = 0;
  std::uint64_t last_version = 0;
  Duration naming_age = Duration::zero();  ///< Of the newest weights, at the last sending.
  /// Whether another run does no harm.
  bool repeatable() const;
  /// What became of it.
  RequestSummary summarize(const char* outcome, const char* reason, int status,
                           TimePoint now) const;

  std::string tried_order;
  double expected_ms = 0;
  TimePoint first_sent{};
  TimePoint first_event{};
  TimePoint last_event{};
  Duration longest_gap = Duration::zero();
  RefusalReason last_reason = RefusalReason::no_capacity;
};

}  // namespace pumicemast
