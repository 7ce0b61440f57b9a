#include "load/load_generator.h"

#include <nlohmann/json.hpp>

#include "weights/sha256.h"

namespace pumicemast {
namespace {

using nlohmann::json;

constexpr Duration kSendInterval = milliseconds(5);
constexpr Duration kResponseTimeout = seconds(60);
constexpr std::size_t kPromptHashLength = 8;

}  // namespace

LoadSettings LoadSettings::read(Settings& settings) {
  LoadSettings result;
  result.entries = settings.required_addresses("load", "entries");
  result.model = settings.required_string("load", "model");
  result.service_path = settings.string_or("load", "service_path", "");
  result.tenants =
      static_cast<std::uint32_t>(settings.integer_or("load", "tenants", 3, {1, 10000}));
  result.requests_per_second = settings.number_or("load", "requests_per_second", 50, 0.01, 100000);
  result.duration = settings.milliseconds_or("load", "duration_ms", 10000, {1, 86400000});
  result.minimum_tokens =
      static_cast<std::uint32_t>(settings.integer_or("load", "minimum_tokens", 4, {1, 10000}));
  result.maximum_tokens =
      static_cast<std::uint32_t>(settings.integer_or("load", "maximum_tokens", 64, {1, 10000}));
  result.stream_fraction = settings.number_or("load", "stream_share", 0.4, 0, 1);
  result.service_fraction = settings.number_or("load", "service_share", 0.2, 0, 1);
  result.repeated_key_fraction = settings.number_or("load", "repeated_key_share", 0.1, 0, 1);
  result.seed = static_cast<std::uint64_t>(settings.integer_or("load", "seed", 1, {0, INT64_MAX}));
  result.history_path = settings.string_or("load", "history", "");
  settings.require(result.minimum_tokens <= result.maximum_tokens, "load", "minimum_tokens",
                   "is more than maximum_tokens");
  return result;
}

LoadGenerator::LoadGenerator(LoadSettings settings, std::function<void()> on_finished)
    : settings_(std::move(settings)),
      on_finished_(std::move(on_finished)),
      client_(kResponseTimeout),
      random_(settings_.seed) {}

void LoadGenerator::start() {
  started_ = loop_now();
  timer_.start_repeating(kSendInterval, [this] { send_due(); });
}

void LoadGenerator::stop() {
  stopping_ = true;
  if (calls_.empty()) on_finished_();
}

void LoadGenerator::send_due() {
  const Duration elapsed = loop_now() - started_;
  if (stopping_ || elapsed >= settings_.duration) {
    timer_.cancel();
    if (!stopping_) stop();
    return;
  }
  const auto due = static_cast<std::uint64_t>(to_seconds(elapsed) * settings_.requests_per_second);
  while (sent_ < due) {
    ++sent_;
    send_one();
  }
}

void LoadGenerator::send_one() {
  std::uniform_real_distribution<double> uniform(0, 1);
  const bool service =
      !settings_.service_path.empty() && uniform(random_) < settings_.service_fraction;
  if (!service) {
    send_model_call(uniform(random_) < settings_.stream_fraction);
    return;
  }
  const std::string key = "key-" + std::to_string(settings_.seed) + "-" + std::to_string(sent_);
  send_service_call(key);
  if (uniform(random_) < settings_.repeated_key_fraction) send_service_call(key);
}

std::string LoadGenerator::entry_url() {
  const Address& entry = settings_.entries[next_entry_++ % settings_.entries.size()];
  return "http://" + entry.to_string();
}

std::string LoadGenerator::next_id() {
  return "load-" + std::to_string(settings_.seed) + "-" + std::to_string(next_call_);
}

void LoadGenerator::send_model_call(bool stream) {
  ExpectedResponse expected;
  expected.request_id = next_id();
  expected.stream = stream;
  expected.chat = random_() % 2 == 0;
  expected.tokens = settings_.minimum_tokens +
                    static_cast<std::uint32_t>(
                        random_() % (settings_.maximum_tokens - settings_.minimum_tokens + 1));
  const std::string prompt = "Summarise reading " + expected.request_id;
  json body = {{"model", settings_.model}, {"max_tokens", expected.tokens}, {"stream", stream}};
  if (expected.chat) {
    body["messages"] = json::array({{{"role", "user"}, {"content", prompt}}});
    expected.prompt_hash = to_hex(sha256(body["messages"].dump())).substr(0, kPromptHashLength);
  } else {
    body["prompt"] = prompt;
    expected.prompt_hash = to_hex(sha256(body["prompt"].dump())).substr(0, kPromptHashLength);
  }
  HttpRequest request;
  request.method = "POST";
  request.url = entry_url() + (expected.chat ? "/v1/chat/completions" : "/v1/completions");
  request.content_type = "application/json";
  request.body = body.dump();
  LoadRecord record;
  record.kind = stream ? "stream" : "plain";
  send(std::move(request), std::move(expected), std::move(record), false);
}

void LoadGenerator::send_service_call(const std::string& key) {
  ExpectedResponse expected;
  expected.request_id = next_id();
  HttpRequest request;
  request.method = "POST";
  request.url = entry_url() + settings_.service_path;
  request.content_type = "application/json";
  request.body = json{{"key", key}}.dump();
  request.headers["Idempotency-Key"] = key;
  request.headers["X-Non-Repeatable"] = "true";
  LoadRecord record;
  record.kind = "service";
  record.key = key;
  send(std::move(request), std::move(expected), std::move(record), true);
}

void LoadGenerator::send(HttpRequest request, ExpectedResponse expected, LoadRecord record,
                         bool service) {
  const std::uint64_t call = next_call_++;
  request.headers["X-Request-Id"] = expected.request_id;
  // Derived from sent_ rather than from `call`, so that both requests with a repeated idempotency
  // key come from the same tenant.
  request.headers["X-Tenant"] = "tenant-" + std::to_string(sent_ % settings_.tenants);
  record.request_id = expected.request_id;
  record.sent = loop_now();
  const std::size_t index = records_.size();
  records_.push_back(std::move(record));
  auto received = std::make_shared<ReceivedResponse>();
  calls_[call] = client_.stream(
      request,
      {[this, received, index](const HttpResponse& head) {
         received->status = head.status;
         const auto find = [&](const char* name) {
           const auto header = head.headers.find(name);
           return header == head.headers.end() ? std::string() : header->second;
         };
         received->outcome_header = head.never_sent ? "not-run" : find("x-outcome");
         received->request_id_header = find("x-request-id");
         records_[index].status = head.status;
         records_[index].first_byte = loop_now();
       },
       [received](const std::string& bytes) { received->body += bytes; },
       [this, received, index, call, expected = std::move(expected), service](bool complete) {
         received->ended_normally = complete;
         const CheckedResponse checked = service ? check_service_response(expected, *received)
                                                 : check_model_response(expected, *received);
         LoadRecord& finished = records_[index];
         finished.verdict = checked.verdict;
         finished.tag = checked.tag;
         finished.done = loop_now();
         calls_.erase(call);
         if (stopping_ && calls_.empty()) on_finished_();
       }});
}

}  // namespace pumicemast
