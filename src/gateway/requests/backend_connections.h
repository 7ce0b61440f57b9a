/// Sends single attempts to back ends over pooled keep-alive connections.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/requests/forwarder_actions.h"
#include "http1/client_connection.h"
#include "http1/deferred_deleter.h"

namespace pumicemast {

/// Receives the progress of attempts, identified by their request number.
class AttemptObserver {
 public:
  virtual ~AttemptObserver() = default;
  virtual void on_attempt_connected(RequestNumber number) = 0;
  /// @return false when the response belongs to another request.
  virtual bool on_attempt_head(RequestNumber number, const ResponseHead& head) = 0;
  virtual void on_attempt_body(RequestNumber number, std::string_view bytes) = 0;
  virtual void on_attempt_complete(RequestNumber number, ResponseEnd end) = 0;
  virtual void on_attempt_failed(RequestNumber number, ExchangeFailure failure) = 0;
};

class BackendConnections : public ClientConnection::Owner {
 public:
  explicit BackendConnections(AttemptObserver& observer);
  ~BackendConnections() override;

  /// Sends `bytes` to the back end of `send`. Responses and failures are reported later, from the
  /// event loop. Only on_attempt_connected is called from within this call, when a pooled
  /// connection is reused.
  void start(const SendToBackend& send, const std::string& bytes, bool head_request);
  /// Closes the attempt's connection, so that the back end stops working on the request.
  void cancel(RequestNumber number);
  /// Bounds the receive buffer of connections that are opened from now on.
  void limit_receive_buffers(int bytes) { receive_buffer_bytes_ = bytes; }
  /// Pauses or resumes reading the response of the attempt, if there is one.
  void set_reading(RequestNumber number, bool reading);
  /// Bytes of the attempt's request that its back end has not read yet; empty without an attempt.
  std::optional<std::size_t> unsent_bytes(RequestNumber number) const;
  /// Memory for what has been received of the attempt's response; 0 without an attempt.
  std::size_t input_bytes(RequestNumber number) const;
  /// Closes connections that have been idle for too long.
  void expire_idle(TimePoint now);

  std::uint64_t connections_opened() const { return connections_opened_; }

 private:
  class Attempt;
  struct IdleConnections {
    std::vector<std::unique_ptr<ClientConnection>> connections;  ///< Newest last.
  };

  std::unique_ptr<ClientConnection> take_idle(const SendToBackend& send);
  /// @param max_idle  limit of idle connections to this back end, including this one.
  void keep_idle(const std::string& backend, std::unique_ptr<ClientConnection> connection,
                 std::size_t max_idle);
  void on_idle_connection_ended(ClientConnection& connection) override;
  /// Ends the attempt; its connection is kept for another request if that is possible.
  void finish(RequestNumber number, bool keep_connection);
  static bool idle_expired(const ClientConnection& connection, TimePoint now);

  AttemptObserver& observer_;
  std::map<RequestNumber, std::unique_ptr<Attempt>> attempts_;
  std::map<std::string, IdleConnections> idle_;
  DeferredDeleter deleter_;
  std::uint64_t connections_opened_ = 0;
  std::optional<int> receive_buffer_bytes_;
};

}  // namespace pumicemast
