#include "gateway/quarantine/crash_messages.h"

#include <algorithm>
#include <limits>
#include <memory>
#include <optional>

namespace pumicemast {
namespace {

std::uint32_t encode_age(Duration age) {
  constexpr std::int64_t kLongest = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(to_milliseconds(age), 0, kLongest));
}

RequestFingerprint decode(const wire::Fingerprint& request) {
  return {request.high(), request.low()};
}

/// Empty for a kind that this version does not know.
std::optional<SuspectKind> decode_kind(std::uint8_t kind) {
  if (kind > static_cast<std::uint8_t>(SuspectKind::prompt_part)) return std::nullopt;
  return static_cast<SuspectKind>(kind);
}

}  // namespace

wire::RequestCrashesT encode(const CrashUpdate& update) {
  wire::RequestCrashesT message;
  for (const ReportedCrash& crash : update.crashes) {
    auto entry = std::make_unique<wire::CrashedBackendT>();
    entry->backend = crash.backend;
    entry->age_ms = encode_age(crash.age);
    entry->in_crowd = crash.in_burst;
    entry->by_newcomer = crash.observer_warming_up;
    entry->kind = static_cast<std::uint8_t>(crash.kind);
    entry->carriers = crash.carriers;
    for (const RequestFingerprint& request : crash.requests) {
      entry->requests.emplace_back(request.high, request.low);
    }
    message.crashes.push_back(std::move(entry));
  }
  for (const ReportedCompletion& acquittal : update.completions) {
    auto entry = std::make_unique<wire::AcquittedRequestT>();
    const RequestFingerprint& request = acquittal.suspect.fingerprint;
    entry->kind = static_cast<std::uint8_t>(acquittal.suspect.kind);
    entry->request = std::make_unique<wire::Fingerprint>(request.high, request.low);
    entry->age_ms = encode_age(acquittal.age);
    message.acquitted.push_back(std::move(entry));
  }
  return message;
}

CrashUpdate decode(const wire::RequestCrashes& message) {
  CrashUpdate update;
  if (message.crashes() != nullptr) {
    for (const auto* entry : *message.crashes()) {
      const auto kind = decode_kind(entry->kind());
      if (!kind || entry->requests() == nullptr) continue;
      ReportedCrash crash{entry->backend(),  milliseconds(entry->age_ms()), {},
                          entry->in_crowd(), entry->by_newcomer(),          *kind};
      for (const auto* request : *entry->requests()) crash.requests.push_back(decode(*request));
      if (entry->carriers() != nullptr)
        crash.carriers.assign(entry->carriers()->begin(), entry->carriers()->end());
      update.crashes.push_back(std::move(crash));
    }
  }
  if (message.acquitted() != nullptr) {
    for (const auto* entry : *message.acquitted()) {
      const auto kind = decode_kind(entry->kind());
      if (!kind || entry->request() == nullptr) continue;
      update.completions.push_back(
          {{decode(*entry->request()), *kind}, milliseconds(entry->age_ms())});
    }
  }
  return update;
}

}  // namespace pumicemast
