#include "gateway/quarantine/crash_correlator.h"

#include <algorithm>

namespace pumicemast {
namespace {

/// Longest time between the end of a connection and the report of the process exit. It covers an
/// agent's polling interval, its timeout for an engine that does not answer, and the transit time
/// of the report.
constexpr Duration kConfirmationTimeout = milliseconds(1500);
/// Process exits at the same moment are reported within this span, because agents poll their
/// engines at different times.
constexpr Duration kBurstSpan = milliseconds(200);
/// Fewer exits within the span are treated as a coincidence.
constexpr std::ptrdiff_t kMinimumBurstSize = 3;

void add_parts(SuspectedParts& parts, const PromptParts& more, const RequestFingerprint& request) {
  for (const PromptPart& part : more) {
    const auto known = std::find_if(parts.begin(), parts.end(), [&](const SuspectedPart& seen) {
      return seen.fingerprint == part.fingerprint;
    });
    if (known == parts.end()) {
      parts.push_back({part.id, part.fingerprint, request.low});
    } else {
      known->carrier = std::min(known->carrier, request.low);
    }
  }
}

}  // namespace

void CrashCorrelator::on_response_interrupted(const BackendIncarnation& backend,
                                              const RequestFingerprint& request, TimePoint now,
                                              const PromptParts& prompt_parts) {
  if (exited_recently(backend.id, now)) {
    BackendCrash crash{backend, exited_.at(backend.id), {request}, false, {}};
    add_parts(crash.prompt_parts, prompt_parts, request);
    unreported_.push_back(std::move(crash));
    return;
  }
  interrupted_[backend.id].push_back({backend, request, now, prompt_parts});
}

bool CrashCorrelator::exited_recently(const std::string& backend, TimePoint now) const {
  const auto exited = exited_.find(backend);
  return exited != exited_.end() && now - exited->second <= kConfirmationTimeout;
}

bool CrashCorrelator::exited_since(const std::string& backend, TimePoint since,
                                   TimePoint now) const {
  return exited_recently(backend, now) && exited_.at(backend) >= since;
}

void CrashCorrelator::on_process_exit(const std::string& backend, TimePoint now) {
  exited_[backend] = now;
  const auto found = interrupted_.find(backend);
  if (found == interrupted_.end()) return;
  BackendCrash crash{found->second.back().backend, now, {}, false, {}};
  for (const InterruptedResponse& interrupted : found->second) {
    if (now - interrupted.at > kConfirmationTimeout) continue;
    crash.requests.push_back(interrupted.request);
    add_parts(crash.prompt_parts, interrupted.prompt_parts, interrupted.request);
  }
  interrupted_.erase(found);
  if (!crash.requests.empty()) unreported_.push_back(std::move(crash));
}

bool CrashCorrelator::in_burst(TimePoint at) const {
  return std::count_if(exited_.begin(), exited_.end(), [&](const auto& entry) {
           return std::chrono::abs(entry.second - at) <= kBurstSpan;
         }) >= kMinimumBurstSize;
}

std::vector<BackendCrash> CrashCorrelator::take_crashes(TimePoint now) {
  std::vector<BackendCrash> result = std::move(unreported_);
  unreported_.clear();
  for (BackendCrash& crash : result) crash.in_burst = in_burst(crash.at);
  // The exits of a burst are reported one after the other, so that a crash that was already taken
  // may turn out to be part of a burst.
  std::erase_if(taken_as_single_, [&](BackendCrash& crash) {
    if (!in_burst(crash.at)) return now - crash.at > kBurstSpan * 2;
    crash.in_burst = true;
    result.push_back(std::move(crash));
    return true;
  });
  for (const BackendCrash& crash : result) {
    if (!crash.in_burst) taken_as_single_.push_back(crash);
  }
  return result;
}

bool CrashCorrelator::InterruptedResponse::concerns(const CrashSuspect& suspect) const {
  if (suspect.kind == SuspectKind::request) return request == suspect.fingerprint;
  return std::any_of(prompt_parts.begin(), prompt_parts.end(), [&](const PromptPart& part) {
    return part.fingerprint == suspect.fingerprint;
  });
}

bool CrashCorrelator::awaits_confirmation(const CrashSuspect& suspect, TimePoint now) const {
  return std::any_of(interrupted_.begin(), interrupted_.end(), [&](const auto& entry) {
    return std::any_of(
        entry.second.begin(), entry.second.end(), [&](const InterruptedResponse& interrupted) {
          return interrupted.concerns(suspect) && now - interrupted.at <= kConfirmationTimeout;
        });
  });
}

void CrashCorrelator::sweep(TimePoint now) {
  std::erase_if(exited_,
                [&](const auto& entry) { return now - entry.second > kConfirmationTimeout; });
  for (auto& [backend, attempts] : interrupted_) {
    std::erase_if(attempts, [&](const InterruptedResponse& interrupted) {
      return now - interrupted.at > kConfirmationTimeout;
    });
  }
  std::erase_if(interrupted_, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace pumicemast
