#include "baobabloft/operators/burn_report.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <map>
#include <tuple>

namespace baobabloft::operators
{

namespace
{

using nlohmann::json;

/// Burn rate that uses 2 % of a 30-day error budget in 1 h.
constexpr double page_burn_rate = 14.4;
/// Burn rate that uses 5 % of a 30-day error budget in 6 h.
constexpr double ticket_burn_rate = 6.0;
/// Indexes into router::burn_windows.
constexpr std::size_t window_5m = 0;
constexpr std::size_t window_30m = 1;
constexpr std::size_t window_1h = 2;
constexpr std::size_t window_6h = 3;

/// Bars of higher burn rates are cut off at this one.
constexpr double max_bar_burn_rate = 20.0;
constexpr double max_bar_width_px = 110.0;

/// Service, customer and objective.
using series_key = std::tuple<std::string, std::string, std::string>;

void add_windows(const json& windows, burn_series& series)
{
    for (std::size_t index = 0; index < router::burn_windows.size(); ++index)
    {
        const std::string name{router::burn_window_names.at(index)};
        const auto counts = windows.value(name, json::object());
        series.windows.at(index).total +=
            counts.value("total", std::uint64_t{0});
        series.windows.at(index).missed +=
            counts.value("missed", std::uint64_t{0});
    }
}

void add_row(const json& row, const std::string& customer,
             std::map<series_key, burn_series>& sums)
{
    const auto service = row.value("service", "");
    const auto objective = row.value("objective", "");
    auto& series = sums[{service, customer, objective}];
    series.service = service;
    series.customer = customer;
    series.objective = objective;
    series.target = row.value("target", 0.0);
    add_windows(row.value("windows", json::object()), series);
}

std::string format_number(const char* pattern, double value)
{
    constexpr std::size_t size = 32;
    std::array<char, size> text{};
    std::snprintf(text.data(), text.size(), pattern, value);
    return text.data();
}

std::string padded(std::string text, std::size_t width)
{
    if (text.size() < width)
        text.append(width - text.size(), ' ');
    return text + " ";
}

std::string escape_html(const std::string& text)
{
    std::string result;
    for (const char character : text)
    {
        if (character == '<')
            result += "&lt;";
        else if (character == '&')
            result += "&amp;";
        else
            result += character;
    }
    return result;
}

const char* bar_colour(double burn_rate)
{
    if (burn_rate >= page_burn_rate)
        return "#c0392b";
    if (burn_rate >= 1)
        return "#d68910";
    return "#2e7d52";
}

std::string bar_svg(double burn_rate)
{
    const double width = std::min(burn_rate, max_bar_burn_rate) /
                         max_bar_burn_rate * max_bar_width_px;
    return "<svg width=\"" + format_number("%.0f", max_bar_width_px + 60) +
           "\" height=\"16\"><rect width=\"" +
           format_number("%.1f", std::max(width, 1.0)) +
           "\" height=\"14\" fill=\"" + bar_colour(burn_rate) +
           "\"/><text x=\"" + format_number("%.1f", width + 6) +
           "\" y=\"12\" font-size=\"12\">" + format_number("%.2f", burn_rate) +
           "</text></svg>";
}

} // namespace

double burn_series::burn_rate(std::size_t window_index) const
{
    const auto& counts = windows.at(window_index);
    const double budget = 1 - target;
    if (counts.total == 0 || budget <= 0)
        return 0;
    return static_cast<double>(counts.missed) /
           static_cast<double>(counts.total) / budget;
}

burn_alert burn_series::alert() const
{
    if (burn_rate(window_5m) >= page_burn_rate &&
        burn_rate(window_1h) >= page_burn_rate)
        return burn_alert::page;
    if (burn_rate(window_30m) >= ticket_burn_rate &&
        burn_rate(window_6h) >= ticket_burn_rate)
        return burn_alert::ticket;
    return burn_alert::none;
}

std::vector<burn_series> sum_burn(const std::vector<router_page>& pages)
{
    std::map<series_key, burn_series> sums;
    for (const auto& page : pages)
    {
        const auto root = json::parse(page.body, nullptr, false);
        if (!root.is_object())
            continue;
        for (const auto& row : root.value("rows", json::array()))
        {
            add_row(row, "", sums);
            add_row(row, row.value("customer", ""), sums);
        }
    }
    std::vector<burn_series> result;
    result.reserve(sums.size());
    for (auto& [key, series] : sums)
        result.push_back(std::move(series));
    return result;
}

std::string burn_text(const std::vector<burn_series>& series)
{
    constexpr std::size_t name_width = 16;
    constexpr std::size_t number_width = 8;
    std::string text =
        padded("SERVICE", name_width) + padded("CUSTOMER", name_width) +
        padded("OBJECTIVE", name_width) + padded("TARGET", number_width);
    for (const auto name : router::burn_window_names)
        text += padded("BURN " + std::string{name}, number_width);
    text += "ALERT\n";
    for (const auto& row : series)
    {
        text +=
            padded(row.service, name_width) +
            padded(row.customer.empty() ? "(all)" : row.customer, name_width) +
            padded(row.objective, name_width) +
            padded(format_number("%.3f", row.target), number_width);
        for (std::size_t index = 0; index < row.windows.size(); ++index)
            text += padded(format_number("%.2f", row.burn_rate(index)),
                           number_width);
        text += name_in(burn_alert_names, row.alert());
        text += '\n';
    }
    return text;
}

std::string burn_json(const std::vector<burn_series>& series)
{
    json rows = json::array();
    for (const auto& row : series)
    {
        json windows = json::object();
        for (std::size_t index = 0; index < row.windows.size(); ++index)
            windows[std::string{router::burn_window_names.at(index)}] = {
                {"total", row.windows.at(index).total},
                {"missed", row.windows.at(index).missed},
                {"burn", row.burn_rate(index)}};
        rows.push_back({{"service", row.service},
                        {"customer", row.customer},
                        {"objective", row.objective},
                        {"target", row.target},
                        {"windows", windows},
                        {"alert", name_in(burn_alert_names, row.alert())}});
    }
    return json{{"series", rows}}.dump(2);
}

std::string burn_html(const std::vector<burn_series>& series,
                      const std::string& generated_at)
{
    std::string page =
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">"
        "<title>Service-level burn</title><style>"
        "body{font:15px sans-serif;margin:2em;color:#222}"
        "table{border-collapse:collapse}"
        "td,th{padding:4px 10px;text-align:left;white-space:nowrap;"
        "border-bottom:1px solid #ddd}"
        "tr.sum td{background:#f4f6f8;font-weight:600}"
        ".page{color:#c0392b}.ticket{color:#d68910}.ok{color:#2e7d52}"
        "</style><h1>Service-level burn</h1><p>Made at " +
        escape_html(generated_at) +
        ". A burn rate of 1 uses the error budget up at the pace that the "
        "objective allows.</p><table><tr><th>Service<th>Customer"
        "<th>Objective<th>Target";
    for (const auto name : router::burn_window_names)
    {
        page += "<th>Burn, ";
        page += name;
    }
    page += "<th>Alert</tr>";
    for (const auto& row : series)
    {
        const std::string alert{name_in(burn_alert_names, row.alert())};
        page += row.customer.empty() ? "<tr class=\"sum\">" : "<tr>";
        page += "<td>" + escape_html(row.service) + "<td>" +
                escape_html(row.customer.empty() ? "all" : row.customer) +
                "<td>" + escape_html(row.objective) + "<td>" +
                format_number("%.3f", row.target);
        for (std::size_t index = 0; index < row.windows.size(); ++index)
            page += "<td>" + bar_svg(row.burn_rate(index));
        page += "<td class=\"";
        page += alert;
        page += "\">";
        page += alert;
        page += "</tr>";
    }
    return page + "</table></html>\n";
}

} // namespace baobabloft::operators
