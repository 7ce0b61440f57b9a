/// Which version of a model's weights requests may still start on.
///
/// A decision core: no I/O. For a while after a new version is named, older ones may start
/// requests, so that back ends can change over in turn; then only the new one may.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "common/time.h"

namespace pumicemast {

class WeightTargets {
 public:
  /// @param changeover  how long after its naming older versions may start requests.
  explicit WeightTargets(Duration changeover) : changeover_(changeover) {}

  void set_changeover(Duration changeover) { changeover_ = changeover; }
  /// `version` of `model` was named at `named_at`. Versions never go back.
  /// @param assumed  the time is a guess, which a known one replaces.
  /// @return whether the version is new here.
  bool on_named(const std::string& model, std::uint64_t version, TimePoint named_at,
                bool assumed = false);
  /// How long ago the newest version was named; zero when there is none.
  Duration age(const std::string& model, TimePoint now) const;
  /// The lowest version on which a request for `model` may start now; 0 for any.
  std::uint64_t lowest_allowed(const std::string& model, TimePoint now) const;
  std::uint64_t newest(const std::string& model) const;

 private:
  struct Naming {
    TimePoint at{};
    bool assumed = false;
  };
  struct Target {
    std::uint64_t version = 0;
    std::map<std::uint64_t, Naming> namings;
  };
  Duration changeover_;
  std::map<std::string, Target> targets_;
};

}  // namespace pumicemast
