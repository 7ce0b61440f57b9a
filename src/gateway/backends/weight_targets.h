/// Decides on which versions of a model's weights requests may still start.
///
/// A decision core: no I/O. A version is named when the configuration makes it the target. For the
/// changeover period after that, requests may still start on older versions, so that back ends can
/// switch one after the other; then they may start only on the new one.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/time.h"

namespace pumicemast {

/// A named version of a model's weights, and how long ago it was named.
struct NamedWeights {
  std::string model;
  std::uint64_t version = 0;
  Duration age = Duration::zero();
  bool assumed = false;  ///< The age is a conservative estimate.
};

class WeightTargets {
 public:
  /// @param changeover  how long after a version was named requests may start on older ones.
  explicit WeightTargets(Duration changeover) : changeover_(changeover) {}

  void set_changeover(Duration changeover) { changeover_ = changeover; }
  /// Sets how long after a version was named requests on older ones may still start at a back end.
  /// It is longer than the changeover by the time that a request may be in transit or queued there.
  void set_start_bound(Duration start_bound) { start_bound_ = start_bound; }
  /// Records that `version` of `model` was named at `named_at`. The newest version never decreases;
  /// an older one that is learned later still becomes mandatory at its own time.
  /// @param assumed  `named_at` is an estimate, which a known time replaces.
  /// @return whether the version is the newest one and was unknown here.
  bool on_named(const std::string& model, std::uint64_t version, TimePoint named_at,
                bool assumed = false);
  /// Estimates when a version was named that was discovered now and named at most `oldest` ago. The
  /// estimate is the earliest possible time, so that requests do not start on older versions for
  /// too long, but leaves back ends time to change over (kMinimumNotice).
  TimePoint assumed_named_at(Duration oldest, TimePoint now) const;
  /// Time since the newest version was named; zero when there is none.
  Duration age(const std::string& model, TimePoint now) const;
  /// All named versions that may still start requests, for other gateways: by model, then by
  /// version.
  std::vector<NamedWeights> known_versions(TimePoint now) const;
  /// The oldest version on which a request for `model` may start now; 0 for any.
  std::uint64_t lowest_allowed(const std::string& model, TimePoint now) const;
  std::uint64_t newest(const std::string& model) const;
  /// Whether a request for `model` that has not started on `version` by `at` must not start there.
  bool start_forbidden(const std::string& model, std::uint64_t version, TimePoint at) const;

 private:
  struct NamedVersion {
    TimePoint at{};
    bool assumed = false;
  };
  struct Target {
    std::uint64_t version = 0;
    std::map<std::uint64_t, NamedVersion> named_versions;
  };
  Duration changeover_;
  Duration start_bound_ = Duration::max();
  std::map<std::string, Target> targets_;
};

}  // namespace pumicemast
