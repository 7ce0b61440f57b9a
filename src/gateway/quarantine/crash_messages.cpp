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

wire::RequestCrashesT encode(const CrashNews& news) {
  wire::RequestCrashesT message;
  for (const ToldCrash& crash : news.crashes) {
    auto told = std::make_unique<wire::CrashedBackendT>();
    told->backend = crash.backend;
    told->age_ms = encode_age(crash.age);
    told->in_crowd = crash.in_crowd;
    told->by_newcomer = crash.by_newcomer;
    for (const RequestFingerprint& request : crash.requests) {
      told->requests.emplace_back(request.high, request.low);
    }
    message.crashes.push_back(std::move(told));
  }
  for (const ToldAcquittal& acquittal : news.acquittals) {
    auto told = std::make_unique<wire::AcquittedRequestT>();
    const RequestFingerprint& request = acquittal.request;
    told->request = std::make_unique<wire::Fingerprint>(request.high, request.low);
    told->age_ms = encode_age(acquittal.age);
    message.acquitted.push_back(std::move(told));
  }
  return message;
}

CrashNews decode(const wire::RequestCrashes& message) {
  CrashNews news;
  if (message.crashes() != nullptr) {
    for (const auto* told : *message.crashes()) {
      ToldCrash crash{
          told->backend(), milliseconds(told->age_ms()), {}, told->in_crowd(), told->by_newcomer()};
      if (told->requests() == nullptr) continue;
      for (const auto* request : *told->requests()) crash.requests.push_back(decode(*request));
      news.crashes.push_back(std::move(crash));
    }
  }
  if (message.acquitted() != nullptr) {
    for (const auto* told : *message.acquitted()) {
      if (told->request() == nullptr) continue;
      news.acquittals.push_back({decode(*told->request()), milliseconds(told->age_ms())});
    }
  }
  return news;
}

}  // namespace pumicemast
