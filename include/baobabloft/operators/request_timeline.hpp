// Merges the log lines of several routers about one request into a timeline,
// with preceding events of those routers that may explain their decisions.
#pragma once

#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace baobabloft::operators
{

/// One log line of a timeline.
struct timeline_line
{
    /// Timestamp as logged. Timestamps compare chronologically as text.
    std::string time;
    /// Name of the log, usually that of the router.
    std::string router;
    std::string event;
    /// The fields after `event`, as logged.
    std::string fields;
    /// False for an event that precedes a line about the request.
    bool names_request = false;
};

/// The log of one router.
struct router_log
{
    std::string name;
    std::istream* lines;
};

/// Returns the log lines whose request identifier is `request`, each preceded
/// by the last few events of the same log that concern the store, the
/// configuration, routers or upstreams. The result is sorted by time. It is
/// empty if no log contains the identifier.
std::vector<timeline_line> build_timeline(std::string_view request,
                                          const std::vector<router_log>& logs);

/// Returns the timeline as text. Lines that name the request begin with "*".
std::string timeline_text(const std::vector<timeline_line>& timeline);

} // namespace baobabloft::operators
