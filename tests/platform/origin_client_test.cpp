#include <cppunit/extensions/HelperMacros.h>

#include "platform/runner_control.h"
#include "support/scripted_server.h"

namespace pumicemast::platform {

using tests::run_until;
using tests::ScriptedServer;

/// Uses real sockets; every wait is for a condition.
class OriginClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OriginClientTest);
  CPPUNIT_TEST(chunks_of_another_version_survive_a_cancellation);
  CPPUNIT_TEST(queued_chunks_of_a_cancelled_version_are_not_requested);
  CPPUNIT_TEST(concurrent_manifest_requests_are_all_answered);
  CPPUNIT_TEST(cancelling_a_chunk_leaves_other_chunks_alone);
  CPPUNIT_TEST(a_slow_response_is_not_aborted);
  CPPUNIT_TEST(a_late_origin_gets_a_longer_timeout);
  CPPUNIT_TEST_SUITE_END();

  ScriptedServer server_;
  OriginClient origin_{OriginProfile{server_.address(), 8}};
  std::vector<std::string> arrived_;

  void fetch(std::uint64_t version, ChunkIndex chunk) {
    origin_.fetch_chunk("m", version, chunk, [this](std::optional<std::string> bytes) {
      if (bytes) arrived_.push_back(*bytes);
    });
  }

 public:
  void chunks_of_another_version_survive_a_cancellation() {
    fetch(3, 7);
    run_until([&] { return server_.try_accept(); });
    fetch(2, 5);
    origin_.cancel_chunks("m", 2);
    run_until([&] { return server_.try_read_request("\r\n\r\n"); });
    const std::string target = server_.take_request_target();
    CPPUNIT_ASSERT_EQUAL(std::string("/piece/m?num=7&version=3"), target);
    server_.send_text("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    run_until([&] { return !arrived_.empty(); });
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), arrived_.front());
  }

  void queued_chunks_of_a_cancelled_version_are_not_requested() {
    fetch(2, 0);
    fetch(2, 1);
    fetch(2, 2);  // Waits for a free connection.
    fetch(3, 9);
    origin_.cancel_chunks("m", 2);
    for (std::size_t tries = 0; tries < 3 && arrived_.empty(); ++tries) {
      run_until([&] { return server_.try_accept(); });
      // The connections of cancelled chunks carry no request.
      for (int turn = 0; turn < 200; ++turn) {
        g_main_context_iteration(nullptr, FALSE);
        if (!server_.try_read_request("\r\n\r\n")) continue;
        const std::string target = server_.take_request_target();
        if (target.find("version=3") == std::string::npos) break;
        server_.send_text("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        run_until([&] { return !arrived_.empty(); });
        break;
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, arrived_.size());
  }

  /// A version named during the manifest call of the previous one aborted that call without a
  /// response, and that manifest was never requested again.
  void concurrent_manifest_requests_are_all_answered() {
    std::vector<std::uint64_t> answered;
    for (const std::uint64_t version : {2, 3}) {
      origin_.fetch_manifest("m", version, [&answered, version](std::optional<WeightManifest>) {
        answered.push_back(version);
      });
    }
    for (const char* target : {"/manifest/m?version=2", "/manifest/m?version=3"}) {
      run_until([&] { return server_.try_accept(); });
      run_until([&] { return server_.try_read_request("\r\n\r\n"); });
      CPPUNIT_ASSERT_EQUAL(std::string(target), server_.take_request_target());
      server_.send_text("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
      server_.close_connection();
    }
    run_until([&] { return answered.size() == 2; });
    CPPUNIT_ASSERT((answered == std::vector<std::uint64_t>{2, 3}));
  }

  void cancelling_a_chunk_leaves_other_chunks_alone() {
    fetch(2, 0);
    run_until([&] { return server_.try_accept(); });
    server_.close_connection();
    fetch(2, 1);
    origin_.cancel_chunk("m", 2, 0);
    run_until([&] { return server_.try_accept(); });
    run_until([&] { return server_.try_read_request("\r\n\r\n"); });
    CPPUNIT_ASSERT_EQUAL(std::string("/piece/m?num=1&version=2"), server_.take_request_target());
    server_.send_text("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    run_until([&] { return !arrived_.empty(); });
  }

  /// The origin's link has little bandwidth, and an aborted transfer has to be sent again.
  void a_slow_response_is_not_aborted() {
    fetch(2, 0);
    run_until([&] { return server_.try_accept(); });
    run_until([&] { return server_.try_read_request("\r\n\r\n"); });
    server_.send_text("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n");
    for (int part = 0; part < 4; ++part) {
      wait_for(milliseconds(900));
      server_.send_text("x");
    }
    run_until([&] { return !arrived_.empty(); });
    CPPUNIT_ASSERT_EQUAL(std::string("xxxx"), arrived_.front());
  }

  /// Earlier calls may occupy the origin's link for longer than the initial timeout.
  void a_late_origin_gets_a_longer_timeout() {
    fetch(2, 0);
    run_until([&] { return server_.try_accept(); });
    wait_for(milliseconds(2700));
    server_.close_connection();
    fetch(2, 1);
    run_until([&] { return server_.try_accept(); });
    run_until([&] { return server_.try_read_request("\r\n\r\n"); });
    wait_for(milliseconds(3500));
    server_.send_text("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    run_until([&] { return !arrived_.empty(); });
  }

 private:
  static void wait_for(Duration duration) {
    const TimePoint end = loop_now() + duration;
    while (loop_now() < end) {
      g_main_context_iteration(nullptr, FALSE);
      g_usleep(1000);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OriginClientTest);

}  // namespace pumicemast::platform
