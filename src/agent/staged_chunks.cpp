#include "agent/staged_chunks.h"

#include <utility>

namespace pumicemast {

void StagedChunks::write(const std::string& digest, ChunkIndex chunk, Content content,
                         std::function<void(bool written)> callback) {
  engine_.write_chunk(
      digest, chunk, *content,
      [this, digest, chunk, content, callback = std::move(callback)](const EngineResult& result) {
        if (result.done) cache_.insert(digest, chunk, content);
        callback(result.done);
      });
}

void StagedChunks::read(const std::string& digest, ChunkIndex chunk,
                        std::function<void(Content)> callback) {
  if (auto cached = cache_.find(digest, chunk)) {
    callback(std::move(cached));
    return;
  }
  engine_.read_chunk(
      digest, chunk,
      [this, digest, chunk, callback = std::move(callback)](bool found, const std::string& bytes) {
        if (!found) {
          callback(nullptr);
          return;
        }
        auto content = std::make_shared<const std::string>(bytes);
        cache_.insert(digest, chunk, content);
        callback(std::move(content));
      });
}

}  // namespace pumicemast
