/// Handles requests from callers: parses them, applies tenant limits and execution claims, and
/// executes the request scheduler's decisions.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "adapters/caller_api.h"
#include "common/metrics.h"
#include "configuration/configuration_store.h"
#include "entry/agent_hub.h"
#include "entry/entry_settings.h"
#include "entry/execution_claims.h"
#include "limits/tenant_limiter.h"
#include "routing/request_scheduler.h"

namespace pumicemast {

class FrontEnd {
 public:
  FrontEnd(const EntrySettings& settings, const ConfigurationStore& configuration,
           BackendDirectory& directory, AgentHub& hub, ExecutionClaims& claims, Metrics& metrics);

  void on_exchange(const HttpExchangePointer& exchange);
  /// Handles a RequestRefused, AnswerHead, AnswerData or AnswerEnd frame of an agent.
  void on_response(const std::string& machine, const wire::Frame& frame);
  void on_backend_lost(const std::string& machine);
  void on_capacity();
  void on_tick();
  void on_configuration();
  /// Refuses new and queued requests; running requests continue.
  void shut_down();
  std::size_t active() const { return callers_.size(); }
  const RequestScheduler& scheduler() const { return scheduler_; }

 private:
  struct Caller {
    HttpExchangePointer exchange;
    CallerRequest request;
    std::string claim;  ///< Name of the execution claim, "" for none.
    std::string tenant_label;
    TimePoint started{};
    bool response_started = false;
    std::uint16_t status = 0;
    std::string content_type;
    std::string buffered;  ///< Body of a response that is not streamed.
    int priority = 0;
  };

  void admit(const HttpExchangePointer& exchange, CallerRequest request);
  void submit(RequestNumber number);
  bool resolve(const CallerRequest& request, RoutingRequirements& need, CallerError& error) const;
  bool resolve_model(const std::string& name, std::string& model) const;
  void refuse(HttpExchange& exchange, const CallerRequest& request, const CallerError& error);
  void execute_actions(const SchedulerActions& actions);
  void execute(const SubmitToBackend& action);
  void execute(const CancelAtBackend& action);
  void execute(const StartResponse& action);
  void execute(const ForwardBytes& action);
  void execute(const FinishResponse& action);
  void execute(const RefuseRequest& action);
  void execute(const AbortStreamedResponse& action);
  void observe_first_byte(const Caller& caller);
  void finish(RequestNumber number, const char* outcome);
  std::string tenant_label(const std::string& tenant) const;

  const EntrySettings& settings_;
  const ConfigurationStore& configuration_;
  BackendDirectory& directory_;
  AgentHub& hub_;
  ExecutionClaims& claims_;
  Metrics& metrics_;
  Router router_;
  RequestScheduler scheduler_;
  TenantLimiter limiter_;
  std::map<RequestNumber, Caller> callers_;
  RequestNumber next_number_ = 1;
  bool shutting_down_ = false;
};

}  // namespace pumicemast
