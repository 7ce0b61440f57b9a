/// Judges whether a caller got the whole answer to its own request, from one version.
///
/// The engine stand-in's tokens are `TAG:INDEX:PROMPT_HASH`: the tag depends on every byte
/// of the weights, so partial or mixed weights show as an unknown or a second tag.
#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace pumicemast {

enum class Verdict {
  complete,  ///< Whole, own and from one version.
  not_run,   ///< Refused; the system says that it did not run.
  unknown,   ///< Refused; the system says that the outcome is unknown.
  lost,      ///< No whole answer and no word about the outcome.
  mixed,     ///< Tokens of two versions, or of weights that nobody published.
  foreign,   ///< Another request's answer.
};
const char* to_string(Verdict verdict);

/// What was asked.
struct ExpectedResponse {
  std::string request_id;
  std::string prompt_hash;
  std::uint32_t tokens = 0;
  bool stream = false;
  bool chat = false;
};

/// What arrived.
struct ReceivedResponse {
  unsigned status = 0;
  std::string outcome_header;
  std::string request_id_header;
  std::string body;
  bool ended_normally = false;  ///< The connection ended in order.
};

struct CheckedResponse {
  Verdict verdict = Verdict::lost;
  std::string tag;  ///< Of the weights that answered; "" unless whole.
};

/// Checks a model call's answer.
CheckedResponse check_model_response(const ExpectedResponse& expected,
                                     const ReceivedResponse& received);

/// Checks a plain service's answer, which echoes the request id and the body.
CheckedResponse check_service_response(const ExpectedResponse& expected,
                                       const ReceivedResponse& received);

}  // namespace pumicemast
