#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "common/hash.h"
#include "gateway/peers/fleet_links.h"
#include "support/scripted_server.h"

namespace pumicemast {
namespace {

using tests::run_until;
using tests::ScriptedServer;

/// A listener whose own state contains version 2 of model "m" as named.
class NamedWeightsListener : public FleetLinksListener {
 public:
  void on_engine_report(const Address&, const LoadReport&) override {}
  void on_others_backlog(const Address&, std::uint32_t) override {}
  void on_round_trip_time(const Address&, Duration) override {}
  void on_engine_agent_lost(const Address&) override { ++agents_lost; }
  void on_gossip_state(const GossipState&) override {}
  void on_fetched_configuration(const FetchedConfiguration&) override {}
  void on_reader_status(PeerId, bool) override {}
  void on_backend_changes(PeerId, const BackendChanges&) override {}
  void on_list_revision_advertised(PeerId, const StoreRevision&) override {}
  BackendChanges own_backend_list(ListScope) override { return {}; }
  void on_crash_update(const CrashUpdate&) override {}
  CrashUpdate own_verdicts() override { return {}; }
  void on_permit_request(PeerId, const PermitRequest&) override {}
  void on_slot_decisions(const Address&, const SlotDecisions&) override {}
  void on_permit_answer(PeerId, const PermitAnswer&) override {}
  GossipState own_gossip_state() override {
    GossipState state;
    state.weights.push_back({"m", 2, seconds(1), false});
    return state;
  }

  int agents_lost = 0;
};

}  // namespace

/// Uses real sockets; every wait is for a condition.
class FleetLinksAgentsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetLinksAgentsTest);
  CPPUNIT_TEST(weights_named_while_a_link_was_lost_are_resent);
  CPPUNIT_TEST(engines_no_longer_subscribed_to_are_lost);
  CPPUNIT_TEST(a_restarted_gateway_receives_the_gateway_list_again);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against engines that change over seconds late: a new weight version was sent to their
  // agents only once, over links that had gone silent, and the agents' own reads of the store are
  // seconds old.
  void weights_named_while_a_link_was_lost_are_resent() {
    const std::uint16_t port = free_port();
    const Address agent_address{"127.0.0.12", port};
    Metrics metrics;
    NamedWeightsListener listener;
    FleetLinks links({"127.0.0.1", port}, "z1", {}, metrics, listener);
    CPPUNIT_ASSERT(links.start());

    auto agent = listening_agent(agent_address);
    links.set_engines({{{agent_address.host, 1}, "z1"}});
    run_until([&] { return subscriptions_ > 0; });
    agent.reset();
    run_until([&] { return listener.agents_lost > 0; });
    links.announce_weights("m", 2);
    run_until([&] { return listener.agents_lost > 1; });  // The agent is not listening.

    agent = listening_agent(agent_address);
    run_until([&] { return received_versions_.contains(2); });
    const std::size_t received = received_count_;
    const int subscriptions = subscriptions_;
    run_until([&] { return subscriptions_ > subscriptions + 2; });
    CPPUNIT_ASSERT_EQUAL(received, received_count_);  // Not sent again on an intact link.
  }

  // Guards against requests that wait for a slot of an engine whose agent is not heard any more:
  // decisions of an agent that this gateway does not subscribe to are ignored.
  void engines_no_longer_subscribed_to_are_lost() {
    const std::uint16_t port = free_port();
    Metrics metrics;
    NamedWeightsListener listener;
    FleetLinks links({"127.0.0.1", port}, "z1", {}, metrics, listener);
    links.set_engines({{{"127.0.0.12", 1}, "z1"}, {{"127.0.0.13", 1}, "z1"}});
    links.set_engines({{{"127.0.0.13", 1}, "z1"}});
    CPPUNIT_ASSERT_EQUAL(1, listener.agents_lost);
    links.set_engines({{{"127.0.0.13", 2}, "z1"}});  // Another engine on the same host.
    CPPUNIT_ASSERT_EQUAL(2, listener.agents_lost);
  }

  // Only the gateway's previous process received the list. The contact that it asks may not be a
  // store reader.
  void a_restarted_gateway_receives_the_gateway_list_again() {
    const std::uint16_t port = free_port();
    const Address own{"127.0.0.1", port};
    Metrics metrics;
    NamedWeightsListener listener;
    FleetLinks links(own, "z1", {}, metrics, listener);
    CPPUNIT_ASSERT(links.start());
    links.set_list_revision(7);
    auto neighbour = listening_agent({"127.0.0.12", port});
    send_digest(*neighbour, {"127.0.0.12", port}, own, 7);
    run_until([&] { return links.known_gateways().size() == 1; });
    auto newcomer = listening_agent({"127.0.0.13", port});
    for (int start = 1; start <= 2; ++start) {
      send_digest(*newcomer, {"127.0.0.13", port}, own, 0);
      run_until([&] { return gateway_lists_ >= start; });
    }
    // A gateway that has the back-end list gets no gateway list again.
    const int received = gateway_lists_;
    send_digest(*newcomer, {"127.0.0.13", port}, own, 7);
    const int digests = digests_;
    run_until([&] { return digests_ > digests; });
    CPPUNIT_ASSERT_EQUAL(received, gateway_lists_);
  }

 private:
  static void send_digest(PeerLinks& from, const Address& address, const Address& to,
                          std::uint64_t list_revision) {
    wire::GatewayDigestT digest;
    digest.gateway = digest.address = address.to_string();
    digest.zone = "z1";
    digest.list_revision = list_revision;
    const PeerId peer = stable_hash(to.to_string());
    from.set_address(peer, to);
    from.send(peer, digest);
  }

  static std::uint16_t free_port() {
    const ScriptedServer gone;
    return gone.address().port;
  }

  std::unique_ptr<PeerLinks> listening_agent(const Address& address) {
    auto agent = std::make_unique<PeerLinks>(
        address.to_string(), agent_metrics_,
        PeerLinks::Callbacks{[this](PeerId, const wire::Frame& frame) { on_frame(frame); },
                             [](PeerId) {}, [](PeerId) {}});
    const bool listens = handle_error(
        [&]() -> leaf::result<bool> {
          BOOST_LEAF_CHECK(agent->listen(address));
          return true;
        },
        [](const Error&) { return false; });
    CPPUNIT_ASSERT(listens);
    return agent;
  }

  void on_frame(const wire::Frame& frame) {
    if (frame.body_type() == wire::Body::ReportSubscription) ++subscriptions_;
    if (frame.body_type() == wire::Body::GatewayList) ++gateway_lists_;
    if (frame.body_type() == wire::Body::GatewayDigest) ++digests_;
    if (frame.body_type() != wire::Body::WeightsNamed) return;
    received_versions_.insert(frame.body_as_WeightsNamed()->version());
    ++received_count_;
  }

  Metrics agent_metrics_;
  int subscriptions_ = 0;
  int gateway_lists_ = 0;
  int digests_ = 0;
  std::size_t received_count_ = 0;
  std::set<std::uint64_t> received_versions_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetLinksAgentsTest);

}  // namespace pumicemast
