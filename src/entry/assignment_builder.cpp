#include "entry/assignment_builder.h"

#include "transport/frame_codec.h"

namespace pumicemast {
namespace {

std::string digest_of(const ConfigurationStore& configuration, const std::string& model,
                      const std::string& version) {
  if (version.empty()) return "";
  const auto* object = configuration.find<ModelVersion>(model + "@" + version);
  return object == nullptr ? "" : object->value.digest;
}

std::unique_ptr<wire::ModelOrderT> build_order(const ConfigurationStore& configuration,
                                               const BackendDirectory& directory,
                                               const Placement& placement,
                                               const MachinePlacement& held) {
  auto order = std::make_unique<wire::ModelOrderT>();
  order->model = placement.model;
  order->stage_version = held.stage;
  order->stage_digest = digest_of(configuration, placement.model, held.stage);
  order->serve_version = held.serve;
  order->serve_digest = digest_of(configuration, placement.model, held.serve);
  order->fence = placement.fence;
  order->paused = placement.paused;
  const auto* rollout = configuration.find<Rollout>(placement.model);
  if (rollout != nullptr) {
    order->objective = to_string(rollout->value.objective);
    order->priority = rollout->value.priority;
  }
  for (const auto& [machine, other] : placement.machines) {
    const Backend* backend = directory.find(machine);
    if (backend == nullptr || !backend->connected) continue;
    auto participant = std::make_unique<wire::ParticipantT>();
    participant->machine = machine;
    participant->region = backend->hello.location.region;
    participant->zone = backend->hello.location.zone;
    participant->swarm_address = backend->hello.swarm_address;
    order->participants.push_back(std::move(participant));
  }
  return order;
}

}  // namespace

std::unique_ptr<wire::AssignmentT> AssignmentBuilder::build_if_changed(
    const ConfigurationStore& configuration, const BackendDirectory& directory,
    const std::string& machine) {
  auto assignment = std::make_unique<wire::AssignmentT>();
  for (const auto& [model, object] : configuration.all<Placement>()) {
    const auto held = object.value.machines.find(machine);
    if (held == object.value.machines.end()) continue;
    assignment->models.push_back(build_order(configuration, directory, object.value, held->second));
  }
  const auto* stop = configuration.find<PlannedStop>(machine);
  assignment->stop =
      stop != nullptr && (stop->value.state == "DRAINING" || stop->value.state == "DRAINED");
  const EncodedFrame encoded = encode_frame(*assignment);
  std::vector<std::uint8_t> serialized(encoded.data(), encoded.data() + encoded.size());
  auto& sent = sent_[machine];
  if (sent == serialized) return nullptr;
  sent = std::move(serialized);
  assignment->revision = configuration.revision();
  return assignment;
}

}  // namespace pumicemast
