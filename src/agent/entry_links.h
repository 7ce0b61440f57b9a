/// Connects the agent to the entries in its settings and reconnects with exponential backoff.
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
    /// A connection was established and expects a status report.
    std::function<void(EntryNumber)> on_connected;
    std::function<void(EntryNumber, const wire::Frame&)> on_frame;
    std::function<void(EntryNumber)> on_lost;
  };

  EntryLinks(std::vector<Address> addresses, std::uint64_t seed, Callbacks callbacks);
  void start();
  /// @return null while no connection has this number.
  WireConnection* connection(EntryNumber entry);
  void broadcast(const wire::AgentStatusT& status);
  std::size_t connected() const;

 private:
  struct Link {
    Address address;
    EntryNumber number = 0;  ///< Unique for each connection, so responses never go to a later one.
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
