/// How callers and back ends say what the gateway decides upon.
///
/// Implemented by a translator of the surrounding platform; the gateway itself knows no
/// header names of it.
#pragma once

#include <string>

#include "gateway/requests/request_forwarder.h"
#include "http1/http_message.h"

namespace pumicemast {

class GatewayProtocol {
 public:
  virtual ~GatewayProtocol() = default;
  virtual RequestMetadata read_request(const ReceivedRequest& request) const = 0;
  /// The whole request as the back end is to receive it.
  virtual std::string encode_request(const ReceivedRequest& request,
                                     const SendToBackend& send) const = 0;
  /// Whether the answer belongs to the request with this id.
  virtual bool matches_request(const ResponseHead& head, const std::string& request_id) const = 0;
  virtual ResponseMetadata read_response(const ResponseHead& head) const = 0;
  /// Header lines of a refusal.
  virtual std::string refusal_headers(const std::string& request_id,
                                      Duration retry_after) const = 0;
};

}  // namespace pumicemast
