#include "load/response_checker.h"

#include <nlohmann/json.hpp>
#include <sstream>

namespace pumicemast {
namespace {

using nlohmann::json;

constexpr char kDataPrefix[] = "data: ";
constexpr char kEndOfStream[] = "[DONE]";

Verdict refusal_verdict(const ReceivedResponse& received) {
  if (received.outcome_header == "not-run") return Verdict::not_run;
  if (received.outcome_header == "unknown" || received.outcome_header == "completed") {
    return Verdict::unknown;
  }
  return Verdict::lost;
}

/// Returns the generated text of one choice in a streamed or non-streamed response.
std::string choice_text(const json& choice, bool chat, bool stream) {
  if (!chat) return choice.value("text", "");
  const char* part = stream ? "delta" : "message";
  return choice.value(part, json::object()).value("content", "");
}

struct StreamContent {
  std::string text;
  bool done = false;
  bool error = false;
};

StreamContent read_stream(const std::string& body, bool chat) {
  StreamContent content;
  std::istringstream lines(body);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.rfind(kDataPrefix, 0) != 0) continue;
    const std::string data = line.substr(sizeof(kDataPrefix) - 1);
    if (data == kEndOfStream) {
      content.done = true;
      continue;
    }
    const json event = json::parse(data, nullptr, false);
    if (!event.is_object() || event.contains("error")) {
      content.error = true;
      continue;
    }
    content.text += choice_text(event.at("choices").at(0), chat, true);
  }
  return content;
}

/// Checks the prompt hash, weight tag and index of every token in `text`.
CheckedResponse check_tokens(const ExpectedResponse& expected, const std::string& text) {
  CheckedResponse checked;
  std::istringstream words(text);
  std::string word;
  std::uint32_t count = 0;
  while (words >> word) {
    const auto first = word.find(':');
    const auto second = word.find(':', first + 1);
    if (first == std::string::npos || second == std::string::npos) return {Verdict::mixed, ""};
    const std::string tag = word.substr(0, first);
    if (word.substr(second + 1) != expected.prompt_hash) return {Verdict::foreign, ""};
    if (count > 0 && tag != checked.tag) return {Verdict::mixed, ""};
    if (word.substr(first + 1, second - first - 1) != std::to_string(count)) {
      return {Verdict::lost, ""};
    }
    checked.tag = tag;
    ++count;
  }
  checked.verdict = count == expected.tokens ? Verdict::complete : Verdict::lost;
  return checked;
}

}  // namespace

const char* to_string(Verdict verdict) {
  switch (verdict) {
    case Verdict::complete:
      return "whole";
    case Verdict::not_run:
      return "not_run";
    case Verdict::unknown:
      return "unknown";
    case Verdict::lost:
      return "lost";
    case Verdict::mixed:
      return "mixed";
    case Verdict::foreign:
      return "foreign";
  }
  return "lost";
}

CheckedResponse check_model_response(const ExpectedResponse& expected,
                                     const ReceivedResponse& received) {
  if (received.status != 200) return {refusal_verdict(received), ""};
  if (received.request_id_header != expected.request_id) return {Verdict::foreign, ""};
  if (!received.ended_normally) return {Verdict::lost, ""};
  try {
    if (expected.stream) {
      const StreamContent content = read_stream(received.body, expected.chat);
      if (content.error) return {Verdict::unknown, ""};
      if (!content.done) return {Verdict::lost, ""};
      return check_tokens(expected, content.text);
    }
    const json document = json::parse(received.body);
    return check_tokens(expected, choice_text(document.at("choices").at(0), expected.chat, false));
  } catch (const json::exception&) {
    return {Verdict::lost, ""};
  }
}

CheckedResponse check_service_response(const ExpectedResponse& expected,
                                       const ReceivedResponse& received) {
  if (received.status != 200) return {refusal_verdict(received), ""};
  if (!received.ended_normally) return {Verdict::lost, ""};
  const json document = json::parse(received.body, nullptr, false);
  if (!document.is_object()) return {Verdict::lost, ""};
  const bool own_response = document.value("request_id", "") == expected.request_id;
  return {own_response ? Verdict::complete : Verdict::foreign, ""};
}

}  // namespace pumicemast
