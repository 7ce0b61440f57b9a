#include "gateway/quarantine/request_quarantine.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

#include "gateway/quarantine/crash_messages.h"
#include "gateway/quarantine/verdict_pull.h"
#include "support/gateway_world.h"

namespace pumicemast {

using tests::GatewayWorld;

class RequestQuarantineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestQuarantineTest);
  CPPUNIT_TEST(three_ends_of_back_ends_convict);
  CPPUNIT_TEST(one_end_seen_by_many_counts_once);
  CPPUNIT_TEST(a_whole_answer_acquits);
  CPPUNIT_TEST(a_request_that_many_send_is_not_convicted_by_ends_between_its_answers);
  CPPUNIT_TEST(an_end_in_a_crowd_counts_only_beside_another);
  CPPUNIT_TEST(of_a_gateway_that_just_started_no_end_in_a_crowd_counts);
  CPPUNIT_TEST(an_end_that_turns_out_to_be_one_of_a_crowd_is_told_so);
  CPPUNIT_TEST(after_the_hold_one_more_end_convicts);
  CPPUNIT_TEST(a_request_that_many_send_is_under_every_end_and_is_no_suspect);
  CPPUNIT_TEST(a_pardon_frees_at_once);
  CPPUNIT_TEST(gateways_agree_in_whatever_order_they_hear);
  CPPUNIT_TEST(a_machine_that_was_just_started_takes_verdicts_older_than_its_clock);
  CPPUNIT_TEST(acquittals_are_told_on_once);
  CPPUNIT_TEST(news_goes_over_the_wire_unchanged);
  CPPUNIT_TEST(who_matters_least_is_forgotten_first);
  CPPUNIT_TEST(differing_verdicts_are_asked_for_ever_more_rarely);
  CPPUNIT_TEST(a_request_in_quarantine_is_refused_at_once_as_not_run);
  CPPUNIT_TEST(an_attempt_that_has_not_begun_is_taken_back_at_the_verdict);
  CPPUNIT_TEST(what_may_have_ended_a_third_back_end_is_not_sent_again);
  CPPUNIT_TEST(ends_of_plain_services_are_probed_for);
  CPPUNIT_TEST_SUITE_END();

 public:
  void three_ends_of_back_ends_convict() {
    end("e1");
    end("e2");
    CPPUNIT_ASSERT(!quarantine_.quarantined(kRequest, now_));
    end("e3");
    CPPUNIT_ASSERT(quarantine_.quarantined(kRequest, now_));
    CPPUNIT_ASSERT(!quarantine_.quarantined(kOther, now_));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, quarantine_.take_convicted().size());
    CPPUNIT_ASSERT(quarantine_.take_convicted().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, quarantine_.list(now_).size());
  }

  void one_end_seen_by_many_counts_once() {
    for (int seen = 0; seen < 3; ++seen) {
      now_ += milliseconds(400);
      end("e1");
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, quarantine_.ends_under(kRequest));
    // The same id again, started anew: another end.
    quarantine_.on_crash({{"e1", 2000}, now_, {kRequest}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, quarantine_.ends_under(kRequest));
  }

  void a_whole_answer_acquits() {
    end("e1");
    end("e2");
    now_ += seconds(1);
    quarantine_.on_ended_well(kRequest, now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, quarantine_.ends_under(kRequest));
    // Told late of what was outlived.
    quarantine_.on_told({{{7, seconds(2), {kRequest}}}, {}}, now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, quarantine_.ends_under(kRequest));
    now_ += seconds(1);
    now_ += seconds(30);
    end("e3");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, quarantine_.ends_under(kRequest));
  }

  void a_request_that_many_send_is_not_convicted_by_ends_between_its_answers() {
    for (int round = 0; round < 50; ++round) {
      end("e" + std::to_string(round));
      now_ += milliseconds(100);
      quarantine_.on_ended_well(kRequest, now_);
      now_ += milliseconds(100);
    }
    CPPUNIT_ASSERT(!quarantine_.quarantined(kRequest, now_));
    CPPUNIT_ASSERT(quarantine_.take_convicted().empty());
  }

  void an_end_in_a_crowd_counts_only_beside_another() {
    for (const char* backend : {"e1", "e2", "e3", "e4"}) {
      quarantine_.on_crash({{backend, 1}, now_, {kRequest}, true});
      now_ += seconds(2);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, quarantine_.ends_under(kRequest));
    // It was under several ends of one crowd: it may well have made it.
    for (const char* backend : {"f1", "f2", "f3"}) {
      quarantine_.on_crash({{backend, 1}, now_, {kRequest}, true});
      now_ += milliseconds(60);
    }
    CPPUNIT_ASSERT(quarantine_.quarantined(kRequest, now_));
  }

  void of_a_gateway_that_just_started_no_end_in_a_crowd_counts() {
    RequestQuarantine newcomer({}, now_ - milliseconds(100));
    for (const char* backend : {"e1", "e2", "e3"}) {
      newcomer.on_crash({{backend, 1000}, now_, {kRequest}, true});
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, newcomer.ends_under(kRequest));
    // Nor where it is told; what an older gateway has seen of the same ends counts there.
    quarantine_.on_told(newcomer.take_news(now_), now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, quarantine_.ends_under(kRequest));
    for (const char* backend : {"e1", "e2", "e3"}) {
      quarantine_.on_crash({{backend, 1000}, now_, {kRequest}, true});
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, quarantine_.ends_under(kRequest));
    newcomer.on_told(quarantine_.take_news(now_), now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, newcomer.ends_under(kRequest));
    // Ends that are no crowd count at once.
    RequestQuarantine another({}, now_);
    for (const char* backend : {"e1", "e2", "e3"}) {
      another.on_crash({{backend, 1000}, now_, {kRequest}});
    }
    CPPUNIT_ASSERT(another.quarantined(kRequest, now_));
  }

  // Other gateways were told of an end twice in one message, alone and in a crowd, and the first
  // word of it held.
  void an_end_that_turns_out_to_be_one_of_a_crowd_is_told_so() {
    end("e1");
    quarantine_.on_crash({{"e1", 1000}, now_, {kRequest}, true});
    const CrashNews news = quarantine_.take_news(now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, news.crashes.size());
    CPPUNIT_ASSERT(news.crashes[0].in_crowd);
  }

  void after_the_hold_one_more_end_convicts() {
    convict();
    now_ += seconds(599);
    CPPUNIT_ASSERT(quarantine_.quarantined(kRequest, now_));
    now_ += seconds(1);
    quarantine_.sweep(now_);
    CPPUNIT_ASSERT(!quarantine_.quarantined(kRequest, now_));
    end("e4");
    now_ += seconds(1199);  // Twice as long now.
    CPPUNIT_ASSERT(quarantine_.quarantined(kRequest, now_));
    now_ += seconds(1);
    CPPUNIT_ASSERT(!quarantine_.quarantined(kRequest, now_));
    now_ += seconds(1200);
    quarantine_.sweep(now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, quarantine_.ends_under(kRequest));
  }

  // Many callers send it, so that it is under way at all engines that another request ends.
  void a_request_that_many_send_is_under_every_end_and_is_no_suspect() {
    quarantine_.on_ended_well(kRequest, now_);
    now_ += seconds(1);
    convict();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, quarantine_.ends_under(kRequest));
    // No answer was whole for long: it may have become one, with new weights.
    now_ += seconds(30);
    convict();
    CPPUNIT_ASSERT(quarantine_.quarantined(kRequest, now_));
  }

  void a_pardon_frees_at_once() {
    convict();
    const std::uint64_t digest = quarantine_.verdict_digest(now_);
    quarantine_.set_pardoned({kRequest});
    CPPUNIT_ASSERT(!quarantine_.quarantined(kRequest, now_));
    // The evidence stays: gateways whose settings differ go on agreeing on it.
    CPPUNIT_ASSERT_EQUAL(digest, quarantine_.verdict_digest(now_));
    quarantine_.set_pardoned({});
    CPPUNIT_ASSERT(quarantine_.quarantined(kRequest, now_));
  }

  void gateways_agree_in_whatever_order_they_hear() {
    std::minstd_rand random(1);
    for (int round = 0; round < 200; ++round) {
      std::vector<CrashNews> told;
      for (std::uint64_t backend = 1; backend <= 5; ++backend) {
        const auto request = backend % 2 == 0 ? kRequest : kOther;
        told.push_back({{{backend, seconds(static_cast<std::int64_t>(backend)), {request}}}, {}});
        told.push_back(told.back());
      }
      told.push_back({{{9, seconds(1), {kOther}}}, {}});
      told.push_back({{}, {{kRequest, seconds(3)}}});
      RequestQuarantine first;
      RequestQuarantine second;
      std::shuffle(told.begin(), told.end(), random);
      for (const CrashNews& news : told) first.on_told(news, now_);
      std::shuffle(told.begin(), told.end(), random);
      for (const CrashNews& news : told) second.on_told(news, now_);
      CPPUNIT_ASSERT_EQUAL(first.verdict_digest(now_), second.verdict_digest(now_));
      CPPUNIT_ASSERT(first.quarantined(kOther, now_));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.ends_under(kRequest));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.ends_under(kRequest));
    }
  }

  // Ages are told, and the clock of a machine counts from its start.
  void a_machine_that_was_just_started_takes_verdicts_older_than_its_clock() {
    const TimePoint just_started{seconds(2)};
    RequestQuarantine started;
    for (std::uint64_t backend = 1; backend <= 3; ++backend) {
      started.on_told({{{backend, seconds(60), {kRequest}}}, {}}, just_started);
    }
    CPPUNIT_ASSERT(started.quarantined(kRequest, just_started));
    CPPUNIT_ASSERT(started.quarantined(kRequest, just_started + seconds(539)));
    CPPUNIT_ASSERT(!started.quarantined(kRequest, just_started + seconds(540)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, started.verdicts(just_started).crashes.size());
    started.on_told({{}, {{kRequest, seconds(30)}}}, just_started);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, started.ends_under(kRequest));
  }

  void acquittals_are_told_on_once() {
    end("e1");
    quarantine_.take_news(now_);
    now_ += seconds(1);
    quarantine_.on_ended_well(kRequest, now_);
    const CrashNews news = quarantine_.take_news(now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, news.acquittals.size());
    // It comes back by way of others, some milliseconds older.
    for (int echo = 0; echo < 5; ++echo) {
      now_ += milliseconds(20);
      CPPUNIT_ASSERT(!quarantine_.on_told(news, now_));
      CPPUNIT_ASSERT(quarantine_.take_news(now_).empty());
    }
  }

  void news_goes_over_the_wire_unchanged() {
    const CrashNews news{{{5, milliseconds(120), {kRequest, kOther}}, {6, seconds(5), {kOther}}},
                         {{kRequest, milliseconds(7)}}};
    const wire::RequestCrashesT encoded = encode(news);
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::RequestCrashes::Pack(builder, &encoded));
    const auto* message = flatbuffers::GetRoot<wire::RequestCrashes>(builder.GetBufferPointer());
    const CrashNews decoded = decode(*message);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decoded.crashes.size());
    CPPUNIT_ASSERT(decoded.crashes[0].requests == news.crashes[0].requests);
    CPPUNIT_ASSERT(decoded.crashes[0].age == milliseconds(120));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, decoded.crashes[1].backend);
    CPPUNIT_ASSERT(decoded.acquittals.at(0).request == kRequest);
    CPPUNIT_ASSERT(decoded.acquittals.at(0).age == milliseconds(7));
  }

  void who_matters_least_is_forgotten_first() {
    QuarantineOptions options;
    options.capacity = 3;
    RequestQuarantine small(options);
    const auto end_under = [&](std::uint64_t request, const char* backend) {
      now_ += seconds(1);
      small.on_crash({{backend, 1}, now_, {{request, request}}});
    };
    for (const char* backend : {"e1", "e2", "e3"}) end_under(1, backend);
    end_under(2, "e1");
    end_under(2, "e2");
    for (std::uint64_t request = 3; request < 10; ++request) end_under(request, "e5");
    CPPUNIT_ASSERT(small.quarantined({1, 1}, now_));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, small.ends_under({2, 2}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, small.ends_under({8, 8}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, small.ends_under({9, 9}));
  }

  void differing_verdicts_are_asked_for_ever_more_rarely() {
    VerdictPull pull;
    CPPUNIT_ASSERT(!pull.should_ask(1, 5, 5, now_));
    CPPUNIT_ASSERT(!pull.should_ask(1, 0, 5, now_));
    int asked = 0;
    for (int tell = 0; tell < 1200; ++tell, now_ += milliseconds(500)) {
      asked += pull.should_ask(1, 5, 6, now_) ? 1 : 0;
    }
    CPPUNIT_ASSERT(asked >= 8 && asked <= 14);  // In ten minutes.
    CPPUNIT_ASSERT(pull.should_ask(1, 7, 6, now_));
  }

  void a_request_in_quarantine_is_refused_at_once_as_not_run() {
    GatewayWorld world;
    world.add_engines();
    const RequestFingerprint request = convict_in(world);
    world.ask("/chat/1");
    CPPUNIT_ASSERT_EQUAL(503, world.refused_with());
    CPPUNIT_ASSERT(world.first<SendRefusal>()->reason == RefusalReason::quarantined);
    CPPUNIT_ASSERT(world.first<SendRefusal>()->retry_after == Duration::zero());
    CPPUNIT_ASSERT(world.sent_to().empty());
    world.ask("/chat/2");
    CPPUNIT_ASSERT(!world.sent_to().empty());
    world.quarantine.set_pardoned({request});
    world.ask("/chat/1");
    CPPUNIT_ASSERT(!world.sent_to().empty());
  }

  void an_attempt_that_has_not_begun_is_taken_back_at_the_verdict() {
    GatewayWorld world;
    world.add_engines();
    const RequestNumber waiting = world.ask("/chat/1");
    const RequestNumber begun = world.ask("/chat/1");
    world.head(begun, 200, false, true);
    world.body(begun, "id: 1\ndata: x\n\n");
    convict_in(world);
    world.tick(milliseconds(25));
    CPPUNIT_ASSERT(world.first<CancelAttempt>() != nullptr);
    CPPUNIT_ASSERT_EQUAL(waiting, world.first<CancelAttempt>()->request);
    // It may have begun by now: nothing is said of not having run.
    CPPUNIT_ASSERT_EQUAL(502, world.refused_with());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.forwarder.active());
    // Its answer comes well: the verdict was wrong.
    world.body(begun, "id: 2\ndata: y\n\n");
    world.complete(begun);
    CPPUNIT_ASSERT(world.first<EndResponse>() != nullptr);
    world.ask("/chat/1");
    CPPUNIT_ASSERT(!world.sent_to().empty());
  }

  void what_may_have_ended_a_third_back_end_is_not_sent_again() {
    GatewayWorld world;
    world.add_engines();
    const RequestFingerprint request = fingerprint("/chat/1");
    for (const char* backend : {"x1", "x2"}) {
      world.quarantine.on_crash({{backend, 1}, world.now, {request}});
    }
    const RequestNumber third = world.ask("/chat/1");
    const RequestNumber bystander = world.ask("/chat/2");
    world.fail(bystander, AttemptFailure::connection_lost);
    CPPUNIT_ASSERT(!world.sent_to().empty());
    world.fail(third, AttemptFailure::connection_lost);
    CPPUNIT_ASSERT_EQUAL(502, world.refused_with());
  }

  void ends_of_plain_services_are_probed_for() {
    GatewayWorld world;
    world.configure();
    world.add_backend("p1", "plain", 7);
    const RequestNumber number = world.ask("/write/1");
    world.fail(number, AttemptFailure::connection_lost);
    const auto* probe = world.first<ProbeBackend>();
    CPPUNIT_ASSERT(probe != nullptr && probe->backend == "p1");
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{7}, probe->address.port);
    world.forwarder.on_backend_ended("p1", world.now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         world.forwarder.take_crashes(world.now + seconds(1)).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.quarantine.ends_under(fingerprint("/write/1")));
  }

 private:
  static constexpr RequestFingerprint kRequest{1, 1};
  static constexpr RequestFingerprint kOther{2, 2};

  void end(const std::string& backend) {
    quarantine_.on_crash({{backend, 1000}, now_, {kRequest}});
  }
  void convict() {
    for (const char* backend : {"e1", "e2", "e3"}) end(backend);
  }
  /// Of what GatewayWorld asks there.
  static RequestFingerprint fingerprint(const std::string& target) {
    return fingerprint_for(fingerprint_content("POST", "api.example", target, ""), "acme");
  }
  static RequestFingerprint convict_in(GatewayWorld& world) {
    const RequestFingerprint request = fingerprint("/chat/1");
    for (const char* backend : {"x1", "x2", "x3"}) {
      world.quarantine.on_crash({{backend, 1}, world.now, {request}});
    }
    return request;
  }

  RequestQuarantine quarantine_;
  TimePoint now_{seconds(10000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestQuarantineTest);

}  // namespace pumicemast
