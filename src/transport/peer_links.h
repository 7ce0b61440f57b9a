/// Connections between processes that know each other by name, opened when first needed.
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
    /// Every connection to the peer is gone, or was until it connected anew: what was on its way
    /// may be lost.
    std::function<void(PeerId)> on_lost;
    /// All queued bytes to the peer were handed to the system.
    std::function<void(PeerId)> on_drained;
  };

  PeerLinks(std::string machine, Metrics& metrics, Callbacks callbacks);

  /// Bytes that a peer does not acknowledge for so long end the connection. Set before use.
  void set_user_timeout(Duration limit) { user_timeout_ = limit; }
  /// A connection in which so many bytes wait is ended; zero for no limit. Set before use.
  void set_queue_limit(std::size_t bytes) { queue_limit_bytes_ = bytes; }
  /// Listens for others.
  leaf::result<void> listen(const Address& address);
  /// Where to reach a peer. The latest address wins.
  void set_address(PeerId peer, const Address& address) { addresses_[peer] = address; }

  /// Sends now, or as soon as a connection is made. A peer without an address is dropped. So are
  /// the oldest messages where too many wait for a connection, and a connection whose peer reads
  /// too little.
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
  /// To all peers.
  std::size_t queued_bytes() const;
  bool connected(PeerId peer) const;
  /// Holds all senders back while the downlink's share is used up.
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
  /// Ends a connection in which more waits than a peer that reads can leave there.
  bool check_queue_limit(WireConnection& connection);
  Link* ensure_link(PeerId peer);
  void on_connected(PeerId peer, std::unique_ptr<WireConnection> connection);
  void on_incoming(std::unique_ptr<WireConnection> connection);
  void adopt(PeerId peer, std::unique_ptr<WireConnection> connection);
  void attach(PeerId peer, WireConnection& connection);
  void use_for_sending(Link& link, std::unique_ptr<WireConnection> connection);
  void on_hello(PeerId peer, WireConnection* incoming);
  void drop_replaced(PeerId peer, std::unique_ptr<WireConnection> replaced);
  /// What was to be sent goes over another connection of the peer, if there is one.
  void promote_second_connection(PeerId peer);
  void on_closed(PeerId peer, const WireConnection* connection, const std::string& reason);

  std::string machine_;
  Metrics& metrics_;
  Callbacks callbacks_;
  std::unique_ptr<WireListener> listener_;
  std::map<PeerId, Address> addresses_;
  std::map<PeerId, Link> links_;
  /// Connections that have not said who they are, and second ones to a known peer.
  std::map<const WireConnection*, std::unique_ptr<WireConnection>> other_connections_;
  std::map<const WireConnection*, PeerId> other_connection_peers_;
  bool reading_ = true;
  Duration user_timeout_ = Duration::zero();
  std::size_t queue_limit_bytes_ = 0;
};

}  // namespace pumicemast
