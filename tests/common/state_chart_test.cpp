#include "common/state_chart.h"

#include <cppunit/extensions/HelperMacros.h>

#include "support/charts.h"
#include "support/temporary_folder.h"

namespace pumicemast {

class StateChartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StateChartTest);
  CPPUNIT_TEST(follows_transitions);
  CPPUNIT_TEST(refuses_unknown_states_events_and_unreachable_states);
  CPPUNIT_TEST(refuses_another_charts_file);
  CPPUNIT_TEST_SUITE_END();

 public:
  void follows_transitions() {
    const StateChart& replica = tests::charts().replica;
    CPPUNIT_ASSERT_EQUAL(std::string("FETCHING"), replica.next("ABSENT", "stage_ordered"));
    CPPUNIT_ASSERT_EQUAL(std::string("ABSENT"), replica.next("ABSENT", "activated"));
    CPPUNIT_ASSERT(!replica.accepts("FETCHING", "serve_ordered"));
  }

  void refuses_unknown_states_events_and_unreachable_states() {
    Findings findings;
    const ChartVocabulary vocabulary{"door", {"OPEN", "SHUT", "LOCKED"}, {"push", "turn"}};
    StateChart::load(folder_.write("door.ini",
                                   "[chart]\nname=door\ninitial=OPEN\n[OPEN]\npush=SHUTT\n"
                                   "kick=SHUT\n[SHUT]\npush=OPEN\n[GONE]\nturn=OPEN\n"),
                     vocabulary, findings);
    std::string report = findings.report();
    for (const char* expected :
         {"[OPEN] push: unknown state \"SHUTT\"", "[OPEN] kick: unknown key",
          "[GONE] turn: unknown key", "[SHUT] unreachable state", "[LOCKED] unreachable state"}) {
      CPPUNIT_ASSERT_MESSAGE(expected, report.find(expected) != std::string::npos);
    }
  }

  void refuses_another_charts_file() {
    Findings findings;
    StateChart::load(tests::charts_folder() + "/lease.ini", {"replica", {"FOLLOWING"}, {}},
                     findings);
    CPPUNIT_ASSERT(!findings.empty());
  }

 private:
  tests::TemporaryFolder folder_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StateChartTest);

}  // namespace pumicemast
