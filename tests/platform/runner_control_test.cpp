#include "platform/runner_control.h"

#include <cppunit/extensions/HelperMacros.h>

#include "support/scripted_server.h"

namespace pumicemast::platform {

using tests::run_until;
using tests::ScriptedServer;

/// Uses real sockets; every wait is for a condition.
class RunnerControlTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunnerControlTest);
  CPPUNIT_TEST(orders_for_two_models_are_both_answered);
  CPPUNIT_TEST(an_order_carries_the_reported_sequence_number);
  CPPUNIT_TEST_SUITE_END();

  ScriptedServer server_;
  RunnerControl runner_{server_.address()};

 public:
  /// An order whose outcome is never reported would block its model's weights and the gateways.
  void orders_for_two_models_are_both_answered() {
    std::vector<StartOutcome> outcomes;
    const auto note = [&](StartOutcome outcome) { outcomes.push_back(outcome); };
    runner_.start_serving({"a", 2, 4}, note);
    runner_.start_serving({"b", 3, 4}, note);
    for (const char* status : {"202 Accepted", "409 Conflict"}) {
      const std::size_t before = outcomes.size();
      if (before == 0) run_until([&] { return server_.try_accept(); });
      run_until([&] { return server_.try_read_request("}"); });
      server_.take_request_target();
      server_.send_text(std::string("HTTP/1.1 ") + status + "\r\nContent-Length: 0\r\n\r\n");
      run_until([&] { return outcomes.size() > before; });
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, outcomes.size());
    CPPUNIT_ASSERT(outcomes[0] == StartOutcome::begun);
    CPPUNIT_ASSERT(outcomes[1] == StartOutcome::refused);
  }

  /// Without it a delayed order would be carried out even after newer ones.
  void an_order_carries_the_reported_sequence_number() {
    std::optional<LoadReport> report;
    runner_.read_load([&](const LoadReport& load) { report = load; });
    run_until([&] { return server_.try_accept(); });
    run_until([&] { return server_.try_read_request("\r\n\r\n"); });
    server_.take_request_target();
    const std::string body = R"({"models":[],"busy":false,"seq":7})";
    server_.send_text("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                      "\r\n\r\n" + body);
    run_until([&] { return report.has_value(); });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, report->order_sequence);

    runner_.start_serving({"a", 2, report->order_sequence}, [](StartOutcome) {});
    run_until([&] { return server_.try_accept(); });
    run_until([&] { return server_.try_read_request("}"); });
    CPPUNIT_ASSERT(server_.received().find(R"("expectedRev":7)") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunnerControlTest);

}  // namespace pumicemast::platform
