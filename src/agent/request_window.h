/// Splits an agent's open chunk requests among concurrent transfers.
///
/// A decision core: no I/O. Active transfers of the highest priority divide the window; each of
/// lower priority keeps one request, so that none starves.
#pragma once

#include <cstdint>
#include <vector>

namespace pumicemast {

struct TransferDemand {
  int priority = 0;
  bool active = false;  ///< Neither complete nor paused.
};

/// @param window  open requests that the active transfers of the highest priority divide.
/// @return the number of open requests allowed for each of `demands`.
std::vector<std::uint32_t> allocate_request_window(const std::vector<TransferDemand>& demands,
                                                   std::uint32_t window);

}  // namespace pumicemast
