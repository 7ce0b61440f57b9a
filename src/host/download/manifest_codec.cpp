#include "host/download/manifest_codec.h"

#include <algorithm>

namespace pumicemast {
namespace {

constexpr std::size_t kHashBytes = sizeof(Sha256);

}  // namespace

wire::ManifestDocumentT encode_manifest(const WeightManifest& manifest) {
  wire::ManifestDocumentT message;
  message.model = manifest.model;
  message.version = manifest.version;
  message.chunk_bytes = manifest.chunk_bytes;
  message.layers = manifest.layers;
  for (const Sha256& hash : manifest.hashes) {
    message.hashes.insert(message.hashes.end(), hash.begin(), hash.end());
  }
  return message;
}

WeightManifest decode_manifest(const wire::ManifestDocument& document) {
  WeightManifest manifest;
  manifest.model = document.model()->str();
  manifest.version = document.version();
  manifest.chunk_bytes = document.chunk_bytes();
  manifest.layers = document.layers();
  if (document.hashes() == nullptr) return manifest;
  for (std::size_t at = 0; at + kHashBytes <= document.hashes()->size(); at += kHashBytes) {
    Sha256 hash{};
    std::copy_n(document.hashes()->data() + at, kHashBytes, hash.begin());
    manifest.hashes.push_back(hash);
  }
  return manifest;
}

}  // namespace pumicemast
