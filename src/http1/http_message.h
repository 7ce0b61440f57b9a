/// HTTP/1.1 message heads on Boost.Beast types, and functions for forwarding their fields.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <string>
#include <string_view>

namespace pumicemast {

using HttpFields = boost::beast::http::fields;
using RequestHead = boost::beast::http::request_header<HttpFields>;
using ResponseHead = boost::beast::http::response_header<HttpFields>;

/// A complete request as received from a caller.
struct ReceivedRequest {
  RequestHead head;
  std::string body;
  bool keep_alive = true;
  bool body_refused = false;  ///< Its body was not received; the request must be refused.
};

std::string_view to_view(boost::beast::string_view text);
/// The field's value, or empty when it is absent.
std::string_view field_value(const HttpFields& fields, std::string_view name);

/// Whether a field applies to one connection only, or frames the body, so that it is not forwarded.
/// `connection` is the value of the message's Connection field.
bool is_hop_by_hop(std::string_view name, std::string_view connection);

void append_field(std::string& text, std::string_view name, std::string_view value);
/// Appends all fields that are forwarded.
void append_end_to_end_fields(std::string& text, const HttpFields& fields);

/// Returns N of `Keep-Alive: timeout=N`, in seconds, or -1 if absent.
int keep_alive_timeout_s(const HttpFields& fields);

/// Standard reason phrase of `status`.
std::string reason_phrase(int status);

}  // namespace pumicemast
