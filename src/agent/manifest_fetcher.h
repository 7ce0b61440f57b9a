/// Fetches manifests from the origin and keeps those that were read.
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

  /// @param on_manifest  a manifest asked for is there; `bytes` were drawn from the origin.
  ManifestFetcher(WeightStoreClient& origin, Metrics& metrics,
                  std::function<void(ManifestPointer, std::size_t bytes)> on_manifest);

  /// Fetches until it succeeds or is cancelled. A known manifest is reported at once.
  void fetch(const std::string& digest);
  void cancel(const std::string& digest) { pending_.erase(digest); }
  /// Null unless it was fetched before.
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
