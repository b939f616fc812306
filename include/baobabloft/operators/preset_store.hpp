// Reads and changes the presets in the platform's key-value service on behalf
// of operators. Each change is one compare-and-swap. If its response is lost,
// the outcome is determined by reading back. Every accepted preset stays in the
// history.
#pragma once

#include "baobabloft/config/preset_parser.hpp"
#include "baobabloft/net/kv_client.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobabloft::operators
{

/// Describes a change of the preset in force.
struct change_metadata
{
    std::string author;
    /// Unique to this change. Identifies it in the history if the response to
    /// the write is lost.
    std::string nonce;
    /// Seconds since the Unix epoch, for display only.
    std::int64_t accepted_at_s = 0;
};

/// Reads and changes presets. Calls block until they are complete. On failure
/// they return an empty result or false and set `reason`.
class preset_store
{
public:
    /// `loop` must be the event loop that `kv` was created on.
    preset_store(net::event_loop& loop, net::kv_client& kv);

    /// Returns the preset in force. If no preset was ever activated, returns
    /// nothing with failure_kind::none.
    std::optional<config::accepted_preset> active_preset(failure& reason);

    /// Replaces the preset in force with `text`. Fails with
    /// failure_kind::conflict if another change is accepted first.
    std::optional<config::accepted_preset>
    activate(const std::string& text, const change_metadata& metadata,
             failure& reason);

    /// Returns the edited text of a preset, or nothing with the reason.
    using edit_function = std::function<std::optional<std::string>(
        const std::string& text, failure& reason)>;

    /// Applies `edit` to the text of the preset in force and activates the
    /// result. If another change is accepted first, applies `edit` to the new
    /// preset; after several conflicts in a row fails with
    /// failure_kind::conflict.
    std::optional<config::accepted_preset>
    edit_active_preset(const edit_function& edit,
                       const change_metadata& metadata, failure& reason);

    /// Checks the preset `text` and saves it under its name for later
    /// activation.
    bool save(const std::string& text, failure& reason);

    /// Returns the text of the preset saved under `name`.
    std::optional<std::string> saved_text(const std::string& name,
                                          failure& reason);

    /// Returns the names of all saved presets.
    std::optional<std::vector<std::string>> saved_names(failure& reason);

    /// Returns all accepted presets, oldest first. Omits entries that cannot be
    /// parsed.
    std::optional<std::vector<config::accepted_preset>>
    history(failure& reason);

private:
    /// The preset in force with its stored envelope, both empty if no preset
    /// was ever activated.
    struct stored_preset
    {
        std::optional<config::accepted_preset> preset;
        std::optional<std::string> envelope;
    };

    /// Outcome of a compare-and-swap of the preset in force.
    enum class swap_result
    {
        accepted,
        /// Another change was accepted first.
        conflict,
        /// The history has no entry for this generation or could not be read.
        unknown
    };

    std::optional<net::kv_range_result> read(const net::kv_range& range,
                                             failure& reason);
    std::optional<net::kv_transaction_result>
    commit(const net::kv_transaction& transaction, failure& reason);
    std::optional<stored_preset> read_active(failure& reason);
    std::optional<config::accepted_preset>
    replace_active(const stored_preset& current, const std::string& text,
                   const change_metadata& metadata, failure& reason);
    swap_result try_swap(const stored_preset& current,
                         const config::accepted_preset& next, failure& reason);
    /// Looks up in the history whether `next` or another change was accepted
    /// under its generation number.
    swap_result read_back(const config::accepted_preset& next, failure& reason);

    net::event_loop& loop_;
    net::kv_client& kv_;
};

} // namespace baobabloft::operators
