/// A message body that takes memory only for the bytes that have arrived.
///
/// The string body of Boost.Beast reserves the length that a message states: a length of many
/// gigabytes would end the process with a failed allocation.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

namespace pumicemast {

/// Meets the requirements of a Body that is parsed, as Boost.Beast defines them.
struct GrowingBody {
  using value_type = std::string;

  // The names of this class and of its functions are those that the parser calls.
  class reader {  // NOLINT(readability-identifier-naming)
   public:
    template <bool is_request, class Fields>
    explicit reader(const boost::beast::http::header<is_request, Fields>& /*head*/,
                    value_type& body)
        : body_(body) {}

    void init(const boost::optional<std::uint64_t>& /*stated_length*/,
              boost::system::error_code& error) {
      error = {};
    }

    template <class Buffers>
    std::size_t put(const Buffers& buffers, boost::system::error_code& error) {
      error = {};
      std::size_t bytes = 0;
      for (const boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(buffers)) {
        body_.append(static_cast<const char*>(buffer.data()), buffer.size());
        bytes += buffer.size();
      }
      return bytes;
    }

    void finish(boost::system::error_code& error) { error = {}; }

   private:
    value_type& body_;
  };
};

}  // namespace pumicemast
