/// Where gateways that start find one another: for each zone the platform keeps the address of one
/// gateway.
///
/// Implemented by a translator of the surrounding platform. The entry may be out of date: its
/// gateway may be gone. It is replaced by who notices.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "common/settings.h"

namespace pumicemast {

/// The gateway of a zone that others ask first.
struct ContactEntry {
  Address gateway;             ///< Its internal address.
  std::uint64_t revision = 0;  ///< A replacement names the revision that it replaces.
};

enum class ContactRegistryState {
  named,
  empty,       ///< No gateway of the zone has entered itself yet.
  unavailable  ///< No answer, or none that can be used; a claim may have been carried out.
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
  ContactEntry entry;  ///< Where the state is `named`.
};

class ContactRegistry {
 public:
  using Callback = std::function<void(const ContactRegistryAnswer&)>;

  virtual ~ContactRegistry() = default;
  /// Reads the entry of the own zone. One call at a time; the callback is called from the loop.
  virtual void read(Callback callback) = 0;
  /// Enters `self`, if the entry is still that of `replaces`, or there is still none.
  /// @param callback  gets the entry as it then is, whoever it names.
  virtual void claim(const Address& self, std::optional<std::uint64_t> replaces,
                     Callback callback) = 0;
};

}  // namespace pumicemast
