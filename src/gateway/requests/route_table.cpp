#include "gateway/requests/route_table.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <set>

#include "scheduling/slot_messages.h"

namespace pumicemast {
namespace {

std::string canonical_host(std::string_view host) {
  std::string result(host.substr(0, host.find(':')));
  std::transform(result.begin(), result.end(), result.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return result;
}

}  // namespace

RouteTable::RouteTable(FleetConfiguration configuration)
    : configuration_(std::move(configuration)) {
  for (std::size_t index = 0; index < configuration_.routes.size(); ++index) {
    routes_by_host_[canonical_host(configuration_.routes[index].host)].push_back(index);
  }
  for (auto& [host, routes] : routes_by_host_) {
    std::stable_sort(routes.begin(), routes.end(), [this](std::size_t left, std::size_t right) {
      return configuration_.routes[left].path_prefix.size() >
             configuration_.routes[right].path_prefix.size();
    });
  }
  for (std::size_t index = 0; index < configuration_.tenants.size(); ++index) {
    for (const std::string& key : configuration_.tenants[index].keys) tenants_by_key_[key] = index;
  }
  for (std::size_t index = 0; index < configuration_.services.size(); ++index) {
    services_by_name_[configuration_.services[index].name] = index;
  }
  find_priority_levels();
}

RouteTable::PriorityPair RouteTable::priorities_of(const RouteRule& route,
                                                   std::optional<int> of_tenant) {
  return {of_tenant.value_or(route.priority), route.priority};
}

void RouteTable::find_priority_levels() {
  std::set<std::optional<int>> of_tenants = {std::nullopt};
  for (const TenantRule& tenant : configuration_.tenants) of_tenants.insert(tenant.priority);
  std::map<std::string, std::set<int>> of_routes;
  std::map<std::string, std::set<PriorityPair>> pairs;
  for (const RouteRule& route : configuration_.routes) {
    for (const WeightedService& target : route.services) {
      of_routes[target.service].insert(route.priority);
      for (const auto& of_tenant : of_tenants) {
        pairs[target.service].insert(priorities_of(route, of_tenant));
      }
    }
  }
  for (const auto& [name, priorities] : of_routes) {
    const ServiceProfile* profile = service(name);
    if (priorities.size() < 2 || profile == nullptr || !profile->engine) continue;
    priority_levels_[name].assign(pairs[name].begin(), pairs[name].end());
  }
}

std::optional<int> RouteTable::priority_level(const std::string& service, const RouteRule& route,
                                              const TenantRule* tenant) const {
  const auto found = priority_levels_.find(service);
  if (found == priority_levels_.end()) return std::nullopt;
  const std::vector<PriorityPair>& levels = found->second;
  const auto own = priorities_of(route, tenant == nullptr ? std::nullopt : tenant->priority);
  const auto level = std::lower_bound(levels.begin(), levels.end(), own) - levels.begin();
  return std::min(static_cast<int>(level), kLeastUrgentPriority);
}

const RouteRule* RouteTable::match(std::string_view host, std::string_view target) const {
  const auto routes = routes_by_host_.find(canonical_host(host));
  if (routes == routes_by_host_.end()) return nullptr;
  const std::string_view path = target.substr(0, target.find('?'));
  for (const std::size_t index : routes->second) {
    const RouteRule& route = configuration_.routes[index];
    if (path.starts_with(route.path_prefix)) return &route;
  }
  return nullptr;
}

const TenantRule* RouteTable::tenant_for_key(std::string_view key) const {
  const auto found = tenants_by_key_.find(std::string(key));
  return found == tenants_by_key_.end() ? nullptr : &configuration_.tenants[found->second];
}

const ServiceProfile* RouteTable::service(const std::string& name) const {
  const auto found = services_by_name_.find(name);
  return found == services_by_name_.end() ? nullptr : &configuration_.services[found->second];
}

}  // namespace pumicemast
