#include "routing/request_scheduler.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <stdexcept>

#include "support/backends.h"

namespace pumicemast {
namespace {

constexpr char kEvent[] = "data: x\n\n";

template <class Action>
const Action* find_action(const SchedulerActions& actions) {
  for (const SchedulerAction& action : actions) {
    if (const auto* found = std::get_if<Action>(&action)) return found;
  }
  return nullptr;
}

}  // namespace

class RequestSchedulerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestSchedulerTest);
  CPPUNIT_TEST(forwards_a_buffered_response_only_when_complete);
  CPPUNIT_TEST(retries_a_repeatable_request_elsewhere);
  CPPUNIT_TEST(never_resubmits_a_non_repeatable_request_that_may_have_run);
  CPPUNIT_TEST(resubmits_a_non_repeatable_request_that_was_refused);
  CPPUNIT_TEST(resumes_a_stream_only_from_the_same_version);
  CPPUNIT_TEST(aborts_a_stream_that_cannot_be_resumed);
  CPPUNIT_TEST(queues_without_room_and_refuses_at_once_when_it_gives_up);
  CPPUNIT_TEST(a_deadline_ends_waiting_and_running_requests);
  CPPUNIT_TEST(ignores_a_response_from_a_released_back_end);
  CPPUNIT_TEST(retries_stop_when_the_budget_is_spent);
  CPPUNIT_TEST(random_histories_keep_the_invariants);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    for (const char* name : {"a", "b"}) {
      directory_.on_hello(tests::hello(name), now_);
      directory_.on_status(name, tests::serving("forms", "v1"), now_);
    }
  }

  void forwards_a_buffered_response_only_when_complete() {
    const auto submit = submitted(scheduler_.on_request(1, profile(), now_));
    scheduler_.on_head(1, submit.machine, 200, "application/json", now_);
    CPPUNIT_ASSERT(scheduler_.on_data(1, submit.machine, "part", now_).empty());
    const SchedulerActions end = scheduler_.on_end(1, submit.machine, true, now_);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{200}, find_action<StartResponse>(end)->status);
    CPPUNIT_ASSERT_EQUAL(std::string("part"), find_action<ForwardBytes>(end)->bytes);
    CPPUNIT_ASSERT(find_action<FinishResponse>(end) != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, scheduler_.active());
  }

  void retries_a_repeatable_request_elsewhere() {
    const auto first = submitted(scheduler_.on_request(1, profile(), now_));
    scheduler_.on_data(1, first.machine, "half an ans", now_);
    directory_.on_disconnected(first.machine, now_);
    const auto second = submitted(scheduler_.on_backend_lost(first.machine, now_));
    CPPUNIT_ASSERT(first.machine != second.machine);
    scheduler_.on_head(1, second.machine, 200, "t", now_);
    scheduler_.on_data(1, second.machine, "whole", now_);
    const SchedulerActions end = scheduler_.on_end(1, second.machine, true, now_);
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), find_action<ForwardBytes>(end)->bytes);
  }

  void never_resubmits_a_non_repeatable_request_that_may_have_run() {
    RequestProfile once = profile();
    once.non_repeatable = true;
    const auto submit = submitted(scheduler_.on_request(1, once, now_));
    const SchedulerActions lost = scheduler_.on_backend_lost(submit.machine, now_);
    CPPUNIT_ASSERT(find_action<SubmitToBackend>(lost) == nullptr);
    const auto* refusal = find_action<RefuseRequest>(lost);
    CPPUNIT_ASSERT(Outcome::unknown == refusal->outcome);
    CPPUNIT_ASSERT(RefusalCode::backend_failed == refusal->code);
  }

  void resubmits_a_non_repeatable_request_that_was_refused() {
    RequestProfile once = profile();
    once.non_repeatable = true;
    const auto first = submitted(scheduler_.on_request(1, once, now_));
    const auto second = submitted(scheduler_.on_refused(1, first.machine, now_));
    CPPUNIT_ASSERT(first.machine != second.machine);
    scheduler_.on_refused(1, second.machine, now_);
    now_ += seconds(6);
    const SchedulerActions expired = scheduler_.on_tick(now_);
    CPPUNIT_ASSERT(Outcome::not_run == find_action<RefuseRequest>(expired)->outcome);
  }

  void resumes_a_stream_only_from_the_same_version() {
    const auto first = submitted(scheduler_.on_request(1, stream(), now_));
    scheduler_.on_head(1, first.machine, 200, "text/event-stream", now_);
    const SchedulerActions data =
        scheduler_.on_data(1, first.machine, std::string(kEvent) + kEvent + "data: ha", now_);
    CPPUNIT_ASSERT_EQUAL(std::string(kEvent) + kEvent, find_action<ForwardBytes>(data)->bytes);
    const std::string other = first.machine == "a" ? "b" : "a";
    directory_.on_status(other, tests::serving("forms", "v2"), now_);
    directory_.on_disconnected(first.machine, now_);
    CPPUNIT_ASSERT(find_action<SubmitToBackend>(scheduler_.on_backend_lost(first.machine, now_)) ==
                   nullptr);
    directory_.on_hello(tests::hello("c"), now_);
    directory_.on_status("c", tests::serving("forms", "v1"), now_);
    const auto second = submitted(scheduler_.on_capacity(now_));
    CPPUNIT_ASSERT_EQUAL(std::string("c"), second.machine);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, second.resume_from_event);
    scheduler_.on_head(1, "c", 200, "text/event-stream", now_);
    const SchedulerActions rest = scheduler_.on_data(1, "c", kEvent, now_);
    CPPUNIT_ASSERT(find_action<StartResponse>(rest) == nullptr);
    CPPUNIT_ASSERT(find_action<FinishResponse>(scheduler_.on_end(1, "c", true, now_)) != nullptr);
  }

  void aborts_a_stream_that_cannot_be_resumed() {
    const auto first = submitted(scheduler_.on_request(1, stream(), now_));
    scheduler_.on_head(1, first.machine, 200, "text/event-stream", now_);
    scheduler_.on_data(1, first.machine, kEvent, now_);
    for (const char* name : {"a", "b"}) directory_.on_disconnected(name, now_);
    scheduler_.on_backend_lost(first.machine, now_);
    now_ += seconds(6);
    const SchedulerActions expired = scheduler_.on_tick(now_);
    CPPUNIT_ASSERT(find_action<AbortStreamedResponse>(expired) != nullptr);
    CPPUNIT_ASSERT(find_action<RefuseRequest>(expired) == nullptr);
  }

  void queues_without_room_and_refuses_at_once_when_it_gives_up() {
    for (const char* name : {"a", "b"}) {
      directory_.on_status(name, tests::serving("forms", "v1", "LIVE", 10), now_);
    }
    CPPUNIT_ASSERT(scheduler_.on_request(1, profile(), now_).empty());
    CPPUNIT_ASSERT(scheduler_.on_request(2, profile(), now_).empty());
    const SchedulerActions full = scheduler_.on_request(3, profile(), now_);
    CPPUNIT_ASSERT(RefusalCode::queue_full == find_action<RefuseRequest>(full)->code);
    directory_.on_status("a", tests::serving("forms", "v1", "LIVE", 9), now_);
    CPPUNIT_ASSERT_EQUAL(RequestNumber{1}, submitted(scheduler_.on_capacity(now_)).request);
    now_ += seconds(5);
    const SchedulerActions expired = scheduler_.on_tick(now_);
    const auto* refusal = find_action<RefuseRequest>(expired);
    CPPUNIT_ASSERT_EQUAL(RequestNumber{2}, refusal->request);
    CPPUNIT_ASSERT(Outcome::not_run == refusal->outcome);
    CPPUNIT_ASSERT(refusal->retry_after > Duration::zero());
  }

  void a_deadline_ends_waiting_and_running_requests() {
    RequestProfile urgent = profile();
    urgent.deadline = now_ + seconds(1);
    const auto submit = submitted(scheduler_.on_request(1, urgent, now_));
    now_ += seconds(2);
    const SchedulerActions expired = scheduler_.on_tick(now_);
    CPPUNIT_ASSERT_EQUAL(submit.machine, find_action<CancelAtBackend>(expired)->machine);
    CPPUNIT_ASSERT(Outcome::unknown == find_action<RefuseRequest>(expired)->outcome);
    const SchedulerActions late = scheduler_.on_request(2, urgent, now_);
    CPPUNIT_ASSERT(Outcome::not_run == find_action<RefuseRequest>(late)->outcome);
  }

  void ignores_a_response_from_a_released_back_end() {
    const auto first = submitted(scheduler_.on_request(1, profile(), now_));
    scheduler_.on_refused(1, first.machine, now_);
    CPPUNIT_ASSERT(scheduler_.on_head(1, first.machine, 200, "t", now_).empty());
    CPPUNIT_ASSERT(scheduler_.on_end(1, first.machine, true, now_).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, scheduler_.active());
  }

  void retries_stop_when_the_budget_is_spent() {
    std::uint32_t retried = 0;
    std::uint32_t refused = 0;
    for (RequestNumber number = 1; number <= 200; ++number) {
      const auto submit = submitted(scheduler_.on_request(number, profile(), now_));
      const SchedulerActions failed = scheduler_.on_end(number, submit.machine, false, now_);
      if (const auto* again = find_action<SubmitToBackend>(failed)) {
        ++retried;
        scheduler_.on_end(number, again->machine, true, now_);
        scheduler_.on_caller_disconnected(number, now_);
      } else {
        ++refused;
      }
    }
    CPPUNIT_ASSERT(retried < 120);
    CPPUNIT_ASSERT(refused > 60);
  }

  /// Random responses, failures, refusals and lost back ends. Checks of each request that it gets
  /// exactly one final action, that a non-repeatable request runs at most once, and that no
  /// request that ran is refused as not run.
  void random_histories_keep_the_invariants() {
    for (unsigned seed = 1; seed <= 300; ++seed) run_random_history(seed);
  }

 private:
  struct History {
    bool non_repeatable = false;
    std::uint32_t runs = 0;
    std::uint32_t finals = 0;
    bool refused_as_not_run = false;
  };

  void run_random_history(unsigned seed) {
    std::mt19937 random(seed);
    TimePoint now(seconds(1));
    BackendDirectory directory(seconds(3600));
    const Router router(directory, {{"r1", "z1"}});
    SchedulerOptions options;
    options.queue_limit = 4;
    RequestScheduler scheduler(directory, router, options);
    for (const char* name : {"a", "b", "c"}) {
      directory.on_hello(tests::hello(name), now);
      directory.on_status(name, tests::serving("forms", "v1", "LIVE", 0, 3), now);
    }
    std::map<RequestNumber, History> histories;
    std::map<RequestNumber, std::string> running;
    const auto record = [&](const SchedulerActions& actions) {
      for (const SchedulerAction& action : actions) {
        if (const auto* submit = std::get_if<SubmitToBackend>(&action)) {
          running[submit->request] = submit->machine;
        } else if (const auto* refuse = std::get_if<RefuseRequest>(&action)) {
          ++histories[refuse->request].finals;
          histories[refuse->request].refused_as_not_run = refuse->outcome == Outcome::not_run;
        } else if (const auto* finish = std::get_if<FinishResponse>(&action)) {
          ++histories[finish->request].finals;
        } else if (const auto* abort = std::get_if<AbortStreamedResponse>(&action)) {
          ++histories[abort->request].finals;
        }
      }
    };
    RequestNumber next = 1;
    for (int step = 0; step < 400; ++step) {
      now += milliseconds(random() % 200);
      if (random() % 3 == 0 && step < 300) {
        RequestProfile request = profile();
        request.non_repeatable = random() % 2 == 0;
        request.stream = random() % 2 == 0;
        if (random() % 4 == 0) request.deadline = now + milliseconds(random() % 3000);
        histories[next].non_repeatable = request.non_repeatable;
        record(scheduler.on_request(next++, request, now));
      }
      if (!running.empty()) {
        auto chosen = running.begin();
        std::advance(chosen, random() % running.size());
        const auto [request, machine] = *chosen;
        const unsigned event = random() % 6;
        if (event == 0) {
          running.erase(chosen);
          record(scheduler.on_refused(request, machine, now));
        } else if (event <= 2) {
          ++histories[request].runs;
          running.erase(chosen);
          record(scheduler.on_head(request, machine, 200, "t", now));
          record(scheduler.on_data(request, machine, kEvent, now));
          record(scheduler.on_end(request, machine, event == 1, now));
        } else if (event == 3) {
          for (auto& [other, where] : std::map(running)) {
            if (where != machine) continue;
            if (random() % 2 == 0) ++histories[other].runs;
            running.erase(other);
          }
          record(scheduler.on_backend_lost(machine, now));
        }
      }
      record(scheduler.on_tick(now));
    }
    for (int step = 0; step < 50; ++step) {
      now += seconds(5);
      for (const auto& [request, machine] : std::map(running)) {
        running.erase(request);
        record(scheduler.on_end(request, machine, true, now));
      }
      record(scheduler.on_tick(now));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, scheduler.active());
    for (const auto& [request, history] : histories) {
      CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, history.finals);
      if (history.non_repeatable) CPPUNIT_ASSERT(history.runs <= 1);
      if (history.refused_as_not_run) CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, history.runs);
    }
    for (const auto& [name, backend] : directory.all()) {
      CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, backend.outstanding);
    }
  }

  static RequestProfile profile() {
    RequestProfile result;
    result.tenant = "t";
    result.requirements.model = "forms";
    return result;
  }
  static RequestProfile stream() {
    RequestProfile result = profile();
    result.stream = true;
    return result;
  }
  static SchedulerOptions options() {
    SchedulerOptions result;
    result.queue_limit = 2;
    return result;
  }
  static SubmitToBackend submitted(const SchedulerActions& actions) {
    const auto* submit = find_action<SubmitToBackend>(actions);
    if (submit == nullptr) throw std::runtime_error("the scheduler submitted no request");
    return *submit;
  }

  TimePoint now_{seconds(1)};
  BackendDirectory directory_{seconds(3600)};
  Router router_{directory_, {{"r1", "z1"}}};
  RequestScheduler scheduler_{directory_, router_, options()};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestSchedulerTest);

}  // namespace pumicemast
