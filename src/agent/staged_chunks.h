/// Chunks in the engine's staging memory, with a cache of recent ones in the agent's memory.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "adapters/engine_client.h"
#include "transfer/chunk_cache.h"

namespace pumicemast {

class StagedChunks {
 public:
  using Content = std::shared_ptr<const std::string>;

  /// @param cache_bytes  size of the cache, which saves reading back chunks just written.
  StagedChunks(EngineClient& engine, std::uint64_t cache_bytes)
      : engine_(engine), cache_(cache_bytes) {}

  /// Writes a verified chunk. @param callback  receives whether the engine stored it.
  void write(const std::string& digest, ChunkIndex chunk, Content content,
             std::function<void(bool written)> callback);
  /// @param callback  receives null when the engine does not have the chunk; may be called
  ///                  before this function returns.
  void read(const std::string& digest, ChunkIndex chunk, std::function<void(Content)> callback);

 private:
  EngineClient& engine_;
  ChunkCache cache_;
};

}  // namespace pumicemast
