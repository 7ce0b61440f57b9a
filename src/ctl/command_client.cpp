#include "ctl/command_client.h"

#include "common/command_line.h"
#include "common/event_loop.h"
#include "ctl/ctl_options.h"

namespace pumicemast {
namespace {

using nlohmann::json;

constexpr Duration kTimeout = seconds(30);

int exit_code_of(unsigned status) {
  switch (status) {
    case 200:
      return kExitOk;
    case 400:
      return kExitUsage;
    case 404:
      return kExitNotFound;
    case 409:
      return kExitConflict;
    case 503:
      return kExitUnavailable;
    case 504:
      return kExitUnknownOutcome;
    default:
      return kExitFailure;
  }
}

CommandAnswer unanswered(bool may_have_run, const std::string& reason) {
  CommandAnswer answer;
  answer.exit_code = may_have_run ? kExitUnknownOutcome : kExitUnavailable;
  answer.document = {{"ok", false},
                     {"code", may_have_run ? "unknown_outcome" : "unavailable"},
                     {"place", "entry"},
                     {"reason", reason}};
  return answer;
}

}  // namespace

CommandClient::CommandClient(std::vector<Address> entries, std::string user)
    : entries_(std::move(entries)), user_(std::move(user)), client_(kTimeout) {}

void CommandClient::send(std::size_t index, const std::string& body, bool query,
                         std::function<void(CommandAnswer)> on_done) {
  HttpRequest request;
  request.method = "POST";
  request.url = "http://" + entries_[index].to_string() + "/v1/command";
  request.content_type = "application/json";
  request.body = body;
  client_.fetch_owned(request, [this, index, body, query, on_done](const HttpResponse& response) {
    if (response.status != 0) {
      CommandAnswer answer;
      answer.exit_code = exit_code_of(response.status);
      answer.document = json::parse(response.body, nullptr, false);
      on_done(answer.document.is_object()
                  ? answer
                  : unanswered(true, "the entry's answer is not a JSON object"));
      return;
    }
    // Another entry may be tried only if this one cannot have changed anything.
    const bool may_try_next = query || response.never_sent;
    if (may_try_next && index + 1 < entries_.size()) {
      send(index + 1, body, query, on_done);
      return;
    }
    on_done(unanswered(!may_try_next, response.failure));
  });
}

CommandAnswer CommandClient::run(const std::vector<std::string>& words) {
  const bool query = !words.empty() && (words[0] == "show" || words[0] == "explain");
  const std::string body = json{{"words", words}, {"user", user_}}.dump();
  EventLoop loop;
  CommandAnswer result;
  send(0, body, query, [&](CommandAnswer answer) {
    result = std::move(answer);
    loop.quit();
  });
  loop.run();
  return result;
}

}  // namespace pumicemast
