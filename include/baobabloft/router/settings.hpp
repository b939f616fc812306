// Settings of the router daemon: one table names each setting's flag, unit,
// default and check. The environment variable of a flag is BAOBAB_ and the
// flag's name in capitals with underscores.
#pragma once

#include "baobabloft/support/failure.hpp"
#include "baobabloft/support/ids.hpp"
#include "baobabloft/support/time.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace baobabloft::router
{

/// An IPv4 address and port.
struct endpoint
{
    std::string host;
    std::uint16_t port = 0;
};

/// Everything that the daemon is told at start.
struct settings
{
    endpoint listen;
    endpoint control_listen;
    std::string data_centre;
    std::string kv_url;
    std::string host_list_url;
    std::vector<router_id> peers;
    std::vector<std::string> fleet_secrets;
    std::string operator_token;
    std::string tls_certificate;
    std::string tls_key;
    unsigned workers = 2;
    std::size_t max_body_bytes = 4 * 1024 * 1024;
    std::size_t max_answer_bytes = 16 * 1024 * 1024;
    duration first_byte_timeout = 20s;
    duration progress_timeout = 5s;
    duration max_timeout = 600s;
    duration shutdown_timeout = 600s;
    std::uint32_t ledger_shards = 8;
    double ledger_writes_per_second = 200;
    duration ledger_retention = 600s;
    std::string log_level = "info";
};

/// One row of the table of settings.
struct setting_row
{
    std::string_view flag;
    /// What stands for the value in the help text, with its unit.
    std::string_view value;
    /// Text of the default, empty if the setting must be given or is unset.
    std::string_view initial;
    bool required = false;
    std::string_view help;
    /// Parses `text` into the settings; returns what is wrong, or nothing.
    std::optional<std::string> (*apply)(settings&, const std::string& text);
};

/// Returns the table of settings.
std::span<const setting_row> setting_table();

/// Returns the environment variable of `row`.
std::string variable_of(const setting_row& row);

/// A setting's text as given by a flag or a variable.
struct given_setting
{
    std::string flag;
    std::string text;
};

/// Checks and applies `given`, with defaults for the rest. On any mistake
/// returns nothing and appends every mistake to `mistakes`.
std::optional<settings> make_settings(const std::vector<given_setting>& given,
                                      std::vector<failure>& mistakes);

/// Parses "a.b.c.d:port".
std::optional<endpoint> parse_endpoint(std::string_view text);

/// Returns the IPv4 address of `host` in host order.
std::optional<std::uint32_t> parse_ipv4(std::string_view host);

} // namespace baobabloft::router
