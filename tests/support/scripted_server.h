/// The other side of a connection, played byte by byte.
#pragma once

#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <linux/filter.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <functional>
#include <string>

#include "common/event_loop.h"
#include "common/settings.h"

namespace pumicemast::tests {

/// A plain blocking listener that plays the other side byte by byte.
class ScriptedServer {
 public:
  ScriptedServer() {
    listener_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    CPPUNIT_ASSERT_EQUAL(0, bind(listener_, reinterpret_cast<sockaddr*>(&address), length));
    CPPUNIT_ASSERT_EQUAL(0, listen(listener_, 4));
    timeval no_wait{0, 1000};
    setsockopt(listener_, SOL_SOCKET, SO_RCVTIMEO, &no_wait, sizeof(no_wait));
    CPPUNIT_ASSERT_EQUAL(0, getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length));
    port_ = ntohs(address.sin_port);
  }
  ~ScriptedServer() {
    if (accepted_ >= 0) close(accepted_);
    close(listener_);
  }
  Address address() const { return {"127.0.0.1", port_}; }
  void accept_one() { accepted_ = accept(listener_, nullptr, nullptr); }
  /// Accepts if somebody has connected; does not wait.
  bool try_accept() {
    accepted_ = accept4(listener_, nullptr, nullptr, 0);
    return accepted_ >= 0;
  }
  /// Reads what has come of a request that ends with `end`; does not wait.
  bool try_read_request(const std::string& end) {
    char buffer[512];
    const ssize_t count = recv(accepted_, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (count > 0) received_.append(buffer, static_cast<std::size_t>(count));
    return received_.ends_with(end);
  }
  /// The target of the request that was read; the next request is read anew.
  std::string take_request_target() {
    const std::size_t begin = received_.find(' ') + 1;
    const std::string target = received_.substr(begin, received_.find(' ', begin) - begin);
    received_.clear();
    return target;
  }
  /// What has come and was not taken yet.
  const std::string& received() const { return received_; }
  /// Unread bytes would turn an orderly end into a reset.
  void read_request() {
    std::string received;
    while (received.find("\r\n\r\n") == std::string::npos) {
      char buffer[512];
      const ssize_t count = recv(accepted_, buffer, sizeof(buffer), 0);
      CPPUNIT_ASSERT(count > 0);
      received.append(buffer, static_cast<std::size_t>(count));
    }
  }
  void send_text(const std::string& text) {
    CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(text.size()),
                         send(accepted_, text.data(), text.size(), MSG_NOSIGNAL));
  }
  /// Whether the peer still took the bytes.
  bool try_send_text(const std::string& text) {
    return send(accepted_, text.data(), text.size(), MSG_NOSIGNAL) > 0;
  }
  /// Loses all that arrives from now on: nothing is acknowledged, as behind a cut.
  void drop_incoming() {
    std::array<sock_filter, 1> program{{BPF_STMT(BPF_RET | BPF_K, 0)}};
    const sock_fprog filter{program.size(), program.data()};
    CPPUNIT_ASSERT_EQUAL(
        0, setsockopt(accepted_, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter)));
  }
  void close_connection() {
    close(accepted_);
    accepted_ = -1;
  }
  void reset_connection() {
    const linger without_lingering{1, 0};
    setsockopt(accepted_, SOL_SOCKET, SO_LINGER, &without_lingering, sizeof(without_lingering));
    close_connection();
  }

 private:
  int listener_ = -1;
  int accepted_ = -1;
  std::uint16_t port_ = 0;
  std::string received_;
};

inline void run_until(const std::function<bool()>& condition) {
  const TimePoint limit = loop_now() + seconds(5);
  bool met = condition();
  while (!met && loop_now() < limit) {
    g_main_context_iteration(nullptr, FALSE);
    met = condition();
  }
  CPPUNIT_ASSERT(met);
}

}  // namespace pumicemast::tests
