/// Log lines for changes of state, through easylogging++.
///
/// Counters come first (see metrics.h); a line is written only when something changed its
/// state, never once a request or a chunk. Form: `subject key=value ... state=OLD->NEW`.
#pragma once

// The header's own warnings are not ours to mend.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wpedantic"
#include <easylogging++.h>
#pragma GCC diagnostic pop

#include <string>

namespace pumicemast {

/// Sends lines to standard error as `TIME LEVEL PROCESS text`. Call once at start.
void configure_log(const std::string& process_name);

/// Sends lines to standard output in the same form, without ever waiting for its reader: what
/// the system does not take is gathered up to a bound, then left out and counted. Call once at
/// start, instead of configure_log().
void configure_decision_log(const std::string& process_name);
/// Writes what was gathered. Call several times a second.
void flush_decision_log();

}  // namespace pumicemast
