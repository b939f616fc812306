// Helpers of a session's sources: statuses that promise, header fields, and
// values as log lines write them.
#pragma once

#include "baobabloft/http/message.hpp"
#include "baobabloft/support/time.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace baobabloft::relay
{

/// Statuses that say a request has not run and never will.
bool promises_not_run(unsigned status);

/// Returns `value` in whole milliseconds.
std::string format_ms(duration value);

/// Returns `value` with one decimal.
std::string format_one_decimal(double value);

/// Returns true if `names` holds `wanted`, whatever its case.
bool contains_field_name(const std::vector<std::string>& names,
                         std::string_view wanted);

/// Copies what a header set forwards but for headers in `left_out` and those of
/// one connection.
void copy_forwarded_fields(const http::fields& from, http::fields& to,
                           const std::vector<std::string>& excluded);

} // namespace baobabloft::relay
