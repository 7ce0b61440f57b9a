/// The interface to callers: the usual model API and plain services.
///
/// Request headers:  X-Request-Id, Idempotency-Key, X-Non-Repeatable: true, X-Tenant,
///                   X-Deadline-Ms (time left in milliseconds)
/// Response headers: X-Request-Id, X-Outcome (completed, not-run, unknown), Retry-After
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/error.h"
#include "common/time.h"
#include "http/http_server.h"

namespace pumicemast {

constexpr char kOutcomeHeader[] = "X-Outcome";
constexpr char kOutcomeCompleted[] = "completed";
constexpr char kOutcomeNotRun[] = "not-run";
constexpr char kOutcomeUnknown[] = "unknown";

/// A caller's request, parsed but not yet admitted.
struct CallerRequest {
  std::string request_id;
  std::string tenant;
  std::string idempotency_key;
  bool non_repeatable = false;
  Duration deadline = Duration::zero();  ///< Time left; zero for none.
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
  bool is_model_call = false;
  std::string model;
  bool stream = false;
  std::uint64_t affinity = 0;  ///< Hash of the beginning of the prompt.
};

/// An error response in the model API's format, with the outcome.
struct CallerError {
  unsigned status = 500;
  std::string type;     ///< For instance "rate_limit_error".
  std::string code;     ///< Stable identifier for programs.
  std::string message;  ///< For people.
  std::string outcome = kOutcomeNotRun;
  Duration retry_after = Duration::zero();
};

/// Reads a request. Fails with invalid_argument when a header or a model call's body is bad.
leaf::result<CallerRequest> read_caller_request(const HttpExchange& exchange);

/// Refuses with a JSON body that repeats the outcome.
void respond_error(HttpExchange& exchange, const std::string& request_id, const CallerError& error);

/// The event that ends a streamed response which cannot be completed.
std::string stream_error_event(const CallerError& error);

/// The body of GET /v1/models.
std::string models_document(const std::vector<std::string>& models);

/// Replaces the model's name in a call's body; aliases are resolved before engines see it.
std::string with_model_name(const std::string& body, const std::string& model);

}  // namespace pumicemast
