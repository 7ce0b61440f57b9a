#include "gateway/backends/backend_probe.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <vector>

#include "support/scripted_server.h"

namespace pumicemast {

using tests::run_until;
using tests::ScriptedServer;

/// Uses real sockets; waits for conditions, not for fixed times.
class BackendProbeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BackendProbeTest);
  CPPUNIT_TEST(finds_a_process_that_listens);
  CPPUNIT_TEST(takes_no_connection_of_an_exiting_process_for_a_living_one);
  CPPUNIT_TEST(probes_again_when_asked_during_a_probe);
  CPPUNIT_TEST(an_ended_probe_does_not_end_the_next_one);
  CPPUNIT_TEST_SUITE_END();

  struct Result {
    bool listening;
    TimePoint started;
    TimePoint ended;
  };

  std::vector<Result> results_;
  BackendProbes probes_{[this](const std::string&, bool listening, TimePoint started) {
    results_.push_back({listening, started, loop_now()});
  }};

 public:
  void finds_a_process_that_listens() {
    const ScriptedServer server;
    probes_.start("p1", server.address());
    run_until([&] { return !results_.empty(); });
    CPPUNIT_ASSERT(results_.front().listening);
  }

  // The system may close the listening socket of a process after its connections.
  void takes_no_connection_of_an_exiting_process_for_a_living_one() {
    auto server = std::make_unique<ScriptedServer>();
    Timer exit;
    exit.start_once(milliseconds(5), [&] { server.reset(); });
    probes_.start("p1", server->address());
    run_until([&] { return !results_.empty() && server == nullptr; });
    CPPUNIT_ASSERT(!results_.front().listening);
  }

  // What a probe finds that was under way at a close may be older than the close.
  void probes_again_when_asked_during_a_probe() {
    const ScriptedServer server;
    probes_.start("p1", server.address());
    probes_.start("p1", server.address());
    run_until([&] { return results_.size() == 2; });
    CPPUNIT_ASSERT(results_[0].listening && results_[1].listening);
    CPPUNIT_ASSERT(results_[0].started < results_[1].started);
  }

  // Guards against a cut response that counts as whole: its probe was ended by the timer of the one
  // before, in the same pass of the event loop.
  void an_ended_probe_does_not_end_the_next_one() {
    ScriptedServer server;
    probes_.start("p1", server.address());
    run_until([&] { return server.try_accept(); });
    for (int round = 0; round < 100; ++round) g_main_context_iteration(nullptr, FALSE);
    server.reset_connection();
    probes_.start("p1", server.address());
    g_usleep(100'000);  // The timer of the probe and the end of its connection are due together.
    run_until([&] { return !results_.empty(); });
    CPPUNIT_ASSERT(results_.front().ended - results_.front().started >= milliseconds(60));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendProbeTest);

}  // namespace pumicemast
