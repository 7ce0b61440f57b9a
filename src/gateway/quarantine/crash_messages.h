/// What gateways tell each other of crashes, on the wire.
#pragma once

#include "gateway/quarantine/crash_news.h"
#include "generated/wire_generated.h"

namespace pumicemast {

wire::RequestCrashesT encode(const CrashNews& news);
CrashNews decode(const wire::RequestCrashes& message);

}  // namespace pumicemast
