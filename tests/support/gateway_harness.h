/// Drives the decision cores of a gateway with a small configuration and a manual clock.
#pragma once

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "gateway/requests/request_forwarder.h"

namespace pumicemast::tests {

class GatewayHarness {
 public:
  GatewayHarness()
      : targets(seconds(7)),
        pool(pool_options()),
        forwarder(pool, targets, quarantine, ForwarderOptions{}) {}

  static BackendPoolOptions pool_options() {
    BackendPoolOptions options;
    options.zone = "z1";
    options.regions_of_zones = {{"z1", "r1"}, {"z2", "r2"}};
    return options;
  }

  static FleetConfiguration configuration(std::uint64_t version = 1) {
    FleetConfiguration result;
    result.version = version;
    result.routes = {route("chat", "/chat/", RequestKind::stream, "engines", 2),
                     route("write", "/write/", RequestKind::not_repeatable, "plain", 1),
                     route("pay", "/pay/", RequestKind::not_repeatable, "plain", 2),
                     route("read", "/read/", RequestKind::repeatable, "plain", 2),
                     route("once", "/once/", RequestKind::stream, "engines", 2)};
    result.routes[0].resumable = true;
    ServiceProfile engines;
    engines.name = "engines";
    engines.engine = EngineProfile{};
    engines.engine->slots = 4;
    ServiceProfile plain;
    plain.name = "plain";
    result.services = {engines, plain};
    result.tenants = {{"acme", {"key-1"}, std::nullopt}};
    return result;
  }

  void configure() { forwarder.set_routes(std::make_shared<RouteTable>(configuration())); }

  void add_backend(const std::string& id, const std::string& service, std::uint16_t port,
                   std::uint64_t weights = 0) {
    BackendRecord record;
    record.id = id;
    record.service = service;
    record.address = {"127.0.0.1", port};
    record.zone = "z1";
    record.slots = 4;
    record.revision = ++revision;
    record.weight_version = weights;
    pool.on_record(record, now);
  }

  /// Delivers a load report of an engine.
  void report_load(std::uint16_t port, std::uint32_t credit, std::uint64_t weights,
                   std::uint32_t running = 0) {
    LoadReport load;
    load.alive = true;
    load.credit = credit;
    load.weight_version = weights;
    load.running = running;
    pool.on_report({"127.0.0.1", port}, load, now);
  }

  /// Sets the configuration and adds two idle engines with credit.
  void add_engines() {
    configure();
    add_backend("e1", "engines", 1, 1);
    add_backend("e2", "engines", 2, 1);
    report_load(1, 4, 1);
    report_load(2, 4, 1);
  }
  /// Adds an engine without credit, after 30 requests that teach the gateway the callers' timeout.
  void add_busy_engine() {
    configure();
    for (int count = 0; count < 30; ++count) send_request("/chat/1");
    advance(milliseconds(100));
    now += seconds(1);
    add_backend("e1", "engines", 1, 1);
    report_load(1, 0, 1, 4);
  }

  RequestNumber send_request(const std::string& target, const std::string& key = "key-1",
                             Duration time_left = seconds(6)) {
    RequestMetadata request;
    request.id = "r" + std::to_string(++number);
    request.host = "api.example";
    request.target = target;
    request.content = fingerprint_content("POST", request.host, target, "");
    request.api_key = key;
    request.time_left = time_left;
    request.model = "m";
    request.prompt_tokens = 100;
    actions.clear();
    forwarder.on_request(number, request, now, actions);
    return number;
  }

  void receive_head(RequestNumber request, int status, bool not_run = false, bool events = false,
                    const BackendNotice& notice = {}) {
    ResponseMetadata metadata;
    metadata.notice = notice;
    metadata.status = status;
    metadata.not_run = not_run;
    metadata.success = status >= 200 && status < 300;
    actions.clear();
    forwarder.on_connected(request);
    forwarder.on_response_head(request, metadata, events, now);
  }
  void receive_body(RequestNumber request, const std::string& bytes) {
    actions.clear();
    forwarder.on_response_body(request, bytes, now, actions);
  }
  void complete_response(RequestNumber request, ResponseEnd end = ResponseEnd::stated) {
    actions.clear();
    forwarder.on_response_complete(request, end, now, actions);
  }
  /// A process listens at the back end's address, as a probe finds that began now.
  void find_listening(const std::string& backend) { find_listening(backend, now); }
  void find_listening(const std::string& backend, TimePoint probed_at) {
    actions.clear();
    forwarder.on_backend_listening(backend, probed_at, now, actions);
  }
  void fail_attempt(RequestNumber request, AttemptFailure failure) {
    actions.clear();
    forwarder.on_attempt_failed(request, failure, now, actions);
  }
  void advance(Duration span) {
    now += span;
    actions.clear();
    forwarder.on_tick(now, actions);
  }

  /// First action of this type among those of the last call, or null.
  template <class Action>
  const Action* first_action() const {
    for (const ForwarderAction& action : actions) {
      if (const auto* typed = std::get_if<Action>(&action)) return typed;
    }
    return nullptr;
  }
  /// Back end to which the last call sent a request; empty if it sent none.
  std::string sent_to() const {
    const auto* send = first_action<SendToBackend>();
    return send == nullptr ? "" : send->backend;
  }
  /// Back end that the last call probed; empty if it probed none.
  std::string probed() const {
    const auto* probe = first_action<ProbeBackend>();
    return probe == nullptr ? "" : probe->backend;
  }
  int refusal_status() const {
    const auto* refusal = first_action<SendRefusal>();
    return refusal == nullptr ? 0 : refusal->status;
  }

  TimePoint now = TimePoint(seconds(100));
  std::uint64_t revision = 0;
  RequestNumber number = 0;
  WeightTargets targets;
  BackendPool pool;
  RequestQuarantine quarantine;
  RequestForwarder forwarder;
  ForwarderActions actions;

 private:
  static RouteRule route(const std::string& name, const std::string& prefix, RequestKind kind,
                         const std::string& service, std::uint32_t attempts) {
    RouteRule rule;
    rule.name = name;
    rule.host = "api.example";
    rule.path_prefix = prefix;
    rule.kind = kind;
    rule.timeout = seconds(6);
    rule.latency_goal = milliseconds(400);
    rule.gap_goal = milliseconds(400);
    rule.services = {{service, 1}};
    rule.attempts = attempts;
    return rule;
  }
};

}  // namespace pumicemast::tests
