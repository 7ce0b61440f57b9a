#include "transport/slot_messages.h"

#include <algorithm>
#include <memory>

namespace pumicemast {
namespace {

/// Upper bounds of what another process states.
constexpr std::size_t kMaximumEntries = 512;  ///< Of one kind in one message.
constexpr std::uint32_t kMaximumCopies = 16;
constexpr std::uint32_t kMaximumPromptTokens = 10'000'000;
constexpr std::int64_t kMaximumWaitMs = 60'000;

std::uint32_t encode_wait(Duration wait) {
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(to_milliseconds(wait), 0, kMaximumWaitMs));
}

Duration decode_wait(std::uint32_t wait_ms) {
  return milliseconds(std::min<std::int64_t>(wait_ms, kMaximumWaitMs));
}

std::vector<std::uint64_t> decode_numbers(const flatbuffers::Vector<std::uint64_t>* numbers) {
  if (numbers == nullptr) return {};
  const std::size_t count = std::min<std::size_t>(numbers->size(), kMaximumEntries);
  return {numbers->begin(), numbers->begin() + static_cast<std::ptrdiff_t>(count)};
}

SlotRequest decode_request(const wire::SlotRequest& message) {
  SlotRequest request;
  request.number = message.number();
  request.priority = std::min<int>(message.priority(), kLeastUrgentPriority);
  request.returning = message.returning();
  request.tenant = message.tenant();
  request.prompt_tokens = std::min(message.prompt_tokens(), kMaximumPromptTokens);
  request.copies = std::clamp<std::uint32_t>(message.copies(), 1, kMaximumCopies);
  request.useful_for = decode_wait(message.useful_ms());
  return request;
}

std::unique_ptr<wire::SlotRequestT> encode_request(const SlotRequest& request) {
  auto message = std::make_unique<wire::SlotRequestT>();
  message->number = request.number;
  message->priority = static_cast<std::uint8_t>(
      std::clamp(request.priority, kMostUrgentPriority, kLeastUrgentPriority));
  message->returning = request.returning;
  message->tenant = request.tenant;
  message->prompt_tokens = request.prompt_tokens;
  message->copies = static_cast<std::uint8_t>(std::clamp(request.copies, 1U, kMaximumCopies));
  message->useful_ms = encode_wait(request.useful_for);
  return message;
}

wire::SlotDenialReason encode_reason(SlotDenialReason reason) {
  switch (reason) {
    case SlotDenialReason::no_capacity:
      return wire::SlotDenialReason::no_capacity;
    case SlotDenialReason::more_urgent_first:
      return wire::SlotDenialReason::more_urgent_first;
    case SlotDenialReason::tenant_over_share:
      return wire::SlotDenialReason::tenant_over_share;
    case SlotDenialReason::engine_unavailable:
      return wire::SlotDenialReason::engine_unavailable;
  }
  return wire::SlotDenialReason::no_capacity;
}

/// A reason that a later version may have added counts as a lack of capacity.
SlotDenialReason decode_reason(wire::SlotDenialReason reason) {
  switch (reason) {
    case wire::SlotDenialReason::more_urgent_first:
      return SlotDenialReason::more_urgent_first;
    case wire::SlotDenialReason::tenant_over_share:
      return SlotDenialReason::tenant_over_share;
    case wire::SlotDenialReason::engine_unavailable:
      return SlotDenialReason::engine_unavailable;
    default:
      return SlotDenialReason::no_capacity;
  }
}

/// Adds `entry` to `list` of the last part, or of a new part if that list is full.
template <class Message, class Entry>
void append(std::vector<Message>& parts, std::vector<Entry> Message::*list, const Entry& entry) {
  if (parts.empty() || (parts.back().*list).size() >= kMaximumEntries) parts.emplace_back();
  (parts.back().*list).push_back(entry);
}

}  // namespace

std::vector<SlotRequests> split(const SlotRequests& requests) {
  std::vector<SlotRequests> parts;
  // All withdrawals precede the requests: a number may be withdrawn and then used again.
  for (const std::uint64_t number : requests.withdrawn) {
    append(parts, &SlotRequests::withdrawn, number);
  }
  for (const SlotRequest& request : requests.requests) {
    append(parts, &SlotRequests::requests, request);
  }
  return parts;
}

std::vector<SlotDecisions> split(const SlotDecisions& decisions) {
  std::vector<SlotDecisions> parts;
  for (const std::uint64_t number : decisions.granted) {
    append(parts, &SlotDecisions::granted, number);
  }
  for (const SlotDenial& denial : decisions.denied) {
    append(parts, &SlotDecisions::denied, denial);
  }
  return parts;
}

wire::SlotRequestsT encode(const SlotRequests& requests) {
  wire::SlotRequestsT message;
  for (const SlotRequest& request : requests.requests) {
    message.requests.push_back(encode_request(request));
  }
  message.withdrawn = requests.withdrawn;
  return message;
}

SlotRequests decode(const wire::SlotRequests& message) {
  SlotRequests requests;
  requests.withdrawn = decode_numbers(message.withdrawn());
  if (message.requests() == nullptr) return requests;
  for (const auto* request : *message.requests()) {
    if (requests.requests.size() >= kMaximumEntries) break;
    requests.requests.push_back(decode_request(*request));
  }
  return requests;
}

wire::SlotDecisionsT encode(const SlotDecisions& decisions, const Address& engine) {
  wire::SlotDecisionsT message;
  message.engine = engine.to_string();
  message.granted = decisions.granted;
  for (const SlotDenial& denial : decisions.denied) {
    auto entry = std::make_unique<wire::SlotDenialT>();
    entry->number = denial.number;
    entry->reason = encode_reason(denial.reason);
    entry->expected_wait_ms = encode_wait(denial.expected_wait);
    message.denied.push_back(std::move(entry));
  }
  return message;
}

SlotDecisions decode(const wire::SlotDecisions& message) {
  SlotDecisions decisions;
  decisions.granted = decode_numbers(message.granted());
  if (message.denied() == nullptr) return decisions;
  for (const auto* denial : *message.denied()) {
    if (decisions.denied.size() >= kMaximumEntries) break;
    decisions.denied.push_back({denial->number(), decode_reason(denial->reason()),
                                decode_wait(denial->expected_wait_ms())});
  }
  return decisions;
}

}  // namespace pumicemast
