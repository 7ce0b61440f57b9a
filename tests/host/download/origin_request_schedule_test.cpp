#include "host/download/origin_request_schedule.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <vector>

namespace pumicemast {

/// A version could not be begun for 2.3 s after its origin had come back.
///
/// The origin was away for 6 s from half a second after the naming. Each agent doubled its pause
/// with each failure, up to 2.4 s, and nobody asked when the origin returned. Asking all at once is
/// no way out: 298 manifests take as long on the origin's link as the weights.
class OriginRequestScheduleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OriginRequestScheduleTest);
  CPPUNIT_TEST(one_agent_calls_soon_after_the_origin_returned);
  CPPUNIT_TEST(few_agents_call_at_the_same_time);
  CPPUNIT_TEST(other_agents_call_when_the_first_ranks_are_dead);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Duration kStep = milliseconds(20);
  /// A call that is refused is answered after this.
  static constexpr Duration kRefusalDelay = milliseconds(10);

  struct Agent {
    OriginRequestSchedule schedule;
    std::optional<TimePoint> refused_at;
  };

  /// Agents ask an origin that refuses; the first `dead` of them by rank do nothing.
  struct Simulation {
    Simulation(std::uint32_t agents, std::uint32_t dead) : agents_(agents), dead_(dead) {
      for (Agent& agent : agents_) agent.schedule.begin(now_);
    }

    /// @return calls that the origin got within `duration`, if it refuses all of them.
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

  /// A manifest of 100 chunks has 7 KB, a tenth of a second of a link of 4 Mbit/s is 50 KB: while
  /// the first manifests are on their way, few others may be.
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
