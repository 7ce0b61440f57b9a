#include "hollow/hollow_agent.h"

namespace pumicemast {
namespace {

constexpr std::uint64_t kMemoryBytes = 1ULL << 50U;
constexpr std::uint32_t kQueueLimit = 64;

}  // namespace

HollowAgent::HollowAgent(HollowOptions options, HollowTotals& totals)
    : options_(std::move(options)),
      totals_(totals),
      links_(options_.entries, options_.seed,
             {[this] { return hello(); },
              [this](EntryNumber entry) { links_.connection(entry)->send(status()); },
              [this](EntryNumber entry, const wire::Frame& frame) { on_frame(entry, frame); },
              [](EntryNumber) {}}) {}

void HollowAgent::start() {
  links_.start();
  heartbeat_.start_repeating(options_.heartbeat, [this] { report(); });
}

wire::AgentHelloT HollowAgent::hello() const {
  wire::AgentHelloT message;
  message.machine = options_.machine;
  message.region = options_.region;
  message.zone = options_.zone;
  message.swarm_address = "127.0.0.1:1";
  message.incarnation = options_.seed;
  message.backend = "engine";
  message.memory_bytes = kMemoryBytes;
  return message;
}

wire::AgentStatusT HollowAgent::status() const {
  wire::AgentStatusT message;
  for (const auto& [model, replica] : replicas_) {
    auto entry = std::make_unique<wire::ReplicaStatusT>();
    entry->model = model;
    entry->version = replica.version;
    entry->digest = replica.digest;
    entry->state = replica.state;
    message.replicas.push_back(std::move(entry));
  }
  message.queue_limit = kQueueLimit;
  message.draining = message.drained = draining_;
  message.configuration_revision = revision_;
  return message;
}

void HollowAgent::report() {
  const wire::AgentStatusT message = status();
  links_.broadcast(message);
  const std::uint64_t connected = links_.connected();
  totals_.statuses_sent += connected;
  totals_.status_bytes_sent += connected * encode_frame(message).size();
}

void HollowAgent::on_frame(EntryNumber entry, const wire::Frame& frame) {
  if (const auto* assignment = frame.body_as_Assignment()) on_assignment(*assignment);
  if (const auto* submit = frame.body_as_SubmitRequest()) respond_to(entry, *submit);
}

void HollowAgent::on_assignment(const wire::Assignment& assignment) {
  ++totals_.assignments_received;
  wire::AssignmentT copy;
  assignment.UnPackTo(&copy);
  totals_.assignment_bytes_received += encode_frame(copy).size();
  if (copy.revision < revision_) return;
  revision_ = copy.revision;
  draining_ = copy.stop;
  std::map<std::string, HollowReplica> assigned;
  for (const auto& order : copy.models) {
    const auto existing = replicas_.find(order->model);
    const bool unchanged =
        existing != replicas_.end() && existing->second.digest == order->serve_digest;
    assigned[order->model] =
        unchanged ? existing->second
                  : HollowReplica{order->serve_version, order->serve_digest, "FETCHING"};
  }
  replicas_ = std::move(assigned);
  live_timer_.start_once(options_.live_delay, [this] {
    for (auto& [model, replica] : replicas_) replica.state = "LIVE";
    report();
  });
}

void HollowAgent::respond_to(EntryNumber entry, const wire::SubmitRequest& submit) {
  ++totals_.requests_answered;
  WireConnection* connection = links_.connection(entry);
  wire::AnswerHeadT head;
  head.id = submit.id();
  head.status = 200;
  head.content_type = "application/json";
  connection->send(head);
  wire::AnswerDataT data;
  data.id = submit.id();
  data.bytes = {'{', '}'};
  connection->send(data);
  wire::AnswerEndT end;
  end.id = submit.id();
  end.whole = true;
  connection->send(end);
}

}  // namespace pumicemast
