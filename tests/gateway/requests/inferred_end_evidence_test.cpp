#include <cppunit/extensions/HelperMacros.h>

#include "support/gateway_harness.h"

namespace pumicemast {
namespace {

constexpr char kRepeatable[] = "/read/1";
constexpr char kNotRepeatable[] = "/pay/1";
constexpr int kBadGateway = 502;
constexpr Duration kTick = milliseconds(25);
/// Longer than any inferred end is held back.
constexpr int kLongestHoldTicks = 60;

}  // namespace

/// Evidence that a plain response which ended with its connection is whole. Guards against
/// responses that were cut off by the exit of their back end and reached their callers framed as
/// complete.
class InferredEndEvidenceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InferredEndEvidenceTest);
  CPPUNIT_TEST(exit_of_a_leaving_service_does_not_show_that_its_response_was_whole);
  CPPUNIT_TEST(exit_of_a_leaving_service_is_no_crash_of_its_requests);
  CPPUNIT_TEST(exit_of_a_leaving_engine_does_not_show_that_a_plain_response_was_whole);
  CPPUNIT_TEST(leaving_service_that_listens_has_outlived_its_response);
  CPPUNIT_TEST(leaving_service_whose_other_response_goes_on_has_outlived_its_response);
  CPPUNIT_TEST(bytes_that_may_have_been_under_way_at_the_close_show_nothing);
  CPPUNIT_TEST(bytes_of_a_large_response_show_nothing);
  CPPUNIT_TEST(response_of_another_process_shows_nothing);
  CPPUNIT_TEST(responses_that_end_together_are_decided_at_once);
  CPPUNIT_TEST(silence_does_not_show_that_a_plain_response_was_whole);
  CPPUNIT_TEST(probe_that_began_before_the_close_shows_nothing);
  CPPUNIT_TEST_SUITE_END();

  tests::GatewayHarness harness;

  enum class Leaving { announced, draining, removed };

  void add_services() {
    harness.configure();
    harness.add_backend("p1", "plain", 1);
    harness.add_backend("p2", "plain", 2);
  }

  void let_leave(const std::string& backend, Leaving how) {
    const std::uint16_t port = backend == "p1" ? 1 : 2;
    if (how == Leaving::removed) {
      harness.pool.on_removed(backend, {++harness.revision}, harness.now);
    } else if (how == Leaving::draining) {
      BackendRecord record;
      record.id = backend;
      record.service = "plain";
      record.address = {"127.0.0.1", port};
      record.zone = "z1";
      record.slots = 4;
      record.revision = ++harness.revision;
      record.draining = true;
      harness.pool.on_record(record, harness.now);
    }
    CPPUNIT_ASSERT(how == Leaving::announced || harness.pool.leaving(backend));
  }

  /// Receives the head and a part of a plain response from a service that leaves.
  RequestNumber receive_part(const std::string& target, Leaving how, std::string& backend) {
    const RequestNumber request = harness.send_request(target);
    backend = harness.sent_to();
    BackendNotice notice;
    notice.leaving = how == Leaving::announced;
    harness.receive_head(request, 200, false, false, notice);
    harness.receive_body(request, "bo");
    let_leave(backend, how);
    return request;
  }

  /// The connection of the response is closed in an orderly way, and a probe is refused.
  void close_and_refuse(RequestNumber request, const std::string& backend) {
    harness.complete_response(request, ResponseEnd::inferred_from_close);
    CPPUNIT_ASSERT_EQUAL(backend, harness.probed());
    harness.forwarder.on_backend_ended(backend, harness.now);
  }

  void wait_for_outcome() {
    harness.actions.clear();
    for (int tick = 0; tick < kLongestHoldTicks && harness.actions.empty(); ++tick) {
      harness.advance(kTick);
    }
  }

  std::string evidence() {
    const auto verdicts = harness.forwarder.take_inferred_end_verdicts();
    return verdicts.empty() ? "" : to_string(verdicts.front().evidence);
  }

  void expect_not_whole(const std::string& target, const std::string& backend) {
    CPPUNIT_ASSERT(harness.first_action<EndResponse>() == nullptr);
    CPPUNIT_ASSERT(harness.first_action<BeginResponse>() == nullptr);
    if (target == kRepeatable) {
      CPPUNIT_ASSERT(!harness.sent_to().empty() && harness.sent_to() != backend);
    } else {
      CPPUNIT_ASSERT_EQUAL(kBadGateway, harness.refusal_status());
    }
  }

  /// Two responses of a leaving service: one ends with its connection, the other has only begun.
  /// @return the number of the second.
  RequestNumber receive_two(std::string& backend, RequestNumber& closed) {
    harness.configure();
    harness.add_backend("p1", "plain", 1);
    const RequestNumber other = harness.send_request(kNotRepeatable);
    harness.receive_head(other, 200);
    closed = receive_part(kNotRepeatable, Leaving::draining, backend);
    close_and_refuse(closed, backend);
    return other;
  }

  void advance_ticks(int count) {
    for (int tick = 0; tick < count; ++tick) {
      harness.advance(kTick);
      CPPUNIT_ASSERT(harness.actions.empty());
    }
  }

 public:
  void exit_of_a_leaving_service_does_not_show_that_its_response_was_whole() {
    for (const Leaving how : {Leaving::announced, Leaving::draining, Leaving::removed}) {
      for (const char* target : {kRepeatable, kNotRepeatable}) {
        InferredEndEvidenceTest test;
        test.add_services();
        std::string backend;
        const RequestNumber request = test.receive_part(target, how, backend);
        test.close_and_refuse(request, backend);
        test.wait_for_outcome();
        test.expect_not_whole(target, backend);
        CPPUNIT_ASSERT_EQUAL(std::string("leaving_exit"), test.evidence());
      }
    }
  }

  // A service that ends as planned would quarantine requests.
  void exit_of_a_leaving_service_is_no_crash_of_its_requests() {
    add_services();
    std::string backend;
    const RequestNumber request = receive_part(kNotRepeatable, Leaving::draining, backend);
    close_and_refuse(request, backend);
    wait_for_outcome();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, harness.forwarder.take_crashes(harness.now).size());
  }

  void exit_of_a_leaving_engine_does_not_show_that_a_plain_response_was_whole() {
    harness.add_engines();
    const RequestNumber request = harness.send_request("/once/1");
    const std::string backend = harness.sent_to();
    BackendNotice notice;
    notice.leaving = true;
    harness.receive_head(request, 200, false, false, notice);
    harness.receive_body(request, "bo");
    harness.complete_response(request, ResponseEnd::inferred_from_close);
    harness.forwarder.on_backend_ended(backend, harness.now);
    wait_for_outcome();
    expect_not_whole(kNotRepeatable, backend);
  }

  void leaving_service_that_listens_has_outlived_its_response() {
    add_services();
    std::string backend;
    const RequestNumber request = receive_part(kNotRepeatable, Leaving::draining, backend);
    harness.complete_response(request, ResponseEnd::inferred_from_close);
    harness.find_listening(backend);
    CPPUNIT_ASSERT(harness.first_action<EndResponse>() != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("listening"), evidence());
  }

  // A service may stop listening long before it has finished what it has.
  void leaving_service_whose_other_response_goes_on_has_outlived_its_response() {
    std::string backend;
    RequestNumber closed = 0;
    const RequestNumber other = receive_two(backend, closed);
    advance_ticks(14);
    harness.receive_body(other, "body");
    harness.complete_response(other);
    wait_for_outcome();
    const auto* ended = harness.first_action<EndResponse>();
    CPPUNIT_ASSERT(ended != nullptr);
    CPPUNIT_ASSERT_EQUAL(closed, ended->request);
    CPPUNIT_ASSERT_EQUAL(std::string("later_response"), evidence());
  }

  void bytes_that_may_have_been_under_way_at_the_close_show_nothing() {
    std::string backend;
    RequestNumber closed = 0;
    const RequestNumber other = receive_two(backend, closed);
    advance_ticks(8);
    harness.receive_body(other, "bo");
    // Long after, but read before this process has had its turn twice.
    harness.now += milliseconds(150);
    harness.receive_body(other, "d");
    harness.advance(kTick);
    harness.receive_body(other, "y");
    wait_for_outcome();
    expect_not_whole(kNotRepeatable, backend);
  }

  void bytes_of_a_large_response_show_nothing() {
    std::string backend;
    RequestNumber closed = 0;
    const RequestNumber other = receive_two(backend, closed);
    harness.receive_body(other, std::string(9000, 'x'));
    advance_ticks(14);
    harness.receive_body(other, "body");
    wait_for_outcome();
    expect_not_whole(kNotRepeatable, backend);
  }

  void response_of_another_process_shows_nothing() {
    add_services();
    std::string backend;
    for (int count = 0; count < 4; ++count) {
      harness.receive_head(harness.send_request(kNotRepeatable), 200);
    }
    const RequestNumber request = receive_part(kNotRepeatable, Leaving::draining, backend);
    close_and_refuse(request, backend);
    for (int tick = 0; tick < 14; ++tick) harness.advance(kTick);
    // Sent after the close, to a process that took the place of the other.
    harness.add_backend(backend, "plain", backend == "p1" ? 1 : 2);
    for (int count = 0; count < 2; ++count) {
      const RequestNumber later = harness.send_request(kNotRepeatable);
      harness.receive_head(later, 200);
      harness.receive_body(later, "body");
    }
    std::vector<InferredEndVerdict> verdicts;
    for (int tick = 0; tick < kLongestHoldTicks && verdicts.empty(); ++tick) {
      harness.advance(kTick);
      verdicts = harness.forwarder.take_inferred_end_verdicts();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, verdicts.size());
    CPPUNIT_ASSERT(!verdicts.front().complete);
  }

  // Nobody needs to wait when the exit has ended all responses.
  void responses_that_end_together_are_decided_at_once() {
    std::string backend;
    RequestNumber closed = 0;
    const RequestNumber other = receive_two(backend, closed);
    harness.complete_response(other, ResponseEnd::inferred_from_close);
    harness.forwarder.on_backend_ended(backend, harness.now);
    harness.advance(kTick);
    CPPUNIT_ASSERT_EQUAL(kBadGateway, harness.refusal_status());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, harness.forwarder.active());
  }

  // The accept queue may be full, or the link cut.
  void silence_does_not_show_that_a_plain_response_was_whole() {
    for (const char* target : {kRepeatable, kNotRepeatable}) {
      InferredEndEvidenceTest test;
      test.add_services();
      const RequestNumber request = test.harness.send_request(target);
      const std::string backend = test.harness.sent_to();
      test.harness.receive_head(request, 200);
      test.harness.receive_body(request, "bo");
      test.harness.complete_response(request, ResponseEnd::inferred_from_close);
      test.wait_for_outcome();
      test.expect_not_whole(target, backend);
      CPPUNIT_ASSERT_EQUAL(std::string("silence"), test.evidence());
    }
  }

  void probe_that_began_before_the_close_shows_nothing() {
    add_services();
    const RequestNumber request = harness.send_request(kNotRepeatable);
    const std::string backend = harness.sent_to();
    harness.receive_head(request, 200);
    harness.receive_body(request, "bo");
    const TimePoint probed_at = harness.now;
    harness.now += milliseconds(1);
    harness.complete_response(request, ResponseEnd::inferred_from_close);
    harness.find_listening(backend, probed_at);
    CPPUNIT_ASSERT(harness.actions.empty());
    harness.find_listening(backend);
    CPPUNIT_ASSERT(harness.first_action<EndResponse>() != nullptr);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InferredEndEvidenceTest);

}  // namespace pumicemast
