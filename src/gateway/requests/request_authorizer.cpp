#include "gateway/requests/request_authorizer.h"

namespace pumicemast {
namespace {

constexpr int kStatusUnauthorized = 401;
constexpr int kStatusNotFound = 404;

AllowedRegions restrictions_of(const RouteRule& route, const TenantRule* tenant) {
  AllowedRegions allowed;
  allowed.restrict_to(route.allowed_regions);
  if (tenant != nullptr) allowed.restrict_to(tenant->allowed_regions);
  return allowed;
}

}  // namespace

const std::string& RequestAuthorizer::pick_service(const RouteRule& route) {
  static const std::string kNoService;
  if (route.services.empty()) return kNoService;
  double total = 0;
  for (const WeightedService& candidate : route.services) total += candidate.weight;
  std::uniform_real_distribution<double> uniform(0, total);
  double position = uniform(random_);
  for (const WeightedService& candidate : route.services) {
    position -= candidate.weight;
    if (position < 0) return candidate.service;
  }
  return route.services.back().service;
}

std::optional<AllowedRegions> RequestAuthorizer::allowed_regions(const RouteTable& routes,
                                                                 const RequestMetadata& request) {
  const RouteRule* route = routes.match(request.host, request.target);
  if (route == nullptr) return std::nullopt;
  return restrictions_of(*route, routes.tenant_for_key(request.api_key));
}

AuthorizationResult RequestAuthorizer::authorize(const RouteTable* routes,
                                                 const RequestMetadata& request) {
  AuthorizationResult result;
  if (routes == nullptr) {
    result.refusal = {kStatusUnavailable, RefusalReason::no_configuration};
    return result;
  }
  result.route = routes->match(request.host, request.target);
  if (result.route == nullptr) {
    result.refusal = {kStatusNotFound, RefusalReason::no_route};
    return result;
  }
  result.priority = result.route->priority;
  const TenantRule* tenant = routes->tenant_for_key(request.api_key);
  if (tenant != nullptr) {
    result.tenant = tenant->name;
    result.priority = tenant->priority.value_or(result.route->priority);
  } else if (routes->has_tenants() && !result.route->is_public) {
    result.refusal = {kStatusUnauthorized, RefusalReason::no_key};
    return result;
  }
  result.allowed_regions = restrictions_of(*result.route, tenant);
  result.service = routes->service(pick_service(*result.route));
  if (result.service == nullptr) {
    result.refusal = {kStatusUnavailable, RefusalReason::no_backend};
    return result;
  }
  const auto level = routes->priority_level(result.service->name, *result.route, tenant);
  result.ordered_by_priority = level.has_value();
  result.priority = level.value_or(result.priority);
  return result;
}

}  // namespace pumicemast
