/// Encodes and decodes the crash updates that gateways exchange.
#pragma once

#include "gateway/quarantine/crash_update.h"
#include "generated/wire_generated.h"

namespace pumicemast {

wire::RequestCrashesT encode(const CrashUpdate& update);
CrashUpdate decode(const wire::RequestCrashes& message);

}  // namespace pumicemast
