/// The list of back ends on the wire between pumicemast's own processes.
#pragma once

#include "fleet/backend_list.h"
#include "generated/wire_generated.h"

namespace pumicemast {

wire::BackendChangesT encode(const BackendChanges& changes);
/// An entry without a usable address is left out; the others hold.
BackendChanges decode(const wire::BackendChanges& message);

}  // namespace pumicemast
