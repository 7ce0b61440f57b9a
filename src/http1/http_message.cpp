#include "http1/http_message.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <ostream>  // Required by the string view of Boost.Beast.

#include "http1/input_buffer.h"

namespace pumicemast {
namespace {

namespace beast = boost::beast;

constexpr std::array<std::string_view, 9> kConnectionFields = {"connection",
                                                               "keep-alive",
                                                               "proxy-authenticate",
                                                               "proxy-authorization",
                                                               "proxy-connection",
                                                               "te",
                                                               "trailer",
                                                               "transfer-encoding",
                                                               "upgrade"};

std::string lower_case(std::string_view text) {
  std::string result(text);
  std::transform(result.begin(), result.end(), result.begin(), [](char character) {
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a')
                                                : character;
  });
  return result;
}

}  // namespace

std::size_t RequestHead::allocated_bytes() const {
  return pumicemast::allocated_bytes(method) + pumicemast::allocated_bytes(target) +
         fields.allocated_bytes();
}

std::size_t ResponseHead::allocated_bytes() const {
  return pumicemast::allocated_bytes(reason) + fields.allocated_bytes();
}

std::string_view field_value(const HttpFields& fields, std::string_view name) {
  const auto found = fields.find(name);
  return found == fields.end() ? std::string_view{} : found->value;
}

ForwardedFields::ForwardedFields(const HttpFields& fields) {
  for (const auto& [name, value] : fields) {
    if (!equal_names(name, "Connection")) continue;
    for (const auto& option :
         beast::http::token_list(beast::string_view(value.data(), value.size()))) {
      connection_options_.push_back(lower_case({option.data(), option.size()}));
    }
  }
  std::sort(connection_options_.begin(), connection_options_.end());
}

bool ForwardedFields::includes(std::string_view name) const {
  for (const std::string_view field : kConnectionFields) {
    if (equal_names(name, field)) return false;
  }
  if (equal_names(name, "content-length")) return false;
  return connection_options_.empty() ||
         !std::binary_search(connection_options_.begin(), connection_options_.end(),
                             lower_case(name));
}

void append_field(std::string& text, std::string_view name, std::string_view value) {
  text.append(name);
  text.append(": ");
  text.append(value);
  text.append("\r\n");
}

void append_end_to_end_fields(std::string& text, const HttpFields& fields) {
  const ForwardedFields forwarded(fields);
  for (const auto& [name, value] : fields) {
    if (forwarded.includes(name)) append_field(text, name, value);
  }
}

int keep_alive_timeout_s(const HttpFields& fields) {
  constexpr std::string_view kKey = "timeout=";
  const std::string_view value = field_value(fields, "Keep-Alive");
  const std::size_t start = value.find(kKey);
  if (start == std::string_view::npos) return -1;
  int result = -1;
  std::from_chars(value.data() + start + kKey.size(), value.data() + value.size(), result);
  return result;
}

std::string reason_phrase(int status) {
  const beast::string_view phrase =
      beast::http::obsolete_reason(beast::http::int_to_status(static_cast<unsigned>(status)));
  return {phrase.data(), phrase.size()};
}

}  // namespace pumicemast
