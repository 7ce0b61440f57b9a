/// Converts updates of the list of back ends to and from their wire messages.
#pragma once

#include "fleet/backend_list.h"
#include "generated/wire_generated.h"

namespace pumicemast {

/// @param now  the message states times relative to this one.
wire::BackendChangesT encode(const BackendChanges& changes, TimePoint now);
/// Skips entries without a valid address and keeps the others.
BackendChanges decode(const wire::BackendChanges& message, TimePoint now);

}  // namespace pumicemast
