#include "commands.hpp"

#include "baobabloft/config/preset_parser.hpp"
#include "baobabloft/operators/burn_report.hpp"
#include "baobabloft/operators/fleet_client.hpp"
#include "baobabloft/operators/preset_store.hpp"
#include "baobabloft/operators/request_timeline.hpp"
#include "baobabloft/operators/rollout_report.hpp"
#include "baobabloft/operators/where_report.hpp"

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace baobabloft::ctl
{

namespace
{

using nlohmann::json;

/// Clients of the key-value service and the routers, with the event loop that
/// their blocking calls run.
class service_clients
{
public:
    explicit service_clients(const command_context& context)
        : scope_(loop_),
          kv_(net::make_etcd_client({.base_url = context.kv_url})),
          presets_(loop_, *kv_), fleet_(loop_, context.routers, context.token)
    {
    }

    operators::preset_store& presets()
    {
        return presets_;
    }

    operators::fleet_client& fleet()
    {
        return fleet_;
    }

private:
    net::event_loop loop_;
    net::event_loop::default_context_scope scope_;
    std::unique_ptr<net::kv_client> kv_;
    operators::preset_store presets_;
    operators::fleet_client fleet_;
};

/// Prints `reason` and returns the exit code for it.
int report_failure(const failure& reason)
{
    std::cerr << "baobabctl: " << reason.text() << '\n';
    if (reason.kind == failure_kind::conflict)
        return exit_conflict;
    return reason.kind == failure_kind::kv_unavailable ? exit_unavailable
                                                       : exit_negative;
}

std::optional<std::string> read_file(const std::string& path, failure& reason)
{
    std::ifstream file{path};
    if (!file)
    {
        reason = {failure_kind::io, "cannot read " + path,
                  "check the file name and its permissions"};
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return std::move(text).str();
}

operators::change_metadata make_change_metadata(const command_context& context)
{
    constexpr std::size_t nonce_bytes = 16;
    std::array<unsigned char, nonce_bytes> random{};
    randombytes_buf(random.data(), random.size());
    std::array<char, nonce_bytes * 2 + 1> nonce{};
    sodium_bin2hex(nonce.data(), nonce.size(), random.data(), random.size());
    return {context.author, nonce.data(), g_get_real_time() / G_USEC_PER_SEC};
}

void print_accepted(const command_context& context,
                    const config::accepted_preset& accepted)
{
    if (context.json)
        std::cout << json{{"generation", accepted.generation_number},
                          {"name", accepted.value.name},
                          {"author", accepted.author}}
                         .dump()
                  << '\n';
    else
        std::cout << "accepted: number " << accepted.generation_number
                  << ", preset " << accepted.value.name << ", by "
                  << accepted.author << '\n';
}

/// Waits until generation `number` is in force at every live router. On
/// time-out prints the routers that do not have it yet.
int wait_until_in_force(const command_context& context,
                        service_clients& clients, config::generation number)
{
    constexpr duration poll_period = 200ms;
    const auto deadline =
        net::monotonic_now() + std::chrono::seconds{context.wait_s};
    std::size_t last_reported = 0;
    for (;;)
    {
        std::vector<std::string> outdated;
        const auto statuses = clients.fleet().fetch_statuses();
        for (const auto& status : statuses)
            if (status.generation < number)
                outdated.push_back(status.url);
        if (!statuses.empty() && outdated.empty())
        {
            std::cout << "in force at all " << statuses.size() << " routers\n";
            return exit_ok;
        }
        if (net::monotonic_now() >= deadline)
        {
            if (statuses.empty())
                std::cerr << "baobabctl: no router responded; check --router\n";
            for (const auto& url : outdated)
                std::cerr << "baobabctl: not yet in force at " << url << '\n';
            return exit_negative;
        }
        if (outdated.size() != last_reported)
            std::cerr << "waiting for " << outdated.size() << " of "
                      << statuses.size() << " routers\n";
        last_reported = outdated.size();
        g_usleep(static_cast<gulong>(duration{poll_period}.count()));
    }
}

int finish_change(const command_context& context, service_clients& clients,
                  const std::optional<config::accepted_preset>& accepted,
                  const failure& reason)
{
    if (!accepted)
        return report_failure(reason);
    print_accepted(context, *accepted);
    return context.wait ? wait_until_in_force(context, clients,
                                              accepted->generation_number)
                        : exit_ok;
}

int preset_check(const command_context& context)
{
    failure reason;
    const auto text = read_file(context.arguments[0], reason);
    if (!text)
        return report_failure(reason);
    std::vector<config::preset_error> errors;
    const auto preset = config::parse_preset(*text, errors);
    if (context.json)
    {
        json rows = json::array();
        for (const auto& item : errors)
            rows.push_back({{"where", item.location},
                            {"message", item.message},
                            {"remedy", item.remedy}});
        std::cout
            << json{{"valid", preset.has_value()}, {"mistakes", rows}}.dump()
            << '\n';
    }
    else
        for (const auto& item : errors)
            std::cerr << context.arguments[0] << ": "
                      << (item.location.empty() ? "/" : item.location) << ": "
                      << item.message << " (" << item.remedy << ")\n";
    if (!preset)
        return exit_negative;
    if (!context.json)
        std::cout << "preset " << preset->name << " is valid\n";
    return exit_ok;
}

int preset_diff(const command_context& context)
{
    failure reason;
    const auto text = read_file(context.arguments[0], reason);
    if (!text)
        return report_failure(reason);
    std::optional<std::string> other_text;
    if (context.arguments.size() > 1)
        other_text = read_file(context.arguments[1], reason);
    else
    {
        service_clients clients{context};
        if (const auto active = clients.presets().active_preset(reason))
            other_text = active->text;
    }
    if (!other_text)
        return report_failure(reason);
    const bool compares_active = context.arguments.size() == 1;
    const auto changes = compares_active
                             ? config::diff_presets(*other_text, *text)
                             : config::diff_presets(*text, *other_text);
    for (const auto& change : changes)
        std::cout << change.pointer << ": "
                  << (change.before.empty() ? "(none)" : change.before)
                  << " -> " << (change.after.empty() ? "(none)" : change.after)
                  << '\n';
    return changes.empty() ? exit_ok : exit_negative;
}

int preset_put(const command_context& context)
{
    failure reason;
    const auto text = read_file(context.arguments[0], reason);
    service_clients clients{context};
    if (!text || !clients.presets().save(*text, reason))
        return report_failure(reason);
    std::cout << "saved\n";
    return exit_ok;
}

int preset_activate(const command_context& context)
{
    failure reason;
    service_clients clients{context};
    const auto& name = context.arguments[0];
    const bool is_file = std::ifstream{name}.good();
    const auto text = is_file ? read_file(name, reason)
                              : clients.presets().saved_text(name, reason);
    if (!text)
        return report_failure(reason);
    const auto accepted = clients.presets().activate(
        *text, make_change_metadata(context), reason);
    return finish_change(context, clients, accepted, reason);
}

int preset_rollback(const command_context& context)
{
    failure reason;
    service_clients clients{context};
    const auto history = clients.presets().history(reason);
    if (!history)
        return report_failure(reason);
    for (const auto& item : *history)
    {
        if (std::to_string(item.generation_number) != context.arguments[0])
            continue;
        const auto accepted = clients.presets().activate(
            item.text, make_change_metadata(context), reason);
        return finish_change(context, clients, accepted, reason);
    }
    return report_failure(
        {failure_kind::invalid_preset,
         "no accepted preset has generation " + context.arguments[0],
         "use a number that `baobabctl preset history` lists"});
}

int preset_list(const command_context& context)
{
    failure reason;
    service_clients clients{context};
    const auto names = clients.presets().saved_names(reason);
    if (!names)
        return report_failure(reason);
    for (const auto& name : *names)
        std::cout << name << '\n';
    return exit_ok;
}

int preset_history(const command_context& context)
{
    failure reason;
    service_clients clients{context};
    const auto history = clients.presets().history(reason);
    if (!history)
        return report_failure(reason);
    json rows = json::array();
    for (const auto& item : *history)
    {
        if (!context.json)
            std::cout << item.generation_number << '\t' << item.accepted_at
                      << '\t' << item.author << '\t' << item.value.name << '\n';
        rows.push_back({{"generation", item.generation_number},
                        {"accepted_at", item.accepted_at},
                        {"author", item.author},
                        {"name", item.value.name}});
    }
    if (context.json)
        std::cout << rows.dump() << '\n';
    return exit_ok;
}

int preset_show(const command_context& context)
{
    failure reason;
    service_clients clients{context};
    std::optional<std::string> text;
    if (!context.arguments.empty())
        text = clients.presets().saved_text(context.arguments[0], reason);
    else if (const auto active = clients.presets().active_preset(reason))
        text = active->text;
    else if (reason.kind == failure_kind::none)
        reason = {failure_kind::invalid_preset, "no preset is in force",
                  "activate one with `baobabctl preset activate`"};
    if (!text)
        return report_failure(reason);
    std::cout << *text << '\n';
    return exit_ok;
}

int status(const command_context& context)
{
    service_clients clients{context};
    const auto statuses = clients.fleet().fetch_statuses();
    json rows = json::array();
    bool all_ready = !statuses.empty();
    for (const auto& item : statuses)
    {
        all_ready = all_ready && item.readiness == "ready";
        rows.push_back({{"url", item.url},
                        {"data_centre", item.data_centre},
                        {"readiness", item.readiness},
                        {"generation", item.generation},
                        {"preset", item.preset}});
        if (!context.json)
            std::cout << std::left << std::setw(28) << item.url << std::setw(16)
                      << item.data_centre << std::setw(12) << item.readiness
                      << item.generation << ' ' << item.preset << '\n';
    }
    if (context.json)
        std::cout << rows.dump() << '\n';
    if (statuses.empty())
        std::cerr << "baobabctl: no router responded; check --router\n";
    return all_ready ? exit_ok : exit_negative;
}

int upstream_list(const command_context& context)
{
    service_clients clients{context};
    json rows = json::array();
    if (!context.json)
        std::cout << std::left << std::setw(16) << "UPSTREAM" << std::setw(24)
                  << "OWNER" << std::setw(10) << "STATE" << std::setw(8)
                  << "LOAD" << std::setw(8) << "LIMIT" << std::setw(9)
                  << "WAITING"
                  << "NEW WORK\n";
    for (const auto& router : clients.fleet().fetch_statuses())
        for (const auto& item : router.upstreams)
        {
            std::string new_work = "yes";
            if (!item.admitted)
                new_work = "no: draining, leaving or out";
            else if (!item.available)
                new_work = "no: down";
            rows.push_back({{"name", item.name},
                            {"owner", item.owner},
                            {"state", item.state},
                            {"load", item.load},
                            {"limit", item.limit},
                            {"waiting", item.waiting},
                            {"setbacks", item.outages},
                            {"new_work", new_work}});
            if (!context.json)
                std::cout << std::setw(16) << item.name << std::setw(24)
                          << item.owner << std::setw(10) << item.state
                          << std::setw(8) << item.load << std::setw(8)
                          << item.limit << std::setw(9) << item.waiting
                          << new_work << '\n';
        }
    if (context.json)
        std::cout << rows.dump() << '\n';
    return exit_ok;
}

int change_data_centre(const command_context& context, bool in_service)
{
    failure reason;
    service_clients clients{context};
    const auto edit = [&](const std::string& text, failure& edit_failure)
    {
        return config::set_data_centre_in_service(text, context.arguments[0],
                                                  in_service, edit_failure);
    };
    const auto accepted = clients.presets().edit_active_preset(
        edit, make_change_metadata(context), reason);
    return finish_change(context, clients, accepted, reason);
}

int change_upstream(const command_context& context,
                    config::upstream_intent intent)
{
    failure reason;
    service_clients clients{context};
    const auto edit = [&](const std::string& text, failure& edit_failure)
    {
        return config::set_upstream_intent(text, context.arguments[0], intent,
                                           edit_failure);
    };
    const auto accepted = clients.presets().edit_active_preset(
        edit, make_change_metadata(context), reason);
    return finish_change(context, clients, accepted, reason);
}

int report_burn(const command_context& context)
{
    service_clients clients{context};
    auto& fleet = clients.fleet();
    const auto pages = fleet.fetch_pages(fleet.discover_routers(), "/burn");
    const auto series = operators::sum_burn(pages);
    GDateTime* now = g_date_time_new_now_utc();
    gchar* generated_at = g_date_time_format(now, "%Y-%m-%d %H:%M:%S UTC");
    std::string text = operators::burn_text(series);
    if (context.json)
        text = operators::burn_json(series) + "\n";
    else if (context.html)
        text = operators::burn_html(series, generated_at);
    g_free(generated_at);
    g_date_time_unref(now);
    if (context.output_file.empty())
        std::cout << text;
    else if (!(std::ofstream{context.output_file} << text))
        return report_failure({failure_kind::io,
                               "cannot write " + context.output_file,
                               "choose another file"});
    if (!pages.empty())
        return exit_ok;
    std::cerr << "baobabctl: no router responded; check --router\n";
    return exit_unavailable;
}

/// Prints the roll-outs that the routers report; with --wait, until all are
/// complete or reverted.
int rollouts(const command_context& context)
{
    constexpr duration poll_period = 500ms;
    service_clients clients{context};
    const auto deadline =
        net::monotonic_now() + std::chrono::seconds{context.wait_s};
    for (;;)
    {
        const auto pages =
            clients.fleet().fetch_pages(context.routers, "/rollouts");
        if (std::ranges::all_of(pages, [](const auto& page)
                                { return page.body.empty(); }))
            return report_failure({failure_kind::kv_unavailable,
                                   "no router responded",
                                   "pass the routers' metrics addresses with "
                                   "--router"});
        const auto progress = operators::parse_rollouts(pages);
        std::cout << (context.json ? operators::rollouts_json(progress) + "\n"
                                   : operators::rollouts_text(progress))
                  << std::flush;
        if (progress.empty() && !context.json)
            std::cout << "no roll-out\n";
        if (!context.wait || operators::are_rollouts_final(progress))
            return exit_ok;
        if (net::monotonic_now() >= deadline)
            return exit_negative;
        g_usleep(static_cast<gulong>(duration{poll_period}.count()));
    }
}

/// Maximum number of log files of one `explain` command. Operators pass only
/// the logs of the routers that handled the request.
constexpr std::size_t max_logs = 1000;

int explain(const command_context& context)
{
    std::vector<std::ifstream> files;
    files.reserve(context.arguments.size());
    std::vector<operators::router_log> logs;
    for (std::size_t index = 1; index < context.arguments.size(); ++index)
    {
        const auto& path = context.arguments[index];
        files.emplace_back(path);
        if (!files.back())
        {
            std::cerr << "baobabctl: cannot read " << path << '\n';
            return exit_usage;
        }
        logs.push_back(
            {std::filesystem::path{path}.stem().string(), &files.back()});
    }
    const auto timeline =
        operators::build_timeline(context.arguments.front(), logs);
    if (timeline.empty())
    {
        std::cerr << "baobabctl: no line of these logs names request "
                  << context.arguments.front() << '\n';
        return exit_negative;
    }
    std::cout << operators::timeline_text(timeline);
    return exit_ok;
}

int where(const command_context& context)
{
    service_clients clients{context};
    failure reason;
    const auto report = operators::merge_where(
        clients.fleet().fetch_pages(
            context.routers,
            operators::where_path({.route = context.arguments.front(),
                                   .customer = context.customer,
                                   .prompt = context.prompt})),
        reason);
    if (!report)
    {
        std::cerr << "baobabctl: " << reason.text() << '\n';
        return reason.kind == failure_kind::peer_unavailable ? exit_unavailable
                                                             : exit_negative;
    }
    std::cout << (context.json ? report->content.dump() + "\n"
                               : operators::where_text(*report));
    return report->agree ? exit_ok : exit_negative;
}

} // namespace

const std::vector<command_definition>& command_table()
{
    static const std::vector<command_definition> table{
        {"preset check", "FILE", "check a preset file", 1, 1, preset_check},
        {"preset diff", "FILE [FILE]",
         "show the differences between the preset in force and FILE, or "
         "between two files",
         1, 2, preset_diff},
        {"preset put", "FILE", "save a preset under its name", 1, 1,
         preset_put},
        {"preset activate", "FILE|NAME",
         "activate a preset file or a saved preset", 1, 1, preset_activate},
        {"preset rollback", "NUMBER",
         "activate an earlier accepted preset again, as a new generation", 1, 1,
         preset_rollback},
        {"preset list", "", "list the saved presets", 0, 0, preset_list},
        {"preset history", "", "list all accepted presets", 0, 0,
         preset_history},
        {"preset show", "[NAME]", "print the preset in force or a saved preset",
         0, 1, preset_show},
        {"status", "", "show the status of every router", 0, 0, status},
        {"upstream list", "", "show every upstream and its owner", 0, 0,
         upstream_list},
        {"upstream drain", "NAME", "stop sending new work to an upstream", 1, 1,
         [](const command_context& context)
         {
             return change_upstream(context, config::upstream_intent::draining);
         }},
        {"upstream serve", "NAME", "send new work to an upstream again", 1, 1,
         [](const command_context& context)
         {
             return change_upstream(context, config::upstream_intent::serving);
         }},
        {"data-centre out", "NAME", "take a data centre out of service", 1, 1,
         [](const command_context& context)
         {
             return change_data_centre(context, false);
         }},
        {"data-centre in", "NAME", "return a data centre to service", 1, 1,
         [](const command_context& context)
         {
             return change_data_centre(context, true);
         }},
        {"report burn", "", "report the error-budget burn of every service", 0,
         0, report_burn},
        {"rollouts", "",
         "show the progress of roll-outs; --router takes metrics addresses", 0,
         0, rollouts},
        {"explain", "REQUEST-ID LOG...",
         "merge the log lines of several routers about one request", 2,
         max_logs + 1, explain},
        {"where", "ROUTE",
         "show where a request would go now, by each --router, and why", 1, 1,
         where},
    };
    return table;
}

} // namespace baobabloft::ctl
