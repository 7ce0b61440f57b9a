/// Simulates a suspension of the machine for all code of the test program and its libraries.
#pragma once

#include "common/time.h"

namespace pumicemast::tests {

/// Advances CLOCK_BOOTTIME, but not CLOCK_MONOTONIC, by `length`, as a suspension does.
void suspend_machine(Duration length);

}  // namespace pumicemast::tests
