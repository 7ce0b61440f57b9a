/// Conversion of Address to the socket address of the operating system.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>

#include "common/settings.h"

namespace pumicemast {

inline sockaddr_in to_socket_address(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
  return result;
}

}  // namespace pumicemast
