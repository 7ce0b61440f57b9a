#include "scheduling/slot_messages.h"

namespace pumicemast {

const char* to_string(SlotDenialReason reason) {
  switch (reason) {
    case SlotDenialReason::no_capacity:
      return "no_capacity";
    case SlotDenialReason::more_urgent_first:
      return "more_urgent_first";
    case SlotDenialReason::tenant_over_share:
      return "tenant_over_share";
    case SlotDenialReason::engine_unavailable:
      return "engine_unavailable";
  }
  return "unknown";
}

}  // namespace pumicemast
