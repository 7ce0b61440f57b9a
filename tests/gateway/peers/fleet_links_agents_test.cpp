#include <cppunit/extensions/HelperMacros.h>

#include <set>

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
  void on_crash_news(const CrashNews&) override {}
  CrashNews own_verdicts() override { return {}; }
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

 private:
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
    if (frame.body_type() != wire::Body::WeightsNamed) return;
    told_versions_.insert(frame.body_as_WeightsNamed()->version());
    ++told_count_;
  }

  Metrics agent_metrics_;
  int subscriptions_ = 0;
  std::size_t told_count_ = 0;
  std::set<std::uint64_t> told_versions_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetLinksAgentsTest);

}  // namespace pumicemast
