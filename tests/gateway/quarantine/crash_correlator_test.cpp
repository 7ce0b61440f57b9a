#include "gateway/quarantine/crash_correlator.h"

#include <cppunit/extensions/HelperMacros.h>

#include "gateway/backends/backend_pool.h"

namespace pumicemast {

class CrashCorrelatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashCorrelatorTest);
  CPPUNIT_TEST(an_interrupted_response_alone_is_no_crash);
  CPPUNIT_TEST(a_process_exit_names_all_requests_that_it_interrupted);
  CPPUNIT_TEST(the_process_exit_may_be_reported_first);
  CPPUNIT_TEST(a_process_exit_long_after_an_interrupted_response_is_unrelated);
  CPPUNIT_TEST(several_process_exits_within_the_span_are_a_burst);
  CPPUNIT_TEST(a_crash_is_reported_at_once_and_again_as_part_of_a_burst);
  CPPUNIT_TEST(a_surviving_agent_reports_the_exit_of_its_engine);
  CPPUNIT_TEST(an_engine_restarted_between_two_reports_has_exited);
  CPPUNIT_TEST(a_lost_agent_reports_no_exit);
  CPPUNIT_TEST(fingerprints_are_of_the_content_and_its_tenant);
  CPPUNIT_TEST_SUITE_END();

 public:
  void an_interrupted_response_alone_is_no_crash() {
    correlator_.on_response_interrupted(kE1, kFirst, now_);
    CPPUNIT_ASSERT(correlator_.take_crashes(now_ + seconds(1)).empty());
    CPPUNIT_ASSERT(correlator_.awaits_confirmation(kFirst, now_));
    CPPUNIT_ASSERT(!correlator_.awaits_confirmation(kSecond, now_));
  }

  void a_process_exit_names_all_requests_that_it_interrupted() {
    correlator_.on_response_interrupted(kE1, kFirst, now_);
    correlator_.on_response_interrupted(kE1, kSecond, now_);
    correlator_.on_response_interrupted(kE2, kThird, now_);
    correlator_.on_process_exit("e1", now_ + milliseconds(130));
    const auto crashes = correlator_.take_crashes(now_ + seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, crashes.size());
    CPPUNIT_ASSERT(crashes[0].backend == kE1);
    CPPUNIT_ASSERT((crashes[0].requests == std::vector<RequestFingerprint>{kFirst, kSecond}));
    CPPUNIT_ASSERT(correlator_.take_crashes(now_ + seconds(1)).empty());
  }

  void the_process_exit_may_be_reported_first() {
    correlator_.on_process_exit("e1", now_);
    correlator_.on_response_interrupted(kE1, kFirst, now_ + milliseconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, correlator_.take_crashes(now_ + seconds(1)).size());
  }

  void a_process_exit_long_after_an_interrupted_response_is_unrelated() {
    correlator_.on_response_interrupted(kE1, kFirst, now_);
    correlator_.on_process_exit("e1", now_ + seconds(2));
    CPPUNIT_ASSERT(correlator_.take_crashes(now_ + seconds(1)).empty());
    correlator_.sweep(now_ + seconds(2));
    correlator_.on_response_interrupted(kE1, kSecond, now_ + seconds(4));
    CPPUNIT_ASSERT(correlator_.take_crashes(now_ + seconds(1)).empty());
  }

  void several_process_exits_within_the_span_are_a_burst() {
    correlator_.on_response_interrupted(kE1, kFirst, now_);
    correlator_.on_process_exit("e1", now_ + milliseconds(20));
    correlator_.on_process_exit("e2", now_ + milliseconds(100));  // With or without requests.
    correlator_.on_process_exit("e3", now_ + milliseconds(140));
    correlator_.on_response_interrupted(kE2, kSecond, now_ + milliseconds(150));
    const auto crashes = correlator_.take_crashes(now_ + milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, crashes.size());
    CPPUNIT_ASSERT(crashes[0].in_burst && crashes[1].in_burst);
    correlator_.on_process_exit("e4", now_ + milliseconds(900));
    correlator_.on_response_interrupted({"e4", 1}, kThird, now_ + milliseconds(900));
    CPPUNIT_ASSERT(!correlator_.take_crashes(now_ + seconds(2)).at(0).in_burst);
  }

  void a_crash_is_reported_at_once_and_again_as_part_of_a_burst() {
    correlator_.on_response_interrupted(kE1, kFirst, now_);
    correlator_.on_process_exit("e1", now_);
    CPPUNIT_ASSERT(!correlator_.take_crashes(now_).at(0).in_burst);
    CPPUNIT_ASSERT(correlator_.take_crashes(now_ + milliseconds(50)).empty());
    correlator_.on_process_exit("e2", now_ + milliseconds(60));
    correlator_.on_process_exit("e3", now_ + milliseconds(70));
    const auto again = correlator_.take_crashes(now_ + milliseconds(75));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, again.size());
    CPPUNIT_ASSERT(again[0].in_burst);
    CPPUNIT_ASSERT(correlator_.take_crashes(now_ + milliseconds(100)).empty());
  }

  void a_surviving_agent_reports_the_exit_of_its_engine() {
    BackendPool pool = pool_with_engine();
    CPPUNIT_ASSERT(!pool.on_report(kEngine, report(true, 1000), now_));
    CPPUNIT_ASSERT(pool.on_report(kEngine, report(false, 0), now_) == "e1");
    CPPUNIT_ASSERT(!pool.on_report(kEngine, report(false, 0), now_));
    CPPUNIT_ASSERT(!pool.on_report(kEngine, report(true, 2000), now_));
  }

  void an_engine_restarted_between_two_reports_has_exited() {
    BackendPool pool = pool_with_engine();
    pool.on_report(kEngine, report(true, 1000), now_);
    CPPUNIT_ASSERT(!pool.on_report(kEngine, report(true, 1000), now_));
    CPPUNIT_ASSERT(pool.on_report(kEngine, report(true, 2000), now_) == "e1");
    // A report without a start time does not count as a restart.
    CPPUNIT_ASSERT(!pool.on_report(kEngine, report(true, 0), now_));
  }

  void a_lost_agent_reports_no_exit() {
    BackendPool pool = pool_with_engine();
    pool.on_report(kEngine, report(true, 1000), now_);
    pool.on_agent_lost(kEngine);
    // The machine lost power: both its agent and its engine are new processes.
    CPPUNIT_ASSERT(!pool.on_report(kEngine, report(false, 0), now_));
  }

  void fingerprints_are_of_the_content_and_its_tenant() {
    const auto content = fingerprint_content("POST", "api.example", "/chat/1", "hello");
    CPPUNIT_ASSERT(content.known());
    CPPUNIT_ASSERT(content == fingerprint_content("POST", "API.Example:80", "/chat/1", "hello"));
    CPPUNIT_ASSERT(content != fingerprint_content("POST", "api.example", "/chat/1h", "ello"));
    CPPUNIT_ASSERT(content != fingerprint_content("GET", "api.example", "/chat/1", "hello"));
    CPPUNIT_ASSERT(fingerprint_for(content, "acme") == fingerprint_for(content, "acme"));
    CPPUNIT_ASSERT(fingerprint_for(content, "acme") != fingerprint_for(content, "other"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{32}, to_string(content).size());
  }

 private:
  static constexpr RequestFingerprint kFirst{1, 1};
  static constexpr RequestFingerprint kSecond{2, 2};
  static constexpr RequestFingerprint kThird{3, 3};
  const BackendIncarnation kE1{"e1", 1000};
  const BackendIncarnation kE2{"e2", 1000};
  const Address kEngine{"127.0.0.1", 1};

  static LoadReport report(bool alive, std::int64_t started_at_ms) {
    LoadReport result;
    result.alive = alive;
    result.started_at_ms = started_at_ms;
    return result;
  }

  BackendPool pool_with_engine() {
    BackendPool pool{BackendPoolOptions{}};
    BackendRecord record;
    record.id = "e1";
    record.service = "engines";
    record.address = kEngine;
    record.revision = 1;
    pool.on_record(record, TimePoint{});
    return pool;
  }

  CrashCorrelator correlator_;
  TimePoint now_{seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashCorrelatorTest);

}  // namespace pumicemast
