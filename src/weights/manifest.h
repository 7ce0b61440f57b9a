/// The manifest of one version of a model's weights.
///
/// Files are cut into chunks that never cross a file's end, so that a file which two
/// versions share also shares its chunks. The manifest's digest covers every path, size
/// and chunk hash; versions with equal digests have identical content.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/error.h"
#include "weights/sha256.h"

namespace pumicemast {

/// Index of a chunk within its version, counted over all files in path order.
using ChunkIndex = std::uint32_t;

constexpr std::uint32_t kDefaultChunkBytes = 4U * 1024U * 1024U;
constexpr std::uint32_t kMinimumChunkBytes = 4U * 1024U;
constexpr std::uint32_t kMaximumChunkBytes = 32U * 1024U * 1024U;
constexpr std::size_t kMaximumChunkCount = 1U << 20U;

struct ManifestFile {
  std::string path;  ///< Relative, with '/' separators and no "." or ".." part.
  std::uint64_t bytes = 0;
  ChunkIndex first_chunk = 0;  ///< Index of its first chunk; derived, not serialized.
};

/// File and offset of a chunk.
struct ChunkLocation {
  std::size_t file = 0;
  std::uint64_t offset = 0;
  std::uint32_t bytes = 0;
};

/// A validated, immutable manifest.
class Manifest {
 public:
  /// Checks the parts and derives the digest. Fails with invalid_argument on an unsafe or
  /// repeated path, an invalid chunk size, or a chunk count that does not match the sizes.
  static leaf::result<Manifest> create(std::uint32_t chunk_bytes, std::vector<ManifestFile> files,
                                       std::vector<Sha256> chunk_hashes);
  /// Reads the JSON form. Fails as create() does, and when a stated digest differs.
  static leaf::result<Manifest> parse(const std::string& json);
  std::string serialize() const;

  const std::string& digest() const { return digest_; }
  std::uint32_t chunk_bytes() const { return chunk_bytes_; }
  const std::vector<ManifestFile>& files() const { return files_; }
  const std::vector<Sha256>& chunk_hashes() const { return chunk_hashes_; }
  ChunkIndex chunk_count() const { return static_cast<ChunkIndex>(chunk_hashes_.size()); }
  std::uint64_t total_bytes() const { return total_bytes_; }
  ChunkLocation place(ChunkIndex chunk) const;
  /// Whether `bytes` are exactly chunk `chunk`.
  bool verify(ChunkIndex chunk, std::string_view bytes) const;

 private:
  Manifest() = default;

  std::uint32_t chunk_bytes_ = 0;
  std::vector<ManifestFile> files_;
  std::vector<Sha256> chunk_hashes_;
  std::uint64_t total_bytes_ = 0;
  std::string digest_;
};

/// Hashes every regular file below `directory` into a manifest. Fails with
/// invalid_argument naming the file that cannot be read or represented.
leaf::result<Manifest> manifest_of_directory(const std::string& directory,
                                             std::uint32_t chunk_bytes);

/// Reads one chunk of a published directory. Fails when the chunk's content has changed.
leaf::result<std::string> read_chunk(const std::string& directory, const Manifest& manifest,
                                     ChunkIndex chunk);

}  // namespace pumicemast
