// Messages about permits between a router that has a request and the owner of
// an upstream, load digests between owners, and crash notices to all routers.
#pragma once

#include "baobabloft/support/enum_names.hpp"
#include "baobabloft/support/ids.hpp"
#include "baobabloft/support/time.hpp"

#include <cstdint>
#include <vector>

namespace baobabloft::routing
{

/// Urgency of a request. Lower values start first.
enum class urgency : std::uint8_t
{
    interactive,
    /// May wait, but not past its start deadline.
    deferrable
};

inline constexpr std::array urgency_names{
    enum_name<urgency>{urgency::interactive, "interactive"},
    enum_name<urgency>{urgency::deferrable, "deferrable"},
};

/// The owner's decision on a permit request.
enum class verdict : std::uint8_t
{
    granted,
    /// The request is in the owner's queue; another response follows.
    queued,
    /// The load of the upstream has reached its limit.
    at_limit,
    /// A later candidate served the chat before and has its prefix cached.
    cached_elsewhere,
    /// The upstream is down, leaving, draining, or in a data centre that is out
    /// of service.
    unavailable,
    /// The queue or the customer's share of it is full.
    queue_full,
    /// The request was queued for as long as it could wait.
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
    /// The caller disconnected or the deadline passed.
    cancelled,
    /// No connection could be established; nothing was sent.
    connect_failed,
    /// The connection broke after the request was sent.
    broken,
    /// The upstream made no progress before the progress deadline.
    timed_out
};

inline constexpr std::array outcome_names{
    enum_name<outcome>{outcome::completed, "completed"},
    enum_name<outcome>{outcome::cancelled, "cancelled"},
    enum_name<outcome>{outcome::connect_failed, "connect_failed"},
    enum_name<outcome>{outcome::broken, "broken"},
    enum_name<outcome>{outcome::timed_out, "silent"},
};

/// Requests a permit from the owner of `upstream`. Retransmitted with the same
/// sequence until a response arrives; the owner recognises duplicates.
struct permit_request
{
    /// Unique among the requests of the sending router.
    std::uint32_t sequence = 0;
    upstream_id upstream{};
    chat_id chat{};
    customer_id customer{};
    /// Longest time that the request can wait in a queue, in milliseconds.
    std::uint32_t max_queue_wait_ms = 0;
    urgency priority = urgency::interactive;
    /// The owner may queue the request.
    bool may_queue = false;
    /// The request was running on an upstream that crashed.
    bool suspect = false;
    /// The owner may respond with `cached_elsewhere`; false once every
    /// candidate has been tried.
    bool may_redirect = false;
};

/// Response to a permit_request.
struct permit_response
{
    std::uint32_t sequence = 0;
    verdict decision = verdict::unavailable;
    /// The service's usual time to first token in milliseconds; 0 if not known.
    std::uint16_t usual_first_token_ms = 0;
    /// Approximate number of queued requests that would start before this one.
    std::uint16_t queue_position = 0;
};

/// End of one request that held a permit.
struct released_permit
{
    std::uint32_t sequence = 0;
    outcome request_outcome = outcome::completed;
    /// Time to first token in milliseconds; 0 if there was none.
    std::uint16_t first_token_ms = 0;
};

/// Returns permits to the owner that granted them.
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

/// Reports the first token of a suspect request, so that the next suspect may
/// run on the upstream.
struct suspect_cleared
{
    std::uint32_t sequence = 0;
};

/// Reports that a request has waited unusually long for its first token.
struct slow_first_token
{
    std::uint32_t sequence = 0;
    std::uint16_t waited_ms = 0;
};

/// Cancels a permit request that waits in the owner's queue, or ends its permit
/// if one was granted meanwhile.
struct permit_cancel
{
    std::uint32_t sequence = 0;
};

/// Units of the fields of load_entry.
inline constexpr duration load_entry_age_step = 50ms;
inline constexpr double load_entry_first_token_step_ms = 20;

/// Load of one upstream as its owner measured it.
struct load_entry
{
    /// Index of the upstream in its service's list.
    std::uint16_t upstream_index = 0;
    /// Requests in progress.
    std::uint16_t load = 0;
    /// Age in steps of load_entry_age_step.
    std::uint8_t age_steps = 0;
    /// Time to first token in steps of load_entry_first_token_step_ms; 0 if not
    /// known.
    std::uint8_t first_token_steps = 0;
};

/// Loads of a service, sent from one owner to another.
struct load_digest
{
    /// Index of the service in the preset.
    std::uint16_t service_index = 0;
    /// Generation of the preset to which the indexes refer.
    std::uint64_t generation = 0;
    std::vector<load_entry> entries;
};

/// Reports that `request` was running on `upstream` when the upstream crashed.
/// Received from routers of former versions only, and ignored.
struct crash_notice
{
    fingerprint request{};
    upstream_id upstream{};
};

/// Reports that a request with these features was running on `upstream` when
/// the upstream crashed. Sent to the judges of the features.
struct feature_crash_report
{
    fingerprint request{};
    upstream_id upstream{};
    std::vector<request_feature> features;
};

/// Asks every router whether a request with the feature ended well in the last
/// `within_ms`, or earlier.
struct success_query
{
    request_feature feature{};
    std::uint32_t within_ms = 0;
};

/// Reports that requests with these features ended well.
struct features_cleared
{
    std::vector<request_feature> features;
};

/// Reports that these features crash upstreams. Received from routers of
/// former versions only; these send no quarantine_notice.
struct feature_quarantine
{
    std::vector<request_feature> features;
};

/// Asks for the features in quarantine; sent by a router that has started.
struct quarantine_query
{
};

/// Reports that requests with these features ended well, but not since the
/// time that the query asks for.
struct older_successes
{
    std::vector<request_feature> features;
};

/// A crash on which a quarantine is based.
struct crash_sighting
{
    upstream_id upstream{};
    std::uint32_t age_ms = 0;
};

/// A feature that crashes upstreams; requests with it are refused.
struct quarantine_record
{
    request_feature feature{};
    /// The feature stands for all repetitions of one request.
    bool is_whole_request = false;
    /// Pause after the next trial, and time left until then; 0 if no trial has
    /// been run yet.
    std::uint32_t trial_pause_ms = 0;
    std::uint32_t next_trial_ms = 0;
    std::vector<crash_sighting> crashes;
};

/// Announces features in quarantine.
struct quarantine_notice
{
    std::vector<quarantine_record> records;
    /// In a response to quarantine_query, one of possibly several: the sender
    /// knows what the fleet has in quarantine, and has not just started itself.
    bool is_complete = false;
};

/// Asks a judge whether a request with these features in quarantine may run as
/// a trial.
struct trial_query
{
    std::uint32_t sequence = 0;
    std::vector<quarantine_record> records;
};

/// The response to trial_query.
struct trial_response
{
    std::uint32_t sequence = 0;
    bool granted = false;
    /// If not granted, the time after which it is worth asking again.
    std::uint32_t retry_ms = 0;
};

} // namespace baobabloft::routing
