/// What gateways tell each other of crashes, on the wire.
#pragma once

#include "gateway/quarantine/crash_update.h"
#include "generated/wire_generated.h"

namespace pumicemast {

wire::RequestCrashesT encode(const CrashUpdate& update);
CrashUpdate decode(const wire::RequestCrashes& message);

}  // namespace pumicemast
