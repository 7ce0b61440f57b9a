#include "gateway/quarantine/crash_witness.h"

#include <cppunit/extensions/HelperMacros.h>

#include "gateway/backends/backend_pool.h"

namespace pumicemast {

class CrashWitnessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashWitnessTest);
  CPPUNIT_TEST(a_broken_answer_alone_is_no_crash);
  CPPUNIT_TEST(an_end_names_all_requests_that_it_broke_off);
  CPPUNIT_TEST(the_word_of_the_end_may_come_first);
  CPPUNIT_TEST(an_end_long_after_says_nothing_of_an_answer);
  CPPUNIT_TEST(several_that_end_at_a_moment_are_a_crowd);
  CPPUNIT_TEST(a_crash_is_told_at_once_and_again_as_one_of_a_crowd);
  CPPUNIT_TEST(an_agent_that_lives_on_tells_its_engines_end);
  CPPUNIT_TEST(an_engine_started_again_between_two_reports_has_ended);
  CPPUNIT_TEST(a_lost_agent_tells_of_no_end);
  CPPUNIT_TEST(fingerprints_are_of_the_content_and_its_tenant);
  CPPUNIT_TEST_SUITE_END();

 public:
  void a_broken_answer_alone_is_no_crash() {
    witness_.on_cut_off(kE1, kFirst, now_);
    CPPUNIT_ASSERT(witness_.take_crashes(now_ + seconds(1)).empty());
    CPPUNIT_ASSERT(witness_.awaits(kFirst, now_));
    CPPUNIT_ASSERT(!witness_.awaits(kSecond, now_));
  }

  void an_end_names_all_requests_that_it_broke_off() {
    witness_.on_cut_off(kE1, kFirst, now_);
    witness_.on_cut_off(kE1, kSecond, now_);
    witness_.on_cut_off(kE2, kThird, now_);
    witness_.on_ended("e1", now_ + milliseconds(130));
    const auto crashes = witness_.take_crashes(now_ + seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, crashes.size());
    CPPUNIT_ASSERT(crashes[0].backend == kE1);
    CPPUNIT_ASSERT((crashes[0].requests == std::vector<RequestFingerprint>{kFirst, kSecond}));
    CPPUNIT_ASSERT(witness_.take_crashes(now_ + seconds(1)).empty());
  }

  void the_word_of_the_end_may_come_first() {
    witness_.on_ended("e1", now_);
    witness_.on_cut_off(kE1, kFirst, now_ + milliseconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, witness_.take_crashes(now_ + seconds(1)).size());
  }

  void an_end_long_after_says_nothing_of_an_answer() {
    witness_.on_cut_off(kE1, kFirst, now_);
    witness_.on_ended("e1", now_ + seconds(2));
    CPPUNIT_ASSERT(witness_.take_crashes(now_ + seconds(1)).empty());
    witness_.sweep(now_ + seconds(2));
    witness_.on_cut_off(kE1, kSecond, now_ + seconds(4));
    CPPUNIT_ASSERT(witness_.take_crashes(now_ + seconds(1)).empty());
  }

  void several_that_end_at_a_moment_are_a_crowd() {
    witness_.on_cut_off(kE1, kFirst, now_);
    witness_.on_ended("e1", now_ + milliseconds(20));
    witness_.on_ended("e2", now_ + milliseconds(100));  // Whatever ran there.
    witness_.on_ended("e3", now_ + milliseconds(140));
    witness_.on_cut_off(kE2, kSecond, now_ + milliseconds(150));
    const auto crashes = witness_.take_crashes(now_ + milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, crashes.size());
    CPPUNIT_ASSERT(crashes[0].in_crowd && crashes[1].in_crowd);
    witness_.on_ended("e4", now_ + milliseconds(900));
    witness_.on_cut_off({"e4", 1}, kThird, now_ + milliseconds(900));
    CPPUNIT_ASSERT(!witness_.take_crashes(now_ + seconds(2)).at(0).in_crowd);
  }

  void a_crash_is_told_at_once_and_again_as_one_of_a_crowd() {
    witness_.on_cut_off(kE1, kFirst, now_);
    witness_.on_ended("e1", now_);
    CPPUNIT_ASSERT(!witness_.take_crashes(now_).at(0).in_crowd);
    CPPUNIT_ASSERT(witness_.take_crashes(now_ + milliseconds(50)).empty());
    witness_.on_ended("e2", now_ + milliseconds(60));
    witness_.on_ended("e3", now_ + milliseconds(70));
    const auto again = witness_.take_crashes(now_ + milliseconds(75));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, again.size());
    CPPUNIT_ASSERT(again[0].in_crowd);
    CPPUNIT_ASSERT(witness_.take_crashes(now_ + milliseconds(100)).empty());
  }

  void an_agent_that_lives_on_tells_its_engines_end() {
    BackendPool pool = pool_with_engine();
    CPPUNIT_ASSERT(!pool.on_report(kEngine, report(true, 1000), now_));
    CPPUNIT_ASSERT(pool.on_report(kEngine, report(false, 0), now_) == "e1");
    CPPUNIT_ASSERT(!pool.on_report(kEngine, report(false, 0), now_));
    CPPUNIT_ASSERT(!pool.on_report(kEngine, report(true, 2000), now_));
  }

  void an_engine_started_again_between_two_reports_has_ended() {
    BackendPool pool = pool_with_engine();
    pool.on_report(kEngine, report(true, 1000), now_);
    CPPUNIT_ASSERT(!pool.on_report(kEngine, report(true, 1000), now_));
    CPPUNIT_ASSERT(pool.on_report(kEngine, report(true, 2000), now_) == "e1");
    // One that does not say when it was started is not taken for another.
    CPPUNIT_ASSERT(!pool.on_report(kEngine, report(true, 0), now_));
  }

  void a_lost_agent_tells_of_no_end() {
    BackendPool pool = pool_with_engine();
    pool.on_report(kEngine, report(true, 1000), now_);
    pool.on_agent_lost(kEngine);
    // The machine was without power: its agent is another one, and its engine too.
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
    pool.on_record(record);
    return pool;
  }

  CrashWitness witness_;
  TimePoint now_{seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashWitnessTest);

}  // namespace pumicemast
