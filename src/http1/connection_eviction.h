/// Selects callers' connections to close in a process that has as many as it may have.
#pragma once

#include <cstddef>
#include <map>
#include <memory>

#include "http1/caller_connection.h"

namespace pumicemast {

using CallerConnections = std::map<const CallerConnection*, std::unique_ptr<CallerConnection>>;

/// Closes up to `count` connections that neither handle a request nor deliver a response: first
/// those that wait for their caller's close, then those without a complete request, then idle ones;
/// of each kind those that have waited longest. Several at a time, since all connections are looked
/// at.
void evict(const CallerConnections& connections, std::size_t count, TimePoint now);

}  // namespace pumicemast
