// The ledger's client in a router that runs a non-idempotent call. Claims the
// idempotency key before the call may be sent, and records how the call ended.
// Records are sent to the preferred appender of the shard and, while that one
// does not respond, to the next.
#pragma once

#include "baobabloft/ledger/messages.hpp"
#include "baobabloft/support/ids.hpp"
#include "baobabloft/support/time.hpp"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace baobabloft::ledger
{

/// Identifies a claim at this router.
using claim_ticket = std::uint32_t;

/// The result of an attempt to claim a key.
enum class claim_result : std::uint8_t
{
    /// The call may be sent, once.
    accepted,
    /// The upstream has already responded to an earlier attempt.
    answered,
    /// Another attempt holds the key and did not finish before the deadline.
    in_progress,
    /// The key was created before the low-water mark; the outcome of its call
    /// is no longer known.
    below_low_water_mark,
    /// The creation time of the key is too far in the future.
    key_from_future,
    /// The ledger did not confirm the claim before the deadline; the call was
    /// not sent.
    unconfirmed
};

inline constexpr std::array claim_result_names{
    enum_name<claim_result>{claim_result::accepted, "accepted"},
    enum_name<claim_result>{claim_result::answered, "answered"},
    enum_name<claim_result>{claim_result::in_progress, "in_progress"},
    enum_name<claim_result>{claim_result::below_low_water_mark,
                            "beyond_horizon"},
    enum_name<claim_result>{claim_result::key_from_future, "key_from_future"},
    enum_name<claim_result>{claim_result::unconfirmed, "unconfirmed"},
};

/// The end of an attempt to claim a key.
struct claim_decision
{
    claim_ticket ticket = 0;
    claim_result result = claim_result::unconfirmed;
    /// Fencing number of an accepted claim.
    std::uint64_t fencing_number = 0;
    /// The response to the earlier attempt, if the result is `answered`.
    stored_response upstream_response{};
};

/// An append request and the router to send it to.
struct outgoing_append
{
    router_id to{};
    append_request request;
};

/// The claims of one router's calls.
class claim_client
{
public:
    /// Returns the routers that append to a shard, preferred first.
    using appender_lookup =
        std::function<std::vector<router_id>(std::uint32_t shard)>;

    claim_client(std::uint32_t shard_count, appender_lookup appenders_of,
                 std::uint64_t seed);

    /// Starts to claim `key`. take_decisions() returns the decision, at the
    /// latest at the first tick() after `deadline`.
    claim_ticket claim(time_point now, const idempotency_key& key,
                       time_point deadline);

    /// Records that the claimed call was certainly not sent, which frees the
    /// key.
    void release(time_point now, claim_ticket ticket);

    /// Records the upstream's response to the claimed call.
    void finish(time_point now, claim_ticket ticket,
                stored_response upstream_response);

    /// Ends the claim without a record, if the outcome of the call is unknown.
    void abandon(claim_ticket ticket);

    /// Handles an appender's response.
    void handle(time_point now, const append_response& response);

    /// Resends requests and ends those past their deadline; must be called at
    /// least every 50 ms.
    void tick(time_point now);

    /// Returns the requests to send, and clears the list.
    std::vector<outgoing_append> take_requests();

    /// Returns the decisions reached, and clears the list.
    std::vector<claim_decision> take_decisions();

    /// Returns the number of requests without a final response.
    [[nodiscard]] std::size_t pending_requests() const;

private:
    struct pending_append
    {
        record content;
        time_point deadline;
        time_point next_send;
        /// Index of the current appender among those of the shard.
        std::size_t appender_index = 0;
        unsigned sends_to_appender = 0;
        /// True once an appender reported that another attempt holds the key.
        bool was_claimed_by_other = false;
    };

    struct claim_identity
    {
        idempotency_key key;
        std::uint64_t attempt = 0;
    };

    void send(time_point now, std::uint32_t sequence, pending_append& item);
    void record_outcome(time_point now, const claim_identity& claim,
                        record_kind kind, stored_response upstream_response);
    void decide(std::uint32_t sequence, claim_result result,
                const append_response& response);
    void schedule_retry(time_point now, pending_append& item);
    void handle_timeout(std::uint32_t sequence);

    std::uint32_t shard_count_;
    appender_lookup appenders_of_;
    std::mt19937_64 random_;
    std::map<std::uint32_t, pending_append> pending_appends_;
    std::map<claim_ticket, claim_identity> accepted_claims_;
    /// Claims that reached their deadline before a final response. A claim that
    /// is accepted afterwards is released immediately.
    std::map<std::uint32_t, claim_identity> timed_out_claims_;
    std::vector<outgoing_append> requests_;
    std::vector<claim_decision> decisions_;
    std::uint32_t last_sequence_ = 0;
};

} // namespace baobabloft::ledger
