#include "gateway/gateway_log.h"

#include <algorithm>
#include <sstream>

#include "common/event_loop.h"
#include "common/log.h"

namespace pumicemast {
namespace {

constexpr std::uint32_t kLinesPerSecond = 20;

}  // namespace

GatewayLog::GatewayLog(std::string decisions)
    : decisions_(std::move(decisions)), budget_(kLinesPerSecond) {}

void GatewayLog::log_line(const std::string& kind, const std::string& text) {
  if (decisions_ == "none" || !budget_.admit(kind, loop_now())) return;
  LOG(INFO) << text;
}

void GatewayLog::log_request(const RequestSummary& summary) {
  const bool unremarkable =
      summary.outcome == "finished" && summary.sends == 1 && !summary.begun_late;
  if (unremarkable && decisions_ != "all") return;
  std::ostringstream text;
  text << "request id=" << summary.id << " outcome=" << summary.outcome
       << " reason=" << (summary.reason.empty() ? "-" : summary.reason)
       << " status=" << summary.status << " route=" << summary.route << " tenant=" << summary.tenant
       << " service=" << summary.service << " fingerprint=" << to_string(summary.fingerprint)
       << " backends=" << (summary.backends.empty() ? "-" : summary.backends)
       << " sends=" << summary.sends << " expected_ms=" << summary.expected_ms
       << " waited_ms=" << to_milliseconds(summary.waited)
       << " first_ms=" << to_milliseconds(summary.first_event)
       << " gap_ms=" << to_milliseconds(summary.longest_gap)
       << " total_ms=" << to_milliseconds(summary.total)
       << " configuration=" << summary.configuration << " weights=" << summary.weight_version
       << " named_ms=" << to_milliseconds(summary.naming_age)
       << " taken_back=" << summary.taken_back
       << " begun_late=" << (summary.begun_late ? "yes" : "no") << " priority=" << summary.priority
       << " denied_by=" << (summary.denied_by.empty() ? "-" : summary.denied_by)
       << " quarantined_by=" << (summary.quarantined_by.empty() ? "-" : summary.quarantined_by);
  log_line("request_" + summary.outcome, text.str());
}

void GatewayLog::log_inferred_end(const InferredEnd& end) {
  std::ostringstream text;
  text << "request id=" << end.request_id << " event=inferred_end backends=" << end.backend
       << " status=" << end.status << " stream=" << (end.streaming ? "yes" : "no")
       << " events=" << end.events << " partial_bytes=" << end.partial_bytes
       << " inside_event=" << (end.inside_event ? "yes" : "no");
  log_line("inferred_end", text.str());
}

void GatewayLog::log_inferred_end_verdict(const InferredEndVerdict& verdict) {
  log_line("inferred_end_verdict", "request id=" + verdict.request_id +
                                       " event=inferred_end_verdict backends=" + verdict.backend +
                                       " verdict=" + (verdict.complete ? "complete" : "cut") +
                                       " evidence=" + to_string(verdict.evidence) +
                                       " held_ms=" + std::to_string(to_milliseconds(verdict.held)));
}

void GatewayLog::log_crash(const BackendCrash& crash) {
  constexpr std::size_t kMaximumFingerprints = 16;  // Requests that an engine runs at once.
  constexpr std::size_t kMaximumParts = 32;
  std::ostringstream text;
  text << "backend id=" << crash.backend.id << " event=ended_under_requests"
       << " in_crowd=" << (crash.in_burst ? "yes" : "no") << " requests=" << crash.requests.size()
       << " fingerprints=";
  for (std::size_t index = 0; index < std::min(kMaximumFingerprints, crash.requests.size());
       ++index) {
    text << (index > 0 ? "," : "") << to_string(crash.requests[index]);
  }
  text << " prompt_parts=";
  for (std::size_t index = 0; index < std::min(kMaximumParts, crash.prompt_parts.size()); ++index) {
    text << (index > 0 ? "," : "") << crash.prompt_parts[index].id << "/"
         << to_string(crash.prompt_parts[index].fingerprint);
  }
  log_line("crash", text.str());
}

void GatewayLog::log_undelivered(const ConnectionRemains& remains, const std::string& state) {
  log_line("undelivered",
           std::string("caller event=closed_undelivered reason=") + to_string(remains.reason) +
               " undelivered_bytes=" + std::to_string(remains.undelivered_bytes) +
               " unread_bytes=" + std::to_string(remains.unread_bytes) + " gateway_state=" + state);
}

void GatewayLog::flush() {
  for (const auto& [kind, count] : budget_.take_suppressed()) {
    LOG(INFO) << "log kind=" << kind << " lines_left_out=" << count << " reason=budget";
  }
  flush_decision_log();
}

}  // namespace pumicemast
