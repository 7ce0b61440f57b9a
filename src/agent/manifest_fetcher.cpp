#include "agent/manifest_fetcher.h"

namespace pumicemast {

ManifestFetcher::ManifestFetcher(WeightStoreClient& origin, Metrics& metrics,
                                 std::function<void(ManifestPointer, std::size_t)> on_manifest)
    : origin_(origin), metrics_(metrics), on_manifest_(std::move(on_manifest)) {}

ManifestFetcher::ManifestPointer ManifestFetcher::find(const std::string& digest) const {
  const auto found = known_.find(digest);
  return found == known_.end() ? nullptr : found->second;
}

void ManifestFetcher::fetch(const std::string& digest) {
  if (const ManifestPointer manifest = find(digest)) {
    on_manifest_(manifest, 0);
    return;
  }
  if (!pending_.contains(digest)) request_manifest(digest);
}

void ManifestFetcher::request_manifest(const std::string& digest) {
  pending_[digest].call = origin_.read_manifest(
      digest, [this, digest](const WeightReadResult& result) { on_response(digest, result); });
}

void ManifestFetcher::on_response(const std::string& digest, const WeightReadResult& result) {
  const ManifestPointer manifest = handle_error(
      [&]() -> leaf::result<ManifestPointer> {
        if (!result.found) return ManifestPointer();
        BOOST_LEAF_AUTO(parsed, Manifest::parse(result.bytes));
        if (parsed.digest() != digest) return ManifestPointer();
        return std::make_shared<const Manifest>(std::move(parsed));
      },
      [](const Error&) { return ManifestPointer(); });
  if (!manifest) {
    metrics_.count("pumicemast_agent_manifest_failures_total");
    pending_[digest].retry.start_once(result.retry_after,
                                      [this, digest] { request_manifest(digest); });
    return;
  }
  pending_.erase(digest);
  known_[digest] = manifest;
  on_manifest_(manifest, result.bytes.size());
}

}  // namespace pumicemast
