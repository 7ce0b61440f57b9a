/// Connections between processes that identify each other by name, opened on the first send.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "common/event_loop.h"
#include "common/metrics.h"
#include "swarm/swarm_membership.h"
#include "transport/wire_connection.h"

namespace pumicemast {

class PeerLinks {
 public:
  struct Callbacks {
    std::function<void(PeerId, const wire::Frame&)> on_frame;
    /// The connection used for sending to the peer was lost, replaced by a new one or could not be
    /// established: messages in transit may be lost.
    std::function<void(PeerId)> on_lost;
    /// All bytes queued for the peer have been written to the socket.
    std::function<void(PeerId)> on_drained;
  };

  PeerLinks(std::string machine, Metrics& metrics, Callbacks callbacks);

  /// Closes a connection whose sent bytes the peer has not acknowledged for `limit`. Set before
  /// any connection is made.
  void set_user_timeout(Duration limit) { user_timeout_ = limit; }
  /// Closes a connection once this many bytes are queued on it; zero means no limit. Set before
  /// use.
  void set_queue_limit(std::size_t bytes) { queue_limit_bytes_ = bytes; }
  /// Accepts connections from peers on `address`.
  leaf::result<void> listen(const Address& address);
  /// Sets the address for connecting to a peer, replacing any earlier one.
  void set_address(PeerId peer, const Address& address) { addresses_[peer] = address; }

  /// Sends now or, if necessary, connects first and sends when the connection is established. Drops
  /// the message if the peer has neither a connection nor an address, drops the oldest messages if
  /// too many are pending, and closes a connection whose queue has reached the limit.
  template <class Table>
  void send(PeerId peer, const Table& message) {
    Link* link = ensure_link(peer);
    if (link == nullptr) return;
    if (link->connection) {
      if (check_queue_limit(*link->connection)) link->connection->send(message);
    } else {
      queue_until_connected(*link,
                            [message](WireConnection& connection) { connection.send(message); });
    }
  }
  std::size_t queued_bytes(PeerId peer) const;
  /// Bytes queued for all peers.
  std::size_t queued_bytes() const;
  bool connected(PeerId peer) const;
  /// Pauses or resumes reading from all peers, to keep within the share of the downlink.
  void set_reading(bool reading);
  std::size_t size() const { return links_.size(); }

 private:
  using PendingMessage = std::function<void(WireConnection&)>;
  struct Link {
    std::unique_ptr<WireConnection> connection;  ///< Null while connecting.
    std::deque<PendingMessage> pending;
    TimePoint connected_at{};
  };
  void queue_until_connected(Link& link, PendingMessage message);
  /// Closes the connection and returns false if its queue has reached the limit, which happens only
  /// if the peer does not read.
  bool check_queue_limit(WireConnection& connection);
  Link* ensure_link(PeerId peer);
  void on_connected(PeerId peer, std::unique_ptr<WireConnection> connection);
  void on_incoming(std::unique_ptr<WireConnection> connection);
  void adopt(PeerId peer, std::unique_ptr<WireConnection> connection);
  void attach(PeerId peer, WireConnection& connection);
  void use_for_sending(Link& link, std::unique_ptr<WireConnection> connection);
  void on_hello(PeerId peer, WireConnection* incoming);
  void drop_replaced(PeerId peer, std::unique_ptr<WireConnection> replaced);
  /// Makes another open connection of the peer, if there is one, the one used for sending.
  void promote_second_connection(PeerId peer);
  void on_closed(PeerId peer, const WireConnection* connection, const std::string& reason);

  std::string machine_;
  Metrics& metrics_;
  Callbacks callbacks_;
  std::unique_ptr<WireListener> listener_;
  std::map<PeerId, Address> addresses_;
  std::map<PeerId, Link> links_;
  /// Connections not used for sending: from peers that have not sent PeerHello yet, second
  /// connections of a known peer, and replaced ones whose close has not been reported yet.
  std::map<const WireConnection*, std::unique_ptr<WireConnection>> other_connections_;
  std::map<const WireConnection*, PeerId> other_connection_peers_;
  bool reading_ = true;
  Duration user_timeout_ = Duration::zero();
  std::size_t queue_limit_bytes_ = 0;
};

}  // namespace pumicemast
