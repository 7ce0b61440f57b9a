/// Requests for permits and their answers, on the wire.
#pragma once

#include <memory>

#include "common/time.h"
#include "generated/wire_generated.h"
#include "limits/permit_issuer.h"

namespace pumicemast {

/// Times of observations travel as ages, since clocks differ. Null where nothing is known.
std::unique_ptr<wire::RateLimitStateT> encode(const RateLimit& limit, TimePoint now);
RateLimit decode(const wire::RateLimitState* state, TimePoint now);

wire::PermitRequestT encode(const PermitRequest& request, TimePoint now);
PermitRequest decode(const wire::PermitRequest& message, TimePoint now);
wire::PermitAnswerT encode(const PermitAnswer& answer, TimePoint now);
PermitAnswer decode(const wire::PermitAnswer& message, TimePoint now);

}  // namespace pumicemast
