/// Publishes a directory of weight files at the origin.
#pragma once

#include <string>

#include "common/error.h"
#include "weights/manifest.h"

namespace pumicemast {

/// Hashes `directory` and stores its chunks and manifest at the origin. Chunks that exist there
/// already are sent again, but not stored twice. A failure names the file or the object at fault.
leaf::result<Manifest> publish_directory(const std::string& directory,
                                         const std::string& origin_url, std::uint32_t chunk_bytes);

}  // namespace pumicemast
