/// What an agent asks of the engine beside it, and of the origin of weights.
///
/// Implemented by translators of the surrounding platform. All calls answer from the loop,
/// once each; a call may take effect although its answer says that it failed.
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

/// What one version of a model's weights consists of.
struct WeightManifest {
  std::string model;
  std::uint64_t version = 0;
  std::uint32_t chunk_bytes = 0;
  std::uint32_t layers = 1;
  std::vector<Sha256> hashes;  ///< One a chunk.
};

/// Tells an engine to take all layers of what is staged, after the requests in progress.
struct StartOrder {
  std::string model;
  std::uint64_t version = 0;
  /// The engine's count of orders (LoadReport::order_sequence) as it was last read: the engine
  /// declines the order if another one has begun since.
  std::uint64_t expected_sequence = 0;
};

/// How an order to start serving was taken.
enum class StartOutcome {
  begun,
  already_serving,
  refused,  ///< It does not fit the engine's state, or its count of orders.
  unknown,  ///< No answer: it may have been carried out, or may be later.
};
const char* to_string(StartOutcome outcome);

class EngineControl {
 public:
  virtual ~EngineControl() = default;
  /// Layers that a whole version has.
  virtual void set_layer_count(std::uint32_t layers) = 0;
  /// `alive` is false when the engine did not answer.
  virtual void read_load(std::function<void(const LoadReport&)> callback) = 0;
  /// The chunks that lie in the engine's staging memory, unverified; empty on failure.
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
  /// @param version  0 for the newest.
  virtual void fetch_manifest(const std::string& model, std::uint64_t version,
                              std::function<void(std::optional<WeightManifest>)> callback) = 0;
  /// Empty when the origin did not give the chunk; the bytes are unverified.
  virtual void fetch_chunk(const std::string& model, std::uint64_t version, ChunkIndex chunk,
                           std::function<void(std::optional<std::string>)> callback) = 0;
  /// This chunk is no longer wanted: its callback is not called.
  virtual void cancel_chunk(const std::string& model, std::uint64_t version, ChunkIndex chunk) = 0;
  /// Chunks of this version are no longer wanted: their callbacks are not called. What comes of
  /// other versions goes on.
  virtual void cancel_chunks(const std::string& model, std::uint64_t version) = 0;
  /// Connections that the origin takes from all agents together.
  virtual std::uint32_t connection_limit() const = 0;
};

/// Told what the platform says about the agent's surroundings.
class HostListener {
 public:
  virtual ~HostListener() = default;
  /// The engine's profile, and where its weights come from.
  virtual void on_engine_profile(const EngineProfile& profile, const OriginProfile& origin) = 0;
  /// The whole list of back ends, of that revision.
  virtual void on_backend_list(const std::vector<BackendRecord>& records,
                               std::uint64_t revision) = 0;
  virtual void on_weights_named(const std::string& model, std::uint64_t version) = 0;
};

class HostFeed {
 public:
  virtual ~HostFeed() = default;
  virtual void start(HostListener& listener) = 0;
  /// Whether others tell the list of back ends and named weights: then the platform's store is
  /// asked for them rarely, or not at all.
  virtual void set_updates_relayed(bool relayed) = 0;
};

}  // namespace pumicemast
