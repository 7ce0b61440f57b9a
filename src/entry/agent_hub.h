/// Accepts the connections of agents to this entry.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "common/metrics.h"
#include "routing/backend_directory.h"
#include "transport/wire_connection.h"

namespace pumicemast {

class AgentHub {
 public:
  struct Callbacks {
    std::function<void(const BackendHello&)> on_hello;
    std::function<void(const std::string& machine, const BackendStatus&)> on_status;
    /// Receives RequestRefused, AnswerHead, AnswerData and AnswerEnd frames.
    std::function<void(const std::string& machine, const wire::Frame&)> on_response;
    std::function<void(const std::string& machine)> on_lost;
  };

  AgentHub(Metrics& metrics, Callbacks callbacks);
  leaf::result<void> listen(const Address& address);

  /// Sends `message` to a machine's agent. @return false when the agent is not connected.
  template <class Message>
  bool send(const std::string& machine, const Message& message) {
    const auto found = by_machine_.find(machine);
    if (found == by_machine_.end()) return false;
    found->second->send(message);
    return true;
  }
  std::size_t connected() const { return by_machine_.size(); }
  /// Closes the connection to an agent that sends nothing although TCP reports no failure.
  void drop(const std::string& machine);

 private:
  struct Session {
    std::unique_ptr<WireConnection> connection;
    std::string machine;  ///< "" until AgentHello arrives.
  };
  void on_incoming(std::unique_ptr<WireConnection> connection);
  void on_frame(WireConnection* connection, const wire::Frame& frame);
  void on_hello(WireConnection* connection, const wire::AgentHello& hello);
  void on_closed(WireConnection* connection, const std::string& reason);

  Metrics& metrics_;
  Callbacks callbacks_;
  std::unique_ptr<WireListener> listener_;
  std::map<WireConnection*, Session> sessions_;
  std::map<std::string, WireConnection*> by_machine_;
};

}  // namespace pumicemast
