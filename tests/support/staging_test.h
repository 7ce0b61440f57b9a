/// A fixture with one agent's staging of a model and an in-memory engine and origin.
#pragma once

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>

#include "host/staging/model_stager.h"
#include "support/charts.h"
#include "support/scripted_engine.h"

namespace pumicemast::tests {

class StagingTest : public CppUnit::TestFixture {
 public:
  void setUp() override {
    settings_ = {};
    settings_.name = "agent";
    settings_.internal_address = {"127.0.0.1", 1};
    prompts_waiting_ = false;
    engine_ = std::make_unique<ScriptedEngine>();
    origin_ = std::make_unique<ScriptedOrigin>(kChunks);
    origin_->set_newest(kFirst);
    metrics_ = std::make_unique<Metrics>();
    links_ = std::make_unique<PeerLinks>(
        "agent", *metrics_,
        PeerLinks::Callbacks{[](PeerId, const wire::Frame&) {}, [](PeerId) {}, [](PeerId) {}});
    start_agent();
  }

  void tearDown() override { stager_.reset(); }

 protected:
  static constexpr ChunkIndex kChunks = 12;
  /// The newest version at the origin when the test starts.
  static constexpr std::uint64_t kFirst = 8;
  static constexpr std::uint64_t kSecond = 9;

  /// Starts an agent process without any state of an earlier one.
  void start_agent() {
    stager_ = std::make_unique<ModelStager>(
        "m", settings_, charts().staging, *engine_, *origin_, *links_, *metrics_,
        ModelStager::Callbacks{[] {}, [this] { return prompts_waiting_; },
                               [](const std::string&, const std::string&) {}});
  }

  void kill_agent() {
    stager_.reset();
    engine_->drop_answers();
    origin_->drop_answers();
  }

  void name_second() {
    origin_->set_newest(kSecond);
    stager_->on_version_named(kSecond);
  }

  /// One iteration of the agent's loop.
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

  /// @return whether the condition became true before the time-out.
  template <class Condition>
  bool run_until(Condition condition) {
    constexpr Duration kTimeout = seconds(20);
    const TimePoint end = loop_now() + kTimeout;
    while (!condition() && loop_now() < end) step();
    return condition();
  }

  void assert_only_complete_versions_activated() const {
    for (const auto& activation : engine_->activations()) {
      CPPUNIT_ASSERT_MESSAGE(
          "version " + std::to_string(activation.version) + " was activated incomplete",
          activation.complete(kChunks));
    }
  }

  HostSettings settings_;
  bool prompts_waiting_ = false;  ///< Requests that gateways sent have not begun yet.
  std::unique_ptr<ScriptedEngine> engine_;
  std::unique_ptr<ScriptedOrigin> origin_;
  std::unique_ptr<Metrics> metrics_;
  std::unique_ptr<PeerLinks> links_;
  std::unique_ptr<ModelStager> stager_;
};

}  // namespace pumicemast::tests
