#include "swarm/owner_progress.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicemast {

class OwnerProgressTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OwnerProgressTest);
  CPPUNIT_TEST(owners_with_equal_progress_do_not_lag);
  CPPUNIT_TEST(an_owner_without_progress_lags_early);
  CPPUNIT_TEST(an_owner_that_slows_down_lags_near_the_end);
  CPPUNIT_TEST(a_single_missing_chunk_counts_only_at_the_very_end);
  CPPUNIT_TEST(no_owner_lags_while_the_origin_sends_nothing);
  CPPUNIT_TEST(a_single_owner_never_lags);
  CPPUNIT_TEST_SUITE_END();

  static constexpr PeerId kSlow = 99;

  /// Seven owners of 14 chunks each; kSlow has its own progress.
  static std::map<PeerId, OwnerProgress> owners(std::uint32_t others, std::uint32_t slow) {
    std::map<PeerId, OwnerProgress> result;
    for (PeerId id = 1; id <= 6; ++id) result[id] = {14, others};
    result[kSlow] = {14, slow};
    return result;
  }

 public:
  void owners_with_equal_progress_do_not_lag() {
    for (std::uint32_t appeared = 0; appeared <= 14; ++appeared) {
      CPPUNIT_ASSERT(find_lagging_owners(owners(appeared, appeared)).empty());
    }
    CPPUNIT_ASSERT(find_lagging_owners(owners(7, 4)).empty());
    CPPUNIT_ASSERT(find_lagging_owners(owners(12, 9)).empty());
  }

  void an_owner_without_progress_lags_early() {
    CPPUNIT_ASSERT(find_lagging_owners(owners(2, 0)).empty());  // Too early to tell.
    CPPUNIT_ASSERT(find_lagging_owners(owners(3, 0)) == std::set<PeerId>{kSlow});
    CPPUNIT_ASSERT(find_lagging_owners(owners(7, 2)) == std::set<PeerId>{kSlow});
  }

  void an_owner_that_slows_down_lags_near_the_end() {
    CPPUNIT_ASSERT(find_lagging_owners(owners(12, 6)).empty());
    CPPUNIT_ASSERT(find_lagging_owners(owners(13, 6)) == std::set<PeerId>{kSlow});
  }

  void a_single_missing_chunk_counts_only_at_the_very_end() {
    std::map<PeerId, OwnerProgress> few;
    for (PeerId id = 1; id <= 19; ++id) few[id] = {5, 4};
    few[kSlow] = {4, 3};
    CPPUNIT_ASSERT(find_lagging_owners(few).empty());
    for (PeerId id = 1; id <= 19; ++id) few[id] = {5, 5};
    CPPUNIT_ASSERT(find_lagging_owners(few) == std::set<PeerId>{kSlow});
  }

  void no_owner_lags_while_the_origin_sends_nothing() {
    CPPUNIT_ASSERT(find_lagging_owners(owners(0, 0)).empty());
  }

  void a_single_owner_never_lags() {
    CPPUNIT_ASSERT(find_lagging_owners({{kSlow, {10, 0}}}).empty());
    CPPUNIT_ASSERT(find_lagging_owners({}).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnerProgressTest);

}  // namespace pumicemast
