#include <cppunit/extensions/HelperMacros.h>

#include "host/model_stager.h"
#include "support/charts.h"
#include "support/scripted_engine.h"

namespace pumicemast {
namespace {

constexpr ChunkIndex kChunks = 12;
constexpr std::uint64_t kFirst = 8;
constexpr std::uint64_t kSecond = 9;

}  // namespace

/// Callers got tokens that were made from weights of two versions.
///
/// An engine had been started anew. Its agent verified all chunks of version 8 there and ordered
/// it to start them; the engine gave no answer. Version 9 was named 0.35 s later. The agent took
/// the order for carried out 150 ms after sending it, and wrote chunks of version 9 over those of
/// version 8. The engine carried the order out 2.7 s after it was sent, and took what lay there.
///
/// Evidence: the agent's lines tell the order and no outcome; the operators' log has the order end
/// 2.7 s after it was sent; the engine served as version 8 from then on, while 96 chunks of
/// version 9 were written between 0.5 and 4.4 s after the order. Orders that got an answer
/// preceded no such token.
class LateStartOrderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LateStartOrderTest);
  CPPUNIT_TEST(an_order_carried_out_late_finds_what_it_names);
  CPPUNIT_TEST(what_an_unanswered_order_may_take_stays);
  CPPUNIT_TEST(an_engine_with_an_unanswered_order_is_leaving);
  CPPUNIT_TEST(a_machine_that_stood_still_reads_back_again_before_it_orders);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    settings_ = {};
    settings_.name = "agent";
    settings_.internal_address = {"127.0.0.1", 1};
    engine_ = std::make_unique<tests::ScriptedEngine>();
    origin_ = std::make_unique<tests::ScriptedOrigin>(kChunks);
    origin_->set_newest(kFirst);
    metrics_ = std::make_unique<Metrics>();
    links_ = std::make_unique<PeerLinks>(
        "agent", *metrics_,
        PeerLinks::Callbacks{[](PeerId, const wire::Frame&) {}, [](PeerId) {}, [](PeerId) {}});
    stager_ = std::make_unique<ModelStager>(
        "m", settings_, tests::charts().staging, *engine_, *origin_, *links_, *metrics_,
        ModelStager::Callbacks{[] {}, [this] { return prompts_wait_; },
                               [](const std::string&, const std::string&) {}});
  }

  void tearDown() override { stager_.reset(); }

  void an_order_carried_out_late_finds_what_it_names() {
    engine_->leave_unanswered(1);
    CPPUNIT_ASSERT(run_until([&] { return engine_->late_orders() == 1; }));
    name_second();
    run_for(milliseconds(600));
    engine_->carry_out_late_order();
    assert_only_whole_versions_were_taken();
    CPPUNIT_ASSERT(run_until([&] { return engine_->serving() == kSecond; }));
    assert_only_whole_versions_were_taken();
  }

  void what_an_unanswered_order_may_take_stays() {
    engine_->leave_unanswered(1000);
    CPPUNIT_ASSERT(run_until([&] { return engine_->late_orders() > 0; }));
    name_second();
    run_for(milliseconds(1000));
    CPPUNIT_ASSERT(engine_->holds(kFirst, kChunks));
    engine_->carry_out_late_order();
    assert_only_whole_versions_were_taken();
    engine_->leave_unanswered(0);
    CPPUNIT_ASSERT(run_until([&] { return engine_->serving() == kSecond; }));
    assert_only_whole_versions_were_taken();
  }

  /// A request that gateways sent to such an engine waited there behind the order, and began on
  /// old weights 8.1 s after newer ones were named.
  void an_engine_with_an_unanswered_order_is_leaving() {
    engine_->leave_unanswered(1000);
    CPPUNIT_ASSERT(run_until([&] { return engine_->late_orders() > 0; }));
    name_second();
    for (int step = 0; step < 50; ++step) {
      run_for(milliseconds(10));
      CPPUNIT_ASSERT(stager_->starting());
    }
  }

  /// Between the reading back and the order an agent waits for requests to begin. When its machine
  /// stood still meanwhile, what it had read back was too old to tell that a chunk had turned bad.
  void a_machine_that_stood_still_reads_back_again_before_it_orders() {
    settings_.changeover = seconds(1);
    CPPUNIT_ASSERT(run_until([&] { return stager_->serving(); }));
    prompts_wait_ = true;
    name_second();
    CPPUNIT_ASSERT(run_until([&] { return stager_->starting(); }));
    CPPUNIT_ASSERT_EQUAL(kFirst, engine_->serving());
    engine_->spoil(3);
    g_usleep(2600000);
    CPPUNIT_ASSERT(run_until([&] { return engine_->serving() == kSecond; }));
    assert_only_whole_versions_were_taken();
  }

 private:
  void name_second() {
    origin_->set_newest(kSecond);
    stager_->on_named(kSecond);
  }

  void step() {
    g_main_context_iteration(nullptr, FALSE);
    engine_->deliver();
    origin_->deliver();
    stager_->on_load(engine_->report());
    stager_->on_tick();
    g_usleep(1000);
  }

  void run_for(Duration duration) {
    const TimePoint end = loop_now() + duration;
    while (loop_now() < end) step();
  }

  template <class Condition>
  bool run_until(Condition condition) {
    constexpr Duration kGenerous = seconds(20);
    const TimePoint end = loop_now() + kGenerous;
    while (!condition() && loop_now() < end) step();
    return condition();
  }

  void assert_only_whole_versions_were_taken() const {
    for (const auto& taken : engine_->taken()) {
      CPPUNIT_ASSERT_MESSAGE("version " + std::to_string(taken.version) + " was taken in part",
                             taken.whole(kChunks));
    }
  }

  HostSettings settings_;
  bool prompts_wait_ = false;
  std::unique_ptr<tests::ScriptedEngine> engine_;
  std::unique_ptr<tests::ScriptedOrigin> origin_;
  std::unique_ptr<Metrics> metrics_;
  std::unique_ptr<PeerLinks> links_;
  std::unique_ptr<ModelStager> stager_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateStartOrderTest);

}  // namespace pumicemast
