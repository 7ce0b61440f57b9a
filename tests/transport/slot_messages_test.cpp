#include "transport/slot_messages.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>

#include "transport/frame_codec.h"

namespace pumicemast {

class SlotMessagesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlotMessagesTest);
  CPPUNIT_TEST(requests_survive_a_round_trip);
  CPPUNIT_TEST(decisions_survive_a_round_trip);
  CPPUNIT_TEST(values_out_of_range_are_bounded);
  CPPUNIT_TEST(entries_beyond_the_limit_are_ignored);
  CPPUNIT_TEST(empty_messages_are_read);
  CPPUNIT_TEST_SUITE_END();

  /// Encodes the message into a frame and passes the received one to `read`.
  template <class Message, class Read>
  static void receive(const Message& message, Read read) {
    const EncodedFrame frame = encode_frame(message);
    FrameReader reader;
    int frames = 0;
    const FrameFault fault =
        reader.consume({frame.data(), frame.size()}, [&](const wire::Frame& received) {
          ++frames;
          read(received);
        });
    CPPUNIT_ASSERT(fault == FrameFault::none);
    CPPUNIT_ASSERT_EQUAL(1, frames);
  }

  static SlotRequests received(const wire::SlotRequestsT& message) {
    SlotRequests result;
    receive(message, [&](const wire::Frame& frame) {
      CPPUNIT_ASSERT(frame.body_as_SlotRequests() != nullptr);
      result = decode(*frame.body_as_SlotRequests());
    });
    return result;
  }

  static SlotDecisions received(const wire::SlotDecisionsT& message) {
    SlotDecisions result;
    receive(message, [&](const wire::Frame& frame) {
      CPPUNIT_ASSERT(frame.body_as_SlotDecisions() != nullptr);
      CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:80"),
                           frame.body_as_SlotDecisions()->engine()->str());
      result = decode(*frame.body_as_SlotDecisions());
    });
    return result;
  }

  static void assert_equal(const SlotRequest& one, const SlotRequest& other) {
    CPPUNIT_ASSERT_EQUAL(one.number, other.number);
    CPPUNIT_ASSERT_EQUAL(one.priority, other.priority);
    CPPUNIT_ASSERT_EQUAL(one.returning, other.returning);
    CPPUNIT_ASSERT_EQUAL(one.tenant, other.tenant);
    CPPUNIT_ASSERT_EQUAL(one.prompt_tokens, other.prompt_tokens);
    CPPUNIT_ASSERT_EQUAL(one.copies, other.copies);
    CPPUNIT_ASSERT(one.useful_for == other.useful_for);
  }

 public:
  void requests_survive_a_round_trip() {
    constexpr std::uint64_t kLargest = std::numeric_limits<std::uint64_t>::max();
    const SlotRequests sent{{{7, 0, false, kLargest, 787, 3, milliseconds(240)},
                             {kLargest, kLeastUrgentPriority, true, 0, 0, 1, Duration::zero()}},
                            {1, kLargest}};
    const SlotRequests read = received(encode(sent));
    CPPUNIT_ASSERT_EQUAL(sent.requests.size(), read.requests.size());
    for (std::size_t at = 0; at < sent.requests.size(); ++at) {
      assert_equal(sent.requests[at], read.requests[at]);
    }
    CPPUNIT_ASSERT(sent.withdrawn == read.withdrawn);
  }

  void decisions_survive_a_round_trip() {
    const SlotDecisions sent{{3, 1, 2},
                             {{4, SlotDenialReason::no_capacity, milliseconds(1)},
                              {5, SlotDenialReason::more_urgent_first, seconds(2)},
                              {6, SlotDenialReason::tenant_over_share, seconds(60)},
                              {7, SlotDenialReason::engine_unavailable, Duration::zero()}}};
    const SlotDecisions read = received(encode(sent, Address{"127.0.0.1", 80}));
    CPPUNIT_ASSERT(sent.granted == read.granted);
    CPPUNIT_ASSERT_EQUAL(sent.denied.size(), read.denied.size());
    for (std::size_t at = 0; at < sent.denied.size(); ++at) {
      CPPUNIT_ASSERT_EQUAL(sent.denied[at].number, read.denied[at].number);
      CPPUNIT_ASSERT(sent.denied[at].reason == read.denied[at].reason);
      CPPUNIT_ASSERT(sent.denied[at].expected_wait == read.denied[at].expected_wait);
    }
  }

  // Another process may state anything; one value must not shift a deadline by days or divide by 0.
  void values_out_of_range_are_bounded() {
    wire::SlotRequestsT message;
    message.requests.push_back(std::make_unique<wire::SlotRequestT>());
    wire::SlotRequestT& request = *message.requests.front();
    request.priority = 255;
    request.copies = 0;
    request.prompt_tokens = request.useful_ms = std::numeric_limits<std::uint32_t>::max();
    const SlotRequest read = received(message).requests.at(0);
    CPPUNIT_ASSERT_EQUAL(kLeastUrgentPriority, read.priority);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, read.copies);
    CPPUNIT_ASSERT(read.prompt_tokens <= 10'000'000);
    CPPUNIT_ASSERT(read.useful_for == seconds(60));

    wire::SlotDecisionsT decisions;
    decisions.engine = "127.0.0.1:80";
    decisions.denied.push_back(std::make_unique<wire::SlotDenialT>());
    decisions.denied.front()->reason = static_cast<wire::SlotDenialReason>(200);
    decisions.denied.front()->expected_wait_ms = std::numeric_limits<std::uint32_t>::max();
    const SlotDenial denial = received(decisions).denied.at(0);
    CPPUNIT_ASSERT(denial.reason == SlotDenialReason::no_capacity);
    CPPUNIT_ASSERT(denial.expected_wait == seconds(60));
  }

  void entries_beyond_the_limit_are_ignored() {
    SlotRequests requests;
    requests.requests.resize(2000);
    requests.withdrawn.resize(2000);
    const SlotRequests read = received(encode(requests));
    CPPUNIT_ASSERT_EQUAL(std::size_t{512}, read.requests.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{512}, read.withdrawn.size());
  }

  void empty_messages_are_read() {
    CPPUNIT_ASSERT(received(wire::SlotRequestsT()).empty());
    wire::SlotDecisionsT decisions;
    decisions.engine = "127.0.0.1:80";
    CPPUNIT_ASSERT(received(decisions).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotMessagesTest);

}  // namespace pumicemast
