/// Typed errors carried by Boost.LEAF results.
#pragma once

#include <boost/leaf.hpp>
#include <string>

namespace pumicemast {

namespace leaf = boost::leaf;

/// What went wrong, in the classes a caller acts upon.
enum class ErrorCode {
  invalid_argument,  ///< The input is wrong; repeating it cannot help.
  not_found,         ///< The named object does not exist.
  conflict,          ///< Another change came first; read again before repeating.
  unavailable,       ///< Not done; may be repeated later.
  unknown_outcome,   ///< May or may not have been done; read back before repeating.
};

/// Name of `code` as it appears in JSON answers and logs.
const char* to_string(ErrorCode code);

/// One failure: its class, where it arose and why.
struct Error {
  ErrorCode code = ErrorCode::invalid_argument;
  std::string place;   ///< File, object or command part the failure belongs to.
  std::string reason;  ///< One sentence for a person.
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
