/// A language-model engine or plain service on the same machine, over HTTP.
///
/// Engine control:
/// GET  /admin/state                                the weights it holds and serves
/// PUT  /admin/manifest?digest=D                    opens staging memory for a version
/// PUT  /admin/chunk?digest=D&chunk=I               writes one chunk into staging memory
/// GET  /admin/chunk?digest=D&chunk=I               reads a chunk back, staged or serving
/// POST /admin/activate?model=M&version=V&digest=D&fence=F   serve a staged version
/// POST /admin/drop?digest=D&fence=F                frees a version that does not serve
/// A fence lower than one seen before is refused with 409 by engines that check it.
///
/// Requirements on an engine (docs/design/weights.md): it keeps a version that is being written
/// separate from the one that serves, and reads written chunks back on demand.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "http/http_client.h"
#include "swarm/chunk_set.h"

namespace pumicemast {

struct EngineServing {
  std::string version;
  std::string digest;
};

struct EngineState {
  bool answered = false;
  std::string incarnation;  ///< Changes with each restart, which loses the engine's memory.
  std::uint64_t memory_bytes = 0;
  std::map<std::string, EngineServing> serving;  ///< By model.
  std::map<std::string, ChunkSet> held;          ///< Chunks by digest.
  std::uint32_t in_flight = 0;
};

struct EngineResult {
  bool done = false;
  bool fenced = false;  ///< Refused: a newer fence was seen.
  std::string reason;
};

/// Every call runs its callback exactly once, unless the client is destroyed first.
class EngineClient {
 public:
  explicit EngineClient(std::string base_url);

  void read_state(std::function<void(const EngineState&)> on_done);
  void write_manifest(const std::string& digest, const std::string& json,
                      std::function<void(const EngineResult&)> on_done);
  void write_chunk(const std::string& digest, ChunkIndex chunk, const std::string& bytes,
                   std::function<void(const EngineResult&)> on_done);
  void read_chunk(const std::string& digest, ChunkIndex chunk,
                  std::function<void(bool found, const std::string& bytes)> on_done);
  void activate(const std::string& model, const std::string& version, const std::string& digest,
                std::uint64_t fence, std::function<void(const EngineResult&)> on_done);
  void drop(const std::string& digest, std::uint64_t fence,
            std::function<void(const EngineResult&)> on_done);

  /// Runs a caller's request. Dropping the returned call cancels it at the engine.
  HttpCallPointer run(const HttpRequest& request, HttpStreamCallbacks callbacks);
  const std::string& base_url() const { return base_url_; }

 private:
  void order(const std::string& method, const std::string& path, const std::string& body,
             std::function<void(const EngineResult&)> on_done);
  void call(const HttpRequest& request, std::function<void(const HttpResponse&)> on_done);

  std::string base_url_;
  HttpClient control_;
  HttpClient requests_;
};

}  // namespace pumicemast
