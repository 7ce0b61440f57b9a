#include <cppunit/extensions/HelperMacros.h>

#include "common/log_budget.h"
#include "gateway/backends/weight_targets.h"
#include "gateway/requests/route_table.h"
#include "http1/event_splitter.h"
#include "support/gateway_harness.h"

namespace pumicemast {

/// Small decision cores of the gateway.
class GatewayCoresTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayCoresTest);
  CPPUNIT_TEST(longest_prefix_of_the_host_wins);
  CPPUNIT_TEST(keys_belong_to_tenants);
  CPPUNIT_TEST(events_are_split_independently_of_read_boundaries);
  CPPUNIT_TEST(incomplete_event_is_held_back);
  CPPUNIT_TEST(memory_of_relayed_events_is_freed);
  CPPUNIT_TEST(newest_weight_version_never_decreases);
  CPPUNIT_TEST(each_version_has_its_own_changeover);
  CPPUNIT_TEST(version_discovered_late_uses_the_earliest_possible_naming_time);
  CPPUNIT_TEST(known_naming_time_replaces_assumed_one);
  CPPUNIT_TEST(older_version_learned_late_still_takes_effect);
  CPPUNIT_TEST(namings_still_in_effect_are_forwarded);
  CPPUNIT_TEST(log_lines_are_limited_and_suppressed_lines_counted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void longest_prefix_of_the_host_wins() {
    FleetConfiguration configuration;
    for (const char* prefix : {"/a/", "/a/b/", "/"}) {
      RouteRule rule;
      rule.name = prefix;
      rule.host = "One.example";
      rule.path_prefix = prefix;
      configuration.routes.push_back(rule);
    }
    const RouteTable table(configuration);
    CPPUNIT_ASSERT_EQUAL(std::string("/a/b/"), table.match("one.example:80", "/a/b/c?x=/")->name);
    CPPUNIT_ASSERT_EQUAL(std::string("/a/"), table.match("one.example", "/a/bc")->name);
    CPPUNIT_ASSERT_EQUAL(std::string("/"), table.match("one.example", "/a")->name);
    CPPUNIT_ASSERT(table.match("two.example", "/a/") == nullptr);
  }

  void keys_belong_to_tenants() {
    const RouteTable table(tests::GatewayHarness::configuration());
    CPPUNIT_ASSERT_EQUAL(std::string("acme"), table.tenant_for_key("key-1")->name);
    CPPUNIT_ASSERT(table.tenant_for_key("key-2") == nullptr);
    CPPUNIT_ASSERT(table.tenant_for_key("") == nullptr);
  }

  void events_are_split_independently_of_read_boundaries() {
    const std::string stream =
        "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\ndata: c\n\nid: 4\ndata: d\n\n";
    for (std::size_t chunk_size = 1; chunk_size <= stream.size(); ++chunk_size) {
      EventSplitter splitter;
      std::string complete_events;
      for (std::size_t at = 0; at < stream.size(); at += chunk_size) {
        complete_events +=
            splitter.take_complete_events(std::string_view(stream).substr(at, chunk_size));
      }
      CPPUNIT_ASSERT_EQUAL(stream, complete_events);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, splitter.event_count());
      CPPUNIT_ASSERT_EQUAL(std::string("4"), *splitter.last_id());
    }
  }

  void incomplete_event_is_held_back() {
    EventSplitter splitter;
    CPPUNIT_ASSERT_EQUAL(std::string(), splitter.take_complete_events("id: 7\ndata: x\n"));
    CPPUNIT_ASSERT(!splitter.last_id().has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("id: 7\ndata: x\n"), splitter.take_partial_event());
  }

  void memory_of_relayed_events_is_freed() {
    constexpr std::size_t kLarge = 512 * 1024;
    constexpr std::size_t kSmall = 8 * 1024;
    const std::string large = "data: " + std::string(kLarge, 'x');
    EventSplitter splitter;
    splitter.take_complete_events(large);
    CPPUNIT_ASSERT(splitter.allocated_bytes() >= kLarge);
    splitter.take_complete_events("\n\ndata: y");
    CPPUNIT_ASSERT(splitter.allocated_bytes() < kSmall);
    splitter.take_complete_events(large);
    splitter.shorten_partial_event();
    CPPUNIT_ASSERT(splitter.allocated_bytes() < kSmall);
    splitter.take_complete_events(large);
    splitter.discard_partial_event();
    CPPUNIT_ASSERT(splitter.allocated_bytes() < kSmall);
  }

  void newest_weight_version_never_decreases() {
    WeightTargets targets(seconds(7));
    const TimePoint now(seconds(10));
    targets.on_named("m", 3, now);
    targets.on_named("m", 2, now + seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, targets.newest("m"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, targets.lowest_allowed("m", now + seconds(6)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, targets.lowest_allowed("m", now + seconds(9)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, targets.lowest_allowed("other", now + seconds(9)));
  }

  void each_version_has_its_own_changeover() {
    WeightTargets targets(seconds(7));
    const TimePoint now(seconds(10));
    targets.on_named("m", 2, now);
    targets.on_named("m", 3, now + seconds(4));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, targets.lowest_allowed("m", now + seconds(8)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, targets.lowest_allowed("m", now + seconds(11)));
  }

  // A gateway that could not read the store while version 2 was the newest learns of it from other
  // gateways.
  void older_version_learned_late_still_takes_effect() {
    WeightTargets targets(seconds(7));
    const TimePoint now(seconds(100));
    CPPUNIT_ASSERT(targets.on_named("m", 3, now));
    CPPUNIT_ASSERT(!targets.on_named("m", 2, now - seconds(3)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, targets.newest("m"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, targets.lowest_allowed("m", now + milliseconds(3900)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, targets.lowest_allowed("m", now + seconds(4)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, targets.lowest_allowed("m", now + seconds(7)));
  }

  void namings_still_in_effect_are_forwarded() {
    WeightTargets targets(seconds(7));
    const TimePoint now(seconds(100));
    targets.on_named("m", 2, now - seconds(20));
    targets.on_named("m", 3, now - seconds(10));
    targets.on_named("m", 4, now - seconds(3));
    targets.on_named("m", 5, now - seconds(1), true);
    const std::vector<NamedWeights> namings = targets.known_versions(now);
    // Version 3 is already the lowest allowed, so 2 is irrelevant; the naming time of 5 is assumed.
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, namings.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, namings[2].version);
    CPPUNIT_ASSERT(!namings[0].assumed && !namings[1].assumed && namings[2].assumed);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, namings[0].version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, namings[1].version);
    CPPUNIT_ASSERT(namings[1].age == seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::string("m"), namings[1].model);
  }

  // Requests started on old weights for too long: the first response of the store after a lost
  // watch contained a version that had been named during the loss, and the version was treated as
  // named just then.
  void version_discovered_late_uses_the_earliest_possible_naming_time() {
    WeightTargets targets(seconds(7));
    const TimePoint now(seconds(100));
    CPPUNIT_ASSERT(targets.assumed_named_at(Duration::zero(), now) == now);
    CPPUNIT_ASSERT(targets.assumed_named_at(milliseconds(3300), now) == now - milliseconds(3300));
    // Back ends get 3 s to change over, however long ago the version may have been named.
    CPPUNIT_ASSERT(targets.assumed_named_at(seconds(60), now) == now - seconds(4));
    CPPUNIT_ASSERT(targets.assumed_named_at(Duration::max(), now) == now - seconds(4));
    targets.set_changeover(seconds(2));
    CPPUNIT_ASSERT(targets.assumed_named_at(seconds(60), now) == now);
  }

  void known_naming_time_replaces_assumed_one() {
    WeightTargets targets(seconds(7));
    const TimePoint now(seconds(100));
    CPPUNIT_ASSERT(targets.on_named("m", 2, now - seconds(4), true));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, targets.lowest_allowed("m", now + seconds(3)));
    CPPUNIT_ASSERT(!targets.on_named("m", 2, now - seconds(1)));  // Seen by another gateway.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, targets.lowest_allowed("m", now + seconds(3)));
    CPPUNIT_ASSERT(!targets.on_named("m", 2, now, true));
    CPPUNIT_ASSERT(targets.age("m", now) == seconds(1));
  }

  void log_lines_are_limited_and_suppressed_lines_counted() {
    LogBudget budget(3);
    TimePoint now(seconds(10));
    int admitted = 0;
    for (int line = 0; line < 10; ++line) admitted += budget.admit("a", now) ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(3, admitted);
    CPPUNIT_ASSERT(budget.admit("b", now));  // Each kind has its own limit.
    const auto suppressed = budget.take_suppressed();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, suppressed.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, suppressed[0].second);
    now += seconds(1);
    CPPUNIT_ASSERT(budget.admit("a", now));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayCoresTest);

}  // namespace pumicemast
