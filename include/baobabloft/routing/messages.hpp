// Messages between a router that has a request and the owner of an upstream.
#pragma once

#include "baobabloft/support/enum_names.hpp"
#include "baobabloft/support/ids.hpp"
#include "baobabloft/support/time.hpp"

#include <cstdint>
#include <vector>

namespace baobabloft::routing
{

/// How urgent a request is. Lower values go first.
enum class urgency : std::uint8_t
{
    interactive,
    /// May wait, but not past its latest time.
    deferrable
};

inline constexpr std::array urgency_names{
    enum_name<urgency>{urgency::interactive, "interactive"},
    enum_name<urgency>{urgency::deferrable, "deferrable"},
};

/// The owner's answer to an ask.
enum class verdict : std::uint8_t
{
    granted,
    /// The request waits; another answer follows.
    queued,
    /// The upstream carries its limit.
    at_limit,
    /// The chat was served by its next choice before; its cache is there.
    cached_elsewhere,
    /// Down, leaving, draining, or in a data centre out of service.
    unavailable,
    /// The queue is full, or the customer's share of it is.
    queue_full,
    /// The request waited as long as it could.
    expired
};

inline constexpr std::array verdict_names{
    enum_name<verdict>{verdict::granted, "granted"},
    enum_name<verdict>{verdict::queued, "queued"},
    enum_name<verdict>{verdict::at_limit, "at_limit"},
    enum_name<verdict>{verdict::cached_elsewhere, "cached_elsewhere"},
    enum_name<verdict>{verdict::unavailable, "unavailable"},
    enum_name<verdict>{verdict::queue_full, "queue_full"},
    enum_name<verdict>{verdict::expired, "expired"},
};

/// How a request that held a permit ended.
enum class outcome : std::uint8_t
{
    completed,
    /// The caller left or the deadline passed.
    cancelled,
    /// No connection could be made; nothing was sent.
    connect_failed,
    /// The connection broke after the request was sent.
    broken,
    /// The upstream went silent past the progress deadline.
    silent
};

inline constexpr std::array outcome_names{
    enum_name<outcome>{outcome::completed, "completed"},
    enum_name<outcome>{outcome::cancelled, "cancelled"},
    enum_name<outcome>{outcome::connect_failed, "connect_failed"},
    enum_name<outcome>{outcome::broken, "broken"},
    enum_name<outcome>{outcome::silent, "silent"},
};

/// Asks the owner of `upstream` for a permit. Sent again with the same
/// sequence until answered; the owner recognises repetitions.
struct permit_request
{
    /// Unique among the asking router's requests.
    std::uint32_t sequence = 0;
    upstream_id upstream{};
    chat_id chat{};
    customer_id customer{};
    /// How long the request can wait in a queue, milliseconds.
    std::uint32_t max_queue_wait_ms = 0;
    urgency priority = urgency::interactive;
    /// The request may wait in the owner's queue.
    bool may_queue = false;
    /// The request was on an upstream that crashed.
    bool suspect = false;
    /// The chat's first choice; later choices do not redirect.
    bool may_redirect = false;
};

/// Answers a permit_ask.
struct permit_response
{
    std::uint32_t sequence = 0;
    verdict decision = verdict::unavailable;
    /// The service's usual time to first token, milliseconds; 0 if not known.
    std::uint16_t usual_first_token_ms = 0;
    /// About how many requests would go before this one in the queue.
    std::uint16_t queue_position = 0;
};

/// End of one request that held a permit.
struct released_permit
{
    std::uint32_t sequence = 0;
    outcome request_outcome = outcome::completed;
    /// Time to first token, milliseconds; 0 if none came.
    std::uint16_t first_token_ms = 0;
};

/// Returns permits to an owner.
struct permit_release
{
    std::vector<released_permit> permits;
};

/// A permit in use, as its holder reports it.
struct held_permit
{
    std::uint32_t sequence = 0;
    upstream_id upstream{};
};

/// Renews permits, or registers them with a new owner.
struct permit_renewal
{
    std::vector<held_permit> permits;
};

/// Says that a suspect request got its first token, so that the next suspect
/// may run on the upstream.
struct suspect_cleared
{
    std::uint32_t sequence = 0;
};

/// Says that a request has waited unusually long for its first token.
struct slow_first_token
{
    std::uint32_t sequence = 0;
    std::uint16_t waited_ms = 0;
};

/// Withdraws an ask that waits in the owner's queue.
struct permit_cancel
{
    std::uint32_t sequence = 0;
};

/// Units of load_entry.
inline constexpr duration load_entry_age_step = 50ms;
inline constexpr double load_entry_first_token_step_ms = 20;

/// The load of one upstream as its owner knew it.
struct load_entry
{
    /// Place of the upstream in its service's list.
    std::uint16_t upstream_index = 0;
    /// Requests in progress.
    std::uint16_t load = 0;
    /// Steps of load_entry_age_step.
    std::uint8_t age_steps = 0;
    /// Steps of load_entry_first_token_step_ms; 0 if not known.
    std::uint8_t first_token_steps = 0;
};

/// Loads of a service, sent from one owner to another.
struct load_digest
{
    /// Place of the service in the preset.
    std::uint16_t service_index = 0;
    /// Number of the preset that the places refer to.
    std::uint64_t generation = 0;
    std::vector<load_entry> entries;
};

/// Says that `request` was on `upstream` when it crashed; to every router, so
/// that all of them refuse a request that crashes what runs it.
struct crash_notice
{
    fingerprint request{};
    upstream_id upstream{};
};

} // namespace baobabloft::routing
