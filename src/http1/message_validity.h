/// What every reader requires of the head of a message, whichever parser it uses.
#pragma once

#include <string_view>

#include "http1/http_fields.h"

namespace pumicemast {

/// Whether `status` is one that HTTP defines a class for (RFC 9110, section 15). A response with
/// any other is malformed: it is neither passed on nor acted on.
inline bool is_valid_status(int status) {
  constexpr int kFirst = 100;
  constexpr int kLast = 599;
  return status >= kFirst && status <= kLast;
}

/// Whether the readers decode this value of Transfer-Encoding. With any other coding the body is
/// not the sender's, and its length is unknown whatever Content-Length says (RFC 9112,
/// section 6.1).
inline bool is_known_transfer_coding(std::string_view value) {
  return equal_names(value, "chunked");
}

}  // namespace pumicemast
