#include "gateway/quarantine/crash_witness.h"

#include <algorithm>

namespace pumicemast {
namespace {

/// Between a connection's end and the word that the process ended: an agent's interval of asking,
/// its patience with an engine that says nothing, and the way here.
constexpr Duration kConfirmationLimit = milliseconds(1500);
/// Agents that ask their engines by turns tell of ends at one moment within such a span.
constexpr Duration kCrowdSpan = milliseconds(200);
/// Fewer that end within the span are taken for a coincidence.
constexpr std::ptrdiff_t kCrowd = 3;

}  // namespace

void CrashWitness::on_cut_off(const BackendIncarnation& backend, const RequestFingerprint& request,
                              TimePoint now) {
  const auto ended = ended_.find(backend.id);
  if (ended != ended_.end() && now - ended->second <= kConfirmationLimit) {
    found_.push_back({backend, ended->second, {request}});
    return;
  }
  cut_off_[backend.id].push_back({backend, request, now});
}

void CrashWitness::on_ended(const std::string& backend, TimePoint now) {
  ended_[backend] = now;
  const auto found = cut_off_.find(backend);
  if (found == cut_off_.end()) return;
  BackendCrash crash{found->second.back().backend, now, {}};
  for (const CutOff& cut_off : found->second) {
    if (now - cut_off.at <= kConfirmationLimit) crash.requests.push_back(cut_off.request);
  }
  cut_off_.erase(found);
  if (!crash.requests.empty()) found_.push_back(std::move(crash));
}

bool CrashWitness::in_crowd(TimePoint at) const {
  return std::count_if(ended_.begin(), ended_.end(), [&](const auto& entry) {
           return std::chrono::abs(entry.second - at) <= kCrowdSpan;
         }) >= kCrowd;
}

std::vector<BackendCrash> CrashWitness::take_crashes(TimePoint now) {
  std::vector<BackendCrash> result = std::move(found_);
  found_.clear();
  for (BackendCrash& crash : result) crash.in_crowd = in_crowd(crash.at);
  // The ends of a crowd are told one after the other.
  std::erase_if(taken_, [&](BackendCrash& crash) {
    if (!in_crowd(crash.at)) return now - crash.at > kCrowdSpan * 2;
    crash.in_crowd = true;
    result.push_back(std::move(crash));
    return true;
  });
  for (const BackendCrash& crash : result) {
    if (!crash.in_crowd) taken_.push_back(crash);
  }
  return result;
}

bool CrashWitness::awaits(const RequestFingerprint& request, TimePoint now) const {
  return std::any_of(cut_off_.begin(), cut_off_.end(), [&](const auto& entry) {
    return std::any_of(entry.second.begin(), entry.second.end(), [&](const CutOff& cut_off) {
      return cut_off.request == request && now - cut_off.at <= kConfirmationLimit;
    });
  });
}

void CrashWitness::sweep(TimePoint now) {
  std::erase_if(ended_, [&](const auto& entry) { return now - entry.second > kConfirmationLimit; });
  for (auto& [backend, attempts] : cut_off_) {
    std::erase_if(attempts,
                  [&](const CutOff& cut_off) { return now - cut_off.at > kConfirmationLimit; });
  }
  std::erase_if(cut_off_, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace pumicemast
