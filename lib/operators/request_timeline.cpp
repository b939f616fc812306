#include "baobabloft/operators/request_timeline.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <sstream>

namespace baobabloft::operators
{

namespace
{

/// Events that explain a decision without naming a request.
constexpr std::array<std::string_view, 15> background_events{
    "store_lost",        "store_regained",   "store_history_lost",
    "router_silent",     "config_adopted",   "config_rejected",
    "upstream_removed",  "upstream_changed", "upstream_crashed",
    "readiness_changed", "data_centre_out",  "data_centre_in",
    "leaving",           "started",          "settings_applied"};

/// Background lines that one router's log contributes at most.
constexpr std::size_t max_background = 8;

/// Returns the value of `name` in a logfmt line.
std::string_view value_of(std::string_view line, std::string_view name)
{
    const auto key = " " + std::string{name} + "=";
    const auto start = line.find(key);
    if (start == std::string_view::npos)
        return {};
    line.remove_prefix(start + key.size());
    return line.substr(0, line.find(' '));
}

timeline_line parse(const std::string& router, const std::string& text)
{
    // A line begins with its time, so every other field has a blank before it.
    const auto line = " " + text;
    timeline_line result;
    result.router = router;
    result.time = value_of(line, "ts");
    result.event = value_of(line, "event");
    const auto event = text.find("event=");
    const auto rest =
        event == std::string::npos ? event : text.find(' ', event);
    if (rest != std::string::npos)
        result.fields = text.substr(rest + 1);
    return result;
}

void read_log(std::string_view request, const router_log& log,
              std::vector<timeline_line>& account)
{
    std::deque<timeline_line> background;
    for (std::string text; std::getline(*log.lines, text);)
    {
        auto line = parse(log.name, text);
        if (value_of(" " + text, "request") == request)
        {
            line.names_request = true;
            account.insert(account.end(), background.begin(), background.end());
            background.clear();
            account.push_back(std::move(line));
            continue;
        }
        const bool explains =
            std::find(background_events.begin(), background_events.end(),
                      line.event) != background_events.end();
        if (!explains)
            continue;
        background.push_back(std::move(line));
        if (background.size() > max_background)
            background.pop_front();
    }
}

} // namespace

std::vector<timeline_line> build_timeline(std::string_view request,
                                          const std::vector<router_log>& logs)
{
    std::vector<timeline_line> account;
    for (const auto& log : logs)
        read_log(request, log, account);
    std::stable_sort(account.begin(), account.end(),
                     [](const timeline_line& left, const timeline_line& right)
                     { return left.time < right.time; });
    return account;
}

std::string timeline_text(const std::vector<timeline_line>& account)
{
    std::ostringstream text;
    for (const auto& line : account)
        text << (line.names_request ? "* " : "  ") << line.time << ' '
             << line.router << ' ' << line.event << ' ' << line.fields << '\n';
    return text.str();
}

} // namespace baobabloft::operators
