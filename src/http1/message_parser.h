/// Collects one HTTP/1.1 message from the events of Boost.Beast's parser.
#pragma once

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

#include "http1/http_message.h"
#include "http1/input_buffer.h"
#include "http1/message_validity.h"

namespace pumicemast {

/// The parsers of Boost.Beast allocate memory for each field, and reserve the length that a message
/// states for its body. This one takes memory only for bytes that have arrived.
template <bool kRequest>
class MessageParser : public boost::beast::http::basic_parser<kRequest> {
 public:
  using Head = std::conditional_t<kRequest, RequestHead, ResponseHead>;

  const Head& head() const { return head_; }
  Head take_head() { return std::move(head_); }
  std::string& body() { return body_; }
  const std::string& body() const { return body_; }
  /// Bytes of memory that the message takes besides this object.
  std::size_t allocated_bytes() const {
    return head_.allocated_bytes() + pumicemast::allocated_bytes(body_);
  }

 private:
  // The names and parameters of these functions are those that the parser calls.
  using Text = boost::beast::string_view;
  using Error = boost::beast::error_code;

  static std::string_view view(Text text) { return {text.data(), text.size()}; }

  void on_request_impl(boost::beast::http::verb, Text method, Text target, int version,
                       Error& error) override {
    error = {};
    if constexpr (kRequest) {
      head_.method = view(method);
      head_.target = view(target);
      head_.version = version;
    }
  }

  void on_response_impl(int status, Text reason, int version, Error& error) override {
    error = {};
    if (!is_valid_status(status)) error = boost::beast::http::error::bad_status;
    if constexpr (!kRequest) {
      head_.status = status;
      head_.reason = view(reason);
      head_.version = version;
    }
  }

  void on_field_impl(boost::beast::http::field field, Text name, Text value,
                     Error& error) override {
    error = {};
    // Trailers: only the definition of a field could allow taking it for one of the head.
    if (this->is_header_done()) return;
    if (field == boost::beast::http::field::transfer_encoding &&
        !is_known_transfer_coding(view(value))) {
      error = boost::beast::http::error::bad_transfer_encoding;
      return;
    }
    head_.fields.append(view(name), view(value));
  }

  void on_header_impl(Error& error) override {
    error = {};
    head_.fields.shrink_to_fit();
  }

  void on_body_init_impl(const boost::optional<std::uint64_t>&, Error& error) override {
    error = {};
  }

  std::size_t on_body_impl(Text bytes, Error& error) override {
    error = {};
    body_.append(view(bytes));
    return bytes.size();
  }

  void on_chunk_header_impl(std::uint64_t, Text, Error& error) override { error = {}; }

  std::size_t on_chunk_body_impl(std::uint64_t, Text bytes, Error& error) override {
    return on_body_impl(bytes, error);
  }

  void on_finish_impl(Error& error) override { error = {}; }

  Head head_;
  std::string body_;
};

}  // namespace pumicemast
