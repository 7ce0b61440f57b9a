/// Claims the single execution of a non-repeatable request that has an idempotency key.
///
/// The claim is an object that only one writer can create, so a caller's retries run at most
/// once, whichever entries receive them. While the platform is unreachable nothing can be
/// claimed, and the request is refused as not run (docs/design/at-most-once.md).
#pragma once

#include <functional>
#include <map>
#include <string>

#include "configuration/object_store.h"

namespace pumicemast {

enum class ClaimResult {
  granted,      ///< This entry may run the request.
  taken,        ///< Another attempt with this key may run or have run.
  finished,     ///< An earlier attempt with this key completed.
  unavailable,  ///< The platform did not confirm or deny the claim.
};

class ExecutionClaims {
 public:
  /// @param holder  unique name of this process and incarnation.
  ExecutionClaims(ObjectStore& store, std::string holder);

  /// Calls `on_done` exactly once. @param name  from claim_name().
  void claim(const std::string& name, std::function<void(ClaimResult)> on_done);
  /// Records the end of a claimed request. `ran` is false only if the request certainly did not
  /// run; the key is then free for another attempt.
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
