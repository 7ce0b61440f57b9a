#include "standins/engine_memory.h"

#include <algorithm>

namespace pumicemast::standins {

using nlohmann::json;

bool EngineMemory::fence_is_stale(std::uint64_t fence) {
  if (fence < highest_fence_) {
    ++stale_orders_;
    return checks_fence_;
  }
  highest_fence_ = fence;
  return false;
}

ControlResponse EngineMemory::open_version(const std::string& digest,
                                           const std::string& manifest_json) {
  return handle_error(
      [&]() -> leaf::result<ControlResponse> {
        BOOST_LEAF_AUTO(manifest, Manifest::parse(manifest_json));
        if (manifest.digest() != digest)
          return ControlResponse{400, "the manifest has another digest"};
        if (versions_.contains(digest)) return ControlResponse{};
        if (used_bytes_ + manifest.total_bytes() > memory_bytes_) {
          return ControlResponse{507, "not enough memory"};
        }
        used_bytes_ += manifest.total_bytes();
        const ChunkIndex count = manifest.chunk_count();
        versions_.emplace(
            digest, Version{std::move(manifest), ChunkSet(count), std::vector<std::string>(count),
                            std::vector<Sha256>(count)});
        return ControlResponse{};
      },
      [](const Error& error) {
        return ControlResponse{400, error.reason};
      });
}

ControlResponse EngineMemory::write_chunk(const std::string& digest, ChunkIndex chunk,
                                          std::string bytes) {
  const auto found = versions_.find(digest);
  if (found == versions_.end()) return {404, "no such version"};
  Version& version = found->second;
  if (chunk >= version.held.size()) return {400, "no such chunk"};
  for (const auto& [model, serving] : serving_) {
    if (serving.digest == digest) return {200, "already serving; chunk not overwritten"};
  }
  version.hashes[chunk] = sha256(bytes);
  version.chunks[chunk] = std::move(bytes);
  version.held.insert(chunk);
  return {};
}

const std::string* EngineMemory::read_chunk(const std::string& digest, ChunkIndex chunk) const {
  const auto found = versions_.find(digest);
  if (found == versions_.end() || !found->second.held.contains(chunk)) return nullptr;
  return &found->second.chunks[chunk];
}

ControlResponse EngineMemory::activate(const std::string& model, const std::string& version,
                                       const std::string& digest, std::uint64_t fence) {
  if (fence_is_stale(fence)) return {409, "a newer fence was seen"};
  const auto found = versions_.find(digest);
  if (found == versions_.end()) return {404, "no such version"};
  const Version& staged = found->second;
  const bool complete = staged.held.full() && staged.hashes == staged.manifest.chunk_hashes();
  if (verifies_ && !complete) return {422, "weights are incomplete or corrupt"};
  Sha256Stream stream;
  for (const Sha256& hash : staged.hashes) stream.update(to_hex(hash));
  serving_[model] = {version, digest, to_hex(stream.finish()).substr(0, 8)};
  return {};
}

ControlResponse EngineMemory::drop(const std::string& digest, std::uint64_t fence) {
  if (fence != 0 && fence_is_stale(fence)) return {409, "a newer fence was seen"};
  const auto found = versions_.find(digest);
  if (found == versions_.end()) return {};
  std::erase_if(serving_, [&](const auto& entry) { return entry.second.digest == digest; });
  used_bytes_ -= found->second.manifest.total_bytes();
  versions_.erase(found);
  return {};
}

std::optional<std::string> EngineMemory::read_file(const std::string& digest,
                                                   const std::string& path) const {
  const auto found = versions_.find(digest);
  if (found == versions_.end()) return std::nullopt;
  const Version& version = found->second;
  const auto& files = version.manifest.files();
  const auto file = std::find_if(files.begin(), files.end(),
                                 [&](const ManifestFile& entry) { return entry.path == path; });
  if (file == files.end()) return std::nullopt;
  std::string content;
  for (ChunkIndex chunk = file->first_chunk; content.size() < file->bytes; ++chunk) {
    if (!version.held.contains(chunk) || version.chunks[chunk].empty()) return std::nullopt;
    content += version.chunks[chunk];
  }
  return content;
}

std::string EngineMemory::content_tag(const std::string& model) const {
  const auto found = serving_.find(model);
  return found == serving_.end() ? "" : found->second.tag;
}

json EngineMemory::describe() const {
  json serving = json::object();
  for (const auto& [model, entry] : serving_) {
    serving[model] = {{"version", entry.version}, {"digest", entry.digest}, {"tag", entry.tag}};
  }
  json held = json::object();
  for (const auto& [digest, version] : versions_) {
    held[digest] = {{"chunk_count", version.held.size()}, {"bitmap", version.held.to_bytes()}};
  }
  return {{"memory_bytes", memory_bytes_}, {"serving", serving}, {"held", held}};
}

}  // namespace pumicemast::standins
