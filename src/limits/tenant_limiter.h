/// Admits or refuses callers' requests according to the limits of their tenant.
///
/// A decision core: no I/O. A tenant's rate applies to the whole system; each entry enforces an
/// equal share of it, because the balancer spreads callers evenly (docs/design/limits.md).
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "configuration/configuration_store.h"
#include "limits/token_bucket.h"

namespace pumicemast {

struct LimitDecision {
  bool admitted = false;
  const char* reason = "";  ///< "rate" or "in_flight" when refused.
  Duration retry_after = Duration::zero();
  int priority = 0;
};

class TenantLimiter {
 public:
  /// @param entry_count  number of entries that share each tenant's limits; at least 1.
  explicit TenantLimiter(std::uint32_t entry_count) : entry_count_(entry_count) {}

  /// Applies the tenants of the configuration. Requests in flight stay counted.
  void configure(const ObjectMap<Tenant>& tenants, TimePoint now);
  /// Decides on one request. release() must be called for every admitted request. A tenant without
  /// a configuration object is not limited.
  LimitDecision admit(const std::string& tenant, TimePoint now);
  void release(const std::string& tenant);

 private:
  struct State {
    bool limited = false;
    TokenBucket bucket;
    std::uint32_t in_flight_limit = 0;
    std::uint32_t in_flight = 0;
    int priority = 0;
  };
  std::uint32_t entry_count_;
  std::map<std::string, State> tenants_;
};

}  // namespace pumicemast
