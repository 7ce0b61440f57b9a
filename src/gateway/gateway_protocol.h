/// Encoding of requests and responses between callers, the gateway and back ends.
///
/// Implemented by a translator for the surrounding platform. The gateway itself does not depend on
/// the platform's header names.
#pragma once

#include <string>

#include "gateway/requests/request_forwarder.h"
#include "http1/http_message.h"

namespace pumicemast {

class GatewayProtocol {
 public:
  virtual ~GatewayProtocol() = default;
  virtual RequestMetadata read_request(const ReceivedRequest& request) const = 0;
  /// Encodes the complete request to be sent to the back end.
  virtual std::string encode_request(const ReceivedRequest& request,
                                     const SendToBackend& send) const = 0;
  /// Whether the response belongs to the request with this id.
  virtual bool matches_request(const ResponseHead& head, const std::string& request_id) const = 0;
  virtual ResponseMetadata read_response(const ResponseHead& head) const = 0;
  /// Encodes the header lines of a refusal.
  virtual std::string refusal_headers(const std::string& request_id,
                                      Duration retry_after) const = 0;
};

}  // namespace pumicemast
