#include <cppunit/extensions/HelperMacros.h>

#include "common/hash.h"
#include "host/host_daemon.h"
#include "support/charts.h"
#include "support/scripted_server.h"
#include "transport/slot_messages.h"

namespace pumicemast {
namespace {

using tests::run_until;
using tests::ScriptedServer;

/// Answers its agent's load polls when the test says so; like the real adapter, it ignores polls
/// while one is unanswered.
class PolledEngine : public EngineControl {
 public:
  void read_load(std::function<void(const LoadReport&)> callback) override {
    ++(unanswered_ ? ignored : asked);
    if (!unanswered_) unanswered_ = std::move(callback);
  }
  bool has_unanswered() const { return unanswered_ != nullptr; }
  void answer() {
    LoadReport idle;
    idle.alive = true;
    idle.weight_version = 1;
    std::exchange(unanswered_, nullptr)(idle);
  }
  int asked = 0;
  int ignored = 0;

  void set_layer_count(std::uint32_t) override {}
  void list_staged(const std::string&,
                   std::function<void(std::optional<std::vector<ChunkIndex>>)>) override {}
  void read_staged(const std::string&, ChunkIndex,
                   std::function<void(std::optional<std::string>)>) override {}
  void write_staged(const std::string&, ChunkIndex, const std::string&,
                    std::function<void(bool)>) override {}
  void start_serving(const StartOrder&, std::function<void(StartOutcome)>) override {}

 private:
  std::function<void(const LoadReport&)> unanswered_;
};

class NoOrigin : public WeightOriginFactory {
 public:
  std::unique_ptr<WeightOrigin> make(const OriginProfile&) override { return nullptr; }
};

/// States the profile of an engine with one slot and no models.
class OneSlotFeed : public HostFeed {
 public:
  void start(HostListener& listener) override {
    ServiceProfile service;
    service.engine.emplace().slots = 1;
    listener.on_engine_profile(service, {});
  }
  void set_updates_relayed(bool) override {}
  void on_profile_relayed(const ServiceProfile&) override {}
};

}  // namespace

/// An agent with an engine of one slot, and a gateway's link to it over a real socket.
class SlotRequestsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlotRequestsTest);
  CPPUNIT_TEST(a_slow_answer_of_the_engine_shows_no_grants_since_it_was_asked);
  CPPUNIT_TEST(a_gateway_that_is_not_subscribed_is_denied);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    granted_ = 0;
    denied_.clear();
    reports_ = 0;
    const std::uint16_t port = ScriptedServer().address().port;
    HostSettings settings;
    settings.internal_address = {"127.0.0.1", port};
    settings.metrics_listen = {"127.0.0.2", port};
    settings.engine = {"127.0.0.1", 1};
    settings.report_interval = milliseconds(5);
    auto engine = std::make_unique<PolledEngine>();
    engine_ = engine.get();
    agent_ =
        std::make_unique<HostDaemon>(settings, tests::charts().staging, loop_, std::move(engine),
                                     std::make_unique<NoOrigin>(), std::make_unique<OneSlotFeed>());
    CPPUNIT_ASSERT(handle_error(
        [&]() -> leaf::result<bool> {
          BOOST_LEAF_CHECK(agent_->start());
          return true;
        },
        [](const Error&) { return false; }));
    links_ = std::make_unique<PeerLinks>(
        "gateway", metrics_,
        PeerLinks::Callbacks{[this](PeerId, const wire::Frame& frame) { on_frame(frame); },
                             [](PeerId) {}, [](PeerId) {}});
    links_->set_address(kAgent, settings.internal_address);
    answer_next_poll();
  }

  void tearDown() override {
    links_.reset();
    agent_.reset();
  }

  // Guards against grants beyond the engine's room: a poll that the engine has yet to answer was
  // taken for a newer one, so that its answer seemed to show requests granted after it was asked.
  void a_slow_answer_of_the_engine_shows_no_grants_since_it_was_asked() {
    subscribe();
    run_until([&] { return engine_->has_unanswered(); });
    request({1, 2, 3, 4}, seconds(20));
    run_until([&] { return granted_ == 2; });  // One slot, and one request ahead.
    const int ignored = engine_->ignored;
    run_until([&] { return engine_->ignored >= ignored + 8; });
    engine_->answer();
    request({5}, Duration::zero());  // Answered after all grants.
    run_until([&] { return denied_.size() == 1; });
    CPPUNIT_ASSERT_EQUAL(2, granted_);
  }

  // Guards against requests that wait in vain: a gateway that was frozen for long is no longer
  // subscribed when it resumes, and its requests were ignored.
  void a_gateway_that_is_not_subscribed_is_denied() {
    request({1}, seconds(20));
    run_until([&] { return denied_.size() == 1; });
    CPPUNIT_ASSERT(denied_.front().reason == SlotDenialReason::engine_unavailable);
  }

 private:
  static constexpr PeerId kAgent = 1;

  void answer_next_poll() {
    run_until([&] { return engine_->has_unanswered(); });
    engine_->answer();
  }

  void subscribe() {
    wire::ReportSubscriptionT subscription;
    subscription.gateway = subscription.address = "127.0.0.3:1";
    links_->send(kAgent, subscription);
    run_until([&] {
      if (engine_->has_unanswered()) engine_->answer();
      return reports_ > 0;
    });
  }

  void request(const std::vector<std::uint64_t>& numbers, Duration useful_for) {
    SlotRequests requests;
    for (const std::uint64_t number : numbers) {
      SlotRequest& request = requests.requests.emplace_back();
      request.number = number;
      request.useful_for = useful_for;
    }
    links_->send(kAgent, encode(requests));
  }

  void on_frame(const wire::Frame& frame) {
    if (frame.body_type() == wire::Body::EngineReport) ++reports_;
    if (frame.body_type() != wire::Body::SlotDecisions) return;
    const SlotDecisions decisions = decode(*frame.body_as_SlotDecisions());
    granted_ += static_cast<int>(decisions.granted.size());
    denied_.insert(denied_.end(), decisions.denied.begin(), decisions.denied.end());
  }

  EventLoop loop_;
  Metrics metrics_;
  PolledEngine* engine_ = nullptr;
  std::unique_ptr<HostDaemon> agent_;
  std::unique_ptr<PeerLinks> links_;
  int granted_ = 0;
  int reports_ = 0;
  std::vector<SlotDenial> denied_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotRequestsTest);

}  // namespace pumicemast
