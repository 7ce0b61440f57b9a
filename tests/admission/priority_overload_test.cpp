#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <cstdio>

#include "support/overload_simulation.h"

namespace pumicemast {

using tests::CallerCounts;
using tests::OverloadBurst;
using tests::OverloadFault;
using tests::OverloadOptions;
using tests::OverloadResult;

/// The requirements of docs/design/slot-scheduling.md, under load: who gets the engines' slots when
/// classes of callers, and tenants, compete for too few of them.
class PriorityOverloadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PriorityOverloadTest);
  CPPUNIT_TEST(within_capacity_nobody_loses_by_priorities);
  CPPUNIT_TEST(the_most_urgent_class_is_served_best_and_nobody_starves);
  CPPUNIT_TEST(a_burst_of_the_least_urgent_class_takes_nothing_from_the_most_urgent);
  CPPUNIT_TEST(a_burst_of_a_tenant_takes_nothing_from_the_others);
  CPPUNIT_TEST(slots_are_used_while_requests_wait);
  CPPUNIT_TEST(with_an_agent_lost);
  CPPUNIT_TEST(slots_are_used_while_an_agent_is_lost);
  CPPUNIT_TEST(with_a_gateway_frozen);
  CPPUNIT_TEST(with_late_reports);
  CPPUNIT_TEST(with_links_lost);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint64_t kSeeds = 3;
  static constexpr std::size_t kTenants = 24;
  static constexpr const char* kMostUrgent = "p0";

  static OverloadOptions options(double load, bool priorities = true) {
    OverloadOptions result;
    result.load = load;
    result.engines = 8;
    result.duration = seconds(20);
    result.competing_classes = true;
    result.priorities = priorities;
    result.tenants = kTenants;
    return result;
  }

  static void add(CallerCounts& sum, const CallerCounts& counts) {
    sum.total += counts.total;
    sum.in_time += counts.in_time;
    sum.late += counts.late;
    sum.unserved += counts.unserved;
  }

  /// Plays all seeds and adds the outcomes up.
  OverloadResult play(const char* name, OverloadOptions options) {
    OverloadResult sum;
    for (options.seed = 1; options.seed <= kSeeds; ++options.seed) {
      const OverloadResult result = tests::OverloadSimulation(options).run();
      add(sum.all, result.all);
      for (const auto& [kind, counts] : result.by_kind) add(sum.by_kind[kind], counts);
      for (const auto& [tenant, counts] : result.by_tenant) add(sum.by_tenant[tenant], counts);
      sum.idle_share += result.idle_share / kSeeds;
      sum.unassigned_share += result.unassigned_share / kSeeds;
    }
    print(name, options, sum);
    scenario_ = std::string(name) + " at load " + std::to_string(options.load).substr(0, 3);
    return sum;
  }

  static void print(const char* name, const OverloadOptions& options,
                    const OverloadResult& result) {
    double lowest = 1;
    for (const auto& [tenant, counts] : result.by_tenant) {
      lowest = std::min(lowest, counts.served_share());
    }
    std::printf("figure %s priorities=%d load=%.1f callers=%lu served=%.3f in_time=%.3f", name,
                options.priorities ? 1 : 0, options.load,
                static_cast<unsigned long>(result.all.total), result.all.served_share(),
                result.all.in_time_share());
    for (const auto& [kind, counts] : result.by_kind) {
      std::printf(" %s=%.3f/%.3f", kind.c_str(), counts.served_share(), counts.in_time_share());
    }
    std::printf(" largest_tenant=%.3f lowest_tenant=%.3f idle=%.4f unassigned=%.4f\n",
                result.by_tenant.at(0).served_share(), lowest, result.idle_share,
                result.unassigned_share);
  }

  /// Three standard errors of the difference between two shares of `counts` and `others`.
  static double tolerance(const CallerCounts& counts, const CallerCounts& others) {
    const auto variance = [](const CallerCounts& group) {
      const double share = group.served_share();
      // A share of 0 or 1 in a sample is not exact: one more outcome is assumed.
      const double callers = static_cast<double>(group.total);
      return std::max(share * (1 - share), 1 / callers) / callers;
    };
    return 3 * std::sqrt(variance(counts) + variance(others));
  }

  /// All loads are played before a test fails.
  void expect(bool condition, const std::string& failure) {
    if (!condition) failures_ += "\n" + scenario_ + ": " + failure;
  }

  void expect_no_worse(const std::string& name, const CallerCounts& now,
                       const CallerCounts& before) {
    const double allowed = tolerance(now, before);
    const std::string text = name + ": served " + std::to_string(now.served_share()) + ", before " +
                             std::to_string(before.served_share()) + "; in time " +
                             std::to_string(now.in_time_share()) + ", before " +
                             std::to_string(before.in_time_share()) + "; tolerance " +
                             std::to_string(allowed);
    expect(now.served_share() >= before.served_share() - allowed, text);
    expect(now.in_time_share() >= before.in_time_share() - allowed, text);
  }

  void expect_order_and_floors(const OverloadResult& result) {
    const CallerCounts& urgent = result.by_kind.at(kMostUrgent);
    for (const auto& [kind, counts] : result.by_kind) {
      expect_no_worse("most urgent and " + kind, urgent, counts);
      expect_floor(kind, counts, result.all);
    }
    for (const auto& [tenant, counts] : result.by_tenant) {
      expect_floor("tenant " + std::to_string(tenant), counts, result.all);
    }
  }

  void expect_floor(const std::string& name, const CallerCounts& counts, const CallerCounts& all) {
    expect(counts.served_share() >= 0.25 * all.served_share(), name + " below its floor");
  }

  /// Slots are idle for less than 1 in 100 of the slot time while anyone waits.
  void expect_slots_used(const OverloadResult& result) {
    expect(result.idle_share < 0.01, "idle " + std::to_string(result.idle_share));
  }

  void expect_slots_assigned(const OverloadResult& result) {
    expect(result.unassigned_share < 0.01, "unassigned " + std::to_string(result.unassigned_share));
  }

  /// Plays the fault with one priority, for comparison, and with several; checks order and floors.
  OverloadResult check_order_with(const char* name, OverloadFault fault, double load) {
    OverloadOptions played = options(load, false);
    played.fault = fault;
    play(name, played);
    played.priorities = true;
    const OverloadResult result = play(name, played);
    expect_order_and_floors(result);
    return result;
  }

  void check_with(const char* name, OverloadFault fault) {
    for (const double load : {1.3, 2.0}) {
      expect_slots_assigned(check_order_with(name, fault, load));
    }
  }

 public:
  /// Guards against waits and denials that cost callers something where there is room for all.
  void within_capacity_nobody_loses_by_priorities() {
    const OverloadResult before = play("steady", options(0.8, false));
    const OverloadResult result = play("steady", options(0.8));
    for (const auto& [kind, counts] : result.by_kind) {
      expect_no_worse(kind, counts, before.by_kind.at(kind));
    }
    for (const auto& [tenant, counts] : result.by_tenant) {
      expect_no_worse("tenant " + std::to_string(tenant), counts, before.by_tenant.at(tenant));
    }
  }

  /// Guards against the least urgent class outwaiting the others, and against starvation.
  void the_most_urgent_class_is_served_best_and_nobody_starves() {
    check_with("steady", OverloadFault::none);
  }

  /// The callers of the usual load are the same with the burst as without it.
  void a_burst_of_the_least_urgent_class_takes_nothing_from_the_most_urgent() {
    for (const double load : {0.8, 1.3, 2.0}) {
      for (const bool priorities : {false, true}) {
        OverloadOptions played = options(load, priorities);
        const OverloadResult before = play("steady", played);
        played.burst = OverloadBurst{3, 2, std::nullopt};
        const OverloadResult result = play("burst_of_p2", played);
        if (!priorities) continue;
        expect_no_worse(kMostUrgent, result.by_kind.at(kMostUrgent),
                        before.by_kind.at(kMostUrgent));
      }
    }
  }

  void a_burst_of_a_tenant_takes_nothing_from_the_others() {
    for (const std::size_t bursting : {0, 1}) {
      for (const double load : {0.8, 1.3, 2.0}) {
        for (const bool priorities : {false, true}) {
          OverloadOptions played = options(load, priorities);
          const CallerCounts before = others(play("steady", played), bursting);
          played.burst = OverloadBurst{3, std::nullopt, bursting};
          const CallerCounts result =
              others(play(bursting == 0 ? "burst_of_largest_tenant" : "burst_of_a_tenant", played),
                     bursting);
          std::printf(
              "figure others_of_tenant=%zu priorities=%d load=%.1f before=%.3f/%.3f "
              "with_burst=%.3f/%.3f\n",
              bursting, priorities ? 1 : 0, load, before.served_share(), before.in_time_share(),
              result.served_share(), result.in_time_share());
          if (priorities) expect_no_worse("other tenants", result, before);
        }
      }
    }
  }

  /// Guards against slots that stay empty for the rest of a pass: their next request arrives late.
  void slots_are_used_while_requests_wait() {
    using enum OverloadFault;
    for (const OverloadFault fault : {none, agent_lost, gateway_frozen, late_reports, links_lost}) {
      for (const double load : {1.3, 2.0}) {
        OverloadOptions played = options(load);
        played.fault = fault;
        expect_slots_used(play("slots", played));
      }
    }
  }

  static CallerCounts others(const OverloadResult& result, std::size_t without) {
    CallerCounts sum;
    for (const auto& [tenant, counts] : result.by_tenant) {
      if (tenant != without) add(sum, counts);
    }
    return sum;
  }

  void with_an_agent_lost() {
    for (const double load : {1.3, 2.0}) {
      check_order_with("agent_lost", OverloadFault::agent_lost, load);
    }
  }
  /// Guards against an engine that stands idle because its agent is lost.
  void slots_are_used_while_an_agent_is_lost() {
    for (const double load : {1.3, 2.0}) {
      OverloadOptions played = options(load);
      played.fault = OverloadFault::agent_lost;
      expect_slots_assigned(play("agent_lost", played));
    }
  }
  void with_a_gateway_frozen() { check_with("gateway_frozen", OverloadFault::gateway_frozen); }
  void with_late_reports() { check_with("late_reports", OverloadFault::late_reports); }
  void with_links_lost() { check_with("links_lost", OverloadFault::links_lost); }

  void tearDown() override { CPPUNIT_ASSERT_MESSAGE(failures_, failures_.empty()); }

 private:
  std::string scenario_;  ///< The last one that was played.
  std::string failures_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PriorityOverloadTest);

}  // namespace pumicemast
