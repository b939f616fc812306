#include "baobabloft/operators/where_report.hpp"

#include <glib.h>

#include <iomanip>
#include <memory>
#include <set>
#include <sstream>

namespace baobabloft::operators
{

namespace
{

using nlohmann::json;

std::string escaped(const std::string& text)
{
    const std::unique_ptr<gchar, decltype(&g_free)> result{
        g_uri_escape_string(text.c_str(), ":,", FALSE), g_free};
    return result.get();
}

/// Returns `item[name]` in milliseconds as text, or "-" if it is null.
std::string ms_text(const json& item, const char* name)
{
    const auto& value = item.at(name);
    return value.is_null() ? "-" : std::to_string(value.get<std::int64_t>());
}

/// Returns the requests per second that an upstream accepts, or "-".
std::string rate_text(const json& item)
{
    const auto found = item.find("rate_limit");
    if (found == item.end() || found->is_null())
        return "-";
    std::ostringstream out;
    out << std::setprecision(3) << found->get<double>();
    return std::move(out).str();
}

void write_service(std::ostream& out, const json& service)
{
    out << "  service " << service.at("service").get<std::string>()
        << " (share " << service.at("share").get<double>() << "): ";
    if (const auto& refusal = service.at("refusal"); !refusal.is_null())
        out << "refused, " << refusal.at("kind").get<std::string>() << ": "
            << refusal.at("why").get<std::string>();
    else
        out << service.at("upstream").get<std::string>() << ", "
            << service.at("choice").get<std::string>();
    if (const auto source = service.at("prefix_source").get<std::string>();
        !source.empty())
        out << ", prefix from " << source;
    out << "\n  mean load " << service.at("mean_load").get<double>();
    if (!service.at("load_limit").is_null())
        out << ", limit " << service.at("load_limit").get<double>();
    out << "\n  " << std::left << std::setw(20) << "UPSTREAM" << std::setw(16)
        << "DATA CENTRE" << std::setw(16) << "STATE" << std::setw(8) << "LOAD"
        << std::setw(9) << "AGE ms" << std::setw(9) << "COLD ms"
        << std::setw(10) << "PAUSE ms" << std::setw(8) << "LIMIT"
        << std::setw(10) << "FAILURES"
        << "CACHED\n";
    for (const auto& item : service.at("candidates"))
        out << "  " << std::setw(20) << item.at("upstream").get<std::string>()
            << std::setw(16) << item.at("data_centre").get<std::string>()
            << std::setw(16) << item.at("state").get<std::string>()
            << std::setw(8) << item.at("load").get<double>() << std::setw(9)
            << ms_text(item, "load_age_ms") << std::setw(9)
            << ms_text(item, "cold_left_ms") << std::setw(10)
            << ms_text(item, "pause_left_ms") << std::setw(8) << rate_text(item)
            << std::setw(10) << item.at("failures").get<std::uint32_t>()
            << item.at("cached_tokens").get<std::uint32_t>() << '\n';
}

/// Returns what the router would do, to be compared with others.
json decision_of(const json& page)
{
    json decision = json::array();
    for (const auto& service : page.at("services"))
        decision.push_back(
            {service.at("service"), service.at("refusal").is_null()
                                        ? service.at("upstream")
                                        : service.at("refusal").at("kind")});
    return decision;
}

} // namespace

std::string where_path(const where_question& question)
{
    return "/where?route=" + escaped(question.route) +
           "&customer=" + escaped(question.customer) +
           "&prompt=" + escaped(question.prompt);
}

std::optional<where_report> merge_where(std::span<const router_page> pages,
                                        failure& reason)
{
    where_report report{.content = {{"routers", json::array()}}};
    std::set<json> decisions;
    bool all_send = true;
    reason = {failure_kind::peer_unavailable, "no router responded",
              "name status addresses of routers with --router"};
    for (const auto& page : pages)
    {
        const auto root = json::parse(
            page.body.empty() ? page.problem : page.body, nullptr, false);
        json row{{"url", page.url}};
        if (!root.is_object())
            row.update({{"error", "no_answer"},
                        {"message", "the router did not respond"},
                        {"remedy", "check --router"}});
        else if (!root.contains("services") && !root.contains("error"))
            row.update(
                {{"error", "no_page"},
                 {"message", "the address serves no such page"},
                 {"remedy", "use the metrics-listen address of a router with a "
                            "directory"}});
        else
            row.update(root);
        if (row.contains("services"))
        {
            decisions.insert(decision_of(row));
            for (const auto& service : row.at("services"))
                all_send = all_send && service.at("refusal").is_null();
        }
        else if (root.is_object())
            reason = {failure_kind::invalid_setting, row.value("message", ""),
                      row.value("remedy", "")};
        report.content["routers"].push_back(std::move(row));
    }
    if (decisions.empty())
        return std::nullopt;
    report.content["agree"] = decisions.size() == 1;
    report.agree = all_send && decisions.size() == 1;
    return report;
}

std::string where_text(const where_report& report)
{
    std::ostringstream out;
    out << std::setprecision(3);
    for (const auto& row : report.content.at("routers"))
    {
        out << row.at("url").get<std::string>() << ": ";
        if (!row.contains("services"))
        {
            out << row.value("message", "") << " (" << row.value("remedy", "")
                << ")\n";
            continue;
        }
        out << row.at("router").get<std::string>() << ", route "
            << row.at("route").get<std::string>() << ", configuration "
            << row.at("config").get<std::uint64_t>() << ", confirmed "
            << row.at("config_age_ms").get<std::int64_t>() << " ms ago\n";
        for (const auto& service : row.at("services"))
            write_service(out, service);
    }
    if (report.content.at("routers").size() > 1)
        out << (report.content.at("agree").get<bool>()
                    ? "all routers that responded agree\n"
                    : "routers disagree\n");
    return std::move(out).str();
}

} // namespace baobabloft::operators
