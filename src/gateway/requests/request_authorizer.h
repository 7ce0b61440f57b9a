/// Whether a request is allowed, and by which route, tenant and service.
///
/// A decision core: no I/O. Works on one version of the configuration.
#pragma once

#include <optional>
#include <random>
#include <string>

#include "gateway/requests/forwarder_actions.h"
#include "gateway/requests/route_table.h"

namespace pumicemast {

/// Why a request is turned away before any back end is looked for.
struct RequestRefusal {
  int status = 0;
  RefusalReason reason = RefusalReason::no_route;
};

/// What the configuration says of one request.
struct AuthorizationResult {
  const RouteRule* route = nullptr;         ///< Null when refused for want of one.
  const ServiceProfile* service = nullptr;  ///< Null when refused.
  std::string tenant;                       ///< Empty when the request has none.
  int priority = 0;
  std::optional<RequestRefusal> refusal;
};

class RequestAuthorizer {
 public:
  explicit RequestAuthorizer(std::uint64_t seed)
      : random_(static_cast<std::minstd_rand::result_type>(seed)) {}

  /// @param routes  the configuration in force; null before the first.
  AuthorizationResult authorize(const RouteTable* routes, const RequestMetadata& request);

 private:
  const std::string& pick_service(const RouteRule& route);

  std::minstd_rand random_;
};

}  // namespace pumicemast
