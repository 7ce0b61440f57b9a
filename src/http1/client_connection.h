/// One connection to a back end, the platform or an origin: one request at a time.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "http1/response_reader.h"
#include "http1/tcp_stream.h"

namespace pumicemast {

/// Why an exchange brought no whole answer.
enum class ExchangeFailure {
  not_sent,         ///< Not one byte of the request was written: it cannot have run.
  connection_lost,  ///< The connection ended before the answer did.
  malformed,        ///< What came is no answer of the protocol.
};

/// Told what happens to the request in progress. The connection may be closed, but not
/// destroyed, meanwhile.
class ExchangeObserver {
 public:
  virtual ~ExchangeObserver() = default;
  /// The connection that was begun for this request has come up.
  virtual void on_connection_established() {}
  /// @return false when this answer belongs to another request: it is read and dropped, and
  ///         the connection goes on waiting.
  virtual bool on_response_head(const ResponseHead& head) = 0;
  virtual void on_response_body(std::string_view bytes) = 0;
  virtual void on_response_complete() = 0;
  virtual void on_exchange_failed(ExchangeFailure failure) = 0;
};

class ClientConnection : private StreamObserver {
 public:
  /// Called when an idle connection ends or receives bytes that nobody asked for.
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void on_idle_connection_ended(ClientConnection& connection) = 0;
  };

  ClientConnection(const Address& address, Duration user_timeout, Owner& owner);

  /// Sends a request. Only while no other is in progress.
  void send_request(std::string_view bytes, bool head_request, ExchangeObserver& observer);
  /// Gives the request in progress up and ends the connection, so that the peer stops.
  void abandon();

  /// Whether the connection is probed while nothing comes; it is from its beginning.
  void set_tcp_keepalive(bool probing) { stream_.set_tcp_keepalive(probing); }

  /// Whether another request may follow on this connection: the last answer was whole, was
  /// the only one, came after the whole request was taken, and did not end the connection.
  bool reusable() const { return reusable_ && stream_.is_open(); }
  bool connected() const { return stream_.connected(); }
  std::uint64_t requests_sent() const { return requests_sent_; }
  /// From the last answer's Keep-Alive; -1 when it named none.
  int keep_alive_timeout_s() const { return keep_alive_timeout_s_; }
  TimePoint idle_since() const { return idle_since_; }
  void set_idle_since(TimePoint now) { idle_since_ = now; }

 private:
  void on_stream_data(std::string_view bytes) override;
  void on_stream_end(StreamEnd end) override;
  void on_stream_connected() override;
  void read(ReadStatus status);
  void relay_body();
  void finish();
  void fail(ExchangeFailure failure);

  Owner& owner_;
  TcpStream stream_;
  ResponseReader reader_;
  ExchangeObserver* observer_ = nullptr;  ///< Null while idle.
  std::uint64_t requests_sent_ = 0;
  std::uint64_t bytes_sent_before_ = 0;  ///< Bytes written before the request in progress.
  int keep_alive_timeout_s_ = -1;
  TimePoint idle_since_{};
  bool head_request_ = false;
  bool head_reported_ = false;
  bool foreign_response_ = false;  ///< The answer being read belongs to another request.
  bool saw_foreign_response_ = false;
  bool reusable_ = false;
};

}  // namespace pumicemast
