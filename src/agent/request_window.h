/// How versions that are on their way at once share an agent's links.
///
/// A decision core: no I/O. The highest priority gets nearly all; the others go on slowly, so that
/// none starves.
#pragma once

#include <cstdint>
#include <vector>

namespace pumicemast {

struct TransferDemand {
  int priority = 0;
  bool active = false;  ///< Neither complete nor paused.
};

/// @param window  requests that all versions together may have open.
/// @return for each of `demands` the requests that it may have open.
std::vector<std::uint32_t> allocate_request_window(const std::vector<TransferDemand>& demands,
                                                   std::uint32_t window);

}  // namespace pumicemast
