#include "http1/http_fields.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>

#include "http1/input_buffer.h"

namespace pumicemast {

bool equal_names(std::string_view left, std::string_view right) {
  return boost::beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

HttpFields::Iterator& HttpFields::Iterator::operator++() {
  const std::size_t separators = 2;
  rest_.remove_prefix(field_.name.size() + field_.value.size() + separators);
  read();
  return *this;
}

void HttpFields::Iterator::read() {
  if (rest_.empty()) return;
  const std::size_t colon = rest_.find(':');
  field_.name = rest_.substr(0, colon);
  field_.value = rest_.substr(colon + 1, rest_.find('\n', colon) - colon - 1);
}

std::size_t HttpFields::allocated_bytes() const { return pumicemast::allocated_bytes(text_); }

void HttpFields::append(std::string_view name, std::string_view value) {
  text_.append(name);
  text_.push_back(':');
  text_.append(value);
  text_.push_back('\n');
}

HttpFields::Iterator HttpFields::find(std::string_view name) const {
  return std::find_if(begin(), end(),
                      [&](const Field& field) { return equal_names(field.name, name); });
}

}  // namespace pumicemast
