#include "gateway/gateway_metrics.h"

namespace pumicemast {
namespace {

const char* kind_name(RequestKind kind) {
  switch (kind) {
    case RequestKind::repeatable:
      return "repeatable";
    case RequestKind::not_repeatable:
      return "not_repeatable";
    case RequestKind::stream:
      return "stream";
  }
  return "unknown";
}

}  // namespace

void GatewayMetrics::observe(const RequestSummary& summary) {
  metrics_.count("pumicemast_gateway_requests_total", {{"kind", kind_name(summary.kind)},
                                                       {"outcome", summary.outcome},
                                                       {"reason", summary.reason}});
  if (summary.first_event > Duration::zero()) {
    metrics_.observe("pumicemast_gateway_first_answer_seconds", {{"tenant", summary.tenant}},
                     summary.first_event);
  }
  if (summary.outcome == "finished") {
    metrics_.observe("pumicemast_gateway_answer_seconds", {{"kind", kind_name(summary.kind)}},
                     summary.total);
  }
}

void GatewayMetrics::on_backend_ended(const char* evidence) {
  metrics_.count("pumicemast_gateway_backends_ended_total", {{"evidence", evidence}});
}

void GatewayMetrics::on_crash(const BackendCrash& crash) {
  metrics_.count("pumicemast_gateway_requests_crashed_under_total", {},
                 static_cast<double>(crash.requests.size()));
}

void GatewayMetrics::on_inferred_end(const InferredEnd& end) {
  const char* place = !end.streaming ? "plain" : end.inside_event ? "inside_event" : "after_event";
  metrics_.count("pumicemast_gateway_inferred_ends_total", {{"at", place}});
}

void GatewayMetrics::on_inferred_end_verdict(const InferredEndVerdict& verdict) {
  metrics_.count("pumicemast_gateway_inferred_end_verdicts_total",
                 {{"verdict", verdict.complete ? "complete" : "cut"},
                  {"evidence", to_string(verdict.evidence)}});
}

void GatewayMetrics::update(const ForwarderCounters& counters, const GatewayGauges& figures) {
  const auto set = [this](const char* name, double value) { metrics_.gauge(name, {}, value); };
  set("pumicemast_gateway_sends", static_cast<double>(counters.sends));
  set("pumicemast_gateway_returning", static_cast<double>(counters.returning));
  set("pumicemast_gateway_unreadable_prompt_parts",
      static_cast<double>(counters.unreadable_prompt_parts));
  set("pumicemast_gateway_told_to_return", static_cast<double>(counters.told_to_return));
  set("pumicemast_gateway_repeats", static_cast<double>(counters.repeats));
  set("pumicemast_gateway_resumes", static_cast<double>(counters.resumes));
  set("pumicemast_gateway_taken_back", static_cast<double>(counters.taken_back));
  set("pumicemast_gateway_begun_late", static_cast<double>(counters.begun_late));
  set("pumicemast_gateway_backend_refusals", static_cast<double>(counters.refused_by_backend));
  set("pumicemast_gateway_truncated_responses", static_cast<double>(counters.truncated));
  set("pumicemast_gateway_retry_budget_exhausted", static_cast<double>(counters.budget_exhausted));
  set("pumicemast_gateway_yielded", static_cast<double>(counters.yielded));
  set("pumicemast_gateway_engine_first_attempts",
      static_cast<double>(counters.engine_first_attempts));
  set("pumicemast_gateway_callers_gone", static_cast<double>(counters.callers_gone));
  set("pumicemast_gateway_active_requests", static_cast<double>(figures.active_requests));
  set("pumicemast_gateway_waiting_requests", static_cast<double>(figures.waiting_requests));
  set("pumicemast_gateway_connections_opened", static_cast<double>(figures.connections_opened));
  set("pumicemast_gateway_backends", static_cast<double>(figures.backends));
  set("pumicemast_gateway_reporting_engines", static_cast<double>(figures.reporting_engines));
  set("pumicemast_gateway_configuration_version",
      static_cast<double>(figures.configuration_version));
  set("pumicemast_gateway_queued_to_gateways_bytes",
      static_cast<double>(figures.bytes_queued_to_gateways));
  set("pumicemast_gateway_quarantined_requests", static_cast<double>(figures.quarantined_requests));
  set("pumicemast_gateway_limited_backends", static_cast<double>(figures.limited_backends));
  set("pumicemast_gateway_unreadable_limits", static_cast<double>(figures.unreadable_limits));
  set("pumicemast_gateway_limited_sends", static_cast<double>(counters.limited_sends));
  set("pumicemast_gateway_leaving_backends", static_cast<double>(figures.leaving_backends));
  set("pumicemast_gateway_paused_backends", static_cast<double>(figures.paused_backends));
  set("pumicemast_gateway_retry_gateways", static_cast<double>(figures.retry_gateways));
}

void GatewayMetrics::update(const NoticeCounters& notices) {
  const auto set = [this](const char* name, std::uint64_t count) {
    metrics_.gauge(name, {}, static_cast<double>(count));
  };
  set("pumicemast_gateway_pushbacks", notices.pushbacks);
  set("pumicemast_gateway_invalid_notices", notices.invalid_fields);
  set("pumicemast_gateway_sends_to_leaving", notices.sends_to_leaving);
  set("pumicemast_gateway_sends_while_paused", notices.sends_while_paused);
}

void GatewayMetrics::update(const SlotReservationCounters& slots) {
  const auto set = [this](const char* outcome, std::uint64_t count) {
    metrics_.gauge("pumicemast_gateway_slot_requests", {{"outcome", outcome}},
                   static_cast<double>(count));
  };
  set("queued", slots.queued);
  set("granted", slots.granted);
  set("denied", slots.denied);
  set("withdrawn", slots.withdrawn);
  set("returned", slots.returned);
}

void GatewayMetrics::update(const HeldBytes& held, std::size_t reads_paused) {
  const auto set = [this](const char* kind, std::size_t bytes) {
    metrics_.gauge("pumicemast_gateway_held_bytes", {{"kind", kind}}, static_cast<double>(bytes));
  };
  set("request_head", held.request_head);
  set("request_body", held.request_body);
  set("unread_response", held.unread_response);
  set("unsent_request", held.unsent_request);
  metrics_.gauge("pumicemast_gateway_reads_paused", {}, static_cast<double>(reads_paused));
}

void GatewayMetrics::update(const PermitCounters& permits) {
  const auto set = [this](const char* result, std::uint64_t count) {
    metrics_.gauge("pumicemast_gateway_permits", {{"result", result}}, static_cast<double>(count));
  };
  set("asked", permits.asked);
  set("granted", permits.granted);
  set("denied", permits.denied);
  set("used", permits.used);
  set("returned", permits.returned);
}

void GatewayMetrics::update(const RetryBudgets& retries) {
  metrics_.gauge("pumicemast_gateway_retry_reserve", {}, retries.allowance().reserve);
  for (const auto& [service, budget] : retries.by_service()) {
    metrics_.gauge("pumicemast_gateway_retry_balance", {{"service", service}}, budget.balance());
  }
}

}  // namespace pumicemast
