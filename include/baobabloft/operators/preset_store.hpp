// Presets in the platform's KV service, as operators change them: each change
// is one compare-and-swap, a lost answer is resolved by reading back, and every
// accepted preset is kept.
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

/// Who changes a preset, and how a lost answer is told apart.
struct change_metadata
{
    std::string author;
    /// Unique to this change.
    std::string nonce;
    /// Seconds since the epoch, for display.
    std::int64_t accepted_at_s = 0;
};

/// Reads and changes presets. Calls block until they are done.
class preset_store
{
public:
    /// `loop` must be the one that `kv` was made on.
    preset_store(net::event_loop& loop, net::kv_client& kv);

    /// Returns the preset in force; nothing with failure_kind::none if there
    /// is none yet.
    std::optional<config::accepted_preset> active_preset(failure& reason);

    /// Puts `text` into force in place of the preset in force now.
    std::optional<config::accepted_preset>
    activate(const std::string& text, const change_metadata& metadata,
             failure& reason);

    /// Puts into force what `edit` makes of the preset in force. Starts again
    /// if another operator was faster.
    using edit_function = std::function<std::optional<std::string>(
        const std::string& text, failure& reason)>;
    std::optional<config::accepted_preset>
    edit_active_preset(const edit_function& edit,
                       const change_metadata& metadata, failure& reason);

    /// Keeps `text` under its name, for activation later.
    bool save(const std::string& text, failure& reason);

    /// Returns the text kept under `name`.
    std::optional<std::string> saved_text(const std::string& name,
                                          failure& reason);

    /// Returns the names of kept presets.
    std::optional<std::vector<std::string>> saved_names(failure& reason);

    /// Returns every accepted preset, oldest first.
    std::optional<std::vector<config::accepted_preset>>
    history(failure& reason);

private:
    struct versioned
    {
        std::optional<config::accepted_preset> preset;
        std::int64_t revision = 0;
    };

    enum class swap_result
    {
        accepted,
        lost,
        unknown
    };

    std::optional<net::kv_range_result> read(const net::kv_range& range,
                                             failure& reason);
    std::optional<net::kv_transaction_result>
    commit(const net::kv_transaction& transaction, failure& reason);
    std::optional<versioned> read_active(failure& reason);
    std::optional<config::accepted_preset>
    replace(const versioned& known, const std::string& text,
            const change_metadata& metadata, failure& reason);
    swap_result try_swap(const versioned& known,
                         const config::accepted_preset& next, failure& reason);
    swap_result read_back(const config::accepted_preset& next, failure& reason);

    net::event_loop& loop_;
    net::kv_client& kv_;
};

} // namespace baobabloft::operators
