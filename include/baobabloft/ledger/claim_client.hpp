// The ledger as a router with a non-repeatable call uses it: claims the key
// before the call may be sent, and records how the call ended. Records go to
// the shard's preferred appender and, while that stays silent, to the next.
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

/// Names a claim at this router.
using claim_ticket = std::uint32_t;

/// How an attempt to claim ended.
enum class claim_result : std::uint8_t
{
    /// The call may be sent, once.
    accepted,
    /// The call was answered before.
    answered,
    /// Another attempt holds the key and has not finished in time.
    in_progress,
    /// The key is too old; what became of it is not known.
    below_low_water_mark,
    /// The key's creation time lies too far in the future.
    key_from_future,
    /// No word from the ledger in time; nothing was sent.
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

/// The end of an attempt to claim.
struct claim_decision
{
    claim_ticket ticket = 0;
    claim_result result = claim_result::unconfirmed;
    /// Fencing number of an accepted claim.
    std::uint64_t fencing_number = 0;
    /// The earlier answer, if there is one.
    stored_response upstream_response{};
};

/// A request to send to an appender.
struct outgoing_append
{
    router_id to{};
    append_request request;
};

/// Claims of one router's calls.
class claim_client
{
public:
    /// Returns the routers that may append to a shard, preferred first.
    using appender_lookup =
        std::function<std::vector<router_id>(std::uint32_t shard)>;

    claim_client(std::uint32_t shards, appender_lookup appenders_of,
                 std::uint64_t seed);

    /// Starts to claim `key`; a decision follows from take_decisions().
    claim_ticket claim(time_point now, const idempotency_key& key,
                       time_point deadline);

    /// Records that the claimed call surely was not sent; frees the key.
    void release(time_point now, claim_ticket ticket);

    /// Records the upstream's answer to the claimed call.
    void finish(time_point now, claim_ticket ticket,
                stored_response upstream_response);

    /// Ends the claim without a record: what became of the call is unknown.
    void abandon(claim_ticket ticket);

    /// Handles an appender's reply.
    void handle(time_point now, const append_response& response);

    /// Repeats and gives up; call at least every 50 ms.
    void tick(time_point now);

    /// Returns and clears the requests to send.
    std::vector<outgoing_append> take_requests();

    /// Returns and clears the decisions reached.
    std::vector<claim_decision> take_decisions();

    /// Returns the number of requests without a reply.
    [[nodiscard]] std::size_t unanswered_requests() const;

private:
    struct pending_append
    {
        record content;
        time_point deadline;
        time_point next_send;
        std::size_t preference = 0;
        unsigned sends = 0;
        bool seen_other = false;
    };

    struct held_claim
    {
        idempotency_key key;
        std::uint64_t attempt = 0;
    };

    void send(time_point now, std::uint32_t sequence, pending_append& item);
    void record_end(time_point now, const held_claim& claim, record_kind kind,
                    stored_response upstream_response);
    void decide(std::uint32_t sequence, claim_result result,
                const append_response& response);
    void retry_later(time_point now, pending_append& item);
    void give_up(std::uint32_t sequence);

    std::uint32_t shards_;
    appender_lookup appenders_of_;
    std::mt19937_64 random_;
    std::map<std::uint32_t, pending_append> pending_;
    std::map<claim_ticket, held_claim> held_;
    /// Claims given up before a reply; an acceptance that comes late is
    /// released at once.
    std::map<std::uint32_t, held_claim> given_up_;
    std::vector<outgoing_append> requests_;
    std::vector<claim_decision> decisions_;
    std::uint32_t last_sequence_ = 0;
};

} // namespace baobabloft::ledger
