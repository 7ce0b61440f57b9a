#include "swarm/owner_monitor.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicemast {

class OwnerMonitorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OwnerMonitorTest);
  CPPUNIT_TEST(the_next_rank_takes_over_from_a_lagging_owner);
  CPPUNIT_TEST(nothing_is_taken_over_while_no_owner_lags);
  CPPUNIT_TEST(an_agent_is_never_lagging_in_its_own_view);
  CPPUNIT_TEST(initially_held_chunks_are_not_counted);
  CPPUNIT_TEST(an_owner_that_recovers_no_longer_lags);
  CPPUNIT_TEST_SUITE_END();

  static constexpr ChunkIndex kChunks = 30;
  static constexpr PeerId kSelf = 1000;
  static constexpr PeerId kLagging = 2000;
  static constexpr PeerId kOther = 3000;

  SwarmMembership membership{{{kSelf, 1, 1}, {kLagging, 1, 1}, {kOther, 1, 2}}, 5, kChunks};
  OwnerMonitor monitor{kSelf, ChunkSet(kChunks)};

  bool owned_by(ChunkIndex chunk, PeerId id) const { return membership.owner(chunk, 0)->id == id; }
  /// All chunks except those of one owner have appeared.
  void compare_without(PeerId missing) {
    monitor.compare(membership, [&](ChunkIndex chunk) { return !owned_by(chunk, missing); });
  }

 public:
  void the_next_rank_takes_over_from_a_lagging_owner() {
    compare_without(kLagging);
    CPPUNIT_ASSERT(monitor.lagging() == std::set<PeerId>{kLagging});
    std::uint32_t taken_over = 0;
    for (ChunkIndex chunk = 0; chunk < kChunks; ++chunk) {
      const bool next_in_rank =
          owned_by(chunk, kLagging) && membership.owner(chunk, 1)->id == kSelf;
      CPPUNIT_ASSERT_EQUAL(next_in_rank, monitor.takes_over_origin_fetch(membership, chunk));
      if (next_in_rank) ++taken_over;
    }
    CPPUNIT_ASSERT(taken_over > 0);
  }

  void nothing_is_taken_over_while_no_owner_lags() {
    compare_without(0);
    CPPUNIT_ASSERT(monitor.lagging().empty());
    for (ChunkIndex chunk = 0; chunk < kChunks; ++chunk) {
      CPPUNIT_ASSERT(!monitor.takes_over_origin_fetch(membership, chunk));
      CPPUNIT_ASSERT(!monitor.takes_over_region_fetch(membership, chunk));
    }
  }

  void an_agent_is_never_lagging_in_its_own_view() {
    compare_without(kSelf);
    CPPUNIT_ASSERT(monitor.lagging().empty());
  }

  void initially_held_chunks_are_not_counted() {
    ChunkSet held(kChunks);
    for (ChunkIndex chunk = 1; chunk < kChunks; ++chunk) held.insert(chunk);
    OwnerMonitor nearly_complete(kSelf, held);
    nearly_complete.compare(membership, [](ChunkIndex chunk) { return chunk != 0; });
    CPPUNIT_ASSERT(nearly_complete.lagging().empty());
  }

  void an_owner_that_recovers_no_longer_lags() {
    compare_without(kLagging);
    compare_without(0);
    CPPUNIT_ASSERT(monitor.lagging().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnerMonitorTest);

}  // namespace pumicemast
