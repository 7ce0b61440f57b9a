/// Lets starting gateways find one another: for each zone the platform keeps the address of one
/// gateway.
///
/// Implemented by an adapter of the surrounding platform. An entry may be outdated because its
/// gateway is gone; the gateway that notices this replaces it.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "common/settings.h"

namespace pumicemast {

/// The gateway of a zone that other gateways ask first.
struct ContactEntry {
  Address gateway;             ///< Its internal address.
  std::uint64_t revision = 0;  ///< A replacement states the revision that it replaces.
};

enum class ContactRegistryState {
  named,
  empty,       ///< No gateway of the zone has registered itself yet.
  unavailable  ///< No usable response; a claim may have been carried out.
};

inline const char* to_string(ContactRegistryState state) {
  switch (state) {
    case ContactRegistryState::named:
      return "NAMED";
    case ContactRegistryState::empty:
      return "EMPTY";
    case ContactRegistryState::unavailable:
      return "UNAVAILABLE";
  }
  return "UNAVAILABLE";
}

struct ContactRegistryAnswer {
  ContactRegistryState state = ContactRegistryState::unavailable;
  ContactEntry entry;  ///< Valid in state `named`.
};

class ContactRegistry {
 public:
  using Callback = std::function<void(const ContactRegistryAnswer&)>;

  virtual ~ContactRegistry() = default;
  /// Reads the entry of this process's zone. One call at a time; the callback runs in the event
  /// loop.
  virtual void read(Callback callback) = 0;
  /// Registers `self` if the entry is still the one of revision `replaces`, or if there is still no
  /// entry.
  /// @param callback  receives the entry as it is afterwards, whichever gateway it names.
  virtual void claim(const Address& self, std::optional<std::uint64_t> replaces,
                     Callback callback) = 0;
};

}  // namespace pumicemast
