/// HTTP/1.1 message heads, and functions for forwarding their fields.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "http1/http_fields.h"

namespace pumicemast {

/// Start line and fields of a request.
struct RequestHead {
  std::string method;
  std::string target;
  int version = 11;  ///< 11 for HTTP/1.1, 10 for HTTP/1.0.
  HttpFields fields;

  bool is(std::string_view wanted_method) const { return method == wanted_method; }
  /// Bytes of memory that the head takes besides this object.
  std::size_t allocated_bytes() const;
};

/// Status line and fields of a response.
struct ResponseHead {
  int status = 0;
  std::string reason;
  int version = 11;  ///< 11 for HTTP/1.1, 10 for HTTP/1.0.
  HttpFields fields;

  /// Bytes of memory that the head takes besides this object.
  std::size_t allocated_bytes() const;
};

/// A complete request as received from a caller.
struct ReceivedRequest {
  RequestHead head;
  std::string body;
  bool keep_alive = true;
  bool body_refused = false;  ///< Its body was not received; the request must be refused.
};

/// The field's value, or empty when it is absent.
std::string_view field_value(const HttpFields& fields, std::string_view name);

/// Tells which fields of a message are forwarded.
class ForwardedFields {
 public:
  /// @param fields  of the message; must outlive this object.
  explicit ForwardedFields(const HttpFields& fields);

  /// Whether a field of that name is forwarded: not if it applies to one connection only, is named
  /// by a Connection field, or frames the body.
  bool includes(std::string_view name) const;

 private:
  std::vector<std::string> connection_options_;  ///< In lower case, sorted.
};

void append_field(std::string& text, std::string_view name, std::string_view value);
/// Appends all fields that are forwarded.
void append_end_to_end_fields(std::string& text, const HttpFields& fields);

/// Returns N of `Keep-Alive: timeout=N`, in seconds, or -1 if absent.
int keep_alive_timeout_s(const HttpFields& fields);

/// Standard reason phrase of `status`.
std::string reason_phrase(int status);

}  // namespace pumicemast
