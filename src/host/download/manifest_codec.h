/// Converts manifests to and from the message in which agents exchange them.
#pragma once

#include "generated/wire_generated.h"
#include "host/engine_control.h"

namespace pumicemast {

wire::ManifestDocumentT encode_manifest(const WeightManifest& manifest);
WeightManifest decode_manifest(const wire::ManifestDocument& document);

}  // namespace pumicemast
