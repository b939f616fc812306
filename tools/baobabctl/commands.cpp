#include "commands.hpp"

#include "baobabloft/config/preset_parser.hpp"
#include "baobabloft/operators/burn_report.hpp"
#include "baobabloft/operators/fleet_client.hpp"
#include "baobabloft/operators/preset_store.hpp"
#include "baobabloft/operators/request_account.hpp"

#include <nlohmann/json.hpp>
#include <sodium.h>

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

/// A loop and the clients on it, for commands that block.
class session
{
public:
    explicit session(const command_context& context)
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

int fail(const failure& reason)
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
                  "check the file's name"};
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return std::move(text).str();
}

operators::change_author make_author(const command_context& context)
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
        std::cout << json{{"generation", accepted.number},
                          {"name", accepted.value.name},
                          {"author", accepted.author}}
                         .dump()
                  << '\n';
    else
        std::cout << "accepted: number " << accepted.number << ", preset "
                  << accepted.value.name << ", by " << accepted.author << '\n';
}

/// Waits until every live router has `number` in force; names the laggards.
int wait_in_force(const command_context& context, session& connections,
                  config::generation number)
{
    constexpr duration poll_period = 200ms;
    const auto end =
        net::monotonic_now() + std::chrono::seconds{context.wait_s};
    std::size_t shown = 0;
    for (;;)
    {
        std::vector<std::string> behind;
        const auto statuses = connections.fleet().statuses();
        for (const auto& status : statuses)
            if (status.generation < number)
                behind.push_back(status.url);
        if (!statuses.empty() && behind.empty())
        {
            std::cout << "in force at all " << statuses.size() << " routers\n";
            return exit_ok;
        }
        if (net::monotonic_now() >= end)
        {
            if (statuses.empty())
                std::cerr << "baobabctl: no router answers; give --router\n";
            for (const auto& url : behind)
                std::cerr << "baobabctl: not yet in force at " << url << '\n';
            return exit_negative;
        }
        if (behind.size() != shown)
            std::cerr << "waiting for " << behind.size() << " of "
                      << statuses.size() << " routers\n";
        shown = behind.size();
        g_usleep(static_cast<gulong>(duration{poll_period}.count()));
    }
}

int finish_change(const command_context& context, session& connections,
                  const std::optional<config::accepted_preset>& accepted,
                  const failure& reason)
{
    if (!accepted)
        return fail(reason);
    print_accepted(context, *accepted);
    return context.wait ? wait_in_force(context, connections, accepted->number)
                        : exit_ok;
}

int preset_check(const command_context& context)
{
    failure reason;
    const auto text = read_file(context.arguments[0], reason);
    if (!text)
        return fail(reason);
    std::vector<config::preset_mistake> mistakes;
    const auto preset = config::parse_preset(*text, mistakes);
    if (context.json)
    {
        json rows = json::array();
        for (const auto& item : mistakes)
            rows.push_back({{"where", item.where},
                            {"message", item.message},
                            {"remedy", item.remedy}});
        std::cout
            << json{{"valid", preset.has_value()}, {"mistakes", rows}}.dump()
            << '\n';
    }
    else
        for (const auto& item : mistakes)
            std::cerr << context.arguments[0] << ": "
                      << (item.where.empty() ? "/" : item.where) << ": "
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
        return fail(reason);
    std::optional<std::string> other;
    if (context.arguments.size() > 1)
        other = read_file(context.arguments[1], reason);
    else
    {
        session connections{context};
        if (const auto active = connections.presets().active(reason))
            other = active->text;
    }
    if (!other)
        return fail(reason);
    const bool in_force = context.arguments.size() == 1;
    const auto changes = in_force ? config::diff_presets(*other, *text)
                                  : config::diff_presets(*text, *other);
    for (const auto& change : changes)
        std::cout << change.where << ": "
                  << (change.before.empty() ? "(none)" : change.before)
                  << " -> " << (change.after.empty() ? "(none)" : change.after)
                  << '\n';
    return changes.empty() ? exit_ok : exit_negative;
}

int preset_put(const command_context& context)
{
    failure reason;
    const auto text = read_file(context.arguments[0], reason);
    session connections{context};
    if (!text || !connections.presets().put(*text, reason))
        return fail(reason);
    std::cout << "kept\n";
    return exit_ok;
}

int preset_activate(const command_context& context)
{
    failure reason;
    session connections{context};
    const auto& name = context.arguments[0];
    const bool is_file = std::ifstream{name}.good();
    const auto text = is_file ? read_file(name, reason)
                              : connections.presets().kept(name, reason);
    if (!text)
        return fail(reason);
    const auto accepted =
        connections.presets().activate(*text, make_author(context), reason);
    return finish_change(context, connections, accepted, reason);
}

int preset_rollback(const command_context& context)
{
    failure reason;
    session connections{context};
    const auto history = connections.presets().history(reason);
    if (!history)
        return fail(reason);
    for (const auto& item : *history)
    {
        if (std::to_string(item.number) != context.arguments[0])
            continue;
        const auto accepted = connections.presets().activate(
            item.text, make_author(context), reason);
        return finish_change(context, connections, accepted, reason);
    }
    return fail({failure_kind::invalid_preset,
                 "no accepted preset has number " + context.arguments[0],
                 "use a number that `baobabctl preset history` lists"});
}

int preset_list(const command_context& context)
{
    failure reason;
    session connections{context};
    const auto names = connections.presets().names(reason);
    if (!names)
        return fail(reason);
    for (const auto& name : *names)
        std::cout << name << '\n';
    return exit_ok;
}

int preset_history(const command_context& context)
{
    failure reason;
    session connections{context};
    const auto history = connections.presets().history(reason);
    if (!history)
        return fail(reason);
    json rows = json::array();
    for (const auto& item : *history)
    {
        if (!context.json)
            std::cout << item.number << '\t' << item.accepted_at << '\t'
                      << item.author << '\t' << item.value.name << '\n';
        rows.push_back({{"generation", item.number},
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
    session connections{context};
    std::optional<std::string> text;
    if (!context.arguments.empty())
        text = connections.presets().kept(context.arguments[0], reason);
    else if (const auto active = connections.presets().active(reason))
        text = active->text;
    else if (reason.kind == failure_kind::none)
        reason = {failure_kind::invalid_preset, "no preset is in force",
                  "activate one with `baobabctl preset activate`"};
    if (!text)
        return fail(reason);
    std::cout << *text << '\n';
    return exit_ok;
}

int status(const command_context& context)
{
    session connections{context};
    const auto statuses = connections.fleet().statuses();
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
        std::cerr << "baobabctl: no router answers; give --router\n";
    return all_ready ? exit_ok : exit_negative;
}

int upstream_list(const command_context& context)
{
    session connections{context};
    json rows = json::array();
    if (!context.json)
        std::cout << std::left << std::setw(16) << "UPSTREAM" << std::setw(24)
                  << "OWNER" << std::setw(10) << "STATE" << std::setw(8)
                  << "LOAD" << std::setw(8) << "LIMIT" << std::setw(9)
                  << "WAITING"
                  << "NEW WORK\n";
    for (const auto& router : connections.fleet().statuses())
        for (const auto& item : router.upstreams)
        {
            std::string work = "yes";
            if (!item.admitted)
                work = "no: draining, leaving or out";
            else if (!item.available)
                work = "no: down";
            rows.push_back({{"name", item.name},
                            {"owner", item.owner},
                            {"state", item.state},
                            {"load", item.load},
                            {"limit", item.limit},
                            {"waiting", item.waiting},
                            {"setbacks", item.setbacks},
                            {"new_work", work}});
            if (!context.json)
                std::cout << std::setw(16) << item.name << std::setw(24)
                          << item.owner << std::setw(10) << item.state
                          << std::setw(8) << item.load << std::setw(8)
                          << item.limit << std::setw(9) << item.waiting << work
                          << '\n';
        }
    if (context.json)
        std::cout << rows.dump() << '\n';
    return exit_ok;
}

int change_data_centre(const command_context& context, bool in_service)
{
    failure reason;
    session connections{context};
    const auto edit = [&](const std::string& text, failure& why)
    {
        return config::set_data_centre(text, context.arguments[0], in_service,
                                       why);
    };
    const auto accepted =
        connections.presets().change(edit, make_author(context), reason);
    return finish_change(context, connections, accepted, reason);
}

int change_upstream(const command_context& context,
                    config::upstream_intent intent)
{
    failure reason;
    session connections{context};
    const auto edit = [&](const std::string& text, failure& why)
    {
        return config::set_upstream_intent(text, context.arguments[0], intent,
                                           why);
    };
    const auto accepted =
        connections.presets().change(edit, make_author(context), reason);
    return finish_change(context, connections, accepted, reason);
}

int report_burn(const command_context& context)
{
    session connections{context};
    auto& fleet = connections.fleet();
    const auto pages = fleet.read_all(fleet.discover(), "/burn");
    const auto series = operators::sum_burn(pages);
    GDateTime* present = g_date_time_new_now_utc();
    gchar* made_at = g_date_time_format(present, "%Y-%m-%d %H:%M:%S UTC");
    std::string text = operators::burn_text(series);
    if (context.json)
        text = operators::burn_json(series) + "\n";
    else if (context.html)
        text = operators::burn_html(series, made_at);
    g_free(made_at);
    g_date_time_unref(present);
    if (context.out_file.empty())
        std::cout << text;
    else if (!(std::ofstream{context.out_file} << text))
        return fail({failure_kind::io, "cannot write " + context.out_file,
                     "choose another file"});
    if (!pages.empty())
        return exit_ok;
    std::cerr << "baobabctl: no router answers; give --router\n";
    return exit_unavailable;
}

/// Logs that one call takes; a fleet's on-call engineer names those of the
/// routers that the caller reached.
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
    const auto account = operators::account_of(context.arguments.front(), logs);
    if (account.empty())
    {
        std::cerr << "baobabctl: no line of these logs names "
                  << context.arguments.front() << '\n';
        return exit_negative;
    }
    std::cout << operators::account_text(account);
    return exit_ok;
}

} // namespace

const std::vector<command_row>& command_table()
{
    static const std::vector<command_row> table{
        {"preset check", "FILE", "check a preset file", 1, 1, preset_check},
        {"preset diff", "FILE [FILE]",
         "show what FILE changes in the preset in force, or the differences "
         "between two files",
         1, 2, preset_diff},
        {"preset put", "FILE", "keep a preset under its name", 1, 1,
         preset_put},
        {"preset activate", "FILE|NAME", "put a preset into force", 1, 1,
         preset_activate},
        {"preset rollback", "NUMBER",
         "put an earlier accepted preset into force again, as a new number", 1,
         1, preset_rollback},
        {"preset list", "", "list kept presets", 0, 0, preset_list},
        {"preset history", "", "list every accepted preset", 0, 0,
         preset_history},
        {"preset show", "[NAME]", "print the preset in force, or a kept one", 0,
         1, preset_show},
        {"status", "", "show every router", 0, 0, status},
        {"upstream list", "", "show every upstream and who owns it", 0, 0,
         upstream_list},
        {"upstream drain", "NAME", "give an upstream no new work", 1, 1,
         [](const command_context& context)
         {
             return change_upstream(context, config::upstream_intent::draining);
         }},
        {"upstream serve", "NAME", "give an upstream work again", 1, 1,
         [](const command_context& context)
         {
             return change_upstream(context, config::upstream_intent::serving);
         }},
        {"data-centre out", "NAME", "take a data centre out of service", 1, 1,
         [](const command_context& context)
         {
             return change_data_centre(context, false);
         }},
        {"data-centre in", "NAME", "bring a data centre back", 1, 1,
         [](const command_context& context)
         {
             return change_data_centre(context, true);
         }},
        {"report burn", "", "report the service-level burn", 0, 0, report_burn},
        {"explain", "REQUEST-ID LOG...",
         "put the log lines of several routers about one request together", 2,
         max_logs + 1, explain},
    };
    return table;
}

} // namespace baobabloft::ctl
