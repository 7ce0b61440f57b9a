#include "replica/replica_manager.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

#include "support/charts.h"

namespace pumicemast {
namespace {

const VersionReference kFirst{"v1", "d1"};
const VersionReference kSecond{"v2", "d2"};

template <class Action>
const Action* find_action(const ReplicaActions& actions) {
  for (const ReplicaAction& action : actions) {
    if (const auto* found = std::get_if<Action>(&action)) return found;
  }
  return nullptr;
}

}  // namespace

class ReplicaManagerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicaManagerTest);
  CPPUNIT_TEST(becomes_live_only_after_verification_and_order);
  CPPUNIT_TEST(keeps_serving_the_old_version_until_the_new_one_is_live);
  CPPUNIT_TEST(waits_for_requests_before_it_switches);
  CPPUNIT_TEST(a_superseded_fetch_stops);
  CPPUNIT_TEST(a_failed_activation_resumes_serving_and_fetches_again);
  CPPUNIT_TEST(a_withdrawn_order_reopens_the_previous_version);
  CPPUNIT_TEST(a_version_being_activated_is_not_dropped);
  CPPUNIT_TEST(an_engine_restart_starts_over);
  CPPUNIT_TEST(a_removed_model_drains_before_it_is_dropped);
  CPPUNIT_TEST(recovers_what_the_engine_serves);
  CPPUNIT_TEST(never_activates_an_unverified_version);
  CPPUNIT_TEST_SUITE_END();

 public:
  void becomes_live_only_after_verification_and_order() {
    const ReplicaActions start = order(kFirst, {});
    CPPUNIT_ASSERT_EQUAL(std::string("d1"), find_action<StartFetch>(start)->version.digest);
    CPPUNIT_ASSERT(find_action<CloseAdmission>(manager_.on_verified("d1")) == nullptr);
    CPPUNIT_ASSERT(find_action<CloseAdmission>(order(kFirst, kFirst)) != nullptr);
    const ReplicaActions idle = manager_.on_idle("forms");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, find_action<ActivateVersion>(idle)->fence);
    CPPUNIT_ASSERT(manager_.on_idle("forms").empty());  // The activation is ordered only once.
    const ReplicaActions live = manager_.on_activated("forms", "d1", true, "");
    CPPUNIT_ASSERT_EQUAL(std::string("d1"), find_action<OpenAdmission>(live)->digest);
    CPPUNIT_ASSERT_EQUAL(std::string("d1"), manager_.live("forms")->version.digest);
  }

  void keeps_serving_the_old_version_until_the_new_one_is_live() {
    make_live(kFirst);
    const ReplicaActions ordered = order(kSecond, kSecond);
    CPPUNIT_ASSERT(find_action<DropVersion>(ordered) == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("d1"), manager_.live("forms")->version.digest);
    manager_.on_verified("d2");
    manager_.on_idle("forms");
    const ReplicaActions live = manager_.on_activated("forms", "d2", true, "");
    CPPUNIT_ASSERT_EQUAL(std::string("d1"), find_action<DropVersion>(live)->digest);
    CPPUNIT_ASSERT_EQUAL(std::string("d2"), manager_.live("forms")->version.digest);
  }

  void waits_for_requests_before_it_switches() {
    make_live(kFirst);
    order(kSecond, kSecond);
    const ReplicaActions verified = manager_.on_verified("d2");
    CPPUNIT_ASSERT(find_action<CloseAdmission>(verified) != nullptr);
    CPPUNIT_ASSERT(find_action<ActivateVersion>(verified) == nullptr);
    CPPUNIT_ASSERT(find_action<ActivateVersion>(manager_.on_idle("forms")) != nullptr);
  }

  void a_superseded_fetch_stops() {
    order(kFirst, kFirst);
    const ReplicaActions changed = order(kSecond, kSecond);
    CPPUNIT_ASSERT_EQUAL(std::string("d1"), find_action<StopFetch>(changed)->digest);
    CPPUNIT_ASSERT_EQUAL(std::string("d2"), find_action<StartFetch>(changed)->version.digest);
    CPPUNIT_ASSERT(manager_.on_verified("d1").empty());
  }

  void a_failed_activation_resumes_serving_and_fetches_again() {
    make_live(kFirst);
    order(kSecond, kSecond);
    manager_.on_verified("d2");
    manager_.on_idle("forms");
    const ReplicaActions failed = manager_.on_activated("forms", "d2", false, "no");
    CPPUNIT_ASSERT_EQUAL(std::string("d1"), find_action<OpenAdmission>(failed)->digest);
    CPPUNIT_ASSERT_EQUAL(std::string("d2"), find_action<StartFetch>(failed)->version.digest);
    CPPUNIT_ASSERT_EQUAL(std::string("no"), manager_.replicas().at("d2").note);
  }

  void a_withdrawn_order_reopens_the_previous_version() {
    make_live(kFirst);
    order(kSecond, kSecond);
    manager_.on_verified("d2");  // Admission is closed until requests have finished.
    const ReplicaActions back = order(kFirst, kFirst);
    CPPUNIT_ASSERT_EQUAL(std::string("d1"), find_action<OpenAdmission>(back)->digest);
    CPPUNIT_ASSERT_EQUAL(std::string("d2"), find_action<DropVersion>(back)->digest);
  }

  void a_version_being_activated_is_not_dropped() {
    make_live(kFirst);
    order(kSecond, kSecond);
    manager_.on_verified("d2");
    manager_.on_idle("forms");
    CPPUNIT_ASSERT(find_action<DropVersion>(order(kFirst, kFirst)) == nullptr);
    // The activation succeeds; the engine serves the second version until it is switched back.
    manager_.on_activated("forms", "d2", true, "");
    const ReplicaActions idle = manager_.on_idle("forms");
    CPPUNIT_ASSERT_EQUAL(std::string("d1"), find_action<ActivateVersion>(idle)->version.digest);
    const ReplicaActions done = manager_.on_activated("forms", "d1", true, "");
    CPPUNIT_ASSERT_EQUAL(std::string("d2"), find_action<DropVersion>(done)->digest);
  }

  void an_engine_restart_starts_over() {
    make_live(kFirst);
    const ReplicaActions lost = manager_.on_engine_lost();
    CPPUNIT_ASSERT(find_action<CloseAdmission>(lost) != nullptr);
    CPPUNIT_ASSERT(find_action<StartFetch>(lost) != nullptr);
    CPPUNIT_ASSERT(manager_.live("forms") == nullptr);
  }

  void a_removed_model_drains_before_it_is_dropped() {
    make_live(kFirst);
    const ReplicaActions removed = manager_.on_orders({});
    CPPUNIT_ASSERT(find_action<CloseAdmission>(removed) != nullptr);
    CPPUNIT_ASSERT(find_action<DropVersion>(removed) == nullptr);
    CPPUNIT_ASSERT(find_action<DropVersion>(manager_.on_idle("forms")) != nullptr);
    CPPUNIT_ASSERT(manager_.replicas().empty());
  }

  void recovers_what_the_engine_serves() {
    const ReplicaActions found = manager_.on_engine_serves("forms", kFirst);
    CPPUNIT_ASSERT_EQUAL(std::string("d1"), find_action<OpenAdmission>(found)->digest);
    CPPUNIT_ASSERT(find_action<StartFetch>(order(kFirst, kFirst)) == nullptr);
    CPPUNIT_ASSERT(manager_.live("forms") != nullptr);
  }

  /// Random orders and events. Checks that a version is activated only if it was verified since the
  /// engine last lost its memory, and that two versions are never live at once.
  void never_activates_an_unverified_version() {
    for (unsigned seed = 1; seed <= 300; ++seed) {
      std::mt19937 random(seed);
      ReplicaManager manager(tests::charts().replica);
      std::set<std::string> verified;
      std::string activating;
      std::uint32_t activations = 0;
      for (int step = 0; step < 200; ++step) {
        ReplicaActions actions;
        const VersionReference& version = random() % 2 == 0 ? kFirst : kSecond;
        switch (random() % 6) {
          case 0:
            actions = manager.on_orders(
                {{"forms", version, random() % 3 == 0 ? VersionReference{} : version, 1, false}});
            break;
          case 1: {
            const auto found = manager.replicas().find(version.digest);
            if (found == manager.replicas().end() || found->second.state != "FETCHING") continue;
            verified.insert(version.digest);
            actions = manager.on_verified(version.digest);
            break;
          }
          case 2:
          case 3:
            actions = manager.on_idle("forms");
            break;
          case 4:
            if (activating.empty()) continue;
            actions = manager.on_activated("forms", activating, random() % 4 != 0, "failed");
            activating.clear();
            break;
          default:
            if (random() % 10 != 0) continue;
            verified.clear();
            activating.clear();
            actions = manager.on_engine_lost();
        }
        for (const ReplicaAction& action : actions) {
          if (const auto* drop = std::get_if<DropVersion>(&action)) verified.erase(drop->digest);
          if (const auto* activate = std::get_if<ActivateVersion>(&action)) {
            CPPUNIT_ASSERT(verified.contains(activate->version.digest));
            activating = activate->version.digest;
            ++activations;
          }
        }
        std::uint32_t live = 0;
        for (const auto& [digest, replica] : manager.replicas()) {
          if (replica.state == "LIVE") ++live;
        }
        CPPUNIT_ASSERT(live <= 1);
      }
      CPPUNIT_ASSERT(activations > 0);
    }
  }

 private:
  ReplicaActions order(const VersionReference& stage, const VersionReference& serve) {
    return manager_.on_orders({{"forms", stage, serve, 7, false}});
  }
  void make_live(const VersionReference& version) {
    order(version, version);
    manager_.on_verified(version.digest);
    manager_.on_idle("forms");
    manager_.on_activated("forms", version.digest, true, "");
  }

  ReplicaManager manager_{tests::charts().replica};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaManagerTest);

}  // namespace pumicemast
