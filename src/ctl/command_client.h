/// Sends one command to the first entry that answers.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/settings.h"
#include "http/http_client.h"

namespace pumicemast {

/// An entry's answer to a command.
struct CommandAnswer {
  int exit_code = 0;
  nlohmann::json document;  ///< As the entry sent it, or an error of the client.
};

class CommandClient {
 public:
  CommandClient(std::vector<Address> entries, std::string user);

  /// Runs the event loop until the answer arrives.
  CommandAnswer run(const std::vector<std::string>& words);

 private:
  void send(std::size_t index, const std::string& body, bool query,
            std::function<void(CommandAnswer)> on_done);

  std::vector<Address> entries_;
  std::string user_;
  HttpClient client_;
};

}  // namespace pumicemast
