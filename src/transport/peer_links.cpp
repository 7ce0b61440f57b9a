#include "transport/peer_links.h"

#include <algorithm>

#include "common/hash.h"

namespace pumicemast {
namespace {

constexpr Duration kConnectTimeout = seconds(3);
/// Messages that wait for one connection to be made: what an agent or a gateway says to one peer
/// in more than the 3 s that this may take. Later ones say what is true by then.
constexpr std::size_t kMostWaiting = 256;

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
  for (auto& [pointer, connection] : extra_) connection->set_reading(reading);
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

void PeerLinks::wait_for_connection(Link& link, WaitingMessage message) {
  if (link.waiting.size() >= kMostWaiting) {
    link.waiting.pop_front();
    metrics_.count("pumicemast_agent_peer_messages_dropped_total");
  }
  link.waiting.push_back(std::move(message));
}

bool PeerLinks::has_room(WireConnection& connection) {
  if (queue_limit_bytes_ == 0 || connection.queued_bytes() < queue_limit_bytes_) return true;
  if (connection.is_open()) metrics_.count("pumicemast_agent_peer_unread_total");
  connection.close("the peer does not read");
  return false;
}

void PeerLinks::on_connected(PeerId peer, std::unique_ptr<WireConnection> connection) {
  const auto found = links_.find(peer);
  if (found == links_.end()) return;
  if (!connection) {
    metrics_.count("pumicemast_agent_peer_connect_failures_total");
    if (found->second.connection) return;  // The peer connected to us meanwhile.
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
  connection.set_unanswered_limit(unanswered_limit_);
  connection.start(
      {[this, peer](const wire::Frame& frame) { callbacks_.on_frame(peer, frame); },
       [this, peer, pointer](const std::string& reason) { on_closed(peer, pointer, reason); },
       [this, peer] { callbacks_.on_drained(peer); }});
  if (!reading_) connection.set_reading(false);
}

void PeerLinks::adopt(PeerId peer, std::unique_ptr<WireConnection> connection) {
  Link& link = links_[peer];
  if (link.connection) {
    // Both sides connected at once. The second is read, but not written to.
    WireConnection* second = connection.get();
    extra_peers_[second] = peer;
    extra_[second] = std::move(connection);
    attach(peer, *second);
    return;
  }
  attach(peer, *connection);
  use_for_sending(link, std::move(connection));
}

void PeerLinks::use_for_sending(Link& link, std::unique_ptr<WireConnection> connection) {
  link.connection = std::move(connection);
  link.connected_at = loop_now();
  const auto waiting = std::move(link.waiting);
  link.waiting.clear();
  for (const auto& send_waiting : waiting) send_waiting(*link.connection);
}

void PeerLinks::on_hello(PeerId peer, WireConnection* incoming) {
  extra_peers_[incoming] = peer;
  Link& link = links_[peer];
  // Both may have connected at once: then each writes to its own, and reads both.
  const bool at_once = link.connection && loop_now() - link.connected_at <= kConnectTimeout;
  if (at_once) return;
  std::unique_ptr<WireConnection> older = std::move(link.connection);
  use_for_sending(link, std::move(extra_.at(incoming)));
  extra_.erase(incoming);
  if (older) give_up(peer, std::move(older));
}

void PeerLinks::give_up(PeerId peer, std::unique_ptr<WireConnection> older) {
  // Who had a connection would not have made another: the older one is lost to the peer, although
  // it may only be silent here. Kept until its end is reported.
  WireConnection* connection = older.get();
  extra_peers_[connection] = peer;
  extra_[connection] = std::move(older);
  connection->close("the peer connected anew");
  callbacks_.on_lost(peer);
}

void PeerLinks::on_incoming(std::unique_ptr<WireConnection> connection) {
  WireConnection* pointer = connection.get();
  extra_[pointer] = std::move(connection);
  pointer->set_unanswered_limit(unanswered_limit_);
  pointer->start({[this, pointer](const wire::Frame& frame) {
                    const auto known = extra_peers_.find(pointer);
                    if (known != extra_peers_.end()) {
                      callbacks_.on_frame(known->second, frame);
                      return;
                    }
                    const auto* hello = frame.body_as_PeerHello();
                    if (hello == nullptr) {
                      pointer->close("no hello");
                      return;
                    }
                    on_hello(stable_hash(hello->machine()->string_view()), pointer);
                  },
                  [this, pointer](const std::string& reason) {
                    const auto known = extra_peers_.find(pointer);
                    const PeerId peer = known == extra_peers_.end() ? 0 : known->second;
                    on_closed(peer, pointer, reason);
                  },
                  [this, pointer] {
                    const auto known = extra_peers_.find(pointer);
                    if (known != extra_peers_.end()) callbacks_.on_drained(known->second);
                  }});
  if (!reading_) pointer->set_reading(false);
}

void PeerLinks::on_closed(PeerId peer, const WireConnection* connection,
                          const std::string& reason) {
  metrics_.count("pumicemast_agent_peer_closed_total");
  if (reason == "oversize frame" || reason == "malformed frame") {
    metrics_.count("pumicemast_agent_bad_frames_total", {{"reason", reason}});
  }
  extra_peers_.erase(connection);
  extra_.erase(connection);
  const auto found = links_.find(peer);
  if (found == links_.end() || found->second.connection.get() != connection) return;
  links_.erase(found);
  use_second_connection(peer);
  callbacks_.on_lost(peer);
}

void PeerLinks::use_second_connection(PeerId peer) {
  // A peer without an address can't be connected to: without its other connection it would be read
  // and never written to, for good.
  const auto second = std::find_if(extra_.begin(), extra_.end(), [&](const auto& entry) {
    const auto named = extra_peers_.find(entry.first);
    return named != extra_peers_.end() && named->second == peer && entry.second->is_open();
  });
  if (second == extra_.end()) return;
  std::unique_ptr<WireConnection> connection = std::move(second->second);
  extra_.erase(second);
  use_for_sending(links_[peer], std::move(connection));
}

}  // namespace pumicemast
