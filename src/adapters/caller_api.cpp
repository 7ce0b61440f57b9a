#include "adapters/caller_api.h"

#include <glib.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

#include "common/hash.h"

namespace pumicemast {
namespace {

using nlohmann::json;

constexpr std::size_t kAffinityPrefixBytes = 512;
constexpr std::size_t kMaximumHeaderLength = 256;
constexpr std::int64_t kMaximumDeadlineMs = 24LL * 3600 * 1000;
constexpr char kDefaultTenant[] = "default";

Error invalid(const std::string& place, const std::string& reason) {
  return Error{ErrorCode::invalid_argument, place, reason};
}

bool is_plain_token(const std::string& text) {
  return text.size() <= kMaximumHeaderLength &&
         std::all_of(text.begin(), text.end(), [](unsigned char character) {
           return g_ascii_isgraph(static_cast<gchar>(character)) != FALSE;
         });
}

std::string make_request_id() {
  gchar* uuid = g_uuid_string_random();
  std::string id = uuid;
  g_free(uuid);
  return id;
}

leaf::result<void> read_headers(const HttpExchange& exchange, CallerRequest& request) {
  request.request_id = exchange.header("X-Request-Id");
  request.tenant = exchange.header("X-Tenant");
  request.idempotency_key = exchange.header("Idempotency-Key");
  for (const auto& [name, value] :
       {std::pair{"X-Request-Id", request.request_id}, std::pair{"X-Tenant", request.tenant},
        std::pair{"Idempotency-Key", request.idempotency_key}}) {
    if (!is_plain_token(value)) {
      return leaf::new_error(invalid(name, "must be at most 256 printable characters"));
    }
  }
  if (request.request_id.empty()) request.request_id = make_request_id();
  if (request.tenant.empty()) request.tenant = kDefaultTenant;
  const std::string mark = exchange.header("X-Non-Repeatable");
  if (!mark.empty() && mark != "true" && mark != "false") {
    return leaf::new_error(invalid("X-Non-Repeatable", "must be true or false"));
  }
  request.non_repeatable = mark == "true";
  const std::string deadline = exchange.header("X-Deadline-Ms");
  if (deadline.empty()) return {};
  std::int64_t deadline_ms = 0;
  const char* end = deadline.data() + deadline.size();
  const auto [stop, failure] = std::from_chars(deadline.data(), end, deadline_ms);
  if (failure != std::errc() || stop != end || deadline_ms < 1 ||
      deadline_ms > kMaximumDeadlineMs) {
    return leaf::new_error(invalid("X-Deadline-Ms", "must be 1 to 86400000 milliseconds"));
  }
  request.deadline = milliseconds(deadline_ms);
  return {};
}

leaf::result<void> read_model_call(CallerRequest& request) {
  const json document = json::parse(request.body, nullptr, false);
  if (!document.is_object()) return leaf::new_error(invalid("body", "is not a JSON object"));
  const auto model = document.find("model");
  if (model == document.end() || !model->is_string()) {
    return leaf::new_error(invalid("model", "is missing or not a string"));
  }
  request.model = model->get<std::string>();
  const auto stream = document.find("stream");
  if (stream != document.end() && !stream->is_null()) {
    if (!stream->is_boolean()) return leaf::new_error(invalid("stream", "is not true or false"));
    request.stream = stream->get<bool>();
  }
  const bool is_chat = request.path == "/v1/chat/completions";
  const auto prompt = document.find(is_chat ? "messages" : "prompt");
  if (prompt == document.end()) {
    return leaf::new_error(invalid(is_chat ? "messages" : "prompt", "is missing"));
  }
  const std::string prefix = prompt->dump().substr(0, kAffinityPrefixBytes);
  request.affinity = stable_hash(prefix) | 1U;  // 0 means no affinity.
  return {};
}

json error_body(const CallerError& error) {
  return {{"error",
           {{"message", error.message},
            {"type", error.type},
            {"code", error.code},
            {"param", nullptr},
            {"outcome", error.outcome}}}};
}

}  // namespace

leaf::result<CallerRequest> read_caller_request(const HttpExchange& exchange) {
  CallerRequest request;
  request.method = exchange.method();
  request.path = exchange.path();
  BOOST_LEAF_CHECK(read_headers(exchange, request));
  request.content_type = exchange.header("Content-Type");
  request.body = exchange.body();
  request.is_model_call =
      request.path == "/v1/completions" || request.path == "/v1/chat/completions";
  if (request.is_model_call) {
    if (request.method != "POST") return leaf::new_error(invalid("method", "must be POST"));
    BOOST_LEAF_CHECK(read_model_call(request));
  }
  return request;
}

void respond_error(HttpExchange& exchange, const std::string& request_id,
                   const CallerError& error) {
  HttpHeaders headers{{kOutcomeHeader, error.outcome}};
  if (!request_id.empty()) headers["X-Request-Id"] = request_id;
  if (error.retry_after > Duration::zero()) {
    const std::int64_t whole_seconds = (to_milliseconds(error.retry_after) + 999) / 1000;
    headers["Retry-After"] = std::to_string(std::max<std::int64_t>(1, whole_seconds));
  }
  exchange.respond(error.status, "application/json", error_body(error).dump(), headers);
}

std::string stream_error_event(const CallerError& error) {
  return "data: " + error_body(error).dump() + "\n\n";
}

std::string models_document(const std::vector<std::string>& models) {
  json data = json::array();
  for (const std::string& model : models) {
    data.push_back({{"id", model}, {"object", "model"}, {"created", 0}, {"owned_by", "operator"}});
  }
  return json{{"object", "list"}, {"data", data}}.dump();
}

std::string with_model_name(const std::string& body, const std::string& model) {
  json document = json::parse(body, nullptr, false);
  if (!document.is_object()) return body;
  document["model"] = model;
  return document.dump();
}

}  // namespace pumicemast
