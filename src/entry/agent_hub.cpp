#include "entry/agent_hub.h"

#include "common/log.h"

namespace pumicemast {
namespace {

std::string text_of(const flatbuffers::String* text) { return text == nullptr ? "" : text->str(); }

BackendHello read_hello(const wire::AgentHello& hello) {
  BackendHello result;
  result.machine = hello.machine()->str();
  result.location = {hello.region()->str(), hello.zone()->str()};
  result.swarm_address = hello.swarm_address()->str();
  result.incarnation = hello.incarnation();
  result.is_engine = hello.backend()->str() == "engine";
  result.service = text_of(hello.service());
  result.memory_bytes = hello.memory_bytes();
  return result;
}

BackendStatus read_status(const wire::AgentStatus& status) {
  BackendStatus result;
  const auto* replicas = status.replicas();
  for (flatbuffers::uoffset_t index = 0; replicas != nullptr && index < replicas->size(); ++index) {
    const wire::ReplicaStatus& replica = *replicas->Get(index);
    result.replicas.emplace(
        replica.model()->str(),
        ReplicaView{replica.version()->str(), replica.digest()->str(), replica.state()->str(),
                    replica.chunks_verified(), replica.chunk_count(), text_of(replica.note())});
  }
  result.in_flight = status.in_flight();
  result.queue_limit = status.queue_limit();
  result.draining = status.draining();
  result.drained = status.drained();
  result.configuration_revision = status.configuration_revision();
  result.origin_bytes = status.origin_bytes();
  result.peer_bytes = status.peer_bytes();
  result.duplicate_bytes = status.duplicate_bytes();
  return result;
}

}  // namespace

AgentHub::AgentHub(Metrics& metrics, Callbacks callbacks)
    : metrics_(metrics), callbacks_(std::move(callbacks)) {}

leaf::result<void> AgentHub::listen(const Address& address) {
  BOOST_LEAF_ASSIGN(listener_,
                    WireListener::listen(address, [this](std::unique_ptr<WireConnection> incoming) {
                      on_incoming(std::move(incoming));
                    }));
  return {};
}

void AgentHub::on_incoming(std::unique_ptr<WireConnection> connection) {
  WireConnection* pointer = connection.get();
  sessions_[pointer].connection = std::move(connection);
  pointer->start({[this, pointer](const wire::Frame& frame) { on_frame(pointer, frame); },
                  [this, pointer](const std::string& reason) { on_closed(pointer, reason); },
                  {}});
}

void AgentHub::on_frame(WireConnection* connection, const wire::Frame& frame) {
  const Session& session = sessions_.at(connection);
  if (session.machine.empty()) {
    const auto* hello = frame.body_as_AgentHello();
    if (hello == nullptr) {
      connection->close("no hello");
      return;
    }
    on_hello(connection, *hello);
    return;
  }
  switch (frame.body_type()) {
    case wire::Body::AgentStatus:
      callbacks_.on_status(session.machine, read_status(*frame.body_as_AgentStatus()));
      return;
    case wire::Body::RequestRefused:
    case wire::Body::AnswerHead:
    case wire::Body::AnswerData:
    case wire::Body::AnswerEnd:
      callbacks_.on_response(session.machine, frame);
      return;
    default:
      metrics_.count("pumicemast_entry_unexpected_frames_total");
  }
}

void AgentHub::on_hello(WireConnection* connection, const wire::AgentHello& hello) {
  const BackendHello read = read_hello(hello);
  const auto previous = by_machine_.find(read.machine);
  if (previous != by_machine_.end()) {
    // The agent reconnected before the loss of its old connection was detected.
    WireConnection* old = previous->second;
    sessions_.at(old).machine.clear();
    by_machine_.erase(previous);
    old->close("replaced");
    callbacks_.on_lost(read.machine);
  }
  sessions_.at(connection).machine = read.machine;
  by_machine_[read.machine] = connection;
  LOG(INFO) << "backend machine=" << read.machine << " state=LOST->CONNECTED";
  callbacks_.on_hello(read);
}

void AgentHub::on_closed(WireConnection* connection, const std::string& reason) {
  if (reason == "oversize frame" || reason == "malformed frame") {
    metrics_.count("pumicemast_entry_bad_frames_total", {{"reason", reason}});
  }
  const std::string machine = sessions_.at(connection).machine;
  sessions_.erase(connection);
  if (machine.empty()) return;
  by_machine_.erase(machine);
  LOG(WARNING) << "backend machine=" << machine << " state=CONNECTED->LOST reason=" << reason;
  callbacks_.on_lost(machine);
}

void AgentHub::drop(const std::string& machine) {
  const auto found = by_machine_.find(machine);
  if (found != by_machine_.end()) found->second->close("silent");
}

}  // namespace pumicemast
