/// Log of a gateway's decisions, rate-limited for each kind of line.
#pragma once

#include <string>

#include "common/log_budget.h"
#include "gateway/quarantine/crash_correlator.h"
#include "gateway/requests/request_session.h"
#include "http1/caller_connection.h"

namespace pumicemast {

class GatewayLog {
 public:
  /// @param decisions  level from the settings: "all", "failures" or "none".
  explicit GatewayLog(std::string decisions);

  void set_decisions(std::string decisions) { decisions_ = std::move(decisions); }
  const std::string& decisions() const { return decisions_; }
  /// Logs a decision or a change of the gateway's view of the fleet.
  void log_line(const std::string& kind, const std::string& text);
  /// Logs the summary of a request. One that finished with a single send and did not start late is
  /// logged only at level "all".
  void log_request(const RequestSummary& summary);
  /// Logs a response whose end was inferred from the close of its connection.
  void log_inferred_end(const InferredEnd& end);
  /// Logs what such a response was taken for, and by what.
  void log_inferred_end_verdict(const InferredEndVerdict& verdict);
  /// Logs the crash of a back end and the requests that were running there.
  void log_crash(const BackendCrash& crash);
  /// Logs a connection that was closed before its caller had received all queued responses.
  /// @param state  of the gateway's state chart.
  void log_undelivered(const ConnectionRemains& remains, const std::string& state);
  /// Logs how many lines were suppressed, and flushes the log. Call periodically.
  void flush();

 private:
  std::string decisions_;
  LogBudget budget_;
};

}  // namespace pumicemast
