/// What a response of a back end says about the back end itself.
#pragma once

#include <cstdint>
#include <optional>

#include "common/time.h"

namespace pumicemast {

struct BackendNotice {
  /// The back end is leaving and expects no new requests.
  bool leaving = false;
  /// The back end refused the request and wants no others from this process for this long.
  std::optional<Duration> pushback;
  std::uint32_t invalid_fields = 0;  ///< Fields with a value that cannot be read; they are ignored.
};

}  // namespace pumicemast
