#include "transfer/swarm_messages.h"

namespace pumicemast {

void SwarmMessages::send(const std::string& digest, const RequestFromPeer& action) {
  wire::ChunkRequestT message;
  message.digest = digest;
  message.chunk = action.chunk;
  message.progress = action.progress;
  links_.send(action.peer, message);
}

void SwarmMessages::send(const std::string& digest, const CancelFromPeer& action) {
  wire::ChunkCancelT message;
  message.digest = digest;
  message.chunk = action.chunk;
  links_.send(action.peer, message);
}

void SwarmMessages::send(const std::string& digest, const RefuseChunk& action) {
  wire::ChunkRefusedT message;
  message.digest = digest;
  message.chunk = action.chunk;
  links_.send(action.peer, message);
}

void SwarmMessages::send(const std::string& digest, const AnnounceChunks& action) {
  wire::ChunksHaveT message;
  message.digest = digest;
  message.chunks = action.chunks;
  for (const PeerId peer : action.peers) links_.send(peer, message);
}

void SwarmMessages::send_join(const std::string& digest, PeerId peer, const ChunkSet& have,
                              bool reply) {
  wire::SwarmJoinT message;
  message.digest = digest;
  message.have = have.to_bytes();
  message.reply = reply;
  links_.send(peer, message);
}

std::optional<std::string_view> swarm_frame_digest(const wire::Frame& frame) {
  switch (frame.body_type()) {
    case wire::Body::SwarmJoin:
      return frame.body_as_SwarmJoin()->digest()->string_view();
    case wire::Body::ChunksHave:
      return frame.body_as_ChunksHave()->digest()->string_view();
    case wire::Body::ChunkRequest:
      return frame.body_as_ChunkRequest()->digest()->string_view();
    case wire::Body::ChunkRefused:
      return frame.body_as_ChunkRefused()->digest()->string_view();
    case wire::Body::ChunkCancel:
      return frame.body_as_ChunkCancel()->digest()->string_view();
    case wire::Body::ChunkData:
      return frame.body_as_ChunkData()->digest()->string_view();
    case wire::Body::ChunkReceived:
      return frame.body_as_ChunkReceived()->digest()->string_view();
    default:
      return std::nullopt;
  }
}

std::vector<std::uint8_t> join_bitmap(const wire::SwarmJoin& join) {
  if (join.have() == nullptr) return {};
  return {join.have()->begin(), join.have()->end()};
}

bool apply_swarm_frame(Swarm& swarm, PeerId peer, const wire::Frame& frame, TimePoint now,
                       SwarmActions& actions) {
  switch (frame.body_type()) {
    case wire::Body::ChunksHave: {
      const auto* chunks = frame.body_as_ChunksHave()->chunks();
      if (chunks != nullptr) {
        swarm.on_peer_has(peer, {chunks->begin(), chunks->end()}, now, actions);
      }
      return true;
    }
    case wire::Body::ChunkRequest: {
      const auto* message = frame.body_as_ChunkRequest();
      swarm.on_request(peer, message->chunk(), message->progress(), now, actions);
      return true;
    }
    case wire::Body::ChunkRefused:
      swarm.on_refused(peer, frame.body_as_ChunkRefused()->chunk(), now, actions);
      return true;
    case wire::Body::ChunkCancel:
      swarm.on_cancel(peer, frame.body_as_ChunkCancel()->chunk());
      return true;
    default:
      return false;
  }
}

}  // namespace pumicemast
