#include "gateway/quarantine/crash_messages.h"

#include <algorithm>
#include <limits>
#include <memory>

namespace pumicemast {
namespace {

std::uint32_t encode_age(Duration age) {
  constexpr std::int64_t kLongest = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(to_milliseconds(age), 0, kLongest));
}

RequestFingerprint decode(const wire::Fingerprint& request) {
  return {request.high(), request.low()};
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
    for (const RequestFingerprint& request : crash.requests) {
      entry->requests.emplace_back(request.high, request.low);
    }
    message.crashes.push_back(std::move(entry));
  }
  for (const ReportedCompletion& acquittal : update.completions) {
    auto entry = std::make_unique<wire::AcquittedRequestT>();
    const RequestFingerprint& request = acquittal.request;
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
      ReportedCrash crash{entry->backend(),
                          milliseconds(entry->age_ms()),
                          {},
                          entry->in_crowd(),
                          entry->by_newcomer()};
      if (entry->requests() == nullptr) continue;
      for (const auto* request : *entry->requests()) crash.requests.push_back(decode(*request));
      update.crashes.push_back(std::move(crash));
    }
  }
  if (message.acquitted() != nullptr) {
    for (const auto* entry : *message.acquitted()) {
      if (entry->request() == nullptr) continue;
      update.completions.push_back({decode(*entry->request()), milliseconds(entry->age_ms())});
    }
  }
  return update;
}

}  // namespace pumicemast
