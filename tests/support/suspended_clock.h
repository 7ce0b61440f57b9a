/// Plays a machine that is suspended, to all code of the test program and its libraries.
#pragma once

#include "common/time.h"

namespace pumicemast::tests {

/// From now on CLOCK_BOOTTIME is ahead of CLOCK_MONOTONIC by `length` more, as after a suspension.
void suspend_machine(Duration length);

}  // namespace pumicemast::tests
