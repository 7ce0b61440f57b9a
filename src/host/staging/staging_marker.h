/// Marks an engine's staging place as holding no whole version.
///
/// An agent puts the marker in the place of one chunk before it writes any chunk of another
/// version, and that chunk over the marker last of all. So what lies beside a marker was ordered by
/// nobody, whatever it consists of, and an agent that was started anew may go on at once. The
/// marker also says what the version consists of: after all agents were killed nobody else may
/// know.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "host/engine_control.h"

namespace pumicemast {

/// The place that a marker takes.
constexpr ChunkIndex kMarkerChunk = 0;

/// @param manifest  of the version that is being written.
std::string encode_staging_marker(const WeightManifest& manifest);
/// @return nothing when the bytes are no marker, or one that turned bad.
std::optional<WeightManifest> decode_staging_marker(std::string_view bytes);

}  // namespace pumicemast
