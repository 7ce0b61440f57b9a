/// Memory of the engine stand-in: staged and serving versions of weights, and the newest fence.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "swarm/chunk_set.h"
#include "weights/manifest.h"

namespace pumicemast::standins {

/// A response of the control interface: HTTP status and reason.
struct ControlResponse {
  unsigned status = 200;
  std::string reason;
};

class EngineMemory {
 public:
  /// @param checks_fence  whether an order with an old fence is refused.
  /// @param verifies      whether activation requires that all chunks are held and correct.
  EngineMemory(std::uint64_t memory_bytes, bool checks_fence, bool verifies)
      : memory_bytes_(memory_bytes), checks_fence_(checks_fence), verifies_(verifies) {}

  ControlResponse open_version(const std::string& digest, const std::string& manifest_json);
  ControlResponse write_chunk(const std::string& digest, ChunkIndex chunk, std::string bytes);
  /// Null when the chunk is not held.
  const std::string* read_chunk(const std::string& digest, ChunkIndex chunk) const;
  ControlResponse activate(const std::string& model, const std::string& version,
                           const std::string& digest, std::uint64_t fence);
  ControlResponse drop(const std::string& digest, std::uint64_t fence);
  /// A whole file of a held version, or nullopt.
  std::optional<std::string> read_file(const std::string& digest, const std::string& path) const;

  /// Eight characters that depend on every byte of the weights that serve `model`; "" for none.
  std::string content_tag(const std::string& model) const;
  nlohmann::json describe() const;
  std::uint64_t stale_orders() const { return stale_orders_; }

 private:
  struct Version {
    Manifest manifest;
    ChunkSet held;
    std::vector<std::string> chunks;
    std::vector<Sha256> hashes;  ///< Of the bytes held, which may differ from the manifest's.
  };
  struct Serving {
    std::string version;
    std::string digest;
    std::string tag;
  };
  bool fence_is_stale(std::uint64_t fence);

  std::uint64_t memory_bytes_;
  bool checks_fence_;
  bool verifies_;
  std::uint64_t used_bytes_ = 0;
  std::uint64_t highest_fence_ = 0;
  std::uint64_t stale_orders_ = 0;
  std::map<std::string, Version> versions_;
  std::map<std::string, Serving> serving_;
};

}  // namespace pumicemast::standins
