#include "gateway/peers/backend_list_relay.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>

#include <map>
#include <random>

#include "host/engine_list.h"
#include "transport/backend_list_messages.h"

namespace pumicemast {
namespace {

BackendRecord record(const std::string& id, std::uint64_t revision) {
  BackendRecord result;
  result.id = id;
  result.service = "llm";
  result.address = {"10.0.0.1", 80};
  result.zone = "z1";
  result.slots = 8;
  result.revision = revision;
  return result;
}

constexpr TimePoint kNow{seconds(100)};

/// The changes as a receiver decodes them.
BackendChanges encode_and_decode(const BackendChanges& changes) {
  flatbuffers::FlatBufferBuilder builder;
  const wire::BackendChangesT message = encode(changes, kNow);
  builder.Finish(wire::BackendChanges::Pack(builder, &message));
  return decode(*flatbuffers::GetRoot<wire::BackendChanges>(builder.GetBufferPointer()), kNow);
}

}  // namespace

/// Two gateways of a zone read the list of back ends; the other gateways and the agents follow.
class BackendListRelayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BackendListRelayTest);
  CPPUNIT_TEST(nothing_is_relayed_without_changes);
  CPPUNIT_TEST(changes_are_relayed_together);
  CPPUNIT_TEST(a_follower_that_missed_changes_requests_the_whole_list);
  CPPUNIT_TEST(requests_for_the_whole_list_are_spaced);
  CPPUNIT_TEST(two_readers_at_different_revisions_agree);
  CPPUNIT_TEST(an_entry_without_an_address_is_skipped_alone);
  CPPUNIT_TEST(a_cold_phase_is_relayed_relative_to_the_clock_of_the_receiver);
  CPPUNIT_TEST(an_agent_follows_gateways_despite_lost_messages);
  CPPUNIT_TEST(an_agent_reads_the_store_again_without_gateway_updates);
  CPPUNIT_TEST(an_outdated_store_answer_undoes_nothing);
  CPPUNIT_TEST_SUITE_END();

  TimePoint now_{seconds(100)};

 public:
  void nothing_is_relayed_without_changes() {
    BackendListRelay reader;
    reader.on_list_read(10);
    CPPUNIT_ASSERT(!reader.on_current(10));
    CPPUNIT_ASSERT(!reader.on_current(25));
    // A higher revision would make other gateways request an unchanged list.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, reader.revision().number);
  }

  void changes_are_relayed_together() {
    BackendListRelay reader;
    reader.on_list_read(10);
    reader.on_record(record("a", 11));
    reader.on_removed("b", 12);
    const auto changes = reader.on_current(12);
    CPPUNIT_ASSERT(changes.has_value());
    const BackendChanges received = encode_and_decode(*changes);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, received.base.number);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, received.revision.number);
    CPPUNIT_ASSERT(!received.complete);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, received.entries.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), received.entries[0].record.id);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:80"),
                         received.entries[0].record.address.to_string());
    CPPUNIT_ASSERT(received.entries[1].removed);
    CPPUNIT_ASSERT(!reader.on_current(12));
  }

  void a_follower_that_missed_changes_requests_the_whole_list() {
    using Step = BackendListFollower::Step;
    BackendListFollower follower;
    follower.on_read(10);
    CPPUNIT_ASSERT(follower.on_changes({12, 15, false, {}}) == Step::request_full_list);
    CPPUNIT_ASSERT(follower.on_changes({10, 12, false, {}}) == Step::apply);
    CPPUNIT_ASSERT(follower.on_changes({10, 12, false, {}}) == Step::ignore);
    CPPUNIT_ASSERT(follower.on_changes({0, 20, true, {}}) == Step::apply);
    CPPUNIT_ASSERT(follower.on_changes({12, 15, false, {}}) == Step::ignore);
  }

  void requests_for_the_whole_list_are_spaced() {
    BackendListRelay follower;
    follower.on_list_read(10);
    CPPUNIT_ASSERT(!follower.should_ask(10, now_));
    CPPUNIT_ASSERT(follower.should_ask(11, now_));
    CPPUNIT_ASSERT(!follower.should_ask(11, now_ + milliseconds(100)));
    CPPUNIT_ASSERT(follower.should_ask(11, now_ + milliseconds(400)));
  }

  /// The calls of two readers to the store may end at different revisions with the same changes.
  void two_readers_at_different_revisions_agree() {
    BackendListFollower follower;
    follower.on_read(10);
    using Step = BackendListFollower::Step;
    CPPUNIT_ASSERT(follower.on_changes({10, 14, false, {}}) == Step::apply);
    CPPUNIT_ASSERT(follower.on_changes({10, 13, false, {}}) == Step::ignore);
    CPPUNIT_ASSERT(follower.on_changes({13, 16, false, {}}) == Step::apply);
    CPPUNIT_ASSERT(follower.on_changes({14, 17, false, {}}) == Step::apply);
  }

  void a_cold_phase_is_relayed_relative_to_the_clock_of_the_receiver() {
    BackendRecord cold = record("a", 1);
    cold.cold_until = kNow + milliseconds(2500);
    BackendRecord warm = record("b", 2);
    warm.cold_until = kNow - seconds(5);
    wire::BackendChangesT message =
        encode(BackendChanges{0, 5, true, {{cold, false}, {warm, false}}}, kNow);
    message.entries.push_back(std::make_unique<wire::BackendEntryT>(*message.entries[0]));
    message.entries.back()->cold_left_ms = std::numeric_limits<std::uint32_t>::max();
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::BackendChanges::Pack(builder, &message));
    const TimePoint receiver_now{seconds(7)};
    const BackendChanges received = decode(
        *flatbuffers::GetRoot<wire::BackendChanges>(builder.GetBufferPointer()), receiver_now);
    CPPUNIT_ASSERT(received.entries[0].record.cold_until == receiver_now + milliseconds(2500));
    CPPUNIT_ASSERT(received.entries[1].record.cold_until <= receiver_now);
    CPPUNIT_ASSERT(received.entries[2].record.cold_until <= receiver_now + seconds(3600));
  }

  void an_entry_without_an_address_is_skipped_alone() {
    const BackendChanges changes{0, 5, true, {{record("a", 1), false}, {record("b", 2), false}}};
    wire::BackendChangesT message = encode(changes, kNow);
    message.entries[0]->address = "nowhere";
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::BackendChanges::Pack(builder, &message));
    const BackendChanges received =
        decode(*flatbuffers::GetRoot<wire::BackendChanges>(builder.GetBufferPointer()), kNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, received.entries.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), received.entries[0].record.id);
  }

  /// Whichever messages are lost, the agent has the reader's list soon after the last change.
  void an_agent_follows_gateways_despite_lost_messages() {
    for (std::uint32_t seed = 1; seed <= 50; ++seed) {
      std::minstd_rand random(seed);
      BackendListRelay reader;
      EngineList agent;
      std::map<std::string, std::uint64_t> listed;
      std::uint64_t revision = 1;
      reader.on_list_read(revision);
      for (int round = 0; round < 60; ++round) {
        const std::string id = "e" + std::to_string(random() % 8);
        ++revision;
        if (listed.contains(id) && random() % 3 == 0) {
          listed.erase(id);
          reader.on_removed(id, revision);
        } else {
          listed[id] = revision;
          reader.on_record(record(id, revision));
        }
        const auto changes = reader.on_current(revision);
        const bool lost = random() % 3 == 0;
        if (!lost) agent.on_changes(encode_and_decode(*changes));
      }
      if (agent.on_reader_status(reader.revision(), now_)) {
        BackendChanges whole{0, reader.revision(), true, {}};
        for (const auto& [id, at] : listed) whole.entries.push_back({record(id, at), false});
        agent.on_changes(encode_and_decode(whole));
      }
      std::map<std::string, std::uint64_t> known;
      for (const BackendRecord& entry : agent.records()) known[entry.id] = entry.revision.number;
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), known == listed);
    }
  }

  void an_agent_reads_the_store_again_without_gateway_updates() {
    EngineList agent;
    CPPUNIT_ASSERT(!agent.relayed_by_gateways(now_));
    agent.on_reader_status(7, now_);
    CPPUNIT_ASSERT(agent.relayed_by_gateways(now_ + seconds(3)));
    CPPUNIT_ASSERT(!agent.relayed_by_gateways(now_ + seconds(5)));
  }

  void an_outdated_store_answer_undoes_nothing() {
    EngineList agent;
    agent.on_list_read({record("a", 5)}, 5);
    agent.on_changes({5, 6, false, {{record("b", 6), false}}});
    agent.on_list_read({record("a", 5)}, 5);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, agent.records().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendListRelayTest);

}  // namespace pumicemast
