#include "transport/peer_links.h"

#include <algorithm>

#include "common/hash.h"

namespace pumicemast {
namespace {

constexpr Duration kConnectTimeout = seconds(3);
/// Most messages that are queued while a connection to a peer is being established: more than an
/// agent or a gateway sends to one peer within the 3 s of kConnectTimeout. The oldest are dropped
/// first, since later messages carry more recent state.
constexpr std::size_t kMaximumPendingMessages = 256;

}  // namespace

PeerLinks::PeerLinks(std::string machine, Metrics& metrics, Callbacks callbacks)
    : machine_(std::move(machine)), metrics_(metrics), callbacks_(std::move(callbacks)) {}

leaf::result<void> PeerLinks::listen(const Address& address) {
  BOOST_LEAF_ASSIGN(listener_,
                    WireListener::listen(address, [this](std::unique_ptr<WireConnection> incoming) {
                      on_incoming(std::move(incoming));
                    }));
  return {};
}

std::size_t PeerLinks::queued_bytes(PeerId peer) const {
  const auto found = links_.find(peer);
  if (found == links_.end() || !found->second.connection) return 0;
  return found->second.connection->queued_bytes();
}

std::size_t PeerLinks::queued_bytes() const {
  std::size_t bytes = 0;
  for (const auto& [peer, link] : links_) {
    if (link.connection) bytes += link.connection->queued_bytes();
  }
  return bytes;
}

bool PeerLinks::connected(PeerId peer) const {
  const auto found = links_.find(peer);
  return found != links_.end() && found->second.connection != nullptr;
}

void PeerLinks::set_reading(bool reading) {
  reading_ = reading;
  for (auto& [peer, link] : links_) {
    if (link.connection) link.connection->set_reading(reading);
  }
  for (auto& [pointer, connection] : other_connections_) connection->set_reading(reading);
}

PeerLinks::Link* PeerLinks::ensure_link(PeerId peer) {
  const auto found = links_.find(peer);
  if (found != links_.end()) return &found->second;
  const auto address = addresses_.find(peer);
  if (address == addresses_.end()) return nullptr;
  Link& link = links_[peer];
  connect_wire(address->second, kConnectTimeout,
               [this, peer](std::unique_ptr<WireConnection> connection) {
                 on_connected(peer, std::move(connection));
               });
  return &link;
}

void PeerLinks::queue_until_connected(Link& link, PendingMessage message) {
  if (link.pending.size() >= kMaximumPendingMessages) {
    link.pending.pop_front();
    metrics_.count("pumicemast_agent_peer_messages_dropped_total");
  }
  link.pending.push_back(std::move(message));
}

bool PeerLinks::check_queue_limit(WireConnection& connection) {
  if (queue_limit_bytes_ == 0 || connection.queued_bytes() < queue_limit_bytes_) return true;
  if (connection.is_open()) metrics_.count("pumicemast_agent_peer_unread_total");
  connection.close("send queue limit reached");
  return false;
}

void PeerLinks::on_connected(PeerId peer, std::unique_ptr<WireConnection> connection) {
  const auto found = links_.find(peer);
  if (found == links_.end()) return;
  if (!connection) {
    metrics_.count("pumicemast_agent_peer_connect_failures_total");
    if (found->second.connection) return;  // The peer has connected in the meantime.
    links_.erase(found);
    callbacks_.on_lost(peer);
    return;
  }
  wire::PeerHelloT hello;
  hello.machine = machine_;
  connection->send(hello);
  adopt(peer, std::move(connection));
}

void PeerLinks::attach(PeerId peer, WireConnection& connection) {
  const WireConnection* pointer = &connection;
  connection.set_user_timeout(user_timeout_);
  connection.start(
      {[this, peer](const wire::Frame& frame) { callbacks_.on_frame(peer, frame); },
       [this, peer, pointer](const std::string& reason) { on_closed(peer, pointer, reason); },
       [this, peer] { callbacks_.on_drained(peer); }});
  if (!reading_) connection.set_reading(false);
}

void PeerLinks::adopt(PeerId peer, std::unique_ptr<WireConnection> connection) {
  Link& link = links_[peer];
  if (link.connection) {
    // Both sides connected at the same time. The second connection is read but not written to.
    WireConnection* second = connection.get();
    other_connection_peers_[second] = peer;
    other_connections_[second] = std::move(connection);
    attach(peer, *second);
    return;
  }
  attach(peer, *connection);
  use_for_sending(link, std::move(connection));
}

void PeerLinks::use_for_sending(Link& link, std::unique_ptr<WireConnection> connection) {
  link.connection = std::move(connection);
  link.connected_at = loop_now();
  const auto pending = std::move(link.pending);
  link.pending.clear();
  for (const auto& send_pending : pending) send_pending(*link.connection);
}

void PeerLinks::on_hello(PeerId peer, WireConnection* incoming) {
  other_connection_peers_[incoming] = peer;
  Link& link = links_[peer];
  // Both sides may have connected at the same time. Each side then writes to the connection that it
  // opened and reads from both.
  const bool simultaneous = link.connection && loop_now() - link.connected_at <= kConnectTimeout;
  if (simultaneous) return;
  std::unique_ptr<WireConnection> replaced = std::move(link.connection);
  use_for_sending(link, std::move(other_connections_.at(incoming)));
  other_connections_.erase(incoming);
  if (replaced) drop_replaced(peer, std::move(replaced));
}

void PeerLinks::drop_replaced(PeerId peer, std::unique_ptr<WireConnection> replaced) {
  // A peer that still had its old connection would not have opened another, so the old one is dead
  // for the peer even if it merely appears idle here. The object is kept until on_closed() reports
  // its end.
  WireConnection* connection = replaced.get();
  other_connection_peers_[connection] = peer;
  other_connections_[connection] = std::move(replaced);
  connection->close("replaced by a new connection of the peer");
  callbacks_.on_lost(peer);
}

void PeerLinks::on_incoming(std::unique_ptr<WireConnection> connection) {
  WireConnection* pointer = connection.get();
  other_connections_[pointer] = std::move(connection);
  pointer->set_user_timeout(user_timeout_);
  pointer->start({[this, pointer](const wire::Frame& frame) {
                    const auto known = other_connection_peers_.find(pointer);
                    if (known != other_connection_peers_.end()) {
                      callbacks_.on_frame(known->second, frame);
                      return;
                    }
                    const auto* hello = frame.body_as_PeerHello();
                    if (hello == nullptr) {
                      pointer->close("first frame is not a PeerHello");
                      return;
                    }
                    on_hello(stable_hash(hello->machine()->string_view()), pointer);
                  },
                  [this, pointer](const std::string& reason) {
                    const auto known = other_connection_peers_.find(pointer);
                    const PeerId peer = known == other_connection_peers_.end() ? 0 : known->second;
                    on_closed(peer, pointer, reason);
                  },
                  [this, pointer] {
                    const auto known = other_connection_peers_.find(pointer);
                    if (known != other_connection_peers_.end())
                      callbacks_.on_drained(known->second);
                  }});
  if (!reading_) pointer->set_reading(false);
}

void PeerLinks::on_closed(PeerId peer, const WireConnection* connection,
                          const std::string& reason) {
  metrics_.count("pumicemast_agent_peer_closed_total");
  if (reason == "oversize frame" || reason == "malformed frame") {
    metrics_.count("pumicemast_agent_bad_frames_total", {{"reason", reason}});
  }
  other_connection_peers_.erase(connection);
  other_connections_.erase(connection);
  const auto found = links_.find(peer);
  if (found == links_.end() || found->second.connection.get() != connection) return;
  links_.erase(found);
  promote_second_connection(peer);
  callbacks_.on_lost(peer);
}

void PeerLinks::promote_second_connection(PeerId peer) {
  // This process cannot connect to a peer whose address it does not know. Unless sending moves to
  // the peer's other connection, messages from the peer would be read but none ever sent to it.
  const auto second =
      std::find_if(other_connections_.begin(), other_connections_.end(), [&](const auto& entry) {
        const auto identified = other_connection_peers_.find(entry.first);
        return identified != other_connection_peers_.end() && identified->second == peer &&
               entry.second->is_open();
      });
  if (second == other_connections_.end()) return;
  std::unique_ptr<WireConnection> connection = std::move(second->second);
  other_connections_.erase(second);
  use_for_sending(links_[peer], std::move(connection));
}

}  // namespace pumicemast
