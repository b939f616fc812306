// Pages that a worker serves itself instead of proxying: health, readiness,
// metrics, status and burn for operators, and the preset for other routers.
#pragma once

#include "baobabloft/router/worker.hpp"

namespace baobabloft::router
{

/// Returns true if the path of `message` is that of a page.
bool is_page_request(const http::request& message);

/// Responds to a request for a page.
void serve_page(worker_context& context,
                const http::caller_table::caller_ptr& caller,
                const http::request& message);

} // namespace baobabloft::router
