#include "gateway/peers/issuer_ranking.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace pumicemast {

class IssuerRankingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(IssuerRankingTest);
  CPPUNIT_TEST(all_gateways_choose_the_same_one);
  CPPUNIT_TEST(back_ends_are_spread_over_gateways);
  CPPUNIT_TEST(an_unresponsive_issuer_is_skipped_for_a_while);
  CPPUNIT_TEST_SUITE_END();

  const TimePoint start = TimePoint(seconds(100));

  static std::vector<PeerId> others(PeerId self) {
    std::vector<PeerId> gateways;
    for (PeerId gateway = 1; gateway <= 40; ++gateway) {
      if (gateway != self) gateways.push_back(gateway);
    }
    return gateways;
  }

 public:
  void all_gateways_choose_the_same_one() {
    std::set<PeerId> chosen;
    for (PeerId self = 1; self <= 40; ++self) {
      chosen.insert(IssuerRanking().choose("p1", self, others(self), start));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, chosen.size());
  }

  void back_ends_are_spread_over_gateways() {
    std::set<PeerId> chosen;
    for (int backend = 0; backend < 100; ++backend) {
      chosen.insert(IssuerRanking().choose("p" + std::to_string(backend), 1, others(1), start));
    }
    CPPUNIT_ASSERT(chosen.size() > 25);
  }

  void an_unresponsive_issuer_is_skipped_for_a_while() {
    IssuerRanking ranking;
    const PeerId first = ranking.choose("p1", 0, others(0), start);
    ranking.on_asked(first, start);
    ranking.on_asked(first, start + milliseconds(900));
    CPPUNIT_ASSERT_EQUAL(first, ranking.choose("p1", 0, others(0), start + milliseconds(900)));
    const PeerId second = ranking.choose("p1", 0, others(0), start + milliseconds(1100));
    CPPUNIT_ASSERT(second != first);
    ranking.on_answered(first);
    CPPUNIT_ASSERT_EQUAL(first, ranking.choose("p1", 0, others(0), start + milliseconds(1100)));
    // An issuer that never answers is tried again from time to time.
    ranking.on_asked(first, start + seconds(2));
    CPPUNIT_ASSERT(ranking.choose("p1", 0, others(0), start + seconds(4)) != first);
    CPPUNIT_ASSERT_EQUAL(first, ranking.choose("p1", 0, others(0), start + seconds(9)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IssuerRankingTest);

}  // namespace pumicemast
