#include "gateway/requests/request_authorizer.h"

namespace pumicemast {
namespace {

constexpr int kStatusUnauthorized = 401;
constexpr int kStatusNotFound = 404;
constexpr int kStatusUnavailable = 503;

}  // namespace

const std::string& RequestAuthorizer::pick_service(const RouteRule& route) {
  static const std::string kNone;
  if (route.services.empty()) return kNone;
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

RequestGrant RequestAuthorizer::authorize(const RouteTable* routes, const RequestFacts& request) {
  RequestGrant grant;
  if (routes == nullptr) {
    grant.refusal = {kStatusUnavailable, RefusalReason::no_configuration};
    return grant;
  }
  grant.route = routes->match(request.host, request.target);
  if (grant.route == nullptr) {
    grant.refusal = {kStatusNotFound, RefusalReason::no_route};
    return grant;
  }
  grant.priority = grant.route->priority;
  const TenantRule* tenant = routes->tenant_of(request.api_key);
  if (tenant != nullptr) {
    grant.tenant = tenant->name;
    grant.priority = tenant->priority.value_or(grant.route->priority);
  } else if (routes->has_tenants() && !grant.route->is_public) {
    grant.refusal = {kStatusUnauthorized, RefusalReason::no_key};
    return grant;
  }
  grant.service = routes->service(pick_service(*grant.route));
  if (grant.service == nullptr) {
    grant.refusal = {kStatusUnavailable, RefusalReason::no_backend};
  }
  return grant;
}

}  // namespace pumicemast
