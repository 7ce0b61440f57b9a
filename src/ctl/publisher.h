/// Publishes a directory of weight files at the origin.
#pragma once

#include <string>

#include "common/error.h"
#include "weights/manifest.h"

namespace pumicemast {

/// Hashes `directory` and stores its chunks and manifest at the origin. Chunks that are
/// there already cost only their transfer. Fails naming the file or the origin.
leaf::result<Manifest> publish_directory(const std::string& directory,
                                         const std::string& origin_url, std::uint32_t chunk_bytes);

}  // namespace pumicemast
