/// Fetches manifests from the origin and keeps the fetched ones in memory.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "adapters/weight_store_client.h"
#include "common/event_loop.h"
#include "common/metrics.h"
#include "weights/manifest.h"

namespace pumicemast {

class ManifestFetcher {
 public:
  using ManifestPointer = std::shared_ptr<const Manifest>;

  /// @param on_manifest  called for each requested manifest; `bytes` were read from the origin
  ///                     for it, 0 if it was already in memory.
  ManifestFetcher(WeightStoreClient& origin, Metrics& metrics,
                  std::function<void(ManifestPointer, std::size_t bytes)> on_manifest);

  /// Retries until the fetch succeeds or is cancelled. Reports a manifest in memory at once.
  void fetch(const std::string& digest);
  void cancel(const std::string& digest) { pending_.erase(digest); }
  /// @return null unless the manifest was fetched before.
  ManifestPointer find(const std::string& digest) const;

 private:
  struct Pending {
    HttpCallPointer call;
    Timer retry;
  };
  void request_manifest(const std::string& digest);
  void on_response(const std::string& digest, const WeightReadResult& result);

  WeightStoreClient& origin_;
  Metrics& metrics_;
  std::function<void(ManifestPointer, std::size_t)> on_manifest_;
  std::map<std::string, Pending> pending_;
  std::map<std::string, ManifestPointer> known_;
};

}  // namespace pumicemast
