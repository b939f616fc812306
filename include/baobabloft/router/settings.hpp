// Settings of the router daemon. One table lists the flag, unit, default and
// parser of each setting. The environment variable of a flag is BAOBAB_
// followed by the flag's name in capitals with underscores.
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

/// Values of all settings.
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
    /// Address of the platform's store. If set, the daemon serves the services
    /// that the store's directory lists, and reads no preset.
    std::optional<endpoint> directory;
    /// Name under which this router registers in the directory.
    std::string router_name;
    /// Address of the readiness page, which the load balancer queries.
    std::optional<endpoint> ready_listen;
    /// Address of the metrics page.
    std::optional<endpoint> metrics_listen;
    /// Time after which a revoked key is refused by every router.
    duration key_revocation_bound = 5s;
    /// Time after which a configuration is in force at every router.
    duration in_force_bound = 2s;
    /// Retries per request that the fleet may send to a service.
    double retry_ratio = 0.2;
    /// Retries per window beyond retry_ratio, over the whole fleet.
    double retry_slack = 58;
    duration retry_window = 10s;
    /// Share of a service's requests that the fleet may send to a second
    /// upstream while the first is slow; 0 for none.
    double hedge_share = 0;
    /// Highest request rate of a cold upstream, as a multiple of the cold rate
    /// of its service.
    double cold_overrun = 1.5;
    /// Requests per second beyond that rate.
    double cold_slack = 5;
    /// Share of a service's requests that a new version may get in a roll-out
    /// before it has proved to be good.
    double rollout_exposure = 0.1;
    /// Requests beyond that share.
    double rollout_slack = 50;
    /// Time from the fiftieth bad response of a new version to its last
    /// request.
    duration rollout_revert_bound = 5s;
};

/// Description of one setting.
struct setting_row
{
    std::string_view flag;
    /// Placeholder of the value in the help text; names the unit.
    std::string_view value_name;
    /// Default as text; empty if the setting is required or unset by default.
    std::string_view default_text;
    bool required = false;
    std::string_view help;
    /// Parses `text` into the settings. Returns an error message, or nothing on
    /// success.
    std::optional<std::string> (*apply)(settings&, const std::string& text);
};

/// The setting that selects a directory; if it is set, the required settings of
/// a fleet with presets may be left out.
inline constexpr std::string_view directory_flag = "directory";

/// Name of the group of the settings in a settings file.
inline constexpr const char* settings_group = "baobabd";

/// Returns the table of settings.
std::span<const setting_row> setting_table();

/// Returns the name of the environment variable of `row`.
std::string environment_variable_of(const setting_row& row);

/// Unparsed value of a setting from a flag, an environment variable or a
/// settings file.
struct raw_setting
{
    std::string flag;
    std::string text;
};

/// Parses `raw_settings` and applies the defaults of all others. If any setting
/// is invalid, returns nothing and appends all errors to `errors`.
std::optional<settings>
make_settings(const std::vector<raw_setting>& raw_settings,
              std::vector<failure>& errors);

/// Reads settings from a key file: a group "[baobabd]" with lines of FLAG=TEXT.
/// Names that are not settings are appended to `unknown`. Returns nothing and
/// sets `reason` if the file cannot be read.
std::optional<std::vector<raw_setting>>
read_settings_file(const std::string& path, std::vector<std::string>& unknown,
                   failure& reason);

} // namespace baobabloft::router
