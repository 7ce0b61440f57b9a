#include "swarm/swarm_membership.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <set>

#include "common/hash.h"

namespace pumicemast {
namespace {

std::vector<SwarmParticipant> make_participants(std::uint32_t count, std::uint32_t regions) {
  std::vector<SwarmParticipant> result;
  for (std::uint32_t index = 0; index < count; ++index) {
    result.push_back(
        {stable_hash(std::uint64_t{index}, 1), index % regions, index % (2 * regions)});
  }
  return result;
}

}  // namespace

class SwarmMembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SwarmMembershipTest);
  CPPUNIT_TEST(neighbours_are_symmetric_bounded_and_within_the_region);
  CPPUNIT_TEST(every_chunk_has_one_owner_overall_and_one_in_each_region);
  CPPUNIT_TEST(removing_a_member_moves_only_its_chunks);
  CPPUNIT_TEST(owners_share_the_chunks_evenly);
  CPPUNIT_TEST(no_owner_of_few_chunks_has_more_than_its_share);
  CPPUNIT_TEST(with_bounded_shares_each_chunk_has_distinct_ranked_owners);
  CPPUNIT_TEST_SUITE_END();

 public:
  void neighbours_are_symmetric_bounded_and_within_the_region() {
    for (const std::uint32_t count : {2U, 12U, 40U, 330U, 3300U}) {
      const auto participants = make_participants(count, 3);
      const SwarmMembership membership(participants, 7);
      const double bound = 2 * std::log2(count) + 12;
      for (std::size_t index = 0; index < participants.size(); index += 1 + count / 50) {
        const SwarmParticipant& self = participants[index];
        const auto neighbours = membership.neighbours(self.id);
        CPPUNIT_ASSERT(static_cast<double>(neighbours.size()) <= bound);
        for (const PeerId id : neighbours) {
          CPPUNIT_ASSERT(id != self.id);
          CPPUNIT_ASSERT_EQUAL(self.region, membership.find(id)->region);
          const auto back = membership.neighbours(id);
          CPPUNIT_ASSERT(std::find(back.begin(), back.end(), self.id) != back.end());
        }
      }
    }
  }

  void every_chunk_has_one_owner_overall_and_one_in_each_region() {
    const SwarmMembership membership(make_participants(60, 3), 7);
    for (ChunkIndex chunk = 0; chunk < 500; ++chunk) {
      const SwarmParticipant* owner = membership.owner(chunk, 0);
      CPPUNIT_ASSERT(owner != nullptr);
      CPPUNIT_ASSERT(owner != membership.owner(chunk, 1));
      for (std::uint32_t region = 0; region < 3; ++region) {
        const SwarmParticipant* regional_owner = membership.region_owner(chunk, region, 0);
        CPPUNIT_ASSERT_EQUAL(region, regional_owner->region);
        if (region == owner->region) CPPUNIT_ASSERT(regional_owner == owner);
      }
    }
    CPPUNIT_ASSERT(membership.owner(0, 60) == nullptr);
  }

  void removing_a_member_moves_only_its_chunks() {
    auto participants = make_participants(60, 3);
    const SwarmMembership before(participants, 7);
    const PeerId dead = participants[17].id;
    participants.erase(participants.begin() + 17);
    const SwarmMembership after(participants, 7);
    std::uint32_t moved = 0;
    for (ChunkIndex chunk = 0; chunk < 2000; ++chunk) {
      if (before.owner(chunk, 0)->id == dead) {
        CPPUNIT_ASSERT_EQUAL(before.owner(chunk, 1)->id, after.owner(chunk, 0)->id);
        ++moved;
      } else {
        CPPUNIT_ASSERT_EQUAL(before.owner(chunk, 0)->id, after.owner(chunk, 0)->id);
      }
    }
    CPPUNIT_ASSERT(moved > 0);
  }

  void owners_share_the_chunks_evenly() {
    const SwarmMembership membership(make_participants(50, 2), 7);
    std::map<PeerId, std::uint32_t> shares;
    for (ChunkIndex chunk = 0; chunk < 10000; ++chunk) ++shares[membership.owner(chunk, 0)->id];
    CPPUNIT_ASSERT_EQUAL(std::size_t{50}, shares.size());
    for (const auto& [id, share] : shares) CPPUNIT_ASSERT(share < 3 * 10000 / 50);
  }

  void no_owner_of_few_chunks_has_more_than_its_share() {
    constexpr ChunkIndex kChunks = 96;
    const auto participants = make_participants(20, 3);
    const SwarmMembership membership(participants, 7, kChunks);
    std::map<PeerId, std::uint32_t> region_fetches;
    std::map<PeerId, std::uint32_t> origin_fetches;
    for (ChunkIndex chunk = 0; chunk < kChunks; ++chunk) {
      ++origin_fetches[membership.owner(chunk, 0)->id];
      for (std::uint32_t region = 0; region < 3; ++region) {
        ++region_fetches[membership.region_owner(chunk, region, 0)->id];
      }
    }
    // Regions of 7, 7 and 6 members: shares of 14, 14 and 16 chunks. 96 fetches from the origin by
    // 20 members are 4.8 each.
    for (const SwarmParticipant& participant : participants) {
      CPPUNIT_ASSERT(region_fetches[participant.id] <= (participant.region == 2 ? 16U : 14U));
      CPPUNIT_ASSERT(origin_fetches[participant.id] <= 7U);
    }
  }

  void with_bounded_shares_each_chunk_has_distinct_ranked_owners() {
    constexpr ChunkIndex kChunks = 96;
    const SwarmMembership membership(make_participants(20, 3), 7, kChunks);
    for (ChunkIndex chunk = 0; chunk < kChunks; ++chunk) {
      std::set<PeerId> owners;
      for (std::size_t rank = 0; rank < 20; ++rank)
        owners.insert(membership.owner(chunk, rank)->id);
      CPPUNIT_ASSERT_EQUAL(std::size_t{20}, owners.size());
      CPPUNIT_ASSERT(membership.owner(chunk, 20) == nullptr);
      const SwarmParticipant* owner = membership.owner(chunk, 0);
      CPPUNIT_ASSERT(membership.region_owner(chunk, owner->region, 0) == owner);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SwarmMembershipTest);

}  // namespace pumicemast
