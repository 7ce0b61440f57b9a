/// The agent's connections to the entries of its settings, kept up with back-off.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "agent/request_runner.h"
#include "common/event_loop.h"
#include "transport/wire_connection.h"

namespace pumicemast {

class EntryLinks {
 public:
  struct Callbacks {
    std::function<wire::AgentHelloT()> hello;
    /// A connection was made: send the status.
    std::function<void(EntryNumber)> on_connected;
    std::function<void(EntryNumber, const wire::Frame&)> on_frame;
    std::function<void(EntryNumber)> on_lost;
  };

  EntryLinks(std::vector<Address> addresses, std::uint64_t seed, Callbacks callbacks);
  void start();
  /// Null while there is no connection under this number.
  WireConnection* connection(EntryNumber entry);
  void broadcast(const wire::AgentStatusT& status);
  std::size_t connected() const;

 private:
  struct Link {
    Address address;
    EntryNumber number = 0;  ///< New for each connection: answers never go to a later one.
    std::unique_ptr<WireConnection> connection;
    Timer retry;
    std::uint32_t failures = 0;
  };
  void connect(Link& link);
  void on_connected(Link& link, std::unique_ptr<WireConnection> connection);
  void on_closed(Link& link, const std::string& reason);
  void retry_later(Link& link);

  Callbacks callbacks_;
  std::vector<std::unique_ptr<Link>> links_;
  std::minstd_rand random_;
  EntryNumber next_number_ = 1;
};

}  // namespace pumicemast
