#include "host/download/origin_request_schedule.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <vector>

namespace pumicemast {

/// Guards against a late start of a download after its origin has become available again.
///
/// The origin was unavailable for 6 s from half a second after a version was named. Each agent
/// doubled its delay with each failure, up to 2.4 s, and no download began for 2.3 s after the
/// origin's return. All agents must not call at once either: 298 manifests take as long on the
/// origin's link as the weights.
class OriginRequestScheduleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OriginRequestScheduleTest);
  CPPUNIT_TEST(one_agent_calls_soon_after_the_origin_returned);
  CPPUNIT_TEST(few_agents_call_at_the_same_time);
  CPPUNIT_TEST(other_agents_call_when_the_first_ranks_are_dead);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Duration kStep = milliseconds(20);
  /// Time until the origin refuses a call.
  static constexpr Duration kRefusalDelay = milliseconds(10);

  struct Agent {
    OriginRequestSchedule schedule;
    std::optional<TimePoint> refused_at;
  };

  /// Agents call an origin that refuses; the first `dead` of them by rank do nothing.
  struct Simulation {
    Simulation(std::uint32_t agents, std::uint32_t dead) : agents_(agents), dead_(dead) {
      for (Agent& agent : agents_) agent.schedule.begin(now_);
    }

    /// @return number of calls that the origin got within `duration`; it refuses all of them.
    std::size_t run(Duration duration) {
      std::size_t calls = 0;
      for (const TimePoint end = now_ + duration; now_ < end; now_ += kStep) {
        for (std::uint32_t rank = dead_; rank < agents_.size(); ++rank) calls += step(rank);
      }
      return calls;
    }

   private:
    std::size_t step(std::uint32_t rank) {
      Agent& agent = agents_[rank];
      if (agent.refused_at && now_ >= *agent.refused_at) {
        agent.schedule.on_failed(now_);
        agent.refused_at.reset();
      }
      if (!agent.schedule.due(rank, now_)) return 0;
      agent.schedule.on_request_sent();
      agent.refused_at = now_ + kRefusalDelay;
      return 1;
    }

    std::vector<Agent> agents_;
    std::uint32_t dead_;
    TimePoint now_{seconds(1000)};
  };

 public:
  void one_agent_calls_soon_after_the_origin_returned() {
    for (const std::uint32_t agents : {3U, 76U, 300U}) {
      Simulation simulation(agents, 0);
      simulation.run(seconds(6));
      CPPUNIT_ASSERT(simulation.run(milliseconds(300)) > 0);
    }
  }

  /// A manifest of 100 chunks has 7 KB, and a link of 4 Mbit/s carries 50 KB in a tenth of a
  /// second: few calls may be in flight while the first manifests are sent.
  void few_agents_call_at_the_same_time() {
    Simulation simulation(300, 0);
    CPPUNIT_ASSERT(simulation.run(milliseconds(100)) <= 2);
    simulation.run(seconds(6));
    CPPUNIT_ASSERT(simulation.run(milliseconds(100)) <= 20);
  }

  void other_agents_call_when_the_first_ranks_are_dead() {
    Simulation simulation(76, 10);
    simulation.run(seconds(6));
    CPPUNIT_ASSERT(simulation.run(seconds(1)) > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OriginRequestScheduleTest);

}  // namespace pumicemast
