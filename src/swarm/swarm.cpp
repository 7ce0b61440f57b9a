#include "swarm/swarm.h"

#include <algorithm>
#include <cassert>

namespace pumicemast {
namespace {

constexpr Duration kTakeoverForTime = seconds(3);
constexpr Duration kTakeoverForOriginBytes = seconds(10);
constexpr Duration kRefusalPause = milliseconds(100);
/// Interval between attempts to rejoin neighbours whose connection broke.
constexpr Duration kRejoinInterval = seconds(2);
constexpr Duration kStallPause = seconds(2);
/// Owners are first compared after this many intervals; earlier differences are due to chance.
constexpr int kFirstLagCheck = 10;
/// Limit on neighbours beyond which agents that this agent did not choose can't join.
constexpr std::size_t kMaximumNeighbours = 64;

}  // namespace

void apply_objective(SwarmObjective objective, SwarmOptions& options) {
  const bool time = objective == SwarmObjective::time;
  options.takeover_interval = time ? kTakeoverForTime : kTakeoverForOriginBytes;
}

Swarm::Swarm(SwarmOptions options, ChunkSet have)
    : options_(options),
      picker_(std::move(have), options.pick_policy, options.seed ^ options.self),
      external_fetches_({options.self, options.origin_window, options.origin_copies,
                         options.origin_for_all, options.origin_probe_interval,
                         options.source_pause}),
      uploads_(options.upload_slots, options.upload_queue_limit),
      responses_({options.initial_request_timeout, options.minimum_request_timeout,
                  options.maximum_request_timeout}),
      starvation_(options.takeover_interval),
      random_(static_cast<std::minstd_rand::result_type>(
          (options.seed * 31 + options.self) % std::minstd_rand::modulus + 1)) {}

PeerRecord& Swarm::peer(PeerId id) { return peers_.try_emplace(id, have().size()).first->second; }

bool Swarm::in_other_region(PeerId id) const {
  if (membership_ == nullptr || self_ == nullptr) return false;
  const SwarmParticipant* participant = membership_->find(id);
  return participant != nullptr && participant->region != self_->region;
}

void Swarm::add_neighbour(PeerId id, SwarmActions& actions) {
  if (!options_.use_peers) return;
  PeerRecord& record = peer(id);
  if (record.neighbour) return;
  record.neighbour = true;
  neighbours_.push_back({id, &record});
  actions.push_back(JoinPeer{id});
}

void Swarm::on_membership(std::shared_ptr<const SwarmMembership> membership, TimePoint now,
                          SwarmActions& actions) {
  const bool first = membership_ == nullptr;
  membership_ = std::move(membership);
  self_ = membership_->find(options_.self);
  if (first) {
    last_chunk_ = now;
    starvation_.restart(now);
    first_external_fetch_ = now + options_.external_fetch_delay;
    next_lag_check_ = now + options_.lag_check_interval * kFirstLagCheck;
    owner_monitor_.emplace(options_.self, have());
  }
  for (const PeerId id : membership_->neighbours(options_.self)) add_neighbour(id, actions);
  external_fetches_.plan(membership_, have());
  if (complete() && !reported_complete_) {
    reported_complete_ = true;
    actions.push_back(SwarmComplete{});
  }
  request_external_chunks(now, actions);
  request_more(now, actions);
}

void Swarm::on_peer_joined(PeerId id, const ChunkSet& held, TimePoint now, SwarmActions& actions) {
  if (!peer(id).neighbour) {
    if (neighbours_.size() >= kMaximumNeighbours || !options_.use_peers) return;
    add_neighbour(id, actions);
  }
  PeerRecord& record = peer(id);
  if (record.joined) picker_.on_neighbour_lost(record.held);
  record.joined = true;
  record.held = ChunkSet(have().size());
  held.for_each([&](ChunkIndex chunk) {
    if (record.held.insert(chunk)) record_neighbour_has(chunk, now, actions);
  });
  request_more(now, actions);
}

void Swarm::on_peer_has(PeerId id, const std::vector<ChunkIndex>& chunks, TimePoint now,
                        SwarmActions& actions) {
  const auto found = peers_.find(id);
  if (found == peers_.end() || !found->second.joined) return;
  for (const ChunkIndex chunk : chunks) {
    if (found->second.held.insert(chunk)) record_neighbour_has(chunk, now, actions);
  }
  request_more(now, actions);
}

void Swarm::on_peer_lost(PeerId id, TimePoint now, SwarmActions& actions) {
  const auto found = peers_.find(id);
  if (found == peers_.end()) return;
  for (const ChunkIndex chunk : requests_.chunks_requested_from(id)) {
    close_request(chunk);
    picker_.on_request_failed(chunk);
    external_fetches_.on_fetch_failed(chunk, Duration::zero(), now);
  }
  if (found->second.joined) picker_.on_neighbour_lost(found->second.held);
  std::erase_if(neighbours_, [&](const Neighbour& neighbour) { return neighbour.id == id; });
  uploads_.on_peer_lost(id);
  found->second.on_lost();
  request_more(now, actions);
}

void Swarm::open_request(PeerId id, ChunkIndex chunk, bool subscription, TimePoint now,
                         SwarmActions& actions) {
  requests_.open(chunk, {id, now, subscription});
  picker_.on_requested(chunk);
  if (!subscription) ++peer(id).open_requests;
  actions.push_back(RequestFromPeer{id, chunk, have().count()});
}

void Swarm::close_request(ChunkIndex chunk) {
  const PeerRequest* request = requests_.find(chunk);
  if (request == nullptr) return;
  if (!request->subscription) --peer(request->peer).open_requests;
  requests_.close(chunk);
}

void Swarm::abandon_request(ChunkIndex chunk, SwarmActions& actions) {
  actions.push_back(CancelFromPeer{requests_.find(chunk)->peer, chunk});
  close_request(chunk);
  picker_.on_request_failed(chunk);
}

void Swarm::request_more(TimePoint now, SwarmActions& actions) {
  if (paused_ || membership_ == nullptr || complete()) return;
  request_from_neighbours(now, actions);
}

void Swarm::request_external_chunks(TimePoint now, SwarmActions& actions) {
  if (paused_ || membership_ == nullptr || complete() || now < first_external_fetch_) return;
  for (const ExternalFetch& fetch : external_fetches_.next_fetches(picker_.open(), now)) {
    if (fetch.peer) {
      open_request(*fetch.peer, fetch.chunk, true, now, actions);
      continue;
    }
    picker_.on_requested(fetch.chunk);
    origin_fetches_.begin(fetch.chunk, now);
    actions.push_back(RequestFromOrigin{fetch.chunk});
  }
}

void Swarm::request_from_neighbours(TimePoint now, SwarmActions& actions) {
  if (!options_.use_peers || picker_.open().count() == 0) return;
  if (requests_.within_window() >= options_.window) return;
  const std::vector<Neighbour> suppliers = shuffled_suppliers(now);
  // One request per neighbour and round spreads the load evenly over the uplinks.
  for (std::uint32_t round = 0; round < options_.window_per_peer; ++round) {
    for (const Neighbour& supplier : suppliers) {
      if (requests_.within_window() >= options_.window) return;
      if (supplier.peer->open_requests > round) continue;
      const auto chunk = picker_.pick(supplier.peer->held);
      if (chunk) open_request(supplier.id, *chunk, false, now, actions);
    }
  }
}

std::vector<Swarm::Neighbour> Swarm::shuffled_suppliers(TimePoint now) {
  std::vector<Neighbour> suppliers;
  suppliers.reserve(neighbours_.size());
  for (const Neighbour& neighbour : neighbours_) {
    if (neighbour.peer->can_request(now)) suppliers.push_back(neighbour);
  }
  std::shuffle(suppliers.begin(), suppliers.end(), random_);
  return suppliers;
}

void Swarm::on_chunk(std::optional<PeerId> source, ChunkIndex chunk, ChunkArrival arrival,
                     TimePoint now, SwarmActions& actions) {
  if (chunk >= have().size()) return;
  if (source) {
    record_delivery(*source, chunk, arrival, now, actions);
  } else {
    origin_fetches_.on_arrived(chunk, now);
    external_fetches_.on_origin_answered();
    if (arrival == ChunkArrival::verified) ++counters_.chunks_from_origin;
  }
  if (arrival == ChunkArrival::corrupt) {
    reject_chunk(chunk, now, actions);
  } else {
    accept_chunk(chunk, now, actions);
  }
}

void Swarm::record_delivery(PeerId source, ChunkIndex chunk, ChunkArrival arrival, TimePoint now,
                            SwarmActions& actions) {
  const bool corrupt = arrival == ChunkArrival::corrupt;
  const bool newly_avoided = peer(source).on_delivery(corrupt, options_.trust, now);
  responses_.on_arrival();
  const PeerRequest* request = requests_.find(chunk);
  if (request != nullptr && request->peer == source) {
    if (!request->subscription) responses_.on_response(now - request->sent);
    close_request(chunk);
  }
  if (!corrupt) {
    ++counters_.chunks_from_peers;
    if (in_other_region(source)) ++counters_.chunks_from_other_regions;
  }
  if (newly_avoided) actions.push_back(PeerAvoided{source});
}

void Swarm::reject_chunk(ChunkIndex chunk, TimePoint now, SwarmActions& actions) {
  ++counters_.corrupt_chunks;
  const bool requested_elsewhere = requests_.contains(chunk) || origin_fetches_.contains(chunk);
  if (!requested_elsewhere) picker_.on_request_failed(chunk);
  external_fetches_.on_fetch_failed(chunk, Duration::zero(), now);
  request_external_chunks(now, actions);
  request_more(now, actions);
}

void Swarm::on_local_copy_done(ChunkIndex chunk, TimePoint now, SwarmActions& actions) {
  accept_chunk(chunk, now, actions);
}

void Swarm::accept_chunk(ChunkIndex chunk, TimePoint now, SwarmActions& actions) {
  if (!picker_.on_received(chunk)) {
    ++counters_.duplicate_chunks;
    return;
  }
  last_chunk_ = now;
  const bool from_outside = external_fetches_.on_received(chunk);
  if (from_outside) record_appearance(now);
  // The chunk answered an earlier request, so the open one is no longer needed.
  if (const PeerRequest* request = requests_.find(chunk)) {
    actions.push_back(CancelFromPeer{request->peer, chunk});
    close_request(chunk);
  }
  if (origin_fetches_.end(chunk)) actions.push_back(CancelFromOrigin{chunk});
  unannounced_.push_back(chunk);
  uploads_.on_held(chunk, actions);
  if (complete() && !reported_complete_) {
    reported_complete_ = true;
    announce(now, actions);
    actions.push_back(SwarmComplete{});
  }
  if (now >= next_announcement_) announce(now, actions);
  if (from_outside) request_external_chunks(now, actions);
  request_more(now, actions);
}

void Swarm::on_refused(PeerId id, ChunkIndex chunk, TimePoint now, SwarmActions& actions) {
  const PeerRequest* request = requests_.find(chunk);
  if (request == nullptr || request->peer != id) return;
  close_request(chunk);
  picker_.on_request_failed(chunk);
  external_fetches_.on_fetch_refused(chunk, kRefusalPause, now);
  peer(id).on_refusal(kRefusalPause, now);
  request_more(now, actions);
}

void Swarm::on_origin_failed(ChunkIndex chunk, Duration retry_after, TimePoint now,
                             SwarmActions& actions) {
  if (!origin_fetches_.end(chunk)) return;
  picker_.on_request_failed(chunk);
  external_fetches_.on_origin_failed(chunk, retry_after, now);
  request_external_chunks(now, actions);
  request_more(now, actions);
}

void Swarm::on_request(PeerId id, ChunkIndex chunk, std::uint32_t progress, TimePoint,
                       SwarmActions& actions) {
  if (chunk >= have().size()) return;
  const bool elsewhere = in_other_region(id);
  if (have().contains(chunk)) {
    uploads_.on_request({id, chunk, progress, elsewhere}, actions);
    return;
  }
  const SwarmParticipant* owner = membership_ ? membership_->owner(chunk, 0) : nullptr;
  if (owner != nullptr && owner->id == options_.self && elsewhere) {
    uploads_.on_subscription(id, chunk);
  } else {
    actions.push_back(RefuseChunk{id, chunk});
  }
}

void Swarm::on_cancel(PeerId id, ChunkIndex chunk) { uploads_.on_cancel(id, chunk); }

void Swarm::on_sent(TimePoint, SwarmActions& actions) { uploads_.on_sent(actions); }

void Swarm::announce(TimePoint now, SwarmActions& actions) {
  next_announcement_ = now + options_.announce_interval;
  if (unannounced_.empty()) return;
  AnnounceChunks announcement;
  for (const Neighbour& neighbour : neighbours_) announcement.peers.push_back(neighbour.id);
  announcement.chunks = std::move(unannounced_);
  actions.push_back(std::move(announcement));
  unannounced_.clear();
}

void Swarm::expire_requests(TimePoint now, SwarmActions& actions) {
  // Once all chunks are held or requested, a single late response keeps the replica from going
  // live. Such chunks are soon requested elsewhere, which duplicates at most one window of chunks.
  const bool end_game = picker_.open().count() == 0;
  const Duration timeout = end_game ? responses_.end_game_timeout() : responses_.timeout();
  const auto expired = requests_.select([&](const PeerRequest& request) {
    const Duration limit = request.subscription ? options_.subscription_timeout : timeout;
    // A peer that has delivered other chunks in the meantime is busy, not stalled.
    const TimePoint last_activity =
        end_game ? request.sent : std::max(request.sent, peer(request.peer).last_arrival());
    return now - last_activity >= limit;
  });
  for (const ChunkIndex chunk : expired) {
    const PeerRequest request = *requests_.find(chunk);
    if (!request.subscription) peer(request.peer).on_stall(kStallPause, now);
    abandon_request(chunk, actions);
    external_fetches_.on_fetch_failed(chunk, Duration::zero(), now);
    ++counters_.request_timeouts;
  }
  if (!expired.empty() && !end_game) responses_.on_timeout();
}

void Swarm::expire_origin_fetches(TimePoint now, SwarmActions& actions) {
  for (const ChunkIndex chunk : origin_fetches_.older_than(options_.origin_timeout, now)) {
    origin_fetches_.end(chunk);
    picker_.on_request_failed(chunk);
    external_fetches_.on_fetch_failed(chunk, Duration::zero(), now);
    actions.push_back(CancelFromOrigin{chunk});
  }
}

void Swarm::record_neighbour_has(ChunkIndex chunk, TimePoint now, SwarmActions& actions) {
  const bool appears = picker_.availability(chunk) == 0 && !have().contains(chunk);
  picker_.on_neighbour_has(chunk);
  if (!appears) return;
  record_appearance(now);
  if (origin_fetches_.end(chunk)) {
    // A neighbour holds the chunk, so the origin need not send it; most requests to the origin are
    // still in its queue.
    external_fetches_.on_received(chunk);
    picker_.on_request_failed(chunk);
    actions.push_back(CancelFromOrigin{chunk});
  }
}

void Swarm::record_appearance(TimePoint now) {
  starvation_.on_chunk_appeared(now);
  external_fetches_.on_progress();
}

void Swarm::take_over_if_starved(TimePoint now, SwarmActions& actions) {
  if (paused_ || complete() || self_ == nullptr) return;
  starvation_.set_origin_fetch_time(origin_fetches_.typical_duration(now));
  if (!starvation_.starved(now)) return;
  const bool no_chunk_arrives = now - last_chunk_ >= starvation_.takeover_interval();
  starvation_.on_takeover(now);
  ChunkSet missing(have().size());
  for (ChunkIndex chunk = 0; chunk < have().size(); ++chunk) {
    if (have().contains(chunk)) continue;
    if (no_chunk_arrives || picker_.availability(chunk) == 0) missing.insert(chunk);
  }
  if (missing.count() == 0) return;
  for (const ChunkIndex chunk : external_fetches_.on_starved(missing, now)) {
    if (requests_.contains(chunk)) abandon_request(chunk, actions);
  }
}

bool Swarm::appeared(ChunkIndex chunk) const {
  return have().contains(chunk) || picker_.availability(chunk) > 0;
}

void Swarm::take_over_from_lagging_owners(TimePoint now, SwarmActions& actions) {
  const bool due = options_.lag_check_interval > Duration::zero() && now >= next_lag_check_;
  if (!due || paused_ || complete() || self_ == nullptr) return;
  next_lag_check_ = now + options_.lag_check_interval;
  owner_monitor_->compare(*membership_, [this](ChunkIndex chunk) { return appeared(chunk); });
  external_fetches_.set_avoided(owner_monitor_->lagging());
  if (owner_monitor_->lagging().empty()) return;
  for (ChunkIndex chunk = 0; chunk < have().size(); ++chunk) {
    if (!appeared(chunk)) take_over_chunk(chunk, now, actions);
  }
}

void Swarm::take_over_chunk(ChunkIndex chunk, TimePoint now, SwarmActions& actions) {
  const PeerRequest* request = requests_.find(chunk);
  const bool futile = request != nullptr && request->subscription &&
                      owner_monitor_->lagging().contains(request->peer);
  if (futile) {
    abandon_request(chunk, actions);
    external_fetches_.on_fetch_failed(chunk, Duration::zero(), now);
  }
  const bool fetches_from_origin = owner_monitor_->takes_over_origin_fetch(*membership_, chunk);
  const bool fetches_into_region = owner_monitor_->takes_over_region_fetch(*membership_, chunk);
  if (fetches_from_origin || fetches_into_region)
    external_fetches_.take_over(chunk, fetches_from_origin);
}

void Swarm::join_missing_neighbours(TimePoint now, SwarmActions& actions) {
  if (membership_ == nullptr || now < next_rejoin_) return;
  next_rejoin_ = now + kRejoinInterval;
  for (const PeerId id : membership_->neighbours(options_.self)) add_neighbour(id, actions);
}

void Swarm::on_tick(TimePoint now, SwarmActions& actions) {
  join_missing_neighbours(now, actions);
  expire_requests(now, actions);
  expire_origin_fetches(now, actions);
  take_over_from_lagging_owners(now, actions);
  take_over_if_starved(now, actions);
  if (now >= next_announcement_) announce(now, actions);
  request_external_chunks(now, actions);
  request_more(now, actions);
}

void Swarm::set_paused(bool paused, TimePoint now, SwarmActions& actions) {
  paused_ = paused;
  last_chunk_ = now;
  starvation_.restart(now);
  request_more(now, actions);
}

void Swarm::set_limits(std::uint32_t window, std::uint32_t upload_slots) {
  options_.window = window;
  uploads_.set_slots(upload_slots);
}

}  // namespace pumicemast
