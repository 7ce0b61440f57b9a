#include "gateway/requests/slot_reservations.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicemast {

class SlotReservationsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlotReservationsTest);
  CPPUNIT_TEST(a_denial_counts_only_where_the_request_waits);
  CPPUNIT_TEST(the_most_specific_reason_is_kept);
  CPPUNIT_TEST(a_lost_queue_affects_only_the_requests_that_wait_there);
  CPPUNIT_TEST(leaving_withdraws_what_was_neither_granted_nor_denied);
  CPPUNIT_TEST_SUITE_END();

  SlotReservations reservations;
  ForwarderActions actions;
  const Address first{"127.0.0.1", 1};
  const Address second{"127.0.0.1", 2};
  const Address third{"127.0.0.1", 3};

  void reserve(const Address& engine, RequestNumber number) {
    SlotRequest request;
    request.number = number;
    reservations.reserve(engine.to_string(), engine, request, actions);
  }

 public:
  void a_denial_counts_only_where_the_request_waits() {
    reserve(first, 7);
    CPPUNIT_ASSERT(!reservations.on_denied(7, second, SlotDenialReason::no_capacity));
    CPPUNIT_ASSERT(!reservations.on_denied(8, first, SlotDenialReason::no_capacity));
    CPPUNIT_ASSERT(!reservations.denial_reason(7).has_value());
    CPPUNIT_ASSERT(reservations.on_denied(7, first, SlotDenialReason::no_capacity));
    CPPUNIT_ASSERT(!reservations.on_denied(7, first, SlotDenialReason::no_capacity));
    CPPUNIT_ASSERT(!reservations.waits(7));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, reservations.counters().denied);
  }

  void the_most_specific_reason_is_kept() {
    for (const Address& engine : {first, second, third}) reserve(engine, 7);
    reservations.on_denied(7, first, SlotDenialReason::engine_unavailable);
    reservations.on_denied(7, second, SlotDenialReason::tenant_over_share);
    reservations.on_denied(7, third, SlotDenialReason::no_capacity);
    CPPUNIT_ASSERT(reservations.denial_reason(7) == SlotDenialReason::tenant_over_share);
  }

  void a_lost_queue_affects_only_the_requests_that_wait_there() {
    reserve(first, 7);
    reserve(second, 7);
    reserve(second, 8);
    CPPUNIT_ASSERT(reservations.on_queue_lost(first) == std::vector<RequestNumber>{7});
    CPPUNIT_ASSERT(reservations.waits(7));
    CPPUNIT_ASSERT(reservations.on_queue_lost(first).empty());
  }

  void leaving_withdraws_what_was_neither_granted_nor_denied() {
    for (const Address& engine : {first, second, third}) reserve(engine, 7);
    reservations.on_granted(7, first);
    reservations.on_denied(7, second, SlotDenialReason::no_capacity);
    actions.clear();
    reservations.leave(7, actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
    CPPUNIT_ASSERT(std::get<LeaveSlotQueue>(actions.front()).engine == third);
    reservations.leave(7, actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
    CPPUNIT_ASSERT(reservations.may_reserve(7));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotReservationsTest);

}  // namespace pumicemast
