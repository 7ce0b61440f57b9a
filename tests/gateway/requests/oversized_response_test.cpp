#include <cppunit/extensions/HelperMacros.h>

#include "support/gateway_harness.h"

namespace pumicemast {

/// Responses with bytes without end that are kept, or that nobody gets.
class OversizedResponseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OversizedResponseTest);
  CPPUNIT_TEST(an_event_without_end_is_not_kept);
  CPPUNIT_TEST(an_event_without_end_of_a_stream_that_cannot_be_resumed_is_not_kept);
  CPPUNIT_TEST(the_body_of_a_refusal_without_end_does_not_delay_the_retry);
  CPPUNIT_TEST(a_plain_body_without_end_inside_a_stream_breaks_it_off);
  CPPUNIT_TEST_SUITE_END();

 public:
  void an_event_without_end_is_not_kept() {
    harness.add_engines();
    const RequestNumber request = harness.send_request("/chat/1");
    const std::string first = harness.sent_to();
    harness.receive_head(request, 200, false, true);
    receive_until_cancelled(request, 2 << 20);
    CPPUNIT_ASSERT(harness.sent_to() != first && !harness.sent_to().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, harness.forwarder.buffered_bytes(request));
    harness.receive_head(request, 200, false, true);
    receive_until_cancelled(request, 2 << 20);
    CPPUNIT_ASSERT_EQUAL(502, harness.refusal_status());
  }

  // Guards against cutting off a sound stream whose events need not be kept, and against keeping
  // them.
  void an_event_without_end_of_a_stream_that_cannot_be_resumed_is_not_kept() {
    harness.add_engines();
    const RequestNumber request = harness.send_request("/once/1");
    harness.receive_head(request, 200, false, true);
    std::size_t relayed = 0;
    for (int count = 0; count < 300; ++count) {
      harness.receive_body(request, (count == 0 ? "data: " : "") + std::string(10'000, 'x'));
      const auto* relay = harness.first_action<RelayBody>();
      CPPUNIT_ASSERT(relay != nullptr);
      relayed += relay->bytes.size();
      CPPUNIT_ASSERT(harness.forwarder.buffered_bytes(request) <= 100);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3'000'006}, relayed);
    harness.complete_response(request);
    CPPUNIT_ASSERT(harness.first_action<EndResponse>() == nullptr);
  }

  void the_body_of_a_refusal_without_end_does_not_delay_the_retry() {
    harness.add_engines();
    const RequestNumber request = harness.send_request("/chat/1");
    const std::string first = harness.sent_to();
    harness.receive_head(request, 503, true);
    receive_until_cancelled(request, 1 << 20);
    CPPUNIT_ASSERT(harness.sent_to() != first && !harness.sent_to().empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, harness.forwarder.counters().refused_by_backend);
  }

  void a_plain_body_without_end_inside_a_stream_breaks_it_off() {
    harness.add_engines();
    const RequestNumber request = harness.send_request("/chat/1");
    harness.receive_head(request, 200, false, true);
    harness.receive_body(request, "id: 1\ndata: a\n\n");
    harness.fail_attempt(request, AttemptFailure::connection_lost);
    CPPUNIT_ASSERT(!harness.sent_to().empty());
    harness.receive_head(request, 200);
    receive_until_cancelled(request, 1 << 20);
    CPPUNIT_ASSERT(harness.first_action<AbortResponse>() != nullptr);
  }

 private:
  /// Receives body bytes until the attempt is cancelled; fails after `limit` bytes.
  void receive_until_cancelled(RequestNumber request, std::size_t limit) {
    constexpr std::size_t kPieceBytes = 10'000;
    std::size_t bytes = 0;
    do {
      harness.receive_body(request, std::string(kPieceBytes, 'x'));
      bytes += kPieceBytes;
      CPPUNIT_ASSERT(bytes < limit);
    } while (harness.first_action<CancelAttempt>() == nullptr);
  }

  tests::GatewayHarness harness;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OversizedResponseTest);

}  // namespace pumicemast
