#include "baobabloft/router/settings.hpp"

#include "baobabloft/support/numbers.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <glib.h>
#include <memory>

namespace baobabloft::router
{

namespace
{

using parse_error = std::optional<std::string>;

std::vector<std::string> split_list(const std::string& text)
{
    std::vector<std::string> parts;
    std::size_t start = 0;
    while (start < text.size())
    {
        const auto comma = std::min(text.find(',', start), text.size());
        if (comma != start)
            parts.push_back(text.substr(start, comma - start));
        start = comma + 1;
    }
    return parts;
}

parse_error apply_endpoint(endpoint& target, const std::string& text)
{
    if (const auto parsed = parse_endpoint(text))
    {
        target = *parsed;
        return std::nullopt;
    }
    return "expected an IPv4 address and port such as 127.0.0.1:8080";
}

parse_error apply_optional_endpoint(std::optional<endpoint>& target,
                                    const std::string& text)
{
    return apply_endpoint(target.emplace(), text);
}

template <typename Number>
parse_error apply_number(Number& target, const std::string& text,
                         Number min_value, Number max_value)
{
    const auto parsed = parse_number<Number>(text);
    if (!parsed || *parsed < min_value || *parsed > max_value)
        return "expected a number from " + std::to_string(min_value) + " to " +
               std::to_string(max_value);
    target = *parsed;
    return std::nullopt;
}

/// Largest duration that a setting accepts: one day.
constexpr double max_seconds = 86400;

parse_error apply_seconds(duration& target, const std::string& text)
{
    double seconds = 0;
    if (auto error = apply_number<double>(seconds, text, 0.001, max_seconds))
        return error;
    target = from_seconds(seconds);
    return std::nullopt;
}

parse_error apply_url(std::string& target, const std::string& text)
{
    if (!text.empty() && !text.starts_with("http://") &&
        !text.starts_with("https://"))
        return "expected a URL such as http://127.0.0.1:2379";
    target = text;
    return std::nullopt;
}

parse_error apply_peers(settings& result, const std::string& text)
{
    for (const auto& part : split_list(text))
    {
        const auto parsed = parse_endpoint(part);
        if (!parsed)
            return "expected addresses such as 10.0.0.1:7080,10.0.0.2:7080";
        result.peers.push_back(
            make_router_id(*parse_ipv4(parsed->host), parsed->port));
    }
    return std::nullopt;
}

constexpr std::size_t min_secret_length = 16;

parse_error apply_secrets(settings& result, const std::string& text)
{
    result.fleet_secrets = split_list(text);
    const bool long_enough = std::all_of(
        result.fleet_secrets.begin(), result.fleet_secrets.end(),
        [](const auto& secret) { return secret.size() >= min_secret_length; });
    if (result.fleet_secrets.empty() || !long_enough)
        return "expected one or more secrets of at least 16 characters";
    return std::nullopt;
}

parse_error apply_log_level(settings& result, const std::string& text)
{
    constexpr std::array<std::string_view, 4> levels{"debug", "info", "warning",
                                                     "error"};
    if (std::find(levels.begin(), levels.end(), text) == levels.end())
        return "expected debug, info, warning or error";
    result.log_level = text;
    return std::nullopt;
}

constexpr std::size_t max_bytes = std::size_t{1} << 30U;

/// Beyond this share, slow requests cannot be distinguished from the others.
constexpr double max_hedge_share = 0.25;

constexpr std::array table{
    setting_row{"listen", "IP:PORT", "127.0.0.1:8080", false,
                "address for callers and operators",
                [](settings& result, const std::string& text)
                {
                    return apply_endpoint(result.listen, text);
                }},
    setting_row{"control-listen", "IP:PORT", "127.0.0.1:7080", false,
                "address for datagrams of other routers; it is this router's "
                "identity and must be reachable by the whole fleet",
                [](settings& result, const std::string& text)
                {
                    return apply_endpoint(result.control_listen, text);
                }},
    setting_row{"data-centre", "NAME", "", true,
                "data centre of this host, as the presets name it",
                [](settings& result, const std::string& text) -> parse_error
                {
                    result.data_centre = text;
                    return std::nullopt;
                }},
    setting_row{"kv-url", "URL", "", true, "the platform's key-value service",
                [](settings& result, const std::string& text)
                {
                    return apply_url(result.kv_url, text);
                }},
    setting_row{"host-list-url", "URL", "", false,
                "the platform's list of live and leaving hosts",
                [](settings& result, const std::string& text)
                {
                    return apply_url(result.host_list_url, text);
                }},
    setting_row{"peers", "IP:PORT,...", "", false,
                "control addresses of routers through which to join the fleet",
                apply_peers},
    setting_row{"fleet-secrets", "SECRET,...", "", true,
                "shared secrets of the fleet; the first is used to sign, all "
                "are accepted",
                apply_secrets},
    setting_row{"operator-token", "TOKEN", "", false,
                "bearer token for /status, /metrics and /burn; if empty, they "
                "are open to everyone",
                [](settings& result, const std::string& text) -> parse_error
                {
                    result.operator_token = text;
                    return std::nullopt;
                }},
    setting_row{"tls-certificate", "FILE", "", false,
                "PEM certificate chain for callers; reloaded on SIGHUP",
                [](settings& result, const std::string& text) -> parse_error
                {
                    result.tls_certificate = text;
                    return std::nullopt;
                }},
    setting_row{"tls-key", "FILE", "", false,
                "PEM private key of the certificate",
                [](settings& result, const std::string& text) -> parse_error
                {
                    result.tls_key = text;
                    return std::nullopt;
                }},
    setting_row{"workers", "COUNT", "2", false, "worker threads, 1 to 64",
                [](settings& result, const std::string& text)
                {
                    return apply_number<unsigned>(result.workers, text, 1, 64);
                }},
    setting_row{"max-body-bytes", "BYTES", "4194304", false,
                "largest request body",
                [](settings& result, const std::string& text)
                {
                    return apply_number<std::size_t>(result.max_body_bytes,
                                                     text, 1024, max_bytes);
                }},
    setting_row{"max-answer-bytes", "BYTES", "16777216", false,
                "largest response that is not streamed",
                [](settings& result, const std::string& text)
                {
                    return apply_number<std::size_t>(result.max_answer_bytes,
                                                     text, 1024, max_bytes);
                }},
    setting_row{"first-byte-timeout", "SECONDS", "20", false,
                "longest wait for an upstream's first byte",
                [](settings& result, const std::string& text)
                {
                    return apply_seconds(result.first_byte_timeout, text);
                }},
    setting_row{"progress-timeout", "SECONDS", "5", false,
                "longest pause between bytes of an upstream's response",
                [](settings& result, const std::string& text)
                {
                    return apply_seconds(result.progress_timeout, text);
                }},
    setting_row{"max-timeout", "SECONDS", "600", false,
                "longest timeout that a caller may request",
                [](settings& result, const std::string& text)
                {
                    return apply_seconds(result.max_timeout, text);
                }},
    setting_row{"shutdown-timeout", "SECONDS", "600", false,
                "longest wait for requests in progress at shutdown",
                [](settings& result, const std::string& text)
                {
                    return apply_seconds(result.shutdown_timeout, text);
                }},
    setting_row{"ledger-shards", "COUNT", "8", false,
                "shards of the at-most-once ledger; must be equal on every "
                "router and must not change while keys are retained",
                [](settings& result, const std::string& text)
                {
                    return apply_number<std::uint32_t>(result.ledger_shards,
                                                       text, 1, 256);
                }},
    setting_row{"ledger-writes", "PER SECOND", "200", false,
                "key-value writes per second that the fleet's ledger may use",
                [](settings& result, const std::string& text)
                {
                    return apply_number<double>(result.ledger_writes_per_second,
                                                text, 1, 10000);
                }},
    setting_row{"ledger-retention", "SECONDS", "600", false,
                "age up to which keys of non-repeatable calls are retained",
                [](settings& result, const std::string& text)
                {
                    return apply_seconds(result.ledger_retention, text);
                }},
    setting_row{"directory", "IP:PORT", "", false,
                "the platform's store, if routes and upstreams come from it; "
                "data-centre, kv-url and fleet-secrets are then not needed",
                [](settings& result, const std::string& text)
                {
                    return apply_optional_endpoint(result.directory, text);
                }},
    setting_row{"router-name", "NAME", "router", false,
                "name under which this router registers in the directory",
                [](settings& result, const std::string& text) -> parse_error
                {
                    result.router_name = text;
                    return std::nullopt;
                }},
    setting_row{"ready-listen", "IP:PORT", "", false,
                "address of the readiness page for the load balancer, with a "
                "directory",
                [](settings& result, const std::string& text)
                {
                    return apply_optional_endpoint(result.ready_listen, text);
                }},
    setting_row{"metrics-listen", "IP:PORT", "", false,
                "address of /metrics, with a directory",
                [](settings& result, const std::string& text)
                {
                    return apply_optional_endpoint(result.metrics_listen, text);
                }},
    setting_row{"key-revocation-bound", "SECONDS", "5", false,
                "time after which a revoked key is refused by every router",
                [](settings& result, const std::string& text)
                {
                    return apply_seconds(result.key_revocation_bound, text);
                }},
    setting_row{"in-force-bound", "SECONDS", "2", false,
                "time after which a configuration is in force at every router",
                [](settings& result, const std::string& text)
                {
                    return apply_seconds(result.in_force_bound, text);
                }},
    setting_row{"retry-ratio", "SHARE", "0.2", false,
                "retries per request that the fleet may send to a service",
                [](settings& result, const std::string& text)
                {
                    return apply_number<double>(result.retry_ratio, text, 0,
                                                10);
                }},
    setting_row{"retry-slack", "COUNT", "58", false,
                "retries per window beyond that ratio, over the whole fleet",
                [](settings& result, const std::string& text)
                {
                    return apply_number<double>(result.retry_slack, text, 0,
                                                1'000'000);
                }},
    setting_row{"retry-window", "SECONDS", "10", false,
                "window in which retries are counted",
                [](settings& result, const std::string& text)
                {
                    return apply_seconds(result.retry_window, text);
                }},
    setting_row{"hedge-share", "SHARE", "0", false,
                "share of a service's requests that the fleet may send to a "
                "second upstream while the first is slow; 0 for none",
                [](settings& result, const std::string& text)
                {
                    return apply_number<double>(result.hedge_share, text, 0,
                                                max_hedge_share);
                }},
    setting_row{"cold-overrun", "MULTIPLE", "1.5", false,
                "highest request rate of a cold upstream, as a multiple of its "
                "service's cold rate",
                [](settings& result, const std::string& text)
                {
                    return apply_number<double>(result.cold_overrun, text, 0,
                                                100);
                }},
    setting_row{"cold-slack", "COUNT", "5", false,
                "requests per second beyond that rate",
                [](settings& result, const std::string& text)
                {
                    return apply_number<double>(result.cold_slack, text, 0,
                                                10000);
                }},
    setting_row{"rollout-exposure", "SHARE", "0.1", false,
                "share of a service's requests that a bad version may get in a "
                "roll-out",
                [](settings& result, const std::string& text)
                {
                    return apply_number<double>(result.rollout_exposure, text,
                                                0, 1);
                }},
    setting_row{"rollout-slack", "COUNT", "50", false,
                "requests beyond that share, over the whole fleet",
                [](settings& result, const std::string& text)
                {
                    return apply_number<double>(result.rollout_slack, text, 0,
                                                1'000'000);
                }},
    setting_row{"rollout-revert-bound", "SECONDS", "5", false,
                "time from the fiftieth bad response of a version to its last "
                "request",
                [](settings& result, const std::string& text)
                {
                    return apply_seconds(result.rollout_revert_bound, text);
                }},
    setting_row{"log-level", "LEVEL", "info", false,
                "debug, info, warning or error", apply_log_level},
};

bool is_any_address(const endpoint& address)
{
    return address.host == "0.0.0.0";
}

void check_combinations(const settings& result, std::vector<failure>& errors)
{
    if (result.tls_certificate.empty() != result.tls_key.empty())
        errors.push_back({failure_kind::invalid_setting,
                          "tls-certificate and tls-key must be set together",
                          "set both or neither"});
    if (is_any_address(result.control_listen))
        errors.push_back(
            {failure_kind::invalid_setting,
             "control-listen must be this host's own address",
             "set the address at which other routers reach this host"});
}

} // namespace

std::span<const setting_row> setting_table()
{
    return table;
}

std::string environment_variable_of(const setting_row& row)
{
    std::string name = "BAOBAB_";
    for (const char character : row.flag)
        name += character == '-' ? '_'
                                 : static_cast<char>(std::toupper(
                                       static_cast<unsigned char>(character)));
    return name;
}

std::optional<settings>
make_settings(const std::vector<raw_setting>& raw_settings,
              std::vector<failure>& errors)
{
    const auto previous_count = errors.size();
    settings result;
    // A router with a directory reads no preset and sends nothing to a fleet
    // with presets, so the settings that these require are optional.
    const bool uses_directory = std::any_of(
        raw_settings.begin(), raw_settings.end(),
        [](const auto& item)
        { return item.flag == directory_flag && !item.text.empty(); });
    for (const auto& row : table)
    {
        const auto found = std::find_if(
            raw_settings.begin(), raw_settings.end(),
            [&row](const auto& item) { return item.flag == row.flag; });
        const bool is_set = found != raw_settings.end() && !found->text.empty();
        if (!is_set && row.required && uses_directory)
            continue;
        if (!is_set && row.required)
        {
            errors.push_back({failure_kind::invalid_setting,
                              std::string{row.flag} + " is not set",
                              "set --" + std::string{row.flag} + " or " +
                                  environment_variable_of(row)});
            continue;
        }
        const std::string text =
            is_set ? found->text : std::string{row.default_text};
        if (text.empty())
            continue;
        if (const auto error = row.apply(result, text))
            errors.push_back({failure_kind::invalid_setting,
                              std::string{row.flag} + "=" + text, *error});
    }
    check_combinations(result, errors);
    if (errors.size() != previous_count)
        return std::nullopt;
    return result;
}

std::optional<std::vector<raw_setting>>
read_settings_file(const std::string& path, std::vector<std::string>& unknown,
                   failure& reason)
{
    const std::unique_ptr<GKeyFile, decltype(&g_key_file_unref)> file{
        g_key_file_new(), g_key_file_unref};
    GError* raw_error = nullptr;
    if (g_key_file_load_from_file(file.get(), path.c_str(), G_KEY_FILE_NONE,
                                  &raw_error) == FALSE)
    {
        reason = {failure_kind::invalid_setting,
                  path + ": " + raw_error->message,
                  "use a group [baobabd] with lines of FLAG=TEXT"};
        g_error_free(raw_error);
        return std::nullopt;
    }
    std::vector<raw_setting> raw_settings;
    const std::unique_ptr<gchar*, decltype(&g_strfreev)> names{
        g_key_file_get_keys(file.get(), settings_group, nullptr, nullptr),
        g_strfreev};
    for (auto* name = names.get(); name != nullptr && *name != nullptr; ++name)
    {
        const bool is_known =
            std::any_of(table.begin(), table.end(),
                        [name](const auto& row) { return row.flag == *name; });
        if (!is_known)
        {
            unknown.emplace_back(*name);
            continue;
        }
        const std::unique_ptr<gchar, decltype(&g_free)> text{
            g_key_file_get_value(file.get(), settings_group, *name, nullptr),
            g_free};
        raw_settings.push_back({*name, text ? text.get() : ""});
    }
    return raw_settings;
}

} // namespace baobabloft::router
