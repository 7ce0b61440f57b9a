/// Manifests as agents send them to each other.
#pragma once

#include "generated/wire_generated.h"
#include "host/engine_control.h"

namespace pumicemast {

wire::ManifestDocumentT encode_manifest(const WeightManifest& manifest);
WeightManifest decode_manifest(const wire::ManifestDocument& document);

}  // namespace pumicemast
