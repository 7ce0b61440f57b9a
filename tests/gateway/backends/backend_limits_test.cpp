#include "gateway/backends/backend_limits.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicemast {

class BackendLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BackendLimitsTest);
  CPPUNIT_TEST(an_answer_names_a_limit_and_a_later_one_ends_it);
  CPPUNIT_TEST(an_answer_to_an_earlier_request_ends_nothing);
  CPPUNIT_TEST(a_refusal_without_a_limit_ends_nothing);
  CPPUNIT_TEST(the_newest_observation_wins_from_any_source);
  CPPUNIT_TEST(a_limit_that_cannot_be_read_changes_nothing);
  CPPUNIT_TEST(each_change_is_reported_once);
  CPPUNIT_TEST_SUITE_END();

  BackendLimits limits;
  const TimePoint start = TimePoint(seconds(100));

  void answer(std::optional<double> per_second, TimePoint sent_at, TimePoint now,
              bool served = true) {
    limits.on_response("e1", {true, per_second}, served, sent_at, now);
  }

 public:
  void an_answer_names_a_limit_and_a_later_one_ends_it() {
    CPPUNIT_ASSERT(!limits.limited("e1"));
    answer(1.4, start, start);
    CPPUNIT_ASSERT_EQUAL(1.4, *limits.limit_of("e1").per_second);
    CPPUNIT_ASSERT(!limits.limited("e2"));
    answer(0.5, start, start + milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(0.5, *limits.limit_of("e1").per_second);
    answer({}, start + milliseconds(300), start + seconds(2));
    CPPUNIT_ASSERT(!limits.limited("e1"));
  }

  void an_answer_to_an_earlier_request_ends_nothing() {
    answer(2, start, start);
    answer({}, start - milliseconds(1), start + seconds(9));
    CPPUNIT_ASSERT(limits.limited("e1"));
    // The limit was stated again since then: a response to a request from before that is ignored.
    answer(2, start + seconds(3), start + seconds(4));
    answer({}, start + seconds(3), start + seconds(9));
    CPPUNIT_ASSERT(limits.limited("e1"));
    // Two responses that overtake each other.
    answer({}, start + seconds(4) + milliseconds(1), start + seconds(4) + milliseconds(20));
    CPPUNIT_ASSERT(limits.limited("e1"));
  }

  void a_refusal_without_a_limit_ends_nothing() {
    answer(2, start, start);
    answer({}, start + seconds(5), start + seconds(6), false);
    CPPUNIT_ASSERT(limits.limited("e1"));
  }

  void the_newest_observation_wins_from_any_source() {
    limits.on_reported("e1", {3.0, start}, LimitSource::agent);
    CPPUNIT_ASSERT_EQUAL(3.0, *limits.limit_of("e1").per_second);
    answer(1, start, start + seconds(1));
    limits.on_reported("e1", {3.0, start + milliseconds(900)}, LimitSource::agent);
    CPPUNIT_ASSERT_EQUAL(1.0, *limits.limit_of("e1").per_second);
    limits.on_reported("e1", {{}, start + seconds(3)}, LimitSource::gateway);
    CPPUNIT_ASSERT(!limits.limited("e1"));
    // A report without a limit has no effect for a back end that never stated one.
    limits.on_reported("e2", {{}, start}, LimitSource::gateway);
    CPPUNIT_ASSERT(limits.limited().empty());
  }

  void a_limit_that_cannot_be_read_changes_nothing() {
    limits.on_response("e1", {false, {}}, true, start, start);
    CPPUNIT_ASSERT(!limits.limited("e1"));
    answer(2, start, start);
    limits.on_response("e1", {false, {}}, true, start + seconds(5), start + seconds(6));
    CPPUNIT_ASSERT_EQUAL(2.0, *limits.limit_of("e1").per_second);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, limits.unreadable());
  }

  void each_change_is_reported_once() {
    answer(2, start, start);
    answer(2, start, start + seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, limits.take_changes().size());
    answer(1, start, start + seconds(2));
    const std::vector<LimitChange> changes = limits.take_changes();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.size());
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), changes[0].backend);
    CPPUNIT_ASSERT_EQUAL(1.0, *changes[0].limit.per_second);
    CPPUNIT_ASSERT(limits.take_changes().empty());
    limits.forget("e1");
    CPPUNIT_ASSERT(!limits.limited("e1"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendLimitsTest);

}  // namespace pumicemast
