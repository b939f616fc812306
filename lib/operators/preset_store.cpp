#include "baobabloft/operators/preset_store.hpp"

#include "baobabloft/router/control_task.hpp"

#include <algorithm>

namespace baobabloft::operators
{

namespace
{

constexpr int max_swap_attempts = 8;
constexpr int max_edit_attempts = 5;

/// Returns the common prefix of the keys of saved presets.
std::string library_prefix()
{
    return "baobab/preset/library/";
}

failure conflict_failure(const std::optional<config::accepted_preset>& winner)
{
    const std::string cause =
        winner ? winner->author + " activated preset \"" + winner->value.name +
                     "\" as generation " +
                     std::to_string(winner->generation_number)
               : "another operator changed the preset";
    return {failure_kind::conflict, cause + " at the same time",
            "review it with `baobabctl preset show`, then activate again"};
}

failure invalid_preset_failure(const config::preset_error& error)
{
    return {failure_kind::invalid_preset, error.location + ": " + error.message,
            error.remedy};
}

} // namespace

preset_store::preset_store(net::event_loop& loop, net::kv_client& kv)
    : loop_(loop), kv_(kv)
{
}

std::optional<config::accepted_preset>
preset_store::active_preset(failure& reason)
{
    const auto current = read_active(reason);
    return current ? current->preset : std::nullopt;
}

std::optional<config::accepted_preset>
preset_store::activate(const std::string& text, const change_metadata& metadata,
                       failure& reason)
{
    const auto current = read_active(reason);
    if (!current)
        return std::nullopt;
    return replace_active(*current, text, metadata, reason);
}

std::optional<config::accepted_preset> preset_store::edit_active_preset(
    const edit_function& edit, const change_metadata& metadata, failure& reason)
{
    for (int attempt = 0; attempt < max_edit_attempts; ++attempt)
    {
        const auto current = read_active(reason);
        if (!current)
            return std::nullopt;
        if (!current->preset)
        {
            reason = {failure_kind::invalid_preset, "no preset is in force yet",
                      "activate one with `baobabctl preset activate`"};
            return std::nullopt;
        }
        const auto text = edit(current->preset->text, reason);
        if (!text)
            return std::nullopt;
        if (auto accepted = replace_active(*current, *text, metadata, reason))
            return accepted;
        if (reason.kind != failure_kind::conflict)
            return std::nullopt;
    }
    return std::nullopt;
}

bool preset_store::save(const std::string& text, failure& reason)
{
    std::vector<config::preset_error> errors;
    const auto preset = config::parse_preset(text, errors);
    if (!preset)
    {
        reason = invalid_preset_failure(errors.front());
        return false;
    }
    net::kv_transaction transaction;
    transaction.puts.push_back({library_prefix() + preset->name, text});
    return commit(transaction, reason).has_value();
}

std::optional<std::string> preset_store::saved_text(const std::string& name,
                                                    failure& reason)
{
    const auto found = read({library_prefix() + name, {}}, reason);
    if (!found)
        return std::nullopt;
    if (!found->entries.empty())
        return found->entries.front().value;
    reason = {failure_kind::invalid_preset, "no saved preset is named " + name,
              "save it with `baobabctl preset put FILE`"};
    return std::nullopt;
}

std::optional<std::vector<std::string>>
preset_store::saved_names(failure& reason)
{
    const auto prefix = library_prefix();
    const auto found = read({prefix, net::prefix_end(prefix)}, reason);
    if (!found)
        return std::nullopt;
    std::vector<std::string> result;
    for (const auto& item : found->entries)
        result.push_back(item.key.substr(prefix.size()));
    return result;
}

std::optional<std::vector<config::accepted_preset>>
preset_store::history(failure& reason)
{
    const auto prefix = router::preset_history_prefix();
    const auto found = read({prefix, net::prefix_end(prefix)}, reason);
    if (!found)
        return std::nullopt;
    std::vector<config::accepted_preset> result;
    for (const auto& item : found->entries)
        if (auto preset = config::parse_envelope(item.value, reason))
            result.push_back(std::move(*preset));
    return result;
}

std::optional<net::kv_range_result>
preset_store::read(const net::kv_range& range, failure& reason)
{
    std::optional<net::kv_range_result> response;
    kv_.read(
        range,
        [&](std::optional<net::kv_range_result> result, const failure& error)
        {
            response = std::move(result);
            reason = error;
            loop_.stop();
        });
    loop_.run();
    return response;
}

std::optional<net::kv_transaction_result>
preset_store::commit(const net::kv_transaction& transaction, failure& reason)
{
    std::optional<net::kv_transaction_result> response;
    kv_.commit(transaction,
               [&](std::optional<net::kv_transaction_result> result,
                   const failure& error)
               {
                   response = result;
                   reason = error;
                   loop_.stop();
               });
    loop_.run();
    return response;
}

std::optional<preset_store::stored_preset>
preset_store::read_active(failure& reason)
{
    const auto found = read({router::active_preset_key(), {}}, reason);
    if (!found)
        return std::nullopt;
    stored_preset result;
    if (found->entries.empty())
        return result;
    result.envelope = found->entries.front().value;
    result.preset = config::parse_envelope(*result.envelope, reason);
    if (!result.preset)
        return std::nullopt;
    return result;
}

std::optional<config::accepted_preset>
preset_store::replace_active(const stored_preset& current,
                             const std::string& text,
                             const change_metadata& metadata, failure& reason)
{
    std::vector<config::preset_error> errors;
    auto value = config::parse_preset(text, errors);
    if (!value)
    {
        reason = invalid_preset_failure(errors.front());
        return std::nullopt;
    }
    config::accepted_preset next{.generation_number = 1,
                                 .nonce = metadata.nonce,
                                 .author = metadata.author,
                                 .accepted_at = metadata.accepted_at_s,
                                 .text = text,
                                 .value = std::move(*value)};
    if (current.preset)
        next = config::succeed(*current.preset, std::move(next));
    for (int attempt = 0; attempt < max_swap_attempts; ++attempt)
    {
        switch (try_swap(current, next, reason))
        {
        case swap_result::accepted:
            return next;
        case swap_result::conflict:
            reason = conflict_failure(active_preset(reason));
            return std::nullopt;
        case swap_result::unknown:
            break;
        }
    }
    return std::nullopt;
}

preset_store::swap_result
preset_store::try_swap(const stored_preset& current,
                       const config::accepted_preset& next, failure& reason)
{
    const auto envelope = config::to_envelope(next);
    net::kv_transaction transaction;
    // A restored service gives out revisions again, so only the value
    // identifies the preset that was read.
    net::kv_compare is_unchanged{.key = router::active_preset_key(),
                                 .target = net::kv_compare_target::version};
    if (current.envelope)
    {
        is_unchanged.target = net::kv_compare_target::value;
        is_unchanged.value_operand = *current.envelope;
    }
    transaction.conditions.push_back(std::move(is_unchanged));
    transaction.puts.push_back({router::active_preset_key(), envelope});
    transaction.puts.push_back(
        {router::preset_history_key(next.generation_number), envelope});
    const auto response = commit(transaction, reason);
    if (response && response->succeeded)
        return swap_result::accepted;
    // Without a response the swap may have taken effect. A failed condition may
    // be due to an earlier attempt of this change, whose response was lost. The
    // history shows which change was accepted.
    const auto found = read_back(next, reason);
    if (response && found == swap_result::unknown)
        return swap_result::conflict;
    return found;
}

preset_store::swap_result
preset_store::read_back(const config::accepted_preset& next, failure& reason)
{
    const auto found =
        read({router::preset_history_key(next.generation_number), {}}, reason);
    if (!found || found->entries.empty())
        return swap_result::unknown;
    const auto stored =
        config::parse_envelope(found->entries.front().value, reason);
    return stored && stored->nonce == next.nonce ? swap_result::accepted
                                                 : swap_result::conflict;
}

} // namespace baobabloft::operators
