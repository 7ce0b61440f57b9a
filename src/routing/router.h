/// Chooses the back end that runs one request.
///
/// A decision core: no I/O. Nearest first (zone, region, anywhere); within a ring the back
/// end that already holds the prompt's prefix, unless it is clearly busier than the idlest.
#pragma once

#include <optional>
#include <set>
#include <string>

#include "routing/backend_directory.h"

namespace pumicemast {

/// What a request needs of a back end.
struct RoutingRequirements {
  std::string model;           ///< "" for a plain service.
  std::string service;         ///< "" for a model.
  std::string digest;          ///< Only this version may answer; "" for any live one.
  std::uint64_t affinity = 0;  ///< Hash of the prompt's prefix; 0 for none.
};

struct RouterOptions {
  Location location;
  /// A back end this much fuller than the idlest loses its affinity advantage.
  std::uint32_t affinity_slack = 4;
  /// Work goes to another zone once every back end of the nearer ring is this full.
  double spill_fraction = 0.8;
};

struct RoutingChoice {
  std::string machine;
  std::string digest;  ///< Version that is live there; "" for a plain service.
};

class Router {
 public:
  Router(const BackendDirectory& directory, RouterOptions options)
      : directory_(directory), options_(std::move(options)) {}

  /// The best back end not in `excluded`, or nullopt when none has room now.
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
