#include "entry/execution_claims.h"

#include <cppunit/extensions/HelperMacros.h>

#include "support/memory_object_store.h"

namespace pumicemast {

class ExecutionClaimsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExecutionClaimsTest);
  CPPUNIT_TEST(grants_one_claim_across_all_entries);
  CPPUNIT_TEST(a_lost_response_is_resolved_by_the_stored_claim);
  CPPUNIT_TEST(no_claim_is_granted_without_the_platform);
  CPPUNIT_TEST(a_request_that_did_not_run_frees_its_key);
  CPPUNIT_TEST(claim_names_differ_between_tenants);
  CPPUNIT_TEST_SUITE_END();

 public:
  void grants_one_claim_across_all_entries() {
    CPPUNIT_ASSERT(ClaimResult::granted == claim(first_));
    CPPUNIT_ASSERT(ClaimResult::taken == claim(second_));
    CPPUNIT_ASSERT(ClaimResult::taken == claim(first_));
    first_.settle(name_, true);
    CPPUNIT_ASSERT(ClaimResult::finished == claim(second_));
  }

  void a_lost_response_is_resolved_by_the_stored_claim() {
    store_.faults = {tests::WriteFault::lost_after};
    CPPUNIT_ASSERT(ClaimResult::granted == claim(first_));
    CPPUNIT_ASSERT(ClaimResult::taken == claim(second_));
  }

  void no_claim_is_granted_without_the_platform() {
    store_.faults = {tests::WriteFault::refused, tests::WriteFault::lost_before,
                     tests::WriteFault::lost_after};
    CPPUNIT_ASSERT(ClaimResult::unavailable == claim(first_));
    CPPUNIT_ASSERT(ClaimResult::unavailable == claim(first_));
    store_.readable = false;
    CPPUNIT_ASSERT(ClaimResult::unavailable == claim(first_));
    store_.readable = true;
    // The last claim did reach the store, so no further attempt may run with this key.
    CPPUNIT_ASSERT(ClaimResult::taken == claim(second_));
  }

  void a_request_that_did_not_run_frees_its_key() {
    CPPUNIT_ASSERT(ClaimResult::granted == claim(first_));
    first_.settle(name_, false);
    CPPUNIT_ASSERT(ClaimResult::granted == claim(second_));
    CPPUNIT_ASSERT(ClaimResult::taken == claim(first_));
  }

  void claim_names_differ_between_tenants() {
    CPPUNIT_ASSERT(ExecutionClaims::claim_name("a", "bc") !=
                   ExecutionClaims::claim_name("ab", "c"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{64}, name_.size());
  }

 private:
  ClaimResult claim(ExecutionClaims& claims) const {
    std::optional<ClaimResult> answer;
    claims.claim(name_, [&](ClaimResult result) { answer = result; });
    CPPUNIT_ASSERT(answer.has_value());
    return *answer;
  }

  const std::string name_ = ExecutionClaims::claim_name("tenant", "key");
  tests::MemoryObjectStore store_;
  ExecutionClaims first_{store_, "e1/1"};
  ExecutionClaims second_{store_, "e2/1"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExecutionClaimsTest);

}  // namespace pumicemast
