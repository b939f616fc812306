// Puts the log lines of several routers about one request together, with what
// those routers lost or came to believe around it.
#pragma once

#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace baobabloft::operators
{

/// One line of an account.
struct timeline_line
{
    /// Time as the router wrote it; sorts as text.
    std::string time;
    /// Name of the log, usually the router's.
    std::string router;
    std::string event;
    /// The line's other fields as they were written.
    std::string fields;
    /// The line names the request itself.
    bool names_request = false;
};

/// A log to read.
struct router_log
{
    std::string name;
    std::istream* lines;
};

/// Returns the lines about `request` in time order, each with the last few
/// lines about dependencies and beliefs that the same router wrote before it.
/// Empty if no log names the request.
std::vector<timeline_line> build_timeline(std::string_view request,
                                          const std::vector<router_log>& logs);

/// Returns the account as text, one line each; lines of the request itself are
/// marked.
std::string timeline_text(const std::vector<timeline_line>& account);

} // namespace baobabloft::operators
