/// Typed errors carried by Boost.LEAF results.
#pragma once

#include <boost/leaf.hpp>
#include <string>

namespace pumicemast {

namespace leaf = boost::leaf;

/// Classes of failures that callers handle differently.
enum class ErrorCode {
  invalid_argument,  ///< The input is wrong; a retry cannot succeed.
  not_found,         ///< The named object does not exist.
  conflict,          ///< Another change came first; read again before a retry.
  unavailable,       ///< Not done; may be retried later.
  unknown_outcome,   ///< May or may not have been done; read back before a retry.
};

/// Name of `code` as it appears in JSON responses and logs.
const char* to_string(ErrorCode code);

/// One failure: its class, where it arose and why.
struct Error {
  ErrorCode code = ErrorCode::invalid_argument;
  std::string place;   ///< File, object or command part the failure belongs to.
  std::string reason;  ///< One sentence for operators.
};

/// Runs `function`, which returns leaf::result<T>, and hands a failure to `on_error(Error)`.
/// Both must return the same type.
template <class Function, class OnError>
auto handle_error(Function&& function, OnError&& on_error) {
  return leaf::try_handle_all(
      std::forward<Function>(function), [&](const Error& error) { return on_error(error); },
      [&] {
        return on_error(Error{ErrorCode::invalid_argument, "internal", "error without details"});
      });
}

}  // namespace pumicemast
