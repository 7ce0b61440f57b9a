#include "platform/runner_control.h"

#include <cppunit/extensions/HelperMacros.h>

#include "support/scripted_server.h"

namespace pumicemast::platform {

using tests::run_until;
using tests::ScriptedServer;

/// Real sockets; every wait is for a condition.
class RunnerControlTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunnerControlTest);
  CPPUNIT_TEST(orders_for_two_models_are_both_answered);
  CPPUNIT_TEST_SUITE_END();

  ScriptedServer server_;
  RunnerControl runner_{server_.address()};

 public:
  /// An order whose outcome never comes would keep its model's weights, and gateways, waiting.
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
      server_.say(std::string("HTTP/1.1 ") + status + "\r\nContent-Length: 0\r\n\r\n");
      run_until([&] { return outcomes.size() > before; });
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, outcomes.size());
    CPPUNIT_ASSERT(outcomes[0] == StartOutcome::begun);
    CPPUNIT_ASSERT(outcomes[1] == StartOutcome::refused);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunnerControlTest);

}  // namespace pumicemast::platform
