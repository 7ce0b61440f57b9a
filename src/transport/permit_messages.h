/// Converts permit requests and their answers to and from wire messages.
#pragma once

#include <memory>

#include "common/time.h"
#include "generated/wire_generated.h"
#include "limits/permit_issuer.h"

namespace pumicemast {

/// Encodes the time of observation as an age, since clocks of machines differ. Returns null if no
/// limit has been observed.
std::unique_ptr<wire::RateLimitStateT> encode(const RateLimit& limit, TimePoint now);
RateLimit decode(const wire::RateLimitState* state, TimePoint now);

wire::PermitRequestT encode(const PermitRequest& request, TimePoint now);
PermitRequest decode(const wire::PermitRequest& message, TimePoint now);
wire::PermitAnswerT encode(const PermitAnswer& answer, TimePoint now);
PermitAnswer decode(const wire::PermitAnswer& message, TimePoint now);

}  // namespace pumicemast
