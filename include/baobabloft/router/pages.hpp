// Pages that a worker serves beside requests: health, metrics, and what
// operators and other routers ask for.
#pragma once

#include "baobabloft/router/worker.hpp"

namespace baobabloft::router
{

/// Returns true if `message` asks for a page.
bool is_page_request(const http::request& message);

/// Answers a request for a page.
void serve_page(worker_context& context,
                const http::caller_table::caller_ptr& caller,
                const http::request& message);

} // namespace baobabloft::router
