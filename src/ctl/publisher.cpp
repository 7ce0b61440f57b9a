#include "ctl/publisher.h"

#include "adapters/weight_store_client.h"
#include "common/event_loop.h"

namespace pumicemast {
namespace {

constexpr int kStoreAttempts = 5;

/// Runs one write to the origin and retries it after failures.
template <class Write>
leaf::result<void> store(const std::string& place, Write write) {
  for (int attempt = 1; attempt <= kStoreAttempts; ++attempt) {
    EventLoop loop;
    bool stored = false;
    const HttpCallPointer call = write([&](bool done) {
      stored = done;
      loop.quit();
    });
    loop.run();
    if (stored) return {};
  }
  return leaf::new_error(Error{ErrorCode::unavailable, place, "the origin did not store it"});
}

}  // namespace

leaf::result<Manifest> publish_directory(const std::string& directory,
                                         const std::string& origin_url, std::uint32_t chunk_bytes) {
  BOOST_LEAF_AUTO(manifest, manifest_of_directory(directory, chunk_bytes));
  WeightStoreClient origin(origin_url);
  for (ChunkIndex chunk = 0; chunk < manifest.chunk_count(); ++chunk) {
    BOOST_LEAF_AUTO(bytes, read_chunk(directory, manifest, chunk));
    const std::string hash = to_hex(manifest.chunk_hashes()[chunk]);
    BOOST_LEAF_CHECK(store("chunk " + hash.substr(0, 12), [&](std::function<void(bool)> on_done) {
      return origin.write_chunk(hash, bytes, std::move(on_done));
    }));
  }
  // The manifest is stored last, so that every chunk of a published manifest exists.
  BOOST_LEAF_CHECK(store("manifest", [&](std::function<void(bool)> on_done) {
    return origin.write_manifest(manifest.digest(), manifest.serialize(), std::move(on_done));
  }));
  return manifest;
}

}  // namespace pumicemast
