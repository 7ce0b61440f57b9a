#include "admission/first_token_model.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicemast {

/// The engine of these tests reads 20 tokens a millisecond and plays 5 steps of 10 ms in a pass.
class FirstTokenModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FirstTokenModelTest);
  CPPUNIT_TEST(an_idle_engine_reads_at_once);
  CPPUNIT_TEST(a_running_batch_lets_a_prompt_in_between_two_passes);
  CPPUNIT_TEST(prompts_within_what_a_pass_reads_wait_for_no_further_pass);
  CPPUNIT_TEST(prompts_beyond_what_a_pass_reads_wait_for_another);
  CPPUNIT_TEST(pending_prompts_are_partly_read_already);
  CPPUNIT_TEST(long_prompts_cost_the_pairs_of_their_tokens);
  CPPUNIT_TEST(a_full_batch_is_waited_for);
  CPPUNIT_TEST(a_slow_engine_takes_longer_for_all);
  CPPUNIT_TEST_SUITE_END();

  EngineProfile engine;
  EngineLoad load;

  static constexpr double kExact = 1e-9;

  double predict(double prompt_tokens) const {
    return predict_first_token_ms(engine, load, prompt_tokens);
  }

 public:
  void setUp() override {
    engine.slots = 16;
    engine.step_ms = 10;
    engine.steps_per_pass = 5;
    engine.prompt_tokens_per_s = 20000;
    engine.prompt_chunk = 2000;
  }

  void an_idle_engine_reads_at_once() { CPPUNIT_ASSERT_DOUBLES_EQUAL(100, predict(2000), kExact); }

  void a_running_batch_lets_a_prompt_in_between_two_passes() {
    load.running = 4;
    // Half of the pass in play, the reading, the pass whose end brings the first event.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(25 + 50 + 50, predict(1000), kExact);
  }

  void prompts_within_what_a_pass_reads_wait_for_no_further_pass() {
    load.running = 4;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(predict(2000) + 5, predict(2100), kExact);
  }

  void prompts_beyond_what_a_pass_reads_wait_for_another() {
    load.running = 4;
    const double readable = 5 * 2000;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(predict(readable) + 5 + 50, predict(readable + 100), kExact);
  }

  void pending_prompts_are_partly_read_already() {
    load.running = 4;
    const double alone = predict(1000);
    load.pending_tokens = 2000;
    CPPUNIT_ASSERT(predict(1000) > alone + 2000 / 20.0 / 2);
    CPPUNIT_ASSERT(predict(1000) < alone + 2000 / 20.0);
  }

  void long_prompts_cost_the_pairs_of_their_tokens() {
    const double without = predict(4000);
    engine.attention_ms_per_million_pairs = 0.5;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(without + 8 * 0.5, predict(4000), kExact);
  }

  void a_full_batch_is_waited_for() {
    load.running = 15;
    const double with_a_place = predict(1000);
    load.running = 16;
    CPPUNIT_ASSERT(predict(1000) > with_a_place + 50);
    load.waiting = 2;
    CPPUNIT_ASSERT(predict(1000) > with_a_place + 150);
  }

  void a_slow_engine_takes_longer_for_all() {
    load.running = 4;
    const double usual = predict(1000);
    load.slowdown = 2;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2 * usual, predict(1000), kExact);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FirstTokenModelTest);

}  // namespace pumicemast
