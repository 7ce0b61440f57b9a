/// Which version of a model's weights requests may still start on.
///
/// A decision core: no I/O. For a while after a new version is named, older ones may start
/// requests, so that back ends can change over in turn; then only the new one may.
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
  bool assumed = false;  ///< The age is a guess, on the safe side.
};

class WeightTargets {
 public:
  /// @param changeover  how long after its naming older versions may start requests.
  explicit WeightTargets(Duration changeover) : changeover_(changeover) {}

  void set_changeover(Duration changeover) { changeover_ = changeover; }
  /// How long after a naming requests on older versions may still begin at a back end. Later than
  /// the changeover by the time that a request may be on its way or wait there.
  void set_start_bound(Duration start_bound) { start_bound_ = start_bound; }
  /// `version` of `model` was named at `named_at`. The newest never goes back; an older one that
  /// is heard of later still binds at its own time.
  /// @param assumed  the time is a guess, which a known one replaces.
  /// @return whether the version is the newest, and new here.
  bool on_named(const std::string& model, std::uint64_t version, TimePoint named_at,
                bool assumed = false);
  /// When a version is taken to be named that was found now and named at most `oldest` ago: as
  /// early as can be, because requests must not begin on older ones beyond their time; but not so
  /// early that back ends have no time to change over (kMinimumNotice).
  TimePoint assumed_named_at(Duration oldest, TimePoint now) const;
  /// How long ago the newest version was named; zero when there is none.
  Duration age(const std::string& model, TimePoint now) const;
  /// All namings that still matter, to pass on: by model, then by version.
  std::vector<NamedWeights> known_versions(TimePoint now) const;
  /// The lowest version on which a request for `model` may start now; 0 for any.
  std::uint64_t lowest_allowed(const std::string& model, TimePoint now) const;
  std::uint64_t newest(const std::string& model) const;
  /// Whether a request for `model` that has not begun on `version` by `at` must not begin there.
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
