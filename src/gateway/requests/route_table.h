/// Finds the route and the tenant of a request in one version of the configuration.
///
/// A decision core: no I/O.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "fleet/fleet_configuration.h"

namespace pumicemast {

class RouteTable {
 public:
  explicit RouteTable(FleetConfiguration configuration);

  std::uint64_t version() const { return configuration_.version; }
  const FleetConfiguration& configuration() const { return configuration_; }

  /// The route of `host` with the longest prefix that begins `target`, or null. A port in
  /// `host` and a query in `target` do not count.
  const RouteRule* match(std::string_view host, std::string_view target) const;
  /// Whether requests need a key at all.
  bool has_tenants() const { return !configuration_.tenants.empty(); }
  /// The tenant that holds `key`, or null.
  const TenantRule* tenant_for_key(std::string_view key) const;
  const ServiceProfile* service(const std::string& name) const;

 private:
  FleetConfiguration configuration_;
  /// Routes of a host, longest prefix first; indices into the configuration.
  std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host_;
  std::unordered_map<std::string, std::size_t> tenants_by_key_;
  std::unordered_map<std::string, std::size_t> services_by_name_;
};

using RouteTablePointer = std::shared_ptr<const RouteTable>;

}  // namespace pumicemast
