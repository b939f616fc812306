#include "baobabloft/operators/request_timeline.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <sstream>

namespace baobabloft::operators
{

namespace
{

/// Events that may explain a router's decisions but name no request.
constexpr std::array<std::string_view, 17> background_events{
    "store_lost",        "store_regained",   "store_history_lost",
    "router_silent",     "config_adopted",   "config_rejected",
    "upstream_removed",  "upstream_changed", "upstream_crashed",
    "readiness_changed", "data_centre_out",  "data_centre_in",
    "leaving",           "started",          "settings_applied",
    "rollout",           "rollout_phase"};

/// Maximum number of background events shown before a line of the request.
constexpr std::size_t max_background_lines = 8;

/// Returns the value of field `name` in a logfmt line, or an empty string if
/// the line has no such field. The field must have a space before it.
std::string_view field_value(std::string_view line, std::string_view name)
{
    const auto key = " " + std::string{name} + "=";
    const auto start = line.find(key);
    if (start == std::string_view::npos)
        return {};
    line.remove_prefix(start + key.size());
    return line.substr(0, line.find(' '));
}

timeline_line parse_line(const std::string& router, const std::string& text)
{
    // The first field has no space before it in the log.
    const auto line = " " + text;
    timeline_line result;
    result.router = router;
    result.time = field_value(line, "ts");
    result.event = field_value(line, "event");
    const auto event_start = text.find("event=");
    const auto event_end = event_start == std::string::npos
                               ? event_start
                               : text.find(' ', event_start);
    if (event_end != std::string::npos)
        result.fields = text.substr(event_end + 1);
    return result;
}

void append_request_lines(std::string_view request, const router_log& log,
                          std::vector<timeline_line>& timeline)
{
    std::deque<timeline_line> background;
    for (std::string text; std::getline(*log.lines, text);)
    {
        auto line = parse_line(log.name, text);
        if (field_value(" " + text, "request") == request)
        {
            line.names_request = true;
            timeline.insert(timeline.end(), background.begin(),
                            background.end());
            background.clear();
            timeline.push_back(std::move(line));
            continue;
        }
        const bool is_background =
            std::find(background_events.begin(), background_events.end(),
                      line.event) != background_events.end();
        if (!is_background)
            continue;
        background.push_back(std::move(line));
        if (background.size() > max_background_lines)
            background.pop_front();
    }
}

} // namespace

std::vector<timeline_line> build_timeline(std::string_view request,
                                          const std::vector<router_log>& logs)
{
    std::vector<timeline_line> timeline;
    for (const auto& log : logs)
        append_request_lines(request, log, timeline);
    std::stable_sort(timeline.begin(), timeline.end(),
                     [](const timeline_line& left, const timeline_line& right)
                     { return left.time < right.time; });
    return timeline;
}

std::string timeline_text(const std::vector<timeline_line>& timeline)
{
    std::ostringstream text;
    for (const auto& line : timeline)
        text << (line.names_request ? "* " : "  ") << line.time << ' '
             << line.router << ' ' << line.event << ' ' << line.fields << '\n';
    return text.str();
}

} // namespace baobabloft::operators
