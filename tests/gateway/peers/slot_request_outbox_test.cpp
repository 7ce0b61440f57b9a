#include "gateway/peers/slot_request_outbox.h"

#include <cppunit/extensions/HelperMacros.h>

#include "support/scripted_server.h"

namespace pumicemast {

class SlotRequestOutboxTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlotRequestOutboxTest);
  CPPUNIT_TEST(one_message_for_each_agent_in_an_iteration);
  CPPUNIT_TEST(a_withdrawn_number_may_be_queued_again);
  CPPUNIT_TEST(nothing_for_a_lost_agent_reaches_its_successor);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { sent_.clear(); }

  // Guards against a message for each caller's request that arrives in the same iteration.
  void one_message_for_each_agent_in_an_iteration() {
    for (std::uint64_t number = 1; number <= 3; ++number) {
      outbox_.queue(kFirst, numbered(number));
      outbox_.queue(kSecond, numbered(number));
    }
    outbox_.withdraw(kSecond, 2);
    CPPUNIT_ASSERT(sent_.empty());
    tests::run_until([&] { return sent_.size() >= 2; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sent_.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, sent_[0].requests.size());
    // A request withdrawn before it was sent must not stay in the agent's queue.
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sent_[1].requests.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent_[1].withdrawn.size());
  }

  void a_withdrawn_number_may_be_queued_again() {
    outbox_.withdraw(kFirst, 1);
    outbox_.queue(kFirst, numbered(1));
    tests::run_until([&] { return !sent_.empty(); });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent_[0].requests.size());
  }

  // Guards against slots granted to requests that the gateway has queued elsewhere since.
  void nothing_for_a_lost_agent_reaches_its_successor() {
    outbox_.queue(kFirst, numbered(1));
    outbox_.queue(kSecond, numbered(1));
    outbox_.drop(kFirst);
    tests::run_until([&] { return !sent_.empty(); });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent_.size());
  }

 private:
  static SlotRequest numbered(std::uint64_t number) {
    SlotRequest request;
    request.number = number;
    return request;
  }

  const Address kFirst{"127.0.0.1", 1};
  const Address kSecond{"127.0.0.2", 1};
  std::vector<SlotRequests> sent_;
  SlotRequestOutbox outbox_{
      [this](const Address&, const SlotRequests& requests) { sent_.push_back(requests); }};
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotRequestOutboxTest);

}  // namespace pumicemast
