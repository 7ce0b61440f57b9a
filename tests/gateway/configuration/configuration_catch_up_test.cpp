#include "gateway/configuration/configuration_catch_up.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicemast {

class ConfigurationCatchUpTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationCatchUpTest);
  CPPUNIT_TEST(no_gateway_is_asked_while_the_store_may_still_deliver);
  CPPUNIT_TEST(no_gateway_is_asked_once_the_store_has_delivered);
  CPPUNIT_TEST(one_gateway_at_a_time_is_asked);
  CPPUNIT_TEST(a_gateway_that_does_not_answer_is_skipped);
  CPPUNIT_TEST(rapid_changes_that_the_store_delivers_in_time_cost_no_request);
  CPPUNIT_TEST(the_newest_version_is_asked_for);
  CPPUNIT_TEST(without_any_configuration_the_wait_is_short);
  CPPUNIT_TEST(a_gateway_that_does_not_read_the_store_asks_in_its_zone_at_once);
  CPPUNIT_TEST(gateways_that_lack_a_version_ask_different_holders);
  CPPUNIT_TEST(a_holder_that_keeps_sending_is_not_skipped);
  CPPUNIT_TEST(a_late_answer_doubles_the_timeout);
  CPPUNIT_TEST(gateways_of_a_zone_ask_other_zones_in_turn);
  CPPUNIT_TEST_SUITE_END();

  CatchUpOptions options;
  TimePoint now = TimePoint(seconds(100));

 public:
  void no_gateway_is_asked_while_the_store_may_still_deliver() {
    ConfigurationCatchUp catch_up(1, options);
    catch_up.on_in_force(4);
    catch_up.on_version_advertised(7, 5, false, now);
    CPPUNIT_ASSERT(catch_up.behind());
    CPPUNIT_ASSERT(!catch_up.next_request(now + options.store_wait - milliseconds(1)));
    CPPUNIT_ASSERT(catch_up.next_request(now + options.store_wait) == PeerId{7});
  }

  void no_gateway_is_asked_once_the_store_has_delivered() {
    ConfigurationCatchUp catch_up(1, options);
    catch_up.on_in_force(4);
    catch_up.on_version_advertised(7, 5, false, now);
    catch_up.on_in_force(5);
    CPPUNIT_ASSERT(!catch_up.behind());
    CPPUNIT_ASSERT(!catch_up.next_request(now + seconds(10)));
    catch_up.on_version_advertised(7, 5, false, now + seconds(10));
    CPPUNIT_ASSERT(!catch_up.behind());
  }

  void one_gateway_at_a_time_is_asked() {
    ConfigurationCatchUp catch_up(1, options);
    catch_up.on_in_force(4);
    for (PeerId gateway = 10; gateway < 50; ++gateway)
      catch_up.on_version_advertised(gateway, 5, false, now);
    int asked = 0;
    for (int step = 0; step < 10; ++step) {
      if (catch_up.next_request(now + options.store_wait + milliseconds(10 * step))) ++asked;
    }
    CPPUNIT_ASSERT_EQUAL(1, asked);
  }

  void a_gateway_that_does_not_answer_is_skipped() {
    ConfigurationCatchUp catch_up(1, options);
    catch_up.on_in_force(4);
    catch_up.on_version_advertised(10, 5, false, now);
    catch_up.on_version_advertised(11, 5, false, now);
    const TimePoint first_at = now + options.store_wait;
    const auto first = catch_up.next_request(first_at);
    const auto second = catch_up.next_request(first_at + options.progress_timeout);
    CPPUNIT_ASSERT(first && second && *first != *second);
    // After all holders were asked, they are asked again.
    CPPUNIT_ASSERT(catch_up.next_request(first_at + 2 * options.progress_timeout).has_value());
  }

  void rapid_changes_that_the_store_delivers_in_time_cost_no_request() {
    ConfigurationCatchUp catch_up(1, options);
    catch_up.on_in_force(1);
    for (std::uint64_t version = 2; version < 40; ++version) {
      catch_up.on_version_advertised(10, version, false, now);
      now += milliseconds(170);
      CPPUNIT_ASSERT(!catch_up.next_request(now));
      catch_up.on_in_force(version);
    }
  }

  void the_newest_version_is_asked_for() {
    ConfigurationCatchUp catch_up(1, options);
    catch_up.on_in_force(4);
    catch_up.on_version_advertised(10, 5, false, now);
    catch_up.on_version_advertised(11, 9, false, now);
    catch_up.on_version_advertised(12, 6, false, now);
    CPPUNIT_ASSERT(catch_up.next_request(now + options.store_wait) == PeerId{11});
  }

  void without_any_configuration_the_wait_is_short() {
    ConfigurationCatchUp catch_up(1, options);
    catch_up.on_version_advertised(10, 5, false, now);
    CPPUNIT_ASSERT(catch_up.next_request(now + options.first_store_wait) == PeerId{10});
  }

  void a_gateway_that_does_not_read_the_store_asks_in_its_zone_at_once() {
    ConfigurationCatchUp catch_up(1, options);
    catch_up.on_in_force(4);
    catch_up.set_reads_store(false);
    catch_up.on_version_advertised(10, 9, false, now);
    CPPUNIT_ASSERT(!catch_up.next_request(now));
    catch_up.on_version_advertised(11, 5, true, now);
    CPPUNIT_ASSERT(catch_up.next_request(now) == PeerId{11});
  }

  void gateways_that_lack_a_version_ask_different_holders() {
    std::set<PeerId> asked;
    for (PeerId self = 100; self < 120; ++self) {
      ConfigurationCatchUp catch_up(self, options);
      for (PeerId gateway = 1; gateway <= 20; ++gateway)
        catch_up.on_version_advertised(gateway, 5, false, now);
      asked.insert(*catch_up.next_request(now + options.store_wait));
    }
    CPPUNIT_ASSERT(asked.size() >= 8);
  }

  void a_holder_that_keeps_sending_is_not_skipped() {
    ConfigurationCatchUp catch_up(1, options);
    catch_up.on_version_advertised(10, 5, true, now);
    catch_up.on_version_advertised(11, 5, true, now);
    now += options.store_wait;
    CPPUNIT_ASSERT(catch_up.next_request(now).has_value());
    for (int piece = 0; piece < 20; ++piece) {
      now += options.progress_timeout - milliseconds(1);
      CPPUNIT_ASSERT(!catch_up.next_request(now));
      catch_up.on_progress(now);
    }
    CPPUNIT_ASSERT(catch_up.next_request(now + options.progress_timeout).has_value());
  }

  void a_late_answer_doubles_the_timeout() {
    ConfigurationCatchUp catch_up(1, options);
    for (PeerId gateway = 10; gateway < 20; ++gateway)
      catch_up.on_version_advertised(gateway, 5, true, now);
    now += options.store_wait;
    CPPUNIT_ASSERT(catch_up.next_request(now).has_value());
    now += options.progress_timeout;
    CPPUNIT_ASSERT(catch_up.next_request(now).has_value());
    catch_up.on_progress(now);  // A piece from the holder that was skipped.
    CPPUNIT_ASSERT(!catch_up.next_request(now + 2 * options.progress_timeout - milliseconds(1)));
    CPPUNIT_ASSERT(catch_up.next_request(now + 2 * options.progress_timeout).has_value());
  }

  void gateways_of_a_zone_ask_other_zones_in_turn() {
    // Ten gateways of one zone that know each other, and a holder in another zone.
    std::size_t asking_at_once = 0;
    for (PeerId self = 1; self <= 10; ++self) {
      ConfigurationCatchUp catch_up(self, options);
      catch_up.on_in_force(4);
      catch_up.on_version_advertised(99, 5, false, now);
      const TimePoint asked_at = now + options.store_wait;
      for (PeerId other = 1; other <= 10; ++other) {
        if (other != self) catch_up.on_version_advertised(other, 4, true, asked_at);
      }
      if (catch_up.next_request(asked_at)) ++asking_at_once;
      // When the gateways before it send no more digests, its turn comes.
      CPPUNIT_ASSERT(catch_up.next_request(asked_at + seconds(2)).has_value());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, asking_at_once);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationCatchUpTest);

}  // namespace pumicemast
