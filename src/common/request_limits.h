/// Size limits of a caller's request.
#pragma once

#include <cstddef>

namespace pumicemast {

struct RequestLimits {
  std::size_t maximum_head_bytes = 16U * 1024U;
  std::size_t maximum_body_bytes = 4U * 1024U * 1024U;
};

}  // namespace pumicemast
