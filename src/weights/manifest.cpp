#include "weights/manifest.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>

namespace pumicemast {
namespace {

using nlohmann::json;

Error invalid(const std::string& place, const std::string& reason) {
  return Error{ErrorCode::invalid_argument, place, reason};
}

bool is_safe_path(const std::string& path) {
  if (path.empty() || path.front() == '/') return false;
  std::size_t begin = 0;
  while (begin <= path.size()) {
    const std::size_t end = std::min(path.find('/', begin), path.size());
    const std::string part = path.substr(begin, end - begin);
    if (part.empty() || part == "." || part == "..") return false;
    begin = end + 1;
  }
  return path.find('\0') == std::string::npos;
}

std::uint64_t chunks_of(std::uint64_t bytes, std::uint32_t chunk_bytes) {
  return bytes / chunk_bytes + (bytes % chunk_bytes == 0 ? 0 : 1);
}

std::string compute_digest(std::uint32_t chunk_bytes, const std::vector<ManifestFile>& files,
                           const std::vector<Sha256>& chunk_hashes) {
  Sha256Stream stream;
  stream.update("pumicemast-manifest-1\n" + std::to_string(chunk_bytes) + "\n");
  for (const ManifestFile& file : files) {
    // Each path is preceded by its length, so that no path can imitate another list of files.
    stream.update(std::to_string(file.path.size()) + ":" + file.path + "=" +
                  std::to_string(file.bytes) + "\n");
  }
  for (const Sha256& hash : chunk_hashes) stream.update(to_hex(hash) + "\n");
  return to_hex(stream.finish());
}

}  // namespace

leaf::result<Manifest> Manifest::create(std::uint32_t chunk_bytes, std::vector<ManifestFile> files,
                                        std::vector<Sha256> chunk_hashes) {
  if (chunk_bytes < kMinimumChunkBytes || chunk_bytes > kMaximumChunkBytes) {
    return leaf::new_error(invalid("manifest.chunk_bytes", "outside the accepted range"));
  }
  std::sort(files.begin(), files.end(),
            [](const auto& left, const auto& right) { return left.path < right.path; });
  std::set<std::string> paths;
  std::uint64_t total_chunks = 0;
  std::uint64_t total_bytes = 0;
  for (ManifestFile& file : files) {
    if (!is_safe_path(file.path)) {
      return leaf::new_error(invalid("manifest.files", "unsafe path \"" + file.path + "\""));
    }
    if (!paths.insert(file.path).second) {
      return leaf::new_error(invalid("manifest.files", "repeated path \"" + file.path + "\""));
    }
    const std::uint64_t count = chunks_of(file.bytes, chunk_bytes);
    if (count > kMaximumChunkCount || total_chunks + count > kMaximumChunkCount) {
      return leaf::new_error(invalid("manifest.files", "too many chunks; use larger ones"));
    }
    file.first_chunk = static_cast<ChunkIndex>(total_chunks);
    total_chunks += count;
    total_bytes += file.bytes;
  }
  if (total_chunks != chunk_hashes.size()) {
    return leaf::new_error(invalid("manifest.chunks", "count does not match the files' sizes"));
  }
  if (total_chunks == 0) {
    return leaf::new_error(invalid("manifest.files", "a version needs at least one byte"));
  }
  Manifest manifest;
  manifest.chunk_bytes_ = chunk_bytes;
  manifest.digest_ = compute_digest(chunk_bytes, files, chunk_hashes);
  manifest.files_ = std::move(files);
  manifest.chunk_hashes_ = std::move(chunk_hashes);
  manifest.total_bytes_ = total_bytes;
  return manifest;
}

leaf::result<Manifest> Manifest::parse(const std::string& text) {
  const json document = json::parse(text, nullptr, false);
  try {
    if (document.is_discarded()) return leaf::new_error(invalid("manifest", "not JSON"));
    std::vector<ManifestFile> files;
    for (const json& entry : document.at("files")) {
      files.push_back(
          {entry.at("path").get<std::string>(), entry.at("bytes").get<std::uint64_t>(), 0});
    }
    std::vector<Sha256> hashes;
    for (const json& entry : document.at("chunks")) {
      const auto hash = parse_sha256(entry.get<std::string>());
      if (!hash) return leaf::new_error(invalid("manifest.chunks", "not a SHA-256 digest"));
      hashes.push_back(*hash);
    }
    BOOST_LEAF_AUTO(manifest, create(document.at("chunk_bytes").get<std::uint32_t>(),
                                     std::move(files), std::move(hashes)));
    if (document.at("digest").get<std::string>() != manifest.digest()) {
      return leaf::new_error(invalid("manifest.digest", "does not match the content"));
    }
    return manifest;
  } catch (const json::exception& failure) {
    return leaf::new_error(invalid("manifest", failure.what()));
  }
}

std::string Manifest::serialize() const {
  json document = {{"digest", digest_}, {"chunk_bytes", chunk_bytes_}};
  document["files"] = json::array();
  for (const ManifestFile& file : files_) {
    document["files"].push_back({{"path", file.path}, {"bytes", file.bytes}});
  }
  document["chunks"] = json::array();
  for (const Sha256& hash : chunk_hashes_) document["chunks"].push_back(to_hex(hash));
  return document.dump();
}

ChunkLocation Manifest::place(ChunkIndex chunk) const {
  // The last file whose first chunk is not after `chunk`; empty files own no chunk.
  std::size_t file = 0;
  for (std::size_t index = 0; index < files_.size(); ++index) {
    if (files_[index].first_chunk <= chunk && files_[index].bytes > 0) file = index;
  }
  const std::uint64_t offset =
      static_cast<std::uint64_t>(chunk - files_[file].first_chunk) * chunk_bytes_;
  const std::uint64_t left = files_[file].bytes - offset;
  return {file, offset, static_cast<std::uint32_t>(std::min<std::uint64_t>(left, chunk_bytes_))};
}

bool Manifest::verify(ChunkIndex chunk, std::string_view bytes) const {
  if (chunk >= chunk_count()) return false;
  return bytes.size() == place(chunk).bytes && sha256(bytes) == chunk_hashes_[chunk];
}

leaf::result<Manifest> manifest_of_directory(const std::string& directory,
                                             std::uint32_t chunk_bytes) {
  namespace filesystem = std::filesystem;
  std::error_code failure;
  std::vector<ManifestFile> files;
  const auto options = filesystem::directory_options::follow_directory_symlink;
  filesystem::recursive_directory_iterator iterator(directory, options, failure);
  if (failure) return leaf::new_error(invalid(directory, failure.message()));
  for (const auto& entry : iterator) {
    if (!entry.is_regular_file(failure)) continue;
    const std::string path = entry.path().lexically_relative(directory).generic_string();
    files.push_back({path, entry.file_size(failure), 0});
    if (failure) return leaf::new_error(invalid(entry.path().string(), failure.message()));
  }
  std::sort(files.begin(), files.end(),
            [](const auto& left, const auto& right) { return left.path < right.path; });
  std::vector<Sha256> hashes;
  std::string buffer(chunk_bytes, '\0');
  for (const ManifestFile& file : files) {
    std::ifstream stream(directory + "/" + file.path, std::ios::binary);
    if (!stream) return leaf::new_error(invalid(file.path, "cannot be read"));
    std::uint64_t left = file.bytes;
    while (left > 0) {
      const std::uint64_t wanted = std::min<std::uint64_t>(left, chunk_bytes);
      stream.read(buffer.data(), static_cast<std::streamsize>(wanted));
      if (static_cast<std::uint64_t>(stream.gcount()) != wanted) {
        return leaf::new_error(invalid(file.path, "shrank while it was read"));
      }
      hashes.push_back(sha256(std::string_view(buffer.data(), wanted)));
      left -= wanted;
    }
  }
  return Manifest::create(chunk_bytes, std::move(files), std::move(hashes));
}

leaf::result<std::string> read_chunk(const std::string& directory, const Manifest& manifest,
                                     ChunkIndex chunk) {
  const ChunkLocation place = manifest.place(chunk);
  const std::string& path = manifest.files()[place.file].path;
  std::ifstream stream(directory + "/" + path, std::ios::binary);
  stream.seekg(static_cast<std::streamoff>(place.offset));
  std::string bytes(place.bytes, '\0');
  stream.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  if (!stream || !manifest.verify(chunk, bytes)) {
    return leaf::new_error(invalid(path, "changed while it was published"));
  }
  return bytes;
}

}  // namespace pumicemast
