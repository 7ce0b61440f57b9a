/// Log lines for changes of state, through easylogging++.
///
/// Counters come first (see metrics.h); a line is written only when something changed its
/// state, never for each request or chunk. Form: `subject key=value ... state=OLD->NEW`.
#pragma once

// Suppresses warnings that the third-party header itself causes.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wpedantic"
#include <easylogging++.h>
#pragma GCC diagnostic pop

#include <string>

namespace pumicemast {

/// Sends lines to standard error as `TIME LEVEL PROCESS text`. Call once at start.
void configure_log(const std::string& process_name);

/// Sends lines to standard output in the same form, without ever blocking on its reader: lines
/// are buffered up to a limit; further ones are dropped and counted. Call once at start, instead
/// of configure_log().
void configure_decision_log(const std::string& process_name);
/// Writes the buffered lines. Call several times a second.
void flush_decision_log();

}  // namespace pumicemast
