#include "gateway/requests/request_session.h"

namespace pumicemast {

const char* to_string(EndEvidence evidence) {
  switch (evidence) {
    case EndEvidence::content:
      return "content";
    case EndEvidence::exit:
      return "exit";
    case EndEvidence::leaving_exit:
      return "leaving_exit";
    case EndEvidence::later_response:
      return "later_response";
    case EndEvidence::listening:
      return "listening";
    case EndEvidence::report:
      return "report";
    case EndEvidence::silence:
      return "silence";
    case EndEvidence::deadline:
      return "deadline";
  }
  return "unknown";
}

const char* to_string(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::no_configuration:
      return "no_configuration";
    case RefusalReason::no_route:
      return "no_route";
    case RefusalReason::no_key:
      return "no_key";
    case RefusalReason::no_capacity:
      return "no_capacity";
    case RefusalReason::more_urgent_first:
      return "more_urgent_first";
    case RefusalReason::tenant_over_share:
      return "tenant_over_share";
    case RefusalReason::no_backend:
      return "no_backend";
    case RefusalReason::rate_limited:
      return "rate_limited";
    case RefusalReason::weights_stale:
      return "weights_stale";
    case RefusalReason::backend_refused:
      return "backend_refused";
    case RefusalReason::backend_failed:
      return "backend_failed";
    case RefusalReason::deadline_passed:
      return "deadline_passed";
    case RefusalReason::stopping:
      return "stopping";
    case RefusalReason::quarantined:
      return "quarantined";
    case RefusalReason::backend_cold:
      return "backend_cold";
    case RefusalReason::region_not_allowed:
      return "region_not_allowed";
    case RefusalReason::backends_paused:
      return "backends_paused";
    case RefusalReason::zone_evacuated:
      return "zone_evacuated";
    case RefusalReason::memory:
      return "memory";
    case RefusalReason::slow_reader:
      return "slow_reader";
  }
  return "unknown";
}

bool RequestSession::repeatable() const {
  return route->kind == RequestKind::repeatable ||
         (route->kind == RequestKind::stream && route->resumable);
}

RequestSummary RequestSession::summarize(const char* outcome, const char* reason, int status,
                                         TimePoint now) const {
  RequestSummary summary;
  summary.id = request.id;
  if (route != nullptr) {
    summary.route = route->name;
    summary.kind = route->kind;
  }
  summary.tenant = tenant;
  if (service != nullptr) summary.service = service->name;
  summary.fingerprint = fingerprint;
  summary.outcome = outcome;
  summary.reason = reason;
  summary.backends = tried_backend_names;
  summary.priority = priority;
  summary.quarantined_by = quarantined_by;
  summary.denied_by = slot_denials;
  summary.status = status;
  summary.sends = sends;
  summary.configuration = routes ? routes->version() : 0;
  summary.weight_version = last_version;
  summary.naming_age = naming_age;
  summary.taken_back = taken_back;
  summary.begun_late = begun_late;
  summary.expected_ms = expected_ms;
  summary.waited = (first_sent == TimePoint{} ? now : first_sent) - arrived;
  if (first_event != TimePoint{}) {
    summary.first_event = first_event - arrived;
    summary.in_time = route != nullptr && summary.first_event <= route->latency_goal &&
                      longest_gap <= route->gap_goal;
  }
  summary.longest_gap = longest_gap;
  summary.total = now - arrived;
  return summary;
}

}  // namespace pumicemast
