#include "agent/request_runner.h"

#include "common/event_loop.h"

namespace pumicemast {
namespace {

constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kServiceUnavailable = 503;

wire::RefusalReason refusal_reason(AdmissionResult result) {
  switch (result) {
    case AdmissionResult::draining:
      return wire::RefusalReason::draining;
    case AdmissionResult::overloaded:
      return wire::RefusalReason::overloaded;
    default:
      return wire::RefusalReason::not_live;
  }
}

std::string text_of(const flatbuffers::String* text) { return text == nullptr ? "" : text->str(); }

HttpRequest build_request(const std::string& base_url, const wire::SubmitRequest& submit) {
  HttpRequest request;
  request.method = submit.method()->str();
  request.url = base_url + submit.path()->str();
  request.content_type = text_of(submit.content_type());
  if (submit.body() != nullptr && submit.body()->size() > 0) {
    request.body.assign(reinterpret_cast<const char*>(submit.body()->data()),
                        submit.body()->size());
    if (request.content_type.empty()) request.content_type = "application/octet-stream";
  }
  request.headers["X-Request-Id"] = submit.request_id()->str();
  request.headers["X-Priority"] = std::to_string(submit.priority());
  if (submit.resume_from_event() > 0) {
    request.headers["X-Resume-From-Event"] = std::to_string(submit.resume_from_event());
  }
  return request;
}

}  // namespace

RequestRunner::RequestRunner(EngineClient& engine, AdmissionGate& gate, Metrics& metrics,
                             bool is_engine, Callbacks callbacks)
    : engine_(engine),
      gate_(gate),
      metrics_(metrics),
      is_engine_(is_engine),
      callbacks_(std::move(callbacks)) {}

template <class Message>
void RequestRunner::send(EntryNumber entry, const Message& message) {
  WireConnection* connection = callbacks_.connection(entry);
  if (connection != nullptr) connection->send(message);
}

void RequestRunner::refuse(const Key& key, wire::RefusalReason reason) {
  metrics_.count("pumicemast_agent_requests_refused_total",
                 {{"reason", wire::EnumNameRefusalReason(reason)}});
  wire::RequestRefusedT message;
  message.id = key.second;
  message.reason = reason;
  send(key.first, message);
}

void RequestRunner::on_submit(EntryNumber entry, const wire::SubmitRequest& submit) {
  const Key key{entry, submit.id()};
  const std::string model = text_of(submit.model());
  const std::string digest = text_of(submit.digest());
  if (running_.contains(key)) return;
  const AdmissionResult admission = gate_.admit(model, digest);
  if (admission != AdmissionResult::admitted) {
    refuse(key, refusal_reason(admission));
    return;
  }
  metrics_.count("pumicemast_agent_requests_admitted_total");
  RunningRequest& running = running_[key];
  running.model = model;
  running.non_repeatable = submit.non_repeatable();
  running.started = loop_now();
  running.call =
      engine_.run(build_request(engine_.base_url(), submit),
                  {[this, key, digest](const HttpResponse& head) { on_head(key, digest, head); },
                   [this, key](const std::string& bytes) {
                     wire::AnswerDataT message;
                     message.id = key.second;
                     message.bytes.assign(bytes.begin(), bytes.end());
                     send(key.first, message);
                   },
                   [this, key](bool complete) { end(key, complete); }});
}

void RequestRunner::on_head(const Key& key, const std::string& digest, const HttpResponse& head) {
  const bool queue_refused =
      is_engine_ && (head.status == kTooManyRequests || head.status == kServiceUnavailable);
  if (head.never_sent || queue_refused) {
    // In the engine protocol, 429 and 503 mean that the request was not accepted.
    refuse(key, queue_refused ? wire::RefusalReason::overloaded : wire::RefusalReason::not_live);
    remove(key);
    return;
  }
  if (head.status == 0) return;  // The end callback follows with complete == false.
  wire::AnswerHeadT message;
  message.id = key.second;
  message.status = static_cast<std::uint16_t>(head.status);
  const auto type = head.headers.find("content-type");
  if (type != head.headers.end()) message.content_type = type->second;
  message.digest = digest;
  send(key.first, message);
}

void RequestRunner::end(const Key& key, bool complete) {
  const auto found = running_.find(key);
  if (found == running_.end()) return;
  wire::AnswerEndT message;
  message.id = key.second;
  message.whole = complete;
  send(key.first, message);
  metrics_.count("pumicemast_agent_requests_finished_total", {{"whole", complete ? "yes" : "no"}});
  metrics_.observe("pumicemast_agent_request_seconds",
                   {{"class", found->second.model.empty() ? "service" : "model"}},
                   loop_now() - found->second.started);
  remove(key);
}

void RequestRunner::remove(const Key& key) {
  const auto found = running_.find(key);
  if (found == running_.end()) return;
  const std::string model = found->second.model;
  running_.erase(found);
  gate_.finish(model);
  callbacks_.on_finished(model);
}

void RequestRunner::on_cancel(EntryNumber entry, std::uint64_t id) {
  const Key key{entry, id};
  const auto found = running_.find(key);
  if (found == running_.end() || found->second.non_repeatable) return;
  metrics_.count("pumicemast_agent_requests_cancelled_total");
  remove(key);
}

void RequestRunner::on_entry_lost(EntryNumber entry) {
  std::vector<Key> cancelled;
  for (const auto& [key, running] : running_) {
    if (key.first == entry && !running.non_repeatable) cancelled.push_back(key);
  }
  for (const Key& key : cancelled) {
    metrics_.count("pumicemast_agent_requests_cancelled_total");
    remove(key);
  }
}

}  // namespace pumicemast
