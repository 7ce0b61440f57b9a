/// The gateway's lines about decisions, within a budget for each kind.
#pragma once

#include <string>

#include "common/log_budget.h"
#include "gateway/quarantine/crash_witness.h"
#include "gateway/requests/request_session.h"

namespace pumicemast {

class GatewayLog {
 public:
  /// @param decisions  "all", "failures" or "none", as the settings say.
  explicit GatewayLog(std::string decisions);

  void set_decisions(std::string decisions) { decisions_ = std::move(decisions); }
  const std::string& decisions() const { return decisions_; }
  /// A change of what the gateway believes.
  void log_line(const std::string& kind, const std::string& text);
  /// The one line about a request that has ended; good ones only when all are wanted.
  void log_request(const RequestSummary& summary);
  /// A back end ended under requests: which.
  void log_crash(const BackendCrash& crash);
  /// Tells how many lines were left out, and writes what is still held. Call now and then.
  void flush();

 private:
  std::string decisions_;
  LogBudget budget_;
};

}  // namespace pumicemast
