/// The origin of weights: manifests by digest and chunks by content hash, over HTTP.
///
/// GET/PUT /weights/manifest?digest=D    a manifest in JSON
/// GET/PUT /weights/chunk?hash=H         the bytes whose SHA-256 is H
/// The store limits its rate; 429 and 503 carry Retry-After in seconds.
#pragma once

#include <functional>
#include <string>

#include "common/time.h"
#include "http/http_client.h"

namespace pumicemast {

struct WeightReadResult {
  bool found = false;
  std::string bytes;
  Duration retry_after = Duration::zero();  ///< Hint when not found.
};

class WeightStoreClient {
 public:
  explicit WeightStoreClient(std::string base_url);

  /// The returned call must be kept until `on_done` has run; dropping it cancels the request.
  HttpCallPointer read_manifest(const std::string& digest,
                                std::function<void(const WeightReadResult&)> on_done);
  HttpCallPointer read_chunk(const std::string& hash,
                             std::function<void(const WeightReadResult&)> on_done);
  HttpCallPointer write_manifest(const std::string& digest, const std::string& json,
                                 std::function<void(bool stored)> on_done);
  HttpCallPointer write_chunk(const std::string& hash, const std::string& bytes,
                              std::function<void(bool stored)> on_done);

 private:
  HttpCallPointer read(const std::string& path,
                       std::function<void(const WeightReadResult&)> on_done);
  HttpCallPointer write(const std::string& path, const std::string& body,
                        std::function<void(bool)> on_done);

  std::string base_url_;
  HttpClient client_;
};

}  // namespace pumicemast
