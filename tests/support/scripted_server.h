/// A server for tests of connections that sends exactly the bytes that a test gives it.
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

/// Listens on a loopback port and handles one connection at a time. Accepting waits 1 ms at most.
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
    timeval accept_timeout{0, 1000};
    setsockopt(listener_, SOL_SOCKET, SO_RCVTIMEO, &accept_timeout, sizeof(accept_timeout));
    CPPUNIT_ASSERT_EQUAL(0, getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length));
    port_ = ntohs(address.sin_port);
  }
  ~ScriptedServer() {
    if (accepted_ >= 0) close(accepted_);
    close(listener_);
  }
  Address address() const { return {"127.0.0.1", port_}; }
  void accept_one() { accepted_ = accept(listener_, nullptr, nullptr); }
  /// Accepts a connection if a client has connected; waits 1 ms at most.
  bool try_accept() {
    accepted_ = accept4(listener_, nullptr, nullptr, 0);
    return accepted_ >= 0;
  }
  /// Reads the bytes that have arrived, without waiting.
  /// @return whether the request, which ends with `end`, is complete.
  bool try_read_request(const std::string& end) {
    char buffer[512];
    const ssize_t count = recv(accepted_, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (count > 0) received_.append(buffer, static_cast<std::size_t>(count));
    return received_.ends_with(end);
  }
  /// Returns the target of the received request and clears the buffer for the next one.
  std::string take_request_target() {
    const std::size_t begin = received_.find(' ') + 1;
    const std::string target = received_.substr(begin, received_.find(' ', begin) - begin);
    received_.clear();
    return target;
  }
  /// Bytes received since the last take_request_target().
  const std::string& received() const { return received_; }
  /// Reads a request head. Closing a socket with unread bytes would reset the connection.
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
  /// @return whether the connection still accepted the bytes.
  bool try_send_text(const std::string& text) {
    return send(accepted_, text.data(), text.size(), MSG_NOSIGNAL) > 0;
  }
  /// Drops all incoming packets without acknowledgement, as in a network partition.
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
