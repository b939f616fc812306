// Settings of the router daemon: one table names each setting's flag, unit,
// default and check. The environment variable of a flag is BAOBAB_ and the
// flag's name in capitals with underscores.
#pragma once

#include "baobabloft/support/endpoint.hpp"
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
    /// The platform's store. If set, the daemon routes requests of the
    /// services that the store lists, and reads no preset.
    std::optional<endpoint> directory;
    /// Name under which this router registers there.
    std::string router_name;
    /// Addresses for the balancer's questions and for metrics.
    std::optional<endpoint> ready_listen;
    std::optional<endpoint> metrics_listen;
    duration key_revocation_bound = 5s;
    duration in_force_bound = 2s;
    double retry_ratio = 0.2;
    double retry_slack = 58;
    duration retry_window = 10s;
    double cold_overrun = 1.5;
    double cold_slack = 5;
};

/// One row of the table of settings.
struct setting_row
{
    std::string_view flag;
    /// What stands for the value in the help text, with its unit.
    std::string_view value_name;
    /// Text of the default, empty if the setting must be given or is unset.
    std::string_view default_text;
    bool required = false;
    std::string_view help;
    /// Parses `text` into the settings; returns what is wrong, or nothing.
    std::optional<std::string> (*apply)(settings&, const std::string& text);
};

/// The setting that makes those of the preset's fleet needless.
inline constexpr std::string_view directory_flag = "directory";

/// Name of the group that holds the settings in a settings file.
inline constexpr const char* settings_group = "baobabd";

/// Returns the table of settings.
std::span<const setting_row> setting_table();

/// Returns the environment variable of `row`.
std::string environment_variable_of(const setting_row& row);

/// A setting's text as given by a flag or a variable.
struct raw_setting
{
    std::string flag;
    std::string text;
};

/// Checks and applies `given`, with defaults for the rest. On any mistake
/// returns nothing and appends every mistake to `mistakes`.
std::optional<settings>
make_settings(const std::vector<raw_setting>& raw_settings,
              std::vector<failure>& errors);

/// Reads settings from a key file: "[baobabd]" and lines of FLAG=TEXT. Names
/// that are no settings are appended to `unknown`. Returns nothing with the
/// reason if the file cannot be read.
std::optional<std::vector<raw_setting>>
read_settings_file(const std::string& path, std::vector<std::string>& unknown,
                   failure& reason);

} // namespace baobabloft::router
