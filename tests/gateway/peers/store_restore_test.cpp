#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "gateway/backends/backend_pool.h"
#include "gateway/peers/backend_list_relay.h"
#include "locality/zone_evacuations.h"

namespace pumicemast {
namespace {

constexpr std::size_t kGateways = 6;  // In two zones; the first of each zone reads the store.
constexpr std::size_t kGatewaysPerZone = 3;
constexpr std::size_t kBackends = 12;
constexpr Duration kStep = milliseconds(250);
constexpr int kSteps = 160;
/// Longest time for which a gateway may send to a back end that has said that it is draining.
constexpr Duration kDrainTime = seconds(2);

/// A store with eras that can be restored from an older copy.
class ModelStore {
 public:
  struct Content {
    std::uint64_t number = 0;
    std::map<std::string, BackendRecord> records;
  };
  void write(const std::string& id, bool draining) {
    BackendRecord& record = content.records[id];
    record.id = id;
    record.service = "plain";
    record.zone = "z1";
    record.address = {"127.0.0.1",
                      static_cast<std::uint16_t>(1 + std::hash<std::string>{}(id) % 60000)};
    record.draining = draining;
    record.revision = {era, ++content.number};
    changes.push_back(record);
  }
  void restore(const Content& older_copy) {
    ++era;
    content = older_copy;
    for (auto& [id, record] : content.records) record.revision.era = era;
    changes.clear();
  }
  std::vector<BackendRecord> list() const {
    std::vector<BackendRecord> records;
    for (const auto& [id, record] : content.records) records.push_back(record);
    return records;
  }
  StoreRevision revision() const { return {era, content.number}; }

  std::uint64_t era = 1;
  Content content;
  std::vector<BackendRecord> changes;  ///< Of this era.
};

struct ModelGateway {
  ModelGateway() : pool(options()) {}
  static BackendPoolOptions options() {
    BackendPoolOptions options;
    options.zone = "z1";
    return options;
  }
  void on_changes(const BackendChanges& changes, TimePoint now) {
    if (relay.on_changes(changes) != BackendListFollower::Step::apply) return;
    std::vector<BackendRecord> records;
    for (const BackendChange& entry : changes.entries) records.push_back(entry.record);
    if (changes.complete) {
      pool.on_list(records, changes.revision, now);
    } else {
      for (const BackendRecord& record : records) pool.on_record(record, now);
    }
  }
  BackendChanges full_list() const {
    BackendChanges list{{}, relay.revision(), true, {}};
    for (const BackendRecord& record : pool.listed_records()) list.entries.push_back({record});
    return list;
  }

  BackendPool pool;
  BackendListRelay relay;
  StoreRevision read_until;  ///< Only of readers.
  bool cut_off = false;      ///< Does not reach the store.
};

}  // namespace

/// The production cores of gateways in two zones before a store that is restored from older copies
/// while readers are cut off from it and back ends rewrite their entries in random order.
class StoreRestoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreRestoreTest);
  CPPUNIT_TEST(later_eras_are_newer_whatever_their_numbers);
  CPPUNIT_TEST(a_reader_of_an_earlier_era_is_ignored);
  CPPUNIT_TEST(a_change_of_a_later_era_requires_the_full_list);
  CPPUNIT_TEST(a_removal_before_the_restore_holds_until_the_copy_is_caught_up);
  CPPUNIT_TEST(a_back_end_that_comes_back_within_an_era_is_used);
  CPPUNIT_TEST(zones_evacuated_before_the_restore_stay_evacuated_for_a_while);
  CPPUNIT_TEST(no_gateway_sends_to_a_draining_back_end_through_restores);
  CPPUNIT_TEST_SUITE_END();

  TimePoint now = TimePoint(seconds(100));

  static BackendRecord record(const std::string& id, const StoreRevision& revision,
                              bool draining = false) {
    BackendRecord result;
    result.id = id;
    result.service = "plain";
    result.address = {"127.0.0.1", 1};
    result.revision = revision;
    result.draining = draining;
    return result;
  }

 public:
  void later_eras_are_newer_whatever_their_numbers() {
    CPPUNIT_ASSERT(StoreRevision(2, 5) > StoreRevision(1, 900));
    CPPUNIT_ASSERT(StoreRevision(2, 5) < StoreRevision(2, 6));
    BackendPool pool{BackendPoolOptions{}};
    CPPUNIT_ASSERT(pool.on_record(record("p1", {1, 900}), now));
    CPPUNIT_ASSERT(pool.on_record(record("p1", {2, 5}, true), now));
    CPPUNIT_ASSERT(pool.leaving("p1"));
    CPPUNIT_ASSERT(!pool.on_record(record("p1", {1, 901}), now));
    CPPUNIT_ASSERT(pool.leaving("p1"));
  }

  void a_reader_of_an_earlier_era_is_ignored() {
    BackendListFollower follower;
    follower.on_read({2, 10});
    const BackendChanges old{{1, 800}, {1, 801}, false, {}};
    CPPUNIT_ASSERT(follower.on_changes(old) == BackendListFollower::Step::ignore);
    CPPUNIT_ASSERT(!follower.is_behind({1, 900}));
  }

  void a_change_of_a_later_era_requires_the_full_list() {
    BackendListFollower follower;
    follower.on_read({1, 900});
    const BackendChanges change{{2, 10}, {2, 11}, false, {}};
    CPPUNIT_ASSERT(follower.on_changes(change) == BackendListFollower::Step::request_full_list);
    const BackendChanges list{{}, {2, 11}, true, {}};
    CPPUNIT_ASSERT(follower.on_changes(list) == BackendListFollower::Step::apply);
  }

  void a_removal_before_the_restore_holds_until_the_copy_is_caught_up() {
    BackendPool pool{BackendPoolOptions{}};
    pool.on_record(record("p1", {1, 5}), now);
    pool.on_removed("p1", {1, 90}, now);
    pool.sweep(now);
    pool.on_list({record("p1", {2, 5})}, {2, 60}, now);
    CPPUNIT_ASSERT(pool.leaving("p1"));
    // Entries of back ends that have ended lapse by then.
    now += kRestoreSettlingTime;
    pool.sweep(now);
    CPPUNIT_ASSERT(!pool.leaving("p1"));
  }

  void a_back_end_that_comes_back_within_an_era_is_used() {
    BackendPool pool{BackendPoolOptions{}};
    pool.on_record(record("p1", {1, 5}, true), now);
    pool.on_list({record("p1", {2, 3})}, {2, 60}, now);
    CPPUNIT_ASSERT(pool.leaving("p1"));
    pool.on_record(record("p2", {2, 61}, true), now);
    pool.on_record(record("p2", {2, 62}), now);
    CPPUNIT_ASSERT(!pool.leaving("p2"));
  }

  void zones_evacuated_before_the_restore_stay_evacuated_for_a_while() {
    ZoneEvacuations evacuations;
    CPPUNIT_ASSERT(evacuations.apply({{1, 80}, {"z1"}}, now));
    CPPUNIT_ASSERT(!evacuations.apply({{2, 40}, {}}, now));
    CPPUNIT_ASSERT(evacuations.evacuated("z1"));
    CPPUNIT_ASSERT(!evacuations.apply({{1, 81}, {"z2"}}, now));
    CPPUNIT_ASSERT(!evacuations.sweep(now + seconds(1)));
    CPPUNIT_ASSERT(evacuations.apply({{2, 50}, {"z2"}}, now));
    CPPUNIT_ASSERT(evacuations.sweep(now + kRestoreSettlingTime));
    CPPUNIT_ASSERT(!evacuations.evacuated("z1") && evacuations.evacuated("z2"));
  }

  void no_gateway_sends_to_a_draining_back_end_through_restores() {
    for (std::uint32_t seed = 1; seed <= 100; ++seed) play(seed);
  }

 private:
  void play(std::uint32_t seed) {
    std::minstd_rand random(seed);
    const auto chance = [&random](int one_in) { return random() % one_in == 0; };
    ModelStore store;
    std::map<std::string, TimePoint> draining_since;
    std::map<std::string, TimePoint> rewrite_at;  // What the copy lacks.
    for (std::size_t index = 0; index < kBackends; ++index) {
      store.write("b" + std::to_string(index), false);
    }
    std::vector<ModelStore::Content> copies{store.content};
    std::vector<ModelGateway> gateways(kGateways);
    for (int step = 0; step < kSteps; ++step) {
      now += kStep;
      const std::string id = "b" + std::to_string(random() % kBackends);
      if (chance(3)) store.write(id, draining_since.contains(id));
      if (chance(10) && draining_since.size() + 2 < kBackends && !draining_since.contains(id)) {
        store.write(id, true);
        draining_since[id] = now;
      }
      if (chance(8)) copies.push_back(store.content);
      if (chance(25)) {
        store.restore(
            copies[copies.size() - 1 - random() % std::min<std::size_t>(3, copies.size())]);
        copies = {store.content};
        for (auto& [drained, since] : draining_since) {
          rewrite_at[drained] = now + milliseconds(random() % 4000);
          // Nobody read what was written just before the restore.
          const bool known = std::any_of(
              gateways.begin(), gateways.end(),
              [&, id = drained](const ModelGateway& gateway) { return gateway.pool.leaving(id); });
          if (!known) since = rewrite_at[drained];
        }
      }
      std::erase_if(rewrite_at, [&](const auto& due) {
        if (now < due.second) return false;
        store.write(due.first, true);
        return true;
      });
      for (std::size_t reader = 0; reader < kGateways; reader += kGatewaysPerZone) {
        // At most one of the readers is cut off at a time.
        gateways[reader].cut_off = step % 40 >= 20 && (step / 40) % 2 == (reader > 0 ? 1 : 0);
        read(store, gateways, reader);
      }
      exchange(gateways);
      check(gateways, draining_since, rewrite_at, seed);
    }
  }

  void read(const ModelStore& store, std::vector<ModelGateway>& gateways, std::size_t index) {
    ModelGateway& reader = gateways[index];
    if (reader.cut_off) return;
    if (reader.read_until.era != store.era) {
      reader.pool.on_list(store.list(), store.revision(), now);
      reader.relay.on_list_read(store.revision());
    }
    for (const BackendRecord& change : store.changes) {
      if (change.revision <= reader.read_until) continue;
      reader.pool.on_record(change, now);
      reader.relay.on_record(change);
    }
    reader.read_until = store.revision();
    const auto changes = reader.relay.on_current(store.revision());
    if (!changes) return;
    for (std::size_t peer = index; peer < index + kGatewaysPerZone; ++peer) {
      if (peer != index) gateways[peer].on_changes(*changes, now);
    }
  }

  /// Every gateway gets a digest of each other one, and the list from one of its zone.
  void exchange(std::vector<ModelGateway>& gateways) {
    for (std::size_t from = 0; from < kGateways; ++from) {
      for (std::size_t to = 0; to < kGateways; ++to) {
        if (from == to) continue;
        for (const BackendDeparture& departure : gateways[from].pool.departures().recent()) {
          gateways[to].pool.on_departure(departure, now);
        }
        const bool same_zone = from / kGatewaysPerZone == to / kGatewaysPerZone;
        if (same_zone && gateways[to].relay.should_ask(gateways[from].relay.revision(), now)) {
          gateways[to].on_changes(gateways[from].full_list(), now);
        }
      }
    }
  }

  void check(const std::vector<ModelGateway>& gateways,
             const std::map<std::string, TimePoint>& draining_since,
             const std::map<std::string, TimePoint>& rewrite_at, std::uint32_t seed) const {
    const std::string where = "seed " + std::to_string(seed);
    for (std::size_t index = 0; index < kGateways; ++index) {
      for (const auto& [id, since] : draining_since) {
        if (now - since <= kDrainTime || gateways[index].pool.record_of(id) == nullptr) continue;
        CPPUNIT_ASSERT_MESSAGE(where + " gateway " + std::to_string(index) + " " + id,
                               gateways[index].pool.leaving(id));
      }
      for (const BackendRecord& known : gateways[index].pool.records()) {
        const bool drains = draining_since.contains(known.id) || rewrite_at.contains(known.id);
        CPPUNIT_ASSERT_MESSAGE(where + " lost " + known.id,
                               drains || !gateways[index].pool.leaving(known.id));
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreRestoreTest);

}  // namespace pumicemast
