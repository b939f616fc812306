#include "baobabloft/operators/preset_store.hpp"

#include "baobabloft/router/control_task.hpp"

#include <algorithm>

namespace baobabloft::operators
{

namespace
{

constexpr int swap_tries = 8;
constexpr int edit_tries = 5;

std::string library_prefix()
{
    return "baobab/preset/library/";
}

failure conflict(const std::optional<config::accepted_preset>& winner)
{
    const std::string who =
        winner ? winner->author + " put preset \"" + winner->value.name +
                     "\" into force as number " + std::to_string(winner->number)
               : "another operator changed the preset";
    return {failure_kind::conflict, who + " at the same moment",
            "look at it with `baobabctl preset show`, then activate again"};
}

failure invalid(const config::preset_mistake& mistake)
{
    return {failure_kind::invalid_preset,
            mistake.where + ": " + mistake.message, mistake.remedy};
}

} // namespace

preset_store::preset_store(net::event_loop& loop, net::kv_client& kv)
    : loop_(loop), kv_(kv)
{
}

std::optional<config::accepted_preset> preset_store::active(failure& reason)
{
    const auto known = read_active(reason);
    return known ? known->preset : std::nullopt;
}

std::optional<config::accepted_preset>
preset_store::activate(const std::string& text, const change_author& author,
                       failure& reason)
{
    const auto known = read_active(reason);
    if (!known)
        return std::nullopt;
    return replace(*known, text, author, reason);
}

std::optional<config::accepted_preset>
preset_store::change(const edit& change, const change_author& author,
                     failure& reason)
{
    for (int attempt = 0; attempt < edit_tries; ++attempt)
    {
        const auto known = read_active(reason);
        if (!known)
            return std::nullopt;
        if (!known->preset)
        {
            reason = {failure_kind::invalid_preset, "no preset is in force yet",
                      "activate one with `baobabctl preset activate`"};
            return std::nullopt;
        }
        const auto text = change(known->preset->text, reason);
        if (!text)
            return std::nullopt;
        if (auto accepted = replace(*known, *text, author, reason))
            return accepted;
        if (reason.kind != failure_kind::conflict)
            return std::nullopt;
    }
    return std::nullopt;
}

bool preset_store::put(const std::string& text, failure& reason)
{
    std::vector<config::preset_mistake> mistakes;
    const auto preset = config::parse_preset(text, mistakes);
    if (!preset)
    {
        reason = invalid(mistakes.front());
        return false;
    }
    net::kv_transaction transaction;
    transaction.puts.push_back({library_prefix() + preset->name, text});
    return commit(transaction, reason).has_value();
}

std::optional<std::string> preset_store::kept(const std::string& name,
                                              failure& reason)
{
    const auto found = read({library_prefix() + name, {}}, reason);
    if (!found)
        return std::nullopt;
    if (!found->entries.empty())
        return found->entries.front().value;
    reason = {failure_kind::invalid_preset, "no preset is kept as " + name,
              "keep it with `baobabctl preset put FILE`"};
    return std::nullopt;
}

std::optional<std::vector<std::string>> preset_store::names(failure& reason)
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
    std::optional<net::kv_range_result> answer;
    kv_.read(range,
             [&](std::optional<net::kv_range_result> result, const failure& why)
             {
                 answer = std::move(result);
                 reason = why;
                 loop_.stop();
             });
    loop_.run();
    return answer;
}

std::optional<net::kv_transaction_result>
preset_store::commit(const net::kv_transaction& transaction, failure& reason)
{
    std::optional<net::kv_transaction_result> answer;
    kv_.commit(transaction,
               [&](std::optional<net::kv_transaction_result> result,
                   const failure& why)
               {
                   answer = result;
                   reason = why;
                   loop_.stop();
               });
    loop_.run();
    return answer;
}

std::optional<preset_store::versioned>
preset_store::read_active(failure& reason)
{
    const auto found = read({router::active_preset_key(), {}}, reason);
    if (!found)
        return std::nullopt;
    versioned result;
    if (found->entries.empty())
        return result;
    result.revision = found->entries.front().mod_revision;
    result.preset =
        config::parse_envelope(found->entries.front().value, reason);
    if (!result.preset)
        return std::nullopt;
    return result;
}

std::optional<config::accepted_preset>
preset_store::replace(const versioned& known, const std::string& text,
                      const change_author& author, failure& reason)
{
    std::vector<config::preset_mistake> mistakes;
    auto value = config::parse_preset(text, mistakes);
    if (!value)
    {
        reason = invalid(mistakes.front());
        return std::nullopt;
    }
    config::accepted_preset next{
        .number = (known.preset ? known.preset->number : 0) + 1,
        .nonce = author.nonce,
        .author = author.name,
        .accepted_at = author.at,
        .text = text,
        .value = std::move(*value)};
    for (int attempt = 0; attempt < swap_tries; ++attempt)
    {
        switch (try_swap(known, next, reason))
        {
        case swap_result::accepted:
            return next;
        case swap_result::lost:
            reason = conflict(active(reason));
            return std::nullopt;
        case swap_result::unknown:
            break;
        }
    }
    return std::nullopt;
}

preset_store::swap_result
preset_store::try_swap(const versioned& known,
                       const config::accepted_preset& next, failure& reason)
{
    const auto envelope = config::to_envelope(next);
    net::kv_transaction transaction;
    transaction.conditions.push_back(
        {.key = router::active_preset_key(), .operand = known.revision});
    transaction.puts.push_back({router::active_preset_key(), envelope});
    transaction.puts.push_back(
        {router::preset_history_key(next.number), envelope});
    const auto answer = commit(transaction, reason);
    if (answer && answer->succeeded)
        return swap_result::accepted;
    // Without an answer the swap may have taken effect, and a refusal may
    // refer to an earlier try of this very change: the history tells.
    const auto found = read_back(next, reason);
    if (answer && found == swap_result::unknown)
        return swap_result::lost;
    return found;
}

preset_store::swap_result
preset_store::read_back(const config::accepted_preset& next, failure& reason)
{
    const auto found =
        read({router::preset_history_key(next.number), {}}, reason);
    if (!found || found->entries.empty())
        return swap_result::unknown;
    const auto stored =
        config::parse_envelope(found->entries.front().value, reason);
    return stored && stored->nonce == next.nonce ? swap_result::accepted
                                                 : swap_result::lost;
}

} // namespace baobabloft::operators
