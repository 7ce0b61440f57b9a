/// Plain-text pages of a gateway's status, for operators.
#pragma once

#include <string>

#include "gateway/backends/backend_pool.h"
#include "gateway/quarantine/request_quarantine.h"

namespace pumicemast {

/// One line for each quarantined request or part of prompts.
std::string quarantine_page(const RequestQuarantine& quarantine, TimePoint now);
/// One line for each known back end: whether it gets requests, and if not, why and since when.
std::string backends_page(const BackendPool& pool, TimePoint now);

}  // namespace pumicemast
