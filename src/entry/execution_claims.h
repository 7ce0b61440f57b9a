/// Claims the one run of a non-repeatable request that carries an idempotency key.
///
/// The claim is an object that only one writer can create, so that a caller's own retries,
/// sent to whichever entry, run at most once. Without the platform nothing can be claimed,
/// and the request is refused as not run (docs/design/at-most-once.md).
#pragma once

#include <functional>
#include <map>
#include <string>

#include "configuration/object_store.h"

namespace pumicemast {

enum class ClaimResult {
  granted,      ///< This entry may run it.
  taken,        ///< Another attempt with this key may run or have run.
  finished,     ///< An earlier attempt with this key ran to its end.
  unavailable,  ///< The platform could not be asked.
};

class ExecutionClaims {
 public:
  /// @param holder  unique name of this process and incarnation.
  ExecutionClaims(ObjectStore& store, std::string holder);

  /// @param name  from claim_name(). Answers exactly once.
  void claim(const std::string& name, std::function<void(ClaimResult)> on_done);
  /// The claimed request ended. `ran` is false only when it certainly did not run, which
  /// frees the key for another attempt.
  void settle(const std::string& name, bool ran);

  static std::string claim_name(const std::string& tenant, const std::string& key);

 private:
  void create(const std::string& name, ObjectVersion expected,
              std::function<void(ClaimResult)> on_done);
  void check_existing(const std::string& name, const std::string& attempt,
                      std::function<void(ClaimResult)> on_done);

  ObjectStore& store_;
  std::string holder_;
  std::uint64_t attempts_ = 0;
  struct HeldClaim {
    ExecutionClaim claim;
    ObjectVersion version = 0;
  };
  std::map<std::string, HeldClaim> held_;
};

}  // namespace pumicemast
