#include "transport/backend_list_messages.h"

#include <algorithm>

#include "common/log.h"

namespace pumicemast {
namespace {

/// Upper bound of a cold phase, in milliseconds: one hour.
constexpr std::int64_t kMaximumColdTimeMs = 3'600'000;

std::string text_of(const flatbuffers::String* text) { return text == nullptr ? "" : text->str(); }

std::uint32_t cold_left_ms(TimePoint cold_until, TimePoint now) {
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(to_milliseconds(cold_until - now), 0, kMaximumColdTimeMs));
}

std::unique_ptr<wire::BackendEntryT> encode(const BackendChange& change, TimePoint now) {
  auto entry = std::make_unique<wire::BackendEntryT>();
  entry->id = change.record.id;
  entry->revision = change.record.revision.number;
  entry->gone = change.removed;
  if (change.removed) return entry;
  entry->service = change.record.service;
  entry->address = change.record.address.to_string();
  entry->zone = change.record.zone;
  entry->slots = change.record.slots;
  entry->draining = change.record.draining;
  entry->weight_version = change.record.weight_version;
  entry->started_at_ms = change.record.started_at_ms;
  entry->cold_left_ms = cold_left_ms(change.record.cold_until, now);
  return entry;
}

}  // namespace

wire::BackendChangesT encode(const BackendChanges& changes, TimePoint now) {
  wire::BackendChangesT message;
  message.era = changes.revision.era;
  message.base = changes.base.number;
  message.revision = changes.revision.number;
  message.whole = changes.complete;
  for (const BackendChange& change : changes.entries) {
    message.entries.push_back(encode(change, now));
  }
  return message;
}

BackendChanges decode(const wire::BackendChanges& message, TimePoint now) {
  BackendChanges changes;
  changes.base = {message.era(), message.base()};
  changes.revision = {message.era(), message.revision()};
  changes.complete = message.whole();
  if (message.entries() == nullptr) return changes;
  for (const wire::BackendEntry* entry : *message.entries()) {
    BackendChange change;
    change.record.id = entry->id()->str();
    change.record.revision = {message.era(), entry->revision()};
    change.removed = entry->gone();
    if (!change.removed) {
      const auto address = parse_address(text_of(entry->address()));
      if (!address) {
        LOG(WARNING) << "backend id=" << change.record.id << " state=LEFT_OUT reason=address";
        continue;
      }
      change.record.address = *address;
      change.record.service = text_of(entry->service());
      change.record.zone = text_of(entry->zone());
      change.record.slots = entry->slots();
      change.record.draining = entry->draining();
      change.record.weight_version = entry->weight_version();
      change.record.started_at_ms = entry->started_at_ms();
      const std::int64_t cold_ms =
          std::min<std::int64_t>(entry->cold_left_ms(), kMaximumColdTimeMs);
      change.record.cold_until = now + milliseconds(cold_ms);
    }
    changes.entries.push_back(std::move(change));
  }
  return changes;
}

}  // namespace pumicemast
