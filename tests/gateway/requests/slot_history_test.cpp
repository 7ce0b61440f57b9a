#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <random>
#include <set>

#include "support/slot_harness.h"

namespace pumicemast {
namespace {

constexpr std::uint16_t kEngines = 5;

/// What callers, agents and engines have been told, checked with each action.
struct Told {
  std::map<RequestNumber, std::set<std::uint16_t>> queued;
  std::set<RequestNumber> running;
  std::set<RequestNumber> ended;
  std::set<std::uint16_t> queued_at;  ///< Engines where a request was queued at any time.
  bool priority_sent = false;

  void apply(const ForwarderActions& actions) {
    for (const ForwarderAction& action : actions) {
      if (const auto* queue = std::get_if<QueueForSlot>(&action)) {
        CPPUNIT_ASSERT(!ended.contains(queue->request.number));
        queued_at.insert(queue->engine.port);
        CPPUNIT_ASSERT(queue->request.useful_for > Duration::zero());
        CPPUNIT_ASSERT(queued[queue->request.number].insert(queue->engine.port).second);
      } else if (const auto* leave = std::get_if<LeaveSlotQueue>(&action)) {
        queued[leave->request].erase(leave->engine.port);
      } else if (const auto* send = std::get_if<SendToBackend>(&action)) {
        CPPUNIT_ASSERT(!ended.contains(send->request));
        priority_sent = priority_sent || send->priority.has_value();
        CPPUNIT_ASSERT(running.insert(send->request).second);
      } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
        running.erase(cancel->request);
      } else if (const auto* refusal = std::get_if<SendRefusal>(&action)) {
        CPPUNIT_ASSERT(refusal->status != 503 || !running.contains(refusal->request));
        CPPUNIT_ASSERT(ended.insert(refusal->request).second);
      } else if (const auto* finished = std::get_if<EndResponse>(&action)) {
        CPPUNIT_ASSERT(running.contains(finished->request));
        CPPUNIT_ASSERT(ended.insert(finished->request).second);
      }
    }
    for (const auto& [request, engines] : queued) {
      if (running.contains(request) || ended.contains(request)) CPPUNIT_ASSERT(engines.empty());
    }
  }
};

}  // namespace

/// Invariants of requests that wait for slots, over random orders of grants, denials, lost agents,
/// disconnecting callers, reports and time.
class SlotHistoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlotHistoryTest);
  CPPUNIT_TEST(each_request_ends_once_and_then_waits_nowhere);
  CPPUNIT_TEST(a_service_with_one_priority_is_queued_nowhere);
  CPPUNIT_TEST_SUITE_END();

  using Random = std::minstd_rand;

  static std::uint32_t draw(Random& random, std::uint32_t bound) { return random() % bound; }

  /// A request that some agent has in its queue or, sometimes, any earlier one.
  static RequestNumber any_request(Random& random, const tests::SlotHarness& harness) {
    return 1 + draw(random, static_cast<std::uint32_t>(harness.number));
  }

  static void step(Random& random, tests::SlotHarness& harness, Told& told) {
    const auto port = static_cast<std::uint16_t>(1 + draw(random, kEngines));
    const RequestNumber request = any_request(random, harness);
    switch (draw(random, 9)) {
      case 0:
      case 1:
        harness.send_request(draw(random, 2) == 0 ? harness.kUrgent : harness.kLessUrgent, "key-1",
                             milliseconds(3000 + draw(random, 2) * 3000));
        break;
      case 2:
        told.queued[request].erase(port);
        harness.grant(port, request);
        break;
      case 3:
        told.queued[request].erase(port);
        harness.deny(port, request, static_cast<SlotDenialReason>(draw(random, 4)),
                     milliseconds(draw(random, 4000)));
        break;
      case 4:
        for (auto& [number, engines] : told.queued) engines.erase(port);
        harness.pool.on_agent_lost(tests::address(port));
        harness.actions.clear();
        harness.forwarder.on_slot_queue_lost(tests::address(port), harness.now, harness.actions);
        break;
      case 5:
        harness.actions.clear();
        harness.forwarder.on_caller_gone(request, harness.now, harness.actions);
        if (!told.ended.contains(request)) told.ended.insert(request);
        break;
      case 6:
        harness.complete_response(request);
        break;
      case 7:
        harness.report(port, draw(random, 20), draw(random, 8) == 0 ? 1 : 0, draw(random, 8) == 0);
        harness.actions.clear();
        harness.forwarder.on_capacity(harness.now, harness.actions);
        break;
      default:
        harness.advance(milliseconds(draw(random, 40)));
    }
    told.apply(harness.actions);
  }

  static Told play(std::uint32_t seed, int less_urgent) {
    Random random(seed);
    tests::SlotHarness harness;
    Told told;
    harness.configure(less_urgent);
    harness.add_full_engines(kEngines);
    harness.send_request(harness.kUrgent);
    told.apply(harness.actions);
    for (int count = 0; count < 300; ++count) step(random, harness, told);
    for (RequestNumber request = 1; request <= harness.number; ++request) {
      harness.complete_response(request);
      told.apply(harness.actions);
    }
    harness.advance(seconds(7));
    told.apply(harness.actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, harness.forwarder.active());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, harness.forwarder.waiting());
    CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(harness.number), told.ended.size());
    return told;
  }

 public:
  void each_request_ends_once_and_then_waits_nowhere() {
    for (std::uint32_t seed = 1; seed <= 60; ++seed) {
      CPPUNIT_ASSERT(!play(seed, 2).queued_at.empty());
    }
  }

  void a_service_with_one_priority_is_queued_nowhere() {
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
      const Told told = play(seed, 0);
      CPPUNIT_ASSERT(told.queued_at.empty() && !told.priority_sent);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotHistoryTest);

}  // namespace pumicemast
