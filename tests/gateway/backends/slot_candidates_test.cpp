#include <cppunit/extensions/HelperMacros.h>

#include "support/gateway_harness.h"

namespace pumicemast {

/// The engines where a request may wait for a slot.
class SlotCandidatesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlotCandidatesTest);
  CPPUNIT_TEST(a_granted_slot_is_not_waited_for_again);
  CPPUNIT_TEST_SUITE_END();

  tests::GatewayHarness harness;

 public:
  /// Guards against the wait for a slot being taken off the time for which a slot is useful: then
  /// requests with a short latency goal were queued for no time at all where all slots were taken.
  void a_granted_slot_is_not_waited_for_again() {
    FleetConfiguration configuration = tests::GatewayHarness::configuration();
    BackendRequirements requirements;
    requirements.service = &configuration.services[0];
    harness.add_backend("e1", "engines", 1, 1);
    LoadReport report;
    report.alive = true;
    report.queues_slot_requests = true;
    report.weight_version = 1;
    const std::uint32_t slots = requirements.service->engine->slots;
    const auto expected_ms = [&](std::uint32_t running, std::uint32_t queued) {
      report.running = running;
      report.queued = queued;
      harness.pool.on_report(harness.pool.records().front().address, report, harness.now);
      return harness.pool.slot_candidates(requirements, {}, 1, true, harness.now).at(0).expected_ms;
    };
    CPPUNIT_ASSERT_EQUAL(expected_ms(slots - 1, 0), expected_ms(slots, 0));
    CPPUNIT_ASSERT_EQUAL(expected_ms(slots - 1, 0), expected_ms(slots, 2));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotCandidatesTest);

}  // namespace pumicemast
