/// Looks up the route and the tenant of a request in one version of the configuration.
///
/// A decision core: no I/O.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fleet/fleet_configuration.h"

namespace pumicemast {

class RouteTable {
 public:
  explicit RouteTable(FleetConfiguration configuration);

  std::uint64_t version() const { return configuration_.version; }
  const FleetConfiguration& configuration() const { return configuration_; }

  /// The route of `host` with the longest path prefix that matches `target`, or null. Ignores a
  /// port in `host` and the query in `target`.
  const RouteRule* match(std::string_view host, std::string_view target) const;
  /// Whether the configuration has tenants, so that requests need an API key.
  bool has_tenants() const { return !configuration_.tenants.empty(); }
  /// The tenant with the API key `key`, or null.
  const TenantRule* tenant_for_key(std::string_view key) const;
  const ServiceProfile* service(const std::string& name) const;
  /// Level of a request in the order in which engines of the service grant slots, 0 being the most
  /// urgent. The tenant's priority goes first; the route's decides between tenants of the same
  /// priority. Empty if the service has no such order: it is not made up of engines, or all of its
  /// routes have the same priority.
  /// @param tenant  null when the request has none.
  std::optional<int> priority_level(const std::string& service, const RouteRule& route,
                                    const TenantRule* tenant) const;

 private:
  /// The priorities that a request is ordered by: the tenant's, then the route's.
  using PriorityPair = std::pair<int, int>;
  static PriorityPair priorities_of(const RouteRule& route, std::optional<int> of_tenant);
  void find_priority_levels();

  FleetConfiguration configuration_;
  /// Indices into the configured routes by host, longest path prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host_;
  std::unordered_map<std::string, std::size_t> tenants_by_key_;
  std::unordered_map<std::string, std::size_t> services_by_name_;
  /// All pairs that the configuration allows, the most urgent first, by service; only of services
  /// that order requests by priority.
  std::unordered_map<std::string, std::vector<PriorityPair>> priority_levels_;
};

using RouteTablePointer = std::shared_ptr<const RouteTable>;

}  // namespace pumicemast
