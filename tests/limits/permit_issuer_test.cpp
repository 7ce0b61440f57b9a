#include "limits/permit_issuer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <random>

#include "transport/permit_messages.h"

namespace pumicemast {

class PermitIssuerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PermitIssuerTest);
  CPPUNIT_TEST(without_a_limit_everything_is_granted);
  CPPUNIT_TEST(nothing_is_granted_right_after_a_limit_is_learnt);
  CPPUNIT_TEST(a_returned_permit_is_granted_again);
  CPPUNIT_TEST(a_permit_given_back_is_granted_again_once);
  CPPUNIT_TEST(permits_given_back_late_keep_the_rate_bounded);
  CPPUNIT_TEST(a_denial_states_when_to_retry);
  CPPUNIT_TEST(the_newest_reported_limit_applies);
  CPPUNIT_TEST(observations_from_before_a_restart_are_ignored);
  CPPUNIT_TEST(messages_are_independent_of_the_clock);
  CPPUNIT_TEST(a_cold_back_end_gets_its_cold_rate_until_the_phase_ends);
  CPPUNIT_TEST(the_lower_of_the_advertised_and_the_cold_limit_holds);
  CPPUNIT_TEST(a_cold_phase_that_has_ended_is_ignored);
  CPPUNIT_TEST(an_issuer_that_has_just_started_learns_of_a_cold_phase_from_requests);
  CPPUNIT_TEST_SUITE_END();

  PermitIssuer issuer;
  TimePoint now = TimePoint(seconds(100));

  PermitAnswer ask(std::optional<double> per_second, TimePoint observed_at) {
    return issuer.on_request({"e1", 1, now, true, 0, {per_second, observed_at}}, now);
  }

 public:
  std::size_t granted_within(Duration span) {
    std::size_t granted = 0;
    for (const TimePoint end = now + span; now < end; now += milliseconds(10)) {
      if (ask({}, {}).granted) ++granted;
    }
    return granted;
  }

  void a_cold_back_end_gets_its_cold_rate_until_the_phase_ends() {
    const TimePoint until = now + seconds(4);
    issuer.set_cold_limit({10, until}, now);
    CPPUNIT_ASSERT(issuer.limited(now) && issuer.take_changed(now) && !issuer.take_changed(now));
    const std::size_t granted = granted_within(seconds(4));
    CPPUNIT_ASSERT(granted <= 42 && granted >= 34);
    CPPUNIT_ASSERT(!issuer.limited(now) && issuer.take_changed(now));
    CPPUNIT_ASSERT_EQUAL(std::size_t{100}, granted_within(seconds(1)));
    // It may become cold again.
    issuer.set_cold_limit({10, now + seconds(2)}, now);
    CPPUNIT_ASSERT(issuer.take_changed(now) && granted_within(seconds(2)) <= 22);
  }

  void the_lower_of_the_advertised_and_the_cold_limit_holds() {
    ask(4, now);
    issuer.set_cold_limit({10, now + seconds(5)}, now);
    CPPUNIT_ASSERT(granted_within(seconds(5)) <= 22);
    issuer.set_cold_limit({2, now + seconds(5)}, now);
    CPPUNIT_ASSERT(granted_within(seconds(5)) <= 12);
    // The advertised limit holds on.
    const std::size_t granted = granted_within(seconds(5));
    CPPUNIT_ASSERT(granted <= 22 && granted >= 17);
  }

  // After all machines of a fleet had lost power, 31 gateways knew that an engine was cold and
  // asked its agent, which did not know it yet and granted them all: 31 requests within a second.
  void an_issuer_that_has_just_started_learns_of_a_cold_phase_from_requests() {
    const ColdLimit cold{14, now + seconds(3)};
    std::size_t granted = 0;
    for (std::uint64_t gateway = 1; gateway <= 31; ++gateway) {
      PermitRequest request{"e1", 1, now, true, 0, {}, {}, gateway, cold};
      const wire::PermitRequestT message = encode(request, now);
      flatbuffers::FlatBufferBuilder builder;
      builder.Finish(wire::PermitRequest::Pack(builder, &message));
      PermitRequest received =
          decode(*flatbuffers::GetRoot<wire::PermitRequest>(builder.GetBufferPointer()), now);
      received.gateway = gateway;
      if (issuer.on_request(received, now).granted) ++granted;
      now += milliseconds(30);
    }
    CPPUNIT_ASSERT(granted <= 14 + 2);
    CPPUNIT_ASSERT(granted >= 8);
  }

  void a_cold_phase_that_has_ended_is_ignored() {
    issuer.set_cold_limit({10, now}, now);
    issuer.set_cold_limit({10, TimePoint{}}, now);
    CPPUNIT_ASSERT(!issuer.limited(now) && !issuer.take_changed(now));
  }

  void without_a_limit_everything_is_granted() {
    for (int count = 0; count < 100; ++count) CPPUNIT_ASSERT(ask({}, {}).granted);
    CPPUNIT_ASSERT(!issuer.take_changed(now));
  }

  void nothing_is_granted_right_after_a_limit_is_learnt() {
    CPPUNIT_ASSERT(!ask(1, now).granted);
    CPPUNIT_ASSERT(issuer.take_changed(now) && !issuer.take_changed(now));
    now += milliseconds(1100);
    CPPUNIT_ASSERT(ask({}, {}).granted);
    CPPUNIT_ASSERT(!ask({}, {}).granted);
    // Unused permits do not accumulate during a pause.
    now += seconds(60);
    CPPUNIT_ASSERT(ask({}, {}).granted && ask({}, {}).granted && !ask({}, {}).granted);
  }

  void a_returned_permit_is_granted_again() {
    ask(1, now);
    now += milliseconds(1100);
    CPPUNIT_ASSERT(ask({}, {}).granted);
    issuer.on_request({"e1", 1, now, false, 1, {}}, now);
    CPPUNIT_ASSERT(ask({}, {}).granted);
    issuer.on_request({"e1", 1, now, false, std::numeric_limits<std::uint32_t>::max(), {}}, now);
    CPPUNIT_ASSERT(ask({}, {}).granted && ask({}, {}).granted && !ask({}, {}).granted);
  }

  PermitAnswer ask_as(std::uint64_t gateway) {
    return issuer.on_request({"e1", 1, now, true, 0, {}, {}, gateway}, now);
  }
  void give_back(std::uint64_t gateway, TimePoint asked_at) {
    issuer.on_request({"e1", 1, now, false, 0, {}, {asked_at}, gateway}, now);
  }

  // Guards against losing a permit for good when its gateway is disconnected as the permit arrives.
  void a_permit_given_back_is_granted_again_once() {
    ask(1, now);
    now += milliseconds(1100);
    CPPUNIT_ASSERT(ask_as(7).granted);
    give_back(8, now);  // Another gateway's request at the same time.
    CPPUNIT_ASSERT(!ask_as(8).granted);
    give_back(7, now);
    give_back(7, now);
    CPPUNIT_ASSERT(ask_as(8).granted && !ask_as(8).granted);
    // Giving back a request that was denied adds no permit.
    give_back(8, now - seconds(1));
    CPPUNIT_ASSERT(!ask_as(8).granted);
  }

  void permits_given_back_late_keep_the_rate_bounded() {
    constexpr double kRate = 2;
    constexpr Duration kWindow = seconds(4);
    std::minstd_rand random(1);
    ask(kRate, now);
    std::vector<TimePoint> used;
    std::vector<std::pair<TimePoint, TimePoint>> unused;  // Requested at, to be given back at.
    for (int step = 0; step < 20000; ++step) {
      now += milliseconds(static_cast<std::int64_t>(1 + random() % 700));
      std::erase_if(unused, [&](const auto& permit) {
        if (permit.second > now) return false;
        give_back(7, permit.first);
        return true;
      });
      for (std::size_t asked = 0; asked < random() % 5; ++asked) {
        now += Duration(1);
        if (!ask_as(7).granted) continue;
        if (random() % 3 == 0) {
          unused.emplace_back(now, now + milliseconds(static_cast<std::int64_t>(random() % 2900)));
        } else {
          used.push_back(now);
        }
      }
    }
    const auto allowed = static_cast<std::size_t>(kRate * to_seconds(kWindow) + 2);
    for (std::size_t first = 0; first + allowed < used.size(); ++first) {
      CPPUNIT_ASSERT(used[first + allowed] - used[first] >= kWindow);
    }
  }

  void a_denial_states_when_to_retry() {
    const PermitAnswer denied = ask(0.2, now);
    CPPUNIT_ASSERT(!denied.granted);
    now += denied.retry_after;
    CPPUNIT_ASSERT(ask({}, {}).granted);
  }

  void the_newest_reported_limit_applies() {
    ask(5, now);
    now += seconds(1);
    ask(2, now);
    ask(5, now - milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(2.0, *issuer.limit().per_second);
    now += seconds(1);
    CPPUNIT_ASSERT(ask({}, now).granted);
    CPPUNIT_ASSERT(!issuer.limit().is_limited());
  }

  void observations_from_before_a_restart_are_ignored() {
    ask(1, now);
    now += seconds(1);
    issuer.on_restarted(now);
    CPPUNIT_ASSERT(issuer.take_changed(now));
    CPPUNIT_ASSERT(ask(1, now - milliseconds(100)).granted);
    CPPUNIT_ASSERT(!ask(1, now + milliseconds(100)).granted);
  }

  void messages_are_independent_of_the_clock() {
    const TimePoint receiver_now = TimePoint(seconds(5000));
    const PermitRequest request{
        "e1", 17, now, true, 3, {1.4, now - milliseconds(250)}, {now - seconds(1), now}};
    flatbuffers::FlatBufferBuilder builder;
    const auto message = encode(request, now);
    builder.Finish(wire::PermitRequest::Pack(builder, &message));
    const PermitRequest read = decode(
        *flatbuffers::GetRoot<wire::PermitRequest>(builder.GetBufferPointer()), receiver_now);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), read.backend);
    CPPUNIT_ASSERT(read.started_at_ms == 17 && read.asked_at == now && read.wanted);
    CPPUNIT_ASSERT_EQUAL(3U, read.returned);
    CPPUNIT_ASSERT(read.given_back == request.given_back);
    CPPUNIT_ASSERT_EQUAL(1.4, *read.limit.per_second);
    CPPUNIT_ASSERT(read.limit.observed_at == receiver_now - milliseconds(250));
    CPPUNIT_ASSERT(encode(RateLimit{}, now) == nullptr);
    CPPUNIT_ASSERT(!decode(static_cast<const wire::RateLimitState*>(nullptr), now).is_limited());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PermitIssuerTest);

}  // namespace pumicemast
