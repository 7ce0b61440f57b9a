#include "transport/backend_list_messages.h"

#include "common/log.h"

namespace pumicemast {
namespace {

std::string text_of(const flatbuffers::String* text) { return text == nullptr ? "" : text->str(); }

std::unique_ptr<wire::BackendEntryT> encode(const BackendChange& change) {
  auto entry = std::make_unique<wire::BackendEntryT>();
  entry->id = change.record.id;
  entry->revision = change.record.revision;
  entry->gone = change.removed;
  if (change.removed) return entry;
  entry->service = change.record.service;
  entry->address = change.record.address.to_string();
  entry->zone = change.record.zone;
  entry->slots = change.record.slots;
  entry->draining = change.record.draining;
  entry->weight_version = change.record.weight_version;
  entry->started_at_ms = change.record.started_at_ms;
  return entry;
}

}  // namespace

wire::BackendChangesT encode(const BackendChanges& changes) {
  wire::BackendChangesT message;
  message.base = changes.base;
  message.revision = changes.revision;
  message.whole = changes.complete;
  for (const BackendChange& change : changes.entries) message.entries.push_back(encode(change));
  return message;
}

BackendChanges decode(const wire::BackendChanges& message) {
  BackendChanges changes;
  changes.base = message.base();
  changes.revision = message.revision();
  changes.complete = message.whole();
  if (message.entries() == nullptr) return changes;
  for (const wire::BackendEntry* entry : *message.entries()) {
    BackendChange change;
    change.record.id = entry->id()->str();
    change.record.revision = entry->revision();
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
    }
    changes.entries.push_back(std::move(change));
  }
  return changes;
}

}  // namespace pumicemast
