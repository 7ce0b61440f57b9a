/// Decides whether a request is allowed, and resolves its route, tenant and service.
///
/// A decision core: no I/O. Each decision uses a single version of the configuration.
#pragma once

#include <optional>
#include <random>
#include <string>

#include "gateway/requests/forwarder_actions.h"
#include "gateway/requests/route_table.h"
#include "locality/allowed_regions.h"

namespace pumicemast {

/// Refusal of a request before a back end is chosen.
struct RequestRefusal {
  int status = 0;
  RefusalReason reason = RefusalReason::no_route;
};

/// Outcome of authorizing one request.
struct AuthorizationResult {
  const RouteRule* route = nullptr;         ///< Null when no route matches.
  const ServiceProfile* service = nullptr;  ///< Null when refused.
  std::string tenant;                       ///< Empty when the request has none.
  /// Of the tenant or the route; a level (RouteTable::priority_level) if the service has these.
  int priority = 0;
  bool ordered_by_priority = false;  ///< The service's engines grant slots by priority.
  AllowedRegions allowed_regions;
  std::optional<RequestRefusal> refusal;
};

class RequestAuthorizer {
 public:
  explicit RequestAuthorizer(std::uint64_t seed)
      : random_(static_cast<std::minstd_rand::result_type>(seed)) {}

  /// @param routes  the current configuration; null before the first one has been received.
  AuthorizationResult authorize(const RouteTable* routes, const RequestMetadata& request);
  /// The regions in which the request may run under `routes`; empty when no route matches.
  static std::optional<AllowedRegions> allowed_regions(const RouteTable& routes,
                                                       const RequestMetadata& request);

 private:
  const std::string& pick_service(const RouteRule& route);

  std::minstd_rand random_;
};

}  // namespace pumicemast
