/// Looks up the route and the tenant of a request in one version of the configuration.
///
/// A decision core: no I/O.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
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
  /// Whether requests for the service compete by priority: it consists of engines, and the
  /// priorities of its routes, or of tenants, differ.
  bool orders_by_priority(const std::string& service) const {
    return ordered_services_.contains(service);
  }

 private:
  void find_ordered_services();

  FleetConfiguration configuration_;
  /// Indices into the configured routes by host, longest path prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host_;
  std::unordered_map<std::string, std::size_t> tenants_by_key_;
  std::unordered_map<std::string, std::size_t> services_by_name_;
  std::unordered_set<std::string> ordered_services_;
};

using RouteTablePointer = std::shared_ptr<const RouteTable>;

}  // namespace pumicemast
