#include "common/error.h"

namespace pumicemast {

const char* to_string(ErrorCode code) {
  switch (code) {
    case ErrorCode::invalid_argument:
      return "invalid_argument";
    case ErrorCode::not_found:
      return "not_found";
    case ErrorCode::conflict:
      return "conflict";
    case ErrorCode::unavailable:
      return "unavailable";
    case ErrorCode::unknown_outcome:
      return "unknown_outcome";
  }
  return "unknown";
}

}  // namespace pumicemast
