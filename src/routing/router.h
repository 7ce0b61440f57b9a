/// Chooses the back end that runs one request.
///
/// A decision core: no I/O. Prefers near back ends (own zone, own region, anywhere). Within such a
/// ring it prefers the back end that the prompt's prefix hashes to, which probably has the prefix
/// cached, unless that back end has clearly more load than the least loaded one.
#pragma once

#include <optional>
#include <set>
#include <string>

#include "routing/backend_directory.h"

namespace pumicemast {

/// What a request requires of a back end.
struct RoutingRequirements {
  std::string model;           ///< "" for a plain service.
  std::string service;         ///< "" for a model.
  std::string digest;          ///< Only this version may serve it; "" for any live one.
  std::uint64_t affinity = 0;  ///< Hash of the prompt's prefix; 0 for none.
};

struct RouterOptions {
  Location location;
  /// Requests that the preferred back end may have in progress beyond the least loaded one's.
  std::uint32_t affinity_slack = 4;
  /// Requests go to a farther ring once every back end of the nearer ring has this load fraction.
  double spill_fraction = 0.8;
};

struct RoutingChoice {
  std::string machine;
  std::string digest;  ///< Version live at the machine; "" for a plain service.
};

class Router {
 public:
  Router(const BackendDirectory& directory, RouterOptions options)
      : directory_(directory), options_(std::move(options)) {}

  /// Returns the best back end not in `excluded`, or nullopt when none has capacity now.
  std::optional<RoutingChoice> choose(const RoutingRequirements& requirements,
                                      const std::set<std::string>& excluded, TimePoint now) const;

 private:
  enum class Ring { zone, region, anywhere };
  struct Candidate {
    const Backend* backend;
    std::string digest;
    Ring ring;
    std::uint32_t load;
    bool nearly_full;
  };

  std::optional<Candidate> candidate(const Backend& backend,
                                     const RoutingRequirements& requirements, TimePoint now) const;
  Ring ring_of(const Backend& backend) const;

  const BackendDirectory& directory_;
  RouterOptions options_;
};

}  // namespace pumicemast
