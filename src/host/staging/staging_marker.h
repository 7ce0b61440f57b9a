/// Marks an engine's staging memory as holding an incomplete version.
///
/// An agent writes the marker in place of one chunk before it writes any chunk of another version,
/// and overwrites the marker with that chunk last of all. So no agent has ordered the chunks beside
/// a marker, whatever they are, and a restarted agent may continue at once. The marker contains the
/// manifest of the version, which may be available nowhere else after all agents were killed.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "host/engine_control.h"

namespace pumicemast {

/// The chunk that the marker replaces.
constexpr ChunkIndex kMarkerChunk = 0;

/// @param manifest  of the version that is being written.
std::string encode_staging_marker(const WeightManifest& manifest);
/// @return nothing when the bytes are not a marker or the marker is corrupt.
std::optional<WeightManifest> decode_staging_marker(std::string_view bytes);

}  // namespace pumicemast
