#include "swarm/external_fetch_planner.h"

#include <cassert>

namespace pumicemast {
namespace {

/// Members of other regions that are asked in turn before the origin.
constexpr std::size_t kOtherRegionSources = 3;
/// Ranks searched for such members; enough unless nearly all members are in one region.
constexpr std::size_t kRanksSearched = 12;
/// Ranks that take over one after the other before the first is used again. If all of them fail,
/// the fault is one that further agents can't work around.
constexpr std::uint32_t kTakeoverRanks = 12;

}  // namespace

void ExternalFetchPlanner::add_task(ChunkIndex chunk, bool from_origin, bool takeover) {
  FetchTask task;
  task.from_origin = from_origin;
  task.takeover = takeover;
  task.origin_allowed = from_origin || takeover;
  // After a takeover other regions are asked first: they may hold the chunk by now.
  task.step = from_origin && takeover ? 1 : 0;
  tasks_.emplace(chunk, task);
}

void ExternalFetchPlanner::plan(std::shared_ptr<const SwarmMembership> membership,
                                const ChunkSet& have) {
  membership_ = std::move(membership);
  self_ = membership_->find(options_.self);
  if (self_ == nullptr) return;
  for (ChunkIndex chunk = 0; chunk < have.size(); ++chunk) {
    if (have.contains(chunk)) continue;
    bool from_origin = options_.origin_for_all;
    for (std::size_t rank = 0; rank < options_.origin_copies && !from_origin; ++rank) {
      const SwarmParticipant* owner = membership_->owner(chunk, rank);
      from_origin = owner != nullptr && owner->id == options_.self;
    }
    const SwarmParticipant* regional_owner = membership_->region_owner(chunk, self_->region, 0);
    const bool is_task =
        from_origin || (regional_owner != nullptr && regional_owner->id == options_.self);
    if (is_task) add_task(chunk, from_origin, false);
  }
}

void ExternalFetchPlanner::take_over(ChunkIndex chunk, bool fetches_from_origin) {
  const auto known = tasks_.find(chunk);
  if (known != tasks_.end()) {
    // The chunk is already a task of this agent; now no other agent fetches it from the origin.
    known->second.origin_allowed = known->second.origin_allowed || fetches_from_origin;
    return;
  }
  ++takeovers_;
  add_task(chunk, fetches_from_origin, true);
  FetchTask& task = tasks_.at(chunk);
  // A lagging overall owner has sent the chunk to no region, so asking other regions is futile.
  if (fetches_from_origin) task.step = 0;
  task.origin_allowed = fetches_from_origin;
}

std::vector<const SwarmParticipant*> ExternalFetchPlanner::other_region_sources(
    ChunkIndex chunk) const {
  std::vector<const SwarmParticipant*> sources;
  if (membership_->region_count() < 2) return sources;
  for (std::size_t rank = 0; rank < kRanksSearched && sources.size() < kOtherRegionSources;
       ++rank) {
    const SwarmParticipant* owner = membership_->owner(chunk, rank);
    if (owner == nullptr) break;
    const bool elsewhere = owner->region != self_->region;
    if (elsewhere && !avoided_.contains(owner->id)) sources.push_back(owner);
  }
  return sources;
}

bool ExternalFetchPlanner::should_try_origin(const FetchTask& task, std::size_t others,
                                             TimePoint now) const {
  if (others == 0) return true;
  // A regional owner uses the origin only after no other agent has fetched the chunk.
  if (!task.origin_allowed) return false;
  // While the origin fails, occasional probes suffice to detect its recovery. Each successful probe
  // fetches a chunk that another region may hold by then.
  if (origin_failing_ && now < next_origin_probe_) return false;
  // Unreachable members of other regions may still hold the chunk; members that refused don't.
  const bool first_try = task.step == 0;
  return first_try || task.refusals >= others || !origin_failing_ || active_origin_fetches_ == 0;
}

std::optional<ExternalFetch> ExternalFetchPlanner::next_fetch(ChunkIndex chunk, FetchTask& task,
                                                              TimePoint now) {
  const bool window_full = active_origin_fetches_ >= options_.origin_window;
  if (task.from_origin && task.step == 0 && window_full) return std::nullopt;  // The common case.
  const std::vector<const SwarmParticipant*> others = other_region_sources(chunk);
  const std::size_t round = others.size() + 1;
  const std::size_t position = task.step % round;
  const std::size_t origin_position = task.from_origin ? 0 : others.size();
  if (position == origin_position) {
    if (!should_try_origin(task, others.size(), now)) {
      ++task.step;
      task.refusals = 0;
      task.not_before = now + options_.source_pause;
      return std::nullopt;
    }
    if (window_full) return std::nullopt;
    task.fetching_from_origin = true;
    ++active_origin_fetches_;
    return ExternalFetch{chunk, std::nullopt, false};
  }
  const SwarmParticipant* source = others[task.from_origin ? position - 1 : position];
  const SwarmParticipant* owner = membership_->owner(chunk, 0);
  return ExternalFetch{chunk, source->id, source == owner};
}

std::vector<ExternalFetch> ExternalFetchPlanner::next_fetches(const ChunkSet& open, TimePoint now) {
  std::vector<ExternalFetch> fetches;
  if (self_ == nullptr) return fetches;
  for (auto& [chunk, task] : tasks_) {
    if (task.fetching || now < task.not_before || !open.contains(chunk)) continue;
    const auto next = next_fetch(chunk, task, now);
    if (!next) continue;
    task.fetching = true;
    fetches.push_back(*next);
  }
  return fetches;
}

bool ExternalFetchPlanner::on_received(ChunkIndex chunk) {
  const auto found = tasks_.find(chunk);
  if (found == tasks_.end()) return false;
  if (found->second.fetching_from_origin) --active_origin_fetches_;
  tasks_.erase(found);
  return true;
}

void ExternalFetchPlanner::on_origin_answered() {
  if (!origin_failing_) return;
  origin_failing_ = false;
  // Chunks that are missing here may have reached other regions during the outage. Those regions
  // are asked first; otherwise the origin would send many chunks a second time.
  for (auto& [chunk, task] : tasks_) {
    if (task.fetching) continue;
    task.step = task.from_origin ? 1 : 0;
    task.refusals = 0;
  }
}

void ExternalFetchPlanner::on_fetch_refused(ChunkIndex chunk, Duration pause, TimePoint now) {
  const auto found = tasks_.find(chunk);
  if (found != tasks_.end()) ++found->second.refusals;
  on_fetch_failed(chunk, pause, now);
}

void ExternalFetchPlanner::on_fetch_failed(ChunkIndex chunk, Duration pause, TimePoint now) {
  const auto found = tasks_.find(chunk);
  if (found == tasks_.end() || !found->second.fetching) return;
  FetchTask& task = found->second;
  task.fetching = false;
  if (task.fetching_from_origin) --active_origin_fetches_;
  task.fetching_from_origin = false;
  ++task.step;
  task.not_before = now + pause;
}

void ExternalFetchPlanner::on_origin_failed(ChunkIndex chunk, Duration pause, TimePoint now) {
  origin_failing_ = true;
  next_origin_probe_ = now + options_.origin_probe_interval;
  on_fetch_failed(chunk, pause, now);
}

std::vector<ChunkIndex> ExternalFetchPlanner::on_starved(const ChunkSet& missing, TimePoint now) {
  std::vector<ChunkIndex> futile_subscriptions;
  if (self_ == nullptr) return futile_subscriptions;
  for (auto& [chunk, task] : tasks_) {
    if (task.fetching && !task.fetching_from_origin && missing.contains(chunk))
      futile_subscriptions.push_back(chunk);
  }
  for (const ChunkIndex chunk : futile_subscriptions) on_fetch_failed(chunk, Duration::zero(), now);
  if (origin_failing_) {
    // This agent is cut off or the origin is down. Requests from more agents would not help, and
    // would all reach the origin at once when it recovers.
    takeover_rank_ = 0;
    std::erase_if(
        tasks_, [](const auto& entry) { return entry.second.takeover && !entry.second.fetching; });
    return futile_subscriptions;
  }
  takeover_rank_ = takeover_rank_ % kTakeoverRanks + 1;
  missing.for_each([&](ChunkIndex chunk) {
    const SwarmParticipant* next = membership_->owner(chunk, takeover_rank_);
    const SwarmParticipant* next_regional_owner =
        membership_->region_owner(chunk, self_->region, takeover_rank_);
    const bool fetches_from_origin = next != nullptr && next->id == options_.self;
    const bool fetches_into_region =
        next_regional_owner != nullptr && next_regional_owner->id == options_.self;
    if (!fetches_from_origin && !fetches_into_region) return;
    const auto task = tasks_.find(chunk);
    if (task != tasks_.end()) return;
    ++takeovers_;
    add_task(chunk, fetches_from_origin, true);
  });
  // From now on the owners themselves may use the origin as a last resort.
  for (auto& [chunk, task] : tasks_) task.origin_allowed = true;
  return futile_subscriptions;
}

}  // namespace pumicemast
