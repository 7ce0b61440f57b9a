#include "admission/first_token_model.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicemast {

/// The engine of these tests prefills 20 tokens per millisecond and runs 5 decode steps of 10 ms in
/// a pass.
class FirstTokenModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FirstTokenModelTest);
  CPPUNIT_TEST(an_idle_engine_prefills_at_once);
  CPPUNIT_TEST(a_prompt_joins_a_running_batch_between_passes);
  CPPUNIT_TEST(prompts_within_the_capacity_of_a_pass_need_no_further_pass);
  CPPUNIT_TEST(prompts_beyond_the_capacity_of_a_pass_need_another);
  CPPUNIT_TEST(pending_prompts_are_partly_prefilled);
  CPPUNIT_TEST(long_prompts_incur_attention_cost);
  CPPUNIT_TEST(a_full_batch_delays_the_first_token);
  CPPUNIT_TEST(a_slowdown_scales_the_whole_prediction);
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
    engine.prefill_chunk_tokens = 2000;
  }

  void an_idle_engine_prefills_at_once() {
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100, predict(2000), kExact);
  }

  void a_prompt_joins_a_running_batch_between_passes() {
    load.running = 4;
    // Half of the current pass, the prefill, and the pass at whose end the first event leaves.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(25 + 50 + 50, predict(1000), kExact);
  }

  void prompts_within_the_capacity_of_a_pass_need_no_further_pass() {
    load.running = 4;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(predict(2000) + 5, predict(2100), kExact);
  }

  void prompts_beyond_the_capacity_of_a_pass_need_another() {
    load.running = 4;
    const double tokens_per_pass = 5 * 2000;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(predict(tokens_per_pass) + 5 + 50, predict(tokens_per_pass + 100),
                                 kExact);
  }

  void pending_prompts_are_partly_prefilled() {
    load.running = 4;
    const double alone = predict(1000);
    load.pending_tokens = 2000;
    CPPUNIT_ASSERT(predict(1000) > alone + 2000 / 20.0 / 2);
    CPPUNIT_ASSERT(predict(1000) < alone + 2000 / 20.0);
  }

  void long_prompts_incur_attention_cost() {
    const double without = predict(4000);
    engine.attention_ms_per_million_pairs = 0.5;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(without + 8 * 0.5, predict(4000), kExact);
  }

  void a_full_batch_delays_the_first_token() {
    load.running = 15;
    const double with_free_slot = predict(1000);
    load.running = 16;
    CPPUNIT_ASSERT(predict(1000) > with_free_slot + 50);
    load.waiting = 2;
    CPPUNIT_ASSERT(predict(1000) > with_free_slot + 150);
  }

  void a_slowdown_scales_the_whole_prediction() {
    load.running = 4;
    const double usual = predict(1000);
    load.slowdown = 2;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2 * usual, predict(1000), kExact);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FirstTokenModelTest);

}  // namespace pumicemast
