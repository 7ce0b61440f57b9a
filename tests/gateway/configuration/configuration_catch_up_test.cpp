#include "gateway/configuration/configuration_catch_up.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicemast {

class ConfigurationCatchUpTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationCatchUpTest);
  CPPUNIT_TEST(nobody_is_asked_while_the_store_may_still_bring_it);
  CPPUNIT_TEST(nobody_is_asked_once_the_store_has_brought_it);
  CPPUNIT_TEST(one_gateway_at_a_time_is_asked);
  CPPUNIT_TEST(who_does_not_answer_is_passed_over);
  CPPUNIT_TEST(a_storm_that_the_store_brings_moments_later_costs_no_request);
  CPPUNIT_TEST(the_newest_version_is_asked_for);
  CPPUNIT_TEST(without_any_configuration_patience_is_short);
  CPPUNIT_TEST(who_does_not_read_the_store_asks_a_near_gateway_at_once);
  CPPUNIT_TEST(those_that_lack_a_version_ask_different_gateways);
  CPPUNIT_TEST(who_sends_on_is_not_passed_over);
  CPPUNIT_TEST(a_late_answer_makes_patience_longer);
  CPPUNIT_TEST(gateways_of_a_zone_ask_in_other_zones_one_after_the_other);
  CPPUNIT_TEST_SUITE_END();

  CatchUpOptions options;
  TimePoint now = TimePoint(seconds(100));

 public:
  void nobody_is_asked_while_the_store_may_still_bring_it() {
    ConfigurationCatchUp catch_up(1, options);
    catch_up.on_in_force(4);
    catch_up.on_heard(7, 5, false, now);
    CPPUNIT_ASSERT(catch_up.behind());
    CPPUNIT_ASSERT(!catch_up.next_request(now + options.patience - milliseconds(1)));
    CPPUNIT_ASSERT(catch_up.next_request(now + options.patience) == PeerId{7});
  }

  void nobody_is_asked_once_the_store_has_brought_it() {
    ConfigurationCatchUp catch_up(1, options);
    catch_up.on_in_force(4);
    catch_up.on_heard(7, 5, false, now);
    catch_up.on_in_force(5);
    CPPUNIT_ASSERT(!catch_up.behind());
    CPPUNIT_ASSERT(!catch_up.next_request(now + seconds(10)));
    catch_up.on_heard(7, 5, false, now + seconds(10));
    CPPUNIT_ASSERT(!catch_up.behind());
  }

  void one_gateway_at_a_time_is_asked() {
    ConfigurationCatchUp catch_up(1, options);
    catch_up.on_in_force(4);
    for (PeerId gateway = 10; gateway < 50; ++gateway) catch_up.on_heard(gateway, 5, false, now);
    int asked = 0;
    for (int step = 0; step < 10; ++step) {
      if (catch_up.next_request(now + options.patience + milliseconds(10 * step))) ++asked;
    }
    CPPUNIT_ASSERT_EQUAL(1, asked);
  }

  void who_does_not_answer_is_passed_over() {
    ConfigurationCatchUp catch_up(1, options);
    catch_up.on_in_force(4);
    catch_up.on_heard(10, 5, false, now);
    catch_up.on_heard(11, 5, false, now);
    const TimePoint first_at = now + options.patience;
    const auto first = catch_up.next_request(first_at);
    const auto second = catch_up.next_request(first_at + options.answer_limit);
    CPPUNIT_ASSERT(first && second && *first != *second);
    // When all were asked, they are asked again.
    CPPUNIT_ASSERT(catch_up.next_request(first_at + 2 * options.answer_limit).has_value());
  }

  void a_storm_that_the_store_brings_moments_later_costs_no_request() {
    ConfigurationCatchUp catch_up(1, options);
    catch_up.on_in_force(1);
    for (std::uint64_t version = 2; version < 40; ++version) {
      catch_up.on_heard(10, version, false, now);
      now += milliseconds(170);
      CPPUNIT_ASSERT(!catch_up.next_request(now));
      catch_up.on_in_force(version);
    }
  }

  void the_newest_version_is_asked_for() {
    ConfigurationCatchUp catch_up(1, options);
    catch_up.on_in_force(4);
    catch_up.on_heard(10, 5, false, now);
    catch_up.on_heard(11, 9, false, now);
    catch_up.on_heard(12, 6, false, now);
    CPPUNIT_ASSERT(catch_up.next_request(now + options.patience) == PeerId{11});
  }

  void without_any_configuration_patience_is_short() {
    ConfigurationCatchUp catch_up(1, options);
    catch_up.on_heard(10, 5, false, now);
    CPPUNIT_ASSERT(catch_up.next_request(now + options.first_patience) == PeerId{10});
  }

  void who_does_not_read_the_store_asks_a_near_gateway_at_once() {
    ConfigurationCatchUp catch_up(1, options);
    catch_up.on_in_force(4);
    catch_up.set_reads_store(false);
    catch_up.on_heard(10, 9, false, now);
    CPPUNIT_ASSERT(!catch_up.next_request(now));
    catch_up.on_heard(11, 5, true, now);
    CPPUNIT_ASSERT(catch_up.next_request(now) == PeerId{11});
  }

  void those_that_lack_a_version_ask_different_gateways() {
    std::set<PeerId> asked;
    for (PeerId self = 100; self < 120; ++self) {
      ConfigurationCatchUp catch_up(self, options);
      for (PeerId gateway = 1; gateway <= 20; ++gateway) catch_up.on_heard(gateway, 5, false, now);
      asked.insert(*catch_up.next_request(now + options.patience));
    }
    CPPUNIT_ASSERT(asked.size() >= 8);
  }

  void who_sends_on_is_not_passed_over() {
    ConfigurationCatchUp catch_up(1, options);
    catch_up.on_heard(10, 5, true, now);
    catch_up.on_heard(11, 5, true, now);
    now += options.patience;
    CPPUNIT_ASSERT(catch_up.next_request(now).has_value());
    for (int piece = 0; piece < 20; ++piece) {
      now += options.answer_limit - milliseconds(1);
      CPPUNIT_ASSERT(!catch_up.next_request(now));
      catch_up.on_progress(now);
    }
    CPPUNIT_ASSERT(catch_up.next_request(now + options.answer_limit).has_value());
  }

  void a_late_answer_makes_patience_longer() {
    ConfigurationCatchUp catch_up(1, options);
    for (PeerId gateway = 10; gateway < 20; ++gateway) catch_up.on_heard(gateway, 5, true, now);
    now += options.patience;
    CPPUNIT_ASSERT(catch_up.next_request(now).has_value());
    now += options.answer_limit;
    CPPUNIT_ASSERT(catch_up.next_request(now).has_value());
    catch_up.on_progress(now);  // Of the one that was passed over.
    CPPUNIT_ASSERT(!catch_up.next_request(now + 2 * options.answer_limit - milliseconds(1)));
    CPPUNIT_ASSERT(catch_up.next_request(now + 2 * options.answer_limit).has_value());
  }

  void gateways_of_a_zone_ask_in_other_zones_one_after_the_other() {
    // Ten of a zone that know each other, and a holder in another zone.
    std::size_t asking_at_once = 0;
    for (PeerId self = 1; self <= 10; ++self) {
      ConfigurationCatchUp catch_up(self, options);
      catch_up.on_in_force(4);
      catch_up.on_heard(99, 5, false, now);
      const TimePoint asked_at = now + options.patience;
      for (PeerId other = 1; other <= 10; ++other) {
        if (other != self) catch_up.on_heard(other, 4, true, asked_at);
      }
      if (catch_up.next_request(asked_at)) ++asking_at_once;
      // When those that go before it are not heard of any more, its turn comes.
      CPPUNIT_ASSERT(catch_up.next_request(asked_at + seconds(2)).has_value());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, asking_at_once);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationCatchUpTest);

}  // namespace pumicemast
