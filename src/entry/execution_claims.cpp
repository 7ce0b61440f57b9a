#include "entry/execution_claims.h"

#include <nlohmann/json.hpp>

#include "weights/sha256.h"

namespace pumicemast {

ExecutionClaims::ExecutionClaims(ObjectStore& store, std::string holder)
    : store_(store), holder_(std::move(holder)) {}

std::string ExecutionClaims::claim_name(const std::string& tenant, const std::string& key) {
  // The length separates tenant from key; the digest keeps text from callers out of names.
  return to_hex(sha256(std::to_string(tenant.size()) + ":" + tenant + key));
}

void ExecutionClaims::claim(const std::string& name, std::function<void(ClaimResult)> on_done) {
  if (held_.contains(name)) {
    on_done(ClaimResult::taken);
    return;
  }
  create(name, 0, std::move(on_done));
}

void ExecutionClaims::create(const std::string& name, ObjectVersion expected,
                             std::function<void(ClaimResult)> on_done) {
  ExecutionClaim claim;
  claim.id = name;
  claim.holder = holder_;
  claim.attempt = holder_ + "#" + std::to_string(++attempts_);
  const auto on_written = [this, name, claim, on_done](const ObjectWriteResult& result) {
    switch (result.outcome) {
      case WriteOutcome::applied:
        held_[name] = {claim, result.version};
        on_done(ClaimResult::granted);
        return;
      case WriteOutcome::not_applied:
        on_done(ClaimResult::unavailable);
        return;
      case WriteOutcome::conflict:
      case WriteOutcome::unknown:
        check_existing(name, claim.attempt, on_done);
        return;
    }
  };
  store_.write(ExecutionClaim::kKind, name, to_json(claim), expected, on_written);
}

void ExecutionClaims::check_existing(const std::string& name, const std::string& attempt,
                                     std::function<void(ClaimResult)> on_done) {
  store_.read(
      ExecutionClaim::kKind, name, [this, name, attempt, on_done](const ObjectReadResult& read) {
        if (!read.answered || !read.exists) {
          // A write without a response may still reach the store, so the request must not run now.
          on_done(ClaimResult::unavailable);
          return;
        }
        const ClaimResult judged = handle_error(
            [&]() -> leaf::result<ClaimResult> {
              BOOST_LEAF_AUTO(claim, object_from_json<ExecutionClaim>(read.object.value));
              if (claim.attempt == attempt) {
                held_[name] = {claim, read.object.version};
                return ClaimResult::granted;
              }
              if (claim.state == "FINISHED") return ClaimResult::finished;
              if (claim.state == "NOT_RUN") return ClaimResult::unavailable;
              return ClaimResult::taken;
            },
            [](const Error&) { return ClaimResult::taken; });
        const bool free_again =
            judged == ClaimResult::unavailable && read.object.value.value("state", "") == "NOT_RUN";
        if (free_again) {
          create(name, read.object.version, on_done);
          return;
        }
        on_done(judged);
      });
}

void ExecutionClaims::settle(const std::string& name, bool ran) {
  const auto found = held_.extract(name);
  if (found.empty()) return;
  ExecutionClaim claim = found.mapped().claim;
  claim.state = ran ? "FINISHED" : "NOT_RUN";
  // If this update is lost, the state stays CLAIMED and further attempts are refused, which
  // is safe.
  store_.write(ExecutionClaim::kKind, name, to_json(claim), found.mapped().version,
               [](const ObjectWriteResult&) {});
}

}  // namespace pumicemast
