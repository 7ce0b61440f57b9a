#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "common/hash.h"
#include "gateway/peers/fleet_links.h"
#include "support/scripted_server.h"

namespace pumicemast {
namespace {

using tests::run_until;
using tests::ScriptedServer;

/// Knows that version 2 of model "m" was named.
class KnowingListener : public FleetLinksListener {
 public:
  void on_engine_report(const Address&, const LoadReport&) override {}
  void on_others_backlog(const Address&, std::uint32_t) override {}
  void on_path_delay(const Address&, Duration) override {}
  void on_engine_agent_lost(const Address&) override { ++agents_lost; }
  void on_other_knowledge(const GatewayKnowledge&) override {}
  void on_other_configuration(const FetchedConfiguration&) override {}
  void on_near_gateway(PeerId, bool) override {}
  void on_backend_changes(PeerId, const BackendChanges&) override {}
  void on_list_revision_told(PeerId, std::uint64_t) override {}
  BackendChanges own_backend_list(ListScope) override { return {}; }
  void on_crash_news(const CrashUpdate&) override {}
  CrashUpdate own_verdicts() override { return {}; }
  void on_permit_request(PeerId, const PermitRequest&) override {}
  void on_permit_answer(PeerId, const PermitAnswer&) override {}
  GatewayKnowledge own_knowledge() override {
    GatewayKnowledge knowledge;
    knowledge.weights.push_back({"m", 2, seconds(1), false});
    return knowledge;
  }

  int agents_lost = 0;
};

}  // namespace

/// Real sockets; every wait is for a condition.
class FleetLinksAgentsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetLinksAgentsTest);
  CPPUNIT_TEST(what_was_named_while_a_link_was_lost_is_told_again);
  CPPUNIT_TEST(a_gateway_that_starts_again_is_told_of_the_others_again);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Engines changed over seconds late: the word of the naming went to their agents over links that
  // had gone silent, once, and the agents' own readings of the store are seconds old.
  void what_was_named_while_a_link_was_lost_is_told_again() {
    const std::uint16_t port = free_port();
    const Address agent_address{"127.0.0.12", port};
    Metrics metrics;
    KnowingListener listener;
    FleetLinks links({"127.0.0.1", port}, "z1", {}, metrics, listener);
    CPPUNIT_ASSERT(links.start());

    auto agent = listening_agent(agent_address);
    links.set_engines({{{agent_address.host, 1}, "z1"}});
    run_until([&] { return subscriptions_ > 0; });
    agent.reset();
    run_until([&] { return listener.agents_lost > 0; });
    links.tell_weights_named("m", 2);
    run_until([&] { return listener.agents_lost > 1; });  // Nobody was there to hear it.

    agent = listening_agent(agent_address);
    run_until([&] { return told_versions_.contains(2); });
    const std::size_t told = told_count_;
    const int subscriptions = subscriptions_;
    run_until([&] { return subscriptions_ > subscriptions + 2; });
    CPPUNIT_ASSERT_EQUAL(told, told_count_);  // Not again on a link that stands.
  }

  // Its former process was told; the contact that it asks may read no list itself.
  void a_gateway_that_starts_again_is_told_of_the_others_again() {
    const std::uint16_t port = free_port();
    const Address own{"127.0.0.1", port};
    Metrics metrics;
    KnowingListener listener;
    FleetLinks links(own, "z1", {}, metrics, listener);
    CPPUNIT_ASSERT(links.start());
    links.set_list_revision(7);
    auto neighbour = listening_agent({"127.0.0.12", port});
    greet(*neighbour, {"127.0.0.12", port}, own, 7);
    run_until([&] { return links.known_gateways().size() == 1; });
    auto newcomer = listening_agent({"127.0.0.13", port});
    for (int start = 1; start <= 2; ++start) {
      greet(*newcomer, {"127.0.0.13", port}, own, 0);
      run_until([&] { return gateway_lists_ >= start; });
    }
    // One that knows the list is told once.
    const int told = gateway_lists_;
    greet(*newcomer, {"127.0.0.13", port}, own, 7);
    const int digests = digests_;
    run_until([&] { return digests_ > digests; });
    CPPUNIT_ASSERT_EQUAL(told, gateway_lists_);
  }

 private:
  static void greet(PeerLinks& from, const Address& address, const Address& to,
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
    told_versions_.insert(frame.body_as_WeightsNamed()->version());
    ++told_count_;
  }

  Metrics agent_metrics_;
  int subscriptions_ = 0;
  int gateway_lists_ = 0;
  int digests_ = 0;
  std::size_t told_count_ = 0;
  std::set<std::uint64_t> told_versions_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetLinksAgentsTest);

}  // namespace pumicemast
