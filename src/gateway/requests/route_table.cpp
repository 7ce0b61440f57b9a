#include "gateway/requests/route_table.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <set>

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
  find_ordered_services();
}

void RouteTable::find_ordered_services() {
  std::set<int> of_tenants;
  for (const TenantRule& tenant : configuration_.tenants) {
    if (tenant.priority) of_tenants.insert(*tenant.priority);
  }
  std::map<std::string, std::set<int>> by_service;
  for (const RouteRule& route : configuration_.routes) {
    for (const WeightedService& target : route.services) {
      std::set<int>& priorities = by_service[target.service];
      priorities.insert(route.priority);
      priorities.insert(of_tenants.begin(), of_tenants.end());
    }
  }
  for (const auto& [name, priorities] : by_service) {
    const ServiceProfile* profile = service(name);
    if (priorities.size() > 1 && profile != nullptr && profile->engine) {
      ordered_services_.insert(name);
    }
  }
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
