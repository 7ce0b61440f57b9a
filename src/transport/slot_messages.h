/// Converts what gateways and agents say about slots to and from wire messages.
#pragma once

#include <vector>

#include "common/settings.h"
#include "generated/wire_generated.h"
#include "scheduling/slot_messages.h"

namespace pumicemast {

/// Parts that each fit into one message, to be sent in this order.
std::vector<SlotRequests> split(const SlotRequests& requests);
std::vector<SlotDecisions> split(const SlotDecisions& decisions);

wire::SlotRequestsT encode(const SlotRequests& requests);
/// Values out of range are replaced by the nearest valid ones, and requests beyond the number that
/// one message may hold are ignored.
SlotRequests decode(const wire::SlotRequests& message);

/// @param engine  address of the engine.
wire::SlotDecisionsT encode(const SlotDecisions& decisions, const Address& engine);
SlotDecisions decode(const wire::SlotDecisions& message);

}  // namespace pumicemast
