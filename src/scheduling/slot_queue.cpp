#include "scheduling/slot_queue.h"

#include <algorithm>
#include <limits>
#include <set>
#include <tuple>

namespace pumicemast {
namespace {

/// Weight of the newest interval in the mean interval between grants.
constexpr double kIntervalSmoothing = 0.1;
/// Nothing is denied by prediction before this many intervals have been measured.
constexpr std::uint32_t kMinimumIntervals = 5;
/// A longer interval than this many means is a pause of the engine, not its speed; counted whole,
/// it would deny requests for seconds after the pause.
constexpr double kLongestIntervalRatio = 4;
/// Intervals up to this are measured whole, however small the mean is.
constexpr double kAlwaysMeasuredIntervalMs = 100;
constexpr Duration kSweepInterval = seconds(5);
/// Bounds what a request may state, so that sums with it neither overflow nor divide by zero.
constexpr Duration kMaximumUsefulTime = seconds(60);
constexpr std::uint32_t kMaximumCopies = 16;
constexpr std::uint32_t kMaximumPromptTokens = 10'000'000;

SlotRequest bounded(SlotRequest request) {
  request.priority = std::clamp(request.priority, kMostUrgentPriority, kLeastUrgentPriority);
  request.copies = std::clamp<std::uint32_t>(request.copies, 1, kMaximumCopies);
  request.prompt_tokens = std::min(request.prompt_tokens, kMaximumPromptTokens);
  request.useful_for = std::clamp(request.useful_for, Duration::zero(), kMaximumUsefulTime);
  return request;
}

double part_of_request(const SlotRequest& request) {
  return 1.0 / static_cast<double>(request.copies);
}

Duration times(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

SlotQueue::SlotQueue(Options options)
    : options_(options),
      level_shares_(options.level_shares),
      tenant_shares_(options.tenant_shares) {}

GuaranteedShares::Group SlotQueue::level_of(const SlotRequest& request) {
  return static_cast<GuaranteedShares::Group>(request.priority);
}

TimePoint SlotQueue::useful_until(const Waiting& waiting) {
  return waiting.since + waiting.request.useful_for;
}

void SlotQueue::add(PeerId gateway, const SlotRequest& stated, TimePoint now) {
  const SlotRequest request = bounded(stated);
  const auto [entry, added] = waiting_.try_emplace({gateway, request.number});
  entry->second.request = request;
  entry->second.since = now;
  if (!added) return;
  entry->second.arrival = arrivals_++;
  level_shares_.on_requested(level_of(request), now);
  tenant_shares_.on_requested(request.tenant, now);
  if (now - swept_at_ < kSweepInterval) return;
  swept_at_ = now;
  level_shares_.sweep(now);
  tenant_shares_.sweep(now);
}

void SlotQueue::withdraw(PeerId gateway, std::uint64_t number) {
  const Key key{gateway, number};
  waiting_.erase(key);
  std::erase_if(grants_in_transit_, [&](const Grant& grant) {
    if (grant.key != key) return false;
    level_shares_.on_returned(level_of(grant.request), grant.at);
    tenant_shares_.on_returned(grant.request.tenant, grant.at);
    return true;
  });
  if (waiting_.empty()) contended_since_grant_.reset();
}

void SlotQueue::remove_gateway(PeerId gateway) {
  std::erase_if(waiting_, [&](const auto& entry) { return entry.first.gateway == gateway; });
  std::erase_if(grants_in_transit_,
                [&](const Grant& grant) { return grant.key.gateway == gateway; });
  if (waiting_.empty()) contended_since_grant_.reset();
}

std::map<PeerId, SlotDecisions> SlotQueue::decide(const SlotCapacity& capacity, TimePoint now) {
  Replies replies;
  forget_seen_grants(capacity.read_at);
  if (waiting_.empty()) return replies;
  if (!capacity.available || capacity.slots == 0) {
    deny_all(SlotDenialReason::engine_unavailable, replies);
    return replies;
  }
  grant_free_slots(capacity, replies, now);
  deny_unservable(replies, now);
  if (waiting_.empty()) contended_since_grant_.reset();
  return replies;
}

void SlotQueue::forget_seen_grants(TimePoint read_at) {
  while (!grants_in_transit_.empty() &&
         grants_in_transit_.front().at + options_.grant_transit <= read_at) {
    grants_in_transit_.pop_front();
  }
}

std::uint32_t SlotQueue::grants_in_transit(TimePoint read_at) const {
  return static_cast<std::uint32_t>(std::count_if(
      grants_in_transit_.begin(), grants_in_transit_.end(),
      [&](const Grant& grant) { return grant.at + options_.grant_transit > read_at; }));
}

std::uint32_t SlotQueue::prompt_tokens_in_transit(TimePoint read_at) const {
  std::uint32_t tokens = 0;
  for (const Grant& grant : grants_in_transit_) {
    if (grant.at + options_.grant_transit > read_at) tokens += grant.request.prompt_tokens;
  }
  return tokens;
}

void SlotQueue::grant_free_slots(const SlotCapacity& capacity, Replies& replies, TimePoint now) {
  const std::uint64_t usable = std::uint64_t{capacity.slots} + options_.grants_ahead;
  std::uint64_t taken = std::uint64_t{capacity.occupied} + grants_in_transit(capacity.read_at);
  // Without a known chunk, the backlog says nothing.
  const double readable_tokens =
      capacity.prefill_chunk_tokens == 0
          ? std::numeric_limits<double>::infinity()
          : options_.maximum_backlog_passes * capacity.prefill_chunk_tokens;
  double pending_tokens =
      capacity.pending_prompt_tokens + prompt_tokens_in_transit(capacity.read_at);
  std::size_t grants = 0;
  while (!waiting_.empty() && taken < usable && pending_tokens < readable_tokens) {
    const auto chosen = next(now);
    if (chosen == waiting_.end()) break;
    pending_tokens += chosen->second.request.prompt_tokens;
    ++taken;
    ++grants;
    grant(chosen, replies, now);
  }
  measure_interval(grants, now);
}

void SlotQueue::grant(Iterator next, Replies& replies, TimePoint now) {
  const auto& [key, waiting] = *next;
  level_shares_.on_granted(level_of(waiting.request), now);
  tenant_shares_.on_granted(waiting.request.tenant, now);
  replies[key.gateway].granted.push_back(key.number);
  grants_in_transit_.push_back({key, waiting.request, now});
  waiting_.erase(next);
}

void SlotQueue::measure_interval(std::size_t grants, TimePoint now) {
  if (grants == 0) return;
  if (contended_since_grant_) {
    double interval_ms =
        to_fractional_milliseconds(now - *contended_since_grant_) / static_cast<double>(grants);
    if (measured_intervals_ >= kMinimumIntervals) {
      interval_ms = std::min(interval_ms, std::max(kLongestIntervalRatio * mean_interval_ms_,
                                                   kAlwaysMeasuredIntervalMs));
    }
    for (std::size_t count = 0; count < grants; ++count) {
      ++measured_intervals_;
      const double weight = std::max(kIntervalSmoothing, 1.0 / measured_intervals_);
      mean_interval_ms_ += (interval_ms - mean_interval_ms_) * weight;
    }
  }
  contended_since_grant_ = now;
}

std::optional<Duration> SlotQueue::grant_interval(TimePoint now) const {
  if (measured_intervals_ < kMinimumIntervals) return std::nullopt;
  const Duration mean = Duration(
      static_cast<Duration::rep>(mean_interval_ms_ * static_cast<double>(milliseconds(1).count())));
  if (!contended_since_grant_) return mean;
  // An engine that has granted nothing for much longer than usual has become slower.
  return std::max(mean, (now - *contended_since_grant_) / 2);
}

GuaranteedShares::Group SlotQueue::level_in_turn(const std::vector<Iterator>& candidates,
                                                 TimePoint now) const {
  std::set<GuaranteedShares::Group> levels;
  for (const Iterator& entry : candidates) levels.insert(level_of(entry->second.request));
  const auto deprived = level_shares_.most_deprived({levels.begin(), levels.end()}, now);
  return deprived.value_or(*levels.begin());
}

std::vector<SlotQueue::Iterator> SlotQueue::in_turn(TimePoint now) {
  std::vector<Iterator> result;
  bool only_returning = true;
  for (auto entry = waiting_.begin(); entry != waiting_.end(); ++entry) {
    if (useful_until(entry->second) <= now) continue;
    result.push_back(entry);
    if (!entry->second.request.returning) only_returning = false;
  }
  if (result.empty()) return result;
  std::erase_if(result, [&](const Iterator& entry) {
    return entry->second.request.returning != only_returning;
  });
  const GuaranteedShares::Group level = level_in_turn(result, now);
  std::erase_if(result,
                [&](const Iterator& entry) { return level_of(entry->second.request) != level; });
  return result;
}

SlotQueue::Iterator SlotQueue::next(TimePoint now) {
  const std::vector<Iterator> candidates = in_turn(now);
  std::map<GuaranteedShares::Group, double> grants;
  for (const Iterator& entry : candidates) grants.try_emplace(entry->second.request.tenant, 0);
  std::vector<GuaranteedShares::Group> tenants;
  for (auto& [tenant, recent] : grants) {
    tenants.push_back(tenant);
    recent = tenant_shares_.recent_grants(tenant, now);
  }
  const auto deprived = tenant_shares_.most_deprived(tenants, now);
  const auto rank = [&](const Iterator& entry) {
    const std::uint64_t tenant = entry->second.request.tenant;
    return std::make_tuple(deprived != tenant, grants.at(tenant), entry->second.arrival);
  };
  const auto best = std::min_element(
      candidates.begin(), candidates.end(),
      [&](const Iterator& one, const Iterator& other) { return rank(one) < rank(other); });
  return best == candidates.end() ? waiting_.end() : *best;
}

std::vector<SlotQueue::Key> SlotQueue::expected_order(TimePoint now) const {
  /// By returning, level and tenant, then in the order of arrival.
  using Entry = std::tuple<bool, int, std::uint64_t, std::uint64_t, const Key*, double>;
  std::vector<Entry> by_tenant;
  by_tenant.reserve(waiting_.size());
  for (const auto& [key, waiting] : waiting_) {
    const SlotRequest& request = waiting.request;
    by_tenant.emplace_back(request.returning, request.priority, request.tenant, waiting.arrival,
                           &key, part_of_request(request));
  }
  std::sort(by_tenant.begin(), by_tenant.end());
  using Rank = std::tuple<bool, int, double, std::uint64_t, const Key*>;
  std::vector<Rank> ranks;
  ranks.reserve(by_tenant.size());
  std::optional<std::tuple<bool, int, std::uint64_t>> previous;
  // Grants that the tenant will have had when the request's turn comes.
  double grants_before = 0;
  for (const auto& [returning, priority, tenant, arrival, key, part] : by_tenant) {
    const std::tuple group(returning, priority, tenant);
    if (previous != group) grants_before = tenant_shares_.recent_grants(tenant, now);
    previous = group;
    ranks.emplace_back(returning, priority, grants_before, arrival, key);
    grants_before += part;
  }
  std::sort(ranks.begin(), ranks.end());
  std::vector<Key> order;
  order.reserve(ranks.size());
  for (const Rank& rank : ranks) order.push_back(*std::get<const Key*>(rank));
  return order;
}

Duration SlotQueue::expected_wait(const SlotRequest& request, const WorkAhead& ahead,
                                  Duration interval, TimePoint now) const {
  // The shares of levels hold among first attempts; returning callers wait behind all of these.
  if (request.returning) return times(interval, ahead.all);
  const double guaranteed = level_shares_.guaranteed_part(level_of(request), now);
  // A level is granted at least its guaranteed part, whatever waits at more urgent levels.
  const double slots =
      guaranteed > 0 ? std::min(ahead.all, ahead.same_level / guaranteed) : ahead.all;
  return times(interval, slots);
}

void SlotQueue::deny_unservable(Replies& replies, TimePoint now) {
  const std::optional<Duration> interval = grant_interval(now);
  WorkAhead ahead;
  int level = kMostUrgentPriority;
  bool returning = false;
  std::size_t kept = 0;
  for (const Key& key : expected_order(now)) {
    const Waiting& waiting = waiting_.at(key);
    const SlotRequest& request = waiting.request;
    if (request.priority != level || request.returning != returning) {
      level = request.priority;
      returning = request.returning;
      ahead.more_urgent = ahead.all;
      ahead.same_level = 0;
      ahead.other_tenants = 0;
    }
    const bool over_share = tenant_shares_.above_mean(request.tenant, now);
    const Duration wait = expected_wait(request, ahead, interval.value_or(Duration::zero()), now);
    const Duration useful = useful_until(waiting) - now;
    if (useful <= Duration::zero() || wait > useful || kept >= options_.maximum_waiting) {
      const bool by_urgency = ahead.more_urgent > ahead.same_level;
      const bool by_share = over_share && ahead.other_tenants > 0;
      const SlotDenialReason reason = by_urgency ? SlotDenialReason::more_urgent_first
                                      : by_share ? SlotDenialReason::tenant_over_share
                                                 : SlotDenialReason::no_capacity;
      deny(key, reason, wait, replies);
      continue;
    }
    ++kept;
    const double part = part_of_request(request);
    ahead.all += part;
    ahead.same_level += part;
    if (!over_share) ahead.other_tenants += part;
  }
}

void SlotQueue::deny_all(SlotDenialReason reason, Replies& replies) {
  for (const auto& [key, waiting] : waiting_) {
    replies[key.gateway].denied.push_back({key.number, reason, Duration::zero()});
  }
  waiting_.clear();
  contended_since_grant_.reset();
}

void SlotQueue::deny(const Key& key, SlotDenialReason reason, Duration expected_wait,
                     Replies& replies) {
  replies[key.gateway].denied.push_back({key.number, reason, expected_wait});
  waiting_.erase(key);
}

}  // namespace pumicemast
