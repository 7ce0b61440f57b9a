/// What every reader of responses requires of a head, whichever parser it uses.
#pragma once

namespace pumicemast {

/// Whether `status` is one that HTTP defines a class for (RFC 9110, section 15). A response with
/// any other is malformed: it is neither passed on nor acted on.
inline bool is_valid_status(int status) {
  constexpr int kFirst = 100;
  constexpr int kLast = 599;
  return status >= kFirst && status <= kLast;
}

}  // namespace pumicemast
