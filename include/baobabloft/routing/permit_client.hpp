// The requesting side of permits: requests a permit from the owners of the
// candidate upstreams in turn until one grants it, and renews the permit until
// the request ends.
#pragma once

#include "baobabloft/routing/messages.hpp"
#include "baobabloft/support/time.hpp"

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace baobabloft::routing
{

/// Identifies a request of this router that waits for or holds a permit.
using permit_ticket = std::uint32_t;

/// Describes a request that needs a permit for one of `candidates`.
struct permit_demand
{
    /// Upstreams that may run the request, best first.
    std::vector<upstream_id> candidates;
    chat_id chat{};
    customer_id customer{};
    urgency priority = urgency::interactive;
    bool suspect = false;
    /// Latest useful start time; a permit granted later is useless.
    time_point start_deadline;
};

/// Result of a permit demand.
enum class permit_result : std::uint8_t
{
    granted,
    /// Every candidate is down, leaving or out of service, or its owner did not
    /// respond.
    no_upstream,
    /// Queues are full.
    overloaded,
    /// No upstream had spare capacity before the start deadline.
    expired
};

inline constexpr std::array permit_result_names{
    enum_name<permit_result>{permit_result::granted, "granted"},
    enum_name<permit_result>{permit_result::no_upstream, "no_upstream"},
    enum_name<permit_result>{permit_result::overloaded, "overloaded"},
    enum_name<permit_result>{permit_result::expired, "expired"},
};

/// Final result of a permit demand.
struct permit_decision
{
    permit_ticket ticket = 0;
    permit_result result = permit_result::no_upstream;
    /// The upstream to use, if granted.
    upstream_id upstream{};
    /// Index of that upstream among the candidates; 0 is the first choice.
    std::uint32_t candidate_index = 0;
};

using permit_message =
    std::variant<permit_request, permit_response, permit_release,
                 permit_renewal, permit_cancel, suspect_cleared,
                 slow_first_token>;

/// A message to send to an owner.
struct addressed_permit_message
{
    router_id to{};
    permit_message content;
};

/// Counters for metrics.
struct permit_client_counts
{
    std::uint64_t requests = 0;
    std::uint64_t retransmitted_requests = 0;
    std::uint64_t unreachable_owners = 0;
    std::uint64_t local_grants = 0;
    std::uint64_t first_choice_grants = 0;
    std::uint64_t other_choice_grants = 0;
};

/// Requests, renews and releases the permits of one router's requests.
class permit_client
{
public:
    /// Returns the router that owns an upstream, or nothing if there is none.
    using owner_lookup = std::function<std::optional<router_id>(upstream_id)>;

    /// Tickets are numbered from `first_ticket` + 1. The caller passes a random
    /// number, because a restarted router must not reuse the tickets of its
    /// previous run.
    permit_client(owner_lookup owner_of, std::uint32_t first_ticket);

    /// Starts requesting a permit for `demand`; take_decisions() returns the
    /// decision later.
    permit_ticket acquire(time_point now, permit_demand demand);

    /// Cancels a pending demand or returns a permit. Must be called exactly
    /// once for each granted permit.
    void release(permit_ticket ticket, outcome request_outcome,
                 std::uint16_t first_token_ms);

    /// Records that the request `ticket` received its first token.
    void record_first_token(permit_ticket ticket);

    /// Handles a response from the owner `from`.
    void handle(time_point now, router_id from,
                const permit_response& response);

    /// Registers permits with their new owners after a change of the fleet
    /// view, and sends pending requests to the new owners.
    void handle_view_change(time_point now);

    /// Retransmits requests, renews permits, sends releases and ends expired
    /// demands. Must be called at least every 50 ms.
    void tick(time_point now);

    /// Returns and clears the messages to send.
    std::vector<addressed_permit_message> take_messages();

    /// Returns and clears the decisions reached.
    std::vector<permit_decision> take_decisions();

    /// Returns the number of permits held.
    [[nodiscard]] std::size_t held_count() const;
    /// Returns the number of demands without a decision.
    [[nodiscard]] std::size_t pending_count() const;
    [[nodiscard]] const permit_client_counts& counts() const;

private:
    struct pending_request
    {
        permit_demand demand;
        std::size_t candidate_index = 0;
        /// True once every candidate has been tried; the request may then be
        /// queued.
        bool last_round = false;
        bool queued = false;
        /// A candidate of this round responded with `at_limit`.
        bool any_at_limit = false;
        /// A candidate of this round responded with `cached_elsewhere`.
        bool any_redirect = false;
        /// Index of the candidate whose queue is the shortest for this
        /// customer.
        std::size_t shortest_queue_index = 0;
        std::uint16_t shortest_queue_position = 0;
        unsigned retransmits = 0;
        /// Candidates whose owner did not respond.
        unsigned unresponsive_owners = 0;
        /// Number of times that the request started again with the first
        /// candidate.
        unsigned restarts = 0;
        router_id owner{};
        time_point next_retransmit;
    };

    struct held_permit_state
    {
        upstream_id upstream{};
        router_id owner{};
        time_point granted_at;
        time_point next_renewal;
        std::uint16_t usual_first_token_ms = 0;
        bool suspect = false;
        bool has_first_token = false;
        bool slow_reported = false;
        bool granted_locally = false;
    };

    void send_request(time_point now, permit_ticket ticket,
                      pending_request& item);
    void request_next_candidate(time_point now, permit_ticket ticket,
                                pending_request& item);
    void finish(permit_ticket ticket, permit_result result);
    void record_grant(time_point now, permit_ticket ticket,
                      std::uint16_t usual_first_token_ms);
    bool try_grant_locally(time_point now, permit_ticket ticket,
                           pending_request& item);
    void retransmit_requests(time_point now);
    void renew_permits(time_point now);
    void report_slow_first_token(time_point now, permit_ticket ticket,
                                 held_permit_state& item);
    void flush_releases();
    void send(router_id to, permit_message content);

    owner_lookup owner_of_;
    std::map<permit_ticket, pending_request> pending_;
    std::map<permit_ticket, held_permit_state> held_;
    std::map<router_id, std::vector<released_permit>> pending_releases_;
    std::unordered_map<upstream_id, time_point> recently_granted_;
    std::unordered_map<upstream_id, std::uint32_t> local_grants_;
    std::vector<addressed_permit_message> messages_;
    std::vector<permit_decision> decisions_;
    /// Recent share of requests that had to be retransmitted, 0 to 1.
    double loss_estimate_ = 0;
    permit_ticket last_ticket_ = 0;
    permit_client_counts counts_;
};

} // namespace baobabloft::routing
