/// Interfaces of an agent to its engine, to the origin of weights and to the platform.
///
/// Implemented by the adapters of the platform. Each call invokes its callback once from the event
/// loop. A call may take effect although its callback reports a failure.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "fleet/backend_record.h"
#include "fleet/fleet_configuration.h"
#include "weights/manifest.h"
#include "weights/sha256.h"

namespace pumicemast {

/// Content of one version of a model's weights.
struct WeightManifest {
  std::string model;
  std::uint64_t version = 0;
  std::uint32_t chunk_bytes = 0;
  std::uint32_t layers = 1;
  std::vector<Sha256> hashes;  ///< One per chunk.
  bool operator==(const WeightManifest&) const = default;
};

/// Orders an engine to activate all layers of the staged version after its running requests.
struct StartOrder {
  std::string model;
  std::uint64_t version = 0;
  /// The engine's order sequence (LoadReport::order_sequence) as it was last read: the engine
  /// declines the order if another one has begun since.
  std::uint64_t expected_sequence = 0;
};

/// Result of a start order.
enum class StartOutcome {
  begun,
  already_serving,
  refused,  ///< It does not fit the engine's state or order sequence.
  unknown,  ///< No answer: it may have been carried out or may be later.
};
const char* to_string(StartOutcome outcome);

class EngineControl {
 public:
  virtual ~EngineControl() = default;
  /// Number of layers of a complete version.
  virtual void set_layer_count(std::uint32_t layers) = 0;
  /// LoadReport::alive is false when the engine did not answer.
  virtual void read_load(std::function<void(const LoadReport&)> callback) = 0;
  /// The chunks in the engine's staging memory, unverified; nothing on failure.
  virtual void list_staged(
      const std::string& model,
      std::function<void(std::optional<std::vector<ChunkIndex>>)> callback) = 0;
  virtual void read_staged(const std::string& model, ChunkIndex chunk,
                           std::function<void(std::optional<std::string>)> callback) = 0;
  virtual void write_staged(const std::string& model, ChunkIndex chunk, const std::string& bytes,
                            std::function<void(bool done)> callback) = 0;
  virtual void start_serving(const StartOrder& order,
                             std::function<void(StartOutcome)> callback) = 0;
};

class WeightOrigin {
 public:
  virtual ~WeightOrigin() = default;
  /// Number of layers that a manifest must state.
  virtual void set_layer_count(std::uint32_t layers) = 0;
  /// The manifest is unconfirmed (host/download/manifest_confirmation.h).
  /// @param version  0 for the newest.
  virtual void fetch_manifest(const std::string& model, std::uint64_t version,
                              std::function<void(std::optional<WeightManifest>)> callback) = 0;
  /// Nothing when the origin did not deliver the chunk; the bytes are unverified.
  virtual void fetch_chunk(const std::string& model, std::uint64_t version, ChunkIndex chunk,
                           std::function<void(std::optional<std::string>)> callback) = 0;
  /// Cancels the fetch of one chunk: its callback is not called.
  virtual void cancel_chunk(const std::string& model, std::uint64_t version, ChunkIndex chunk) = 0;
  /// Cancels the fetches of all chunks of this version: their callbacks are not called. Fetches of
  /// other versions continue.
  virtual void cancel_chunks(const std::string& model, std::uint64_t version) = 0;
  /// Number of connections that the origin accepts from all agents together.
  virtual std::uint32_t connection_limit() const = 0;
};

/// Receives updates of the agent's environment from the platform.
class HostListener {
 public:
  virtual ~HostListener() = default;
  /// The profile of the engine's service, which has an engine profile, and the origin of its
  /// weights.
  virtual void on_engine_profile(const ServiceProfile& service, const OriginProfile& origin) = 0;
  /// The full list of back ends at `revision`.
  virtual void on_backend_list(const std::vector<BackendRecord>& records,
                               const StoreRevision& revision) = 0;
  virtual void on_weights_named(const std::string& model, std::uint64_t version) = 0;
};

class HostFeed {
 public:
  virtual ~HostFeed() = default;
  virtual void start(HostListener& listener) = 0;
  /// Whether gateways relay the list of back ends and the named weights. If so, the platform's
  /// store is read for them rarely or not at all.
  virtual void set_updates_relayed(bool relayed) = 0;
  /// A gateway has sent the engine's profile: the platform's store need not be read for it.
  virtual void on_profile_relayed(const ServiceProfile& service) = 0;
};

}  // namespace pumicemast
