#include "configuration/configuration_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include "configuration/assignment_guard.h"

namespace pumicemast {
namespace {

StoredObject target(ObjectVersion version, std::uint32_t replicas) {
  ReplicaTarget value{"forms", replicas, 0};
  return {ReplicaTarget::kKind, "forms", version, to_json(value), false};
}

StoredObject deletion(ObjectVersion version) {
  return {ReplicaTarget::kKind, "forms", version, {}, true};
}

}  // namespace

class ConfigurationStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationStoreTest);
  CPPUNIT_TEST(never_applies_an_older_version);
  CPPUNIT_TEST(a_listing_deletes_missing_objects);
  CPPUNIT_TEST(a_late_event_does_not_bring_a_deleted_object_back);
  CPPUNIT_TEST(an_older_listing_is_ignored);
  CPPUNIT_TEST(an_ill_formed_object_keeps_its_last_good_form);
  CPPUNIT_TEST(every_object_round_trips);
  CPPUNIT_TEST(refuses_older_assignments);
  CPPUNIT_TEST_SUITE_END();

 public:
  void never_applies_an_older_version() {
    store_.apply_events(5, {target(5, 3)});
    const ConfigurationChange change = store_.apply_events(6, {target(4, 9)});
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, change.outdated);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, replicas());
  }

  void a_listing_deletes_missing_objects() {
    store_.apply_listing(5, {target(5, 3)});
    CPPUNIT_ASSERT(store_.listed());
    const ConfigurationChange change = store_.apply_listing(8, {});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, change.changed.size());
    CPPUNIT_ASSERT(store_.find<ReplicaTarget>("forms") == nullptr);
  }

  void a_late_event_does_not_bring_a_deleted_object_back() {
    store_.apply_listing(5, {target(5, 3)});
    store_.apply_listing(8, {});
    store_.apply_events(8, {target(6, 4)});
    CPPUNIT_ASSERT(store_.find<ReplicaTarget>("forms") == nullptr);
    store_.apply_events(9, {target(9, 4)});
    store_.apply_events(10, {deletion(10)});
    store_.apply_events(10, {target(9, 4)});
    CPPUNIT_ASSERT(store_.find<ReplicaTarget>("forms") == nullptr);
  }

  void an_older_listing_is_ignored() {
    store_.apply_listing(8, {target(7, 3)});
    store_.apply_listing(6, {});
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, replicas());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, store_.revision());
  }

  void an_ill_formed_object_keeps_its_last_good_form() {
    store_.apply_events(5, {target(5, 3)});
    StoredObject bad = target(6, 4);
    bad.value["replicas"] = "many";
    const ConfigurationChange change = store_.apply_events(6, {bad});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, change.rejected.size());
    CPPUNIT_ASSERT_EQUAL(std::string("replica_target/forms"), change.rejected[0].place);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, replicas());
  }

  void every_object_round_trips() {
    Placement placement{"forms", 7, true, {{"a01", {"v2", "v1"}}, {"a02", {"", ""}}}};
    expect_round_trip(placement);
    expect_round_trip(ModelVersion{"forms", "v1", "d", 5, 2});
    expect_round_trip(
        Rollout{"forms", "v2", "v1", "PAUSED", RolloutObjective::origin_bytes, 3, -2, "me"});
    expect_round_trip(Route{"r", "/p", "s", "", ""});
    expect_round_trip(Tenant{"t", 1.5, 2, 3, -4});
    expect_round_trip(PlannedStop{"a01", "DRAINING", "note", true, "me"});
    expect_round_trip(LeaseRecord{"controller", "e1/9", "e1/9#1", 4, 5000});
    expect_round_trip(ExecutionClaim{"id", "e1", "e1#2", "FINISHED"});
  }

  void refuses_older_assignments() {
    AssignmentGuard guard;
    CPPUNIT_ASSERT(guard.accept(5));
    CPPUNIT_ASSERT(guard.accept(5));
    CPPUNIT_ASSERT(!guard.accept(4));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, guard.highest());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, guard.refused());
  }

 private:
  std::uint32_t replicas() { return store_.find<ReplicaTarget>("forms")->value.replicas; }

  template <class Object>
  void expect_round_trip(const Object& object) {
    const auto again = handle_error(
        [&]() -> leaf::result<nlohmann::json> {
          BOOST_LEAF_AUTO(read, object_from_json<Object>(to_json(object)));
          return to_json(read);
        },
        [](const Error&) { return nlohmann::json(); });
    CPPUNIT_ASSERT_EQUAL(to_json(object).dump(), again.dump());
  }

  ConfigurationStore store_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationStoreTest);

}  // namespace pumicemast
