// The asking side of permits: takes a request through the owners of its
// candidate upstreams until one grants it, and holds the permit to its end.
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

/// Names a request that asks for or holds a permit at this router.
using permit_ticket = std::uint32_t;

/// A request that wants to run on one of `candidates`.
struct permit_demand
{
    /// Upstreams that may run it, best first.
    std::vector<upstream_id> candidates;
    chat_id chat{};
    customer_id customer{};
    urgency priority = urgency::interactive;
    bool suspect = false;
    /// A permit is useless after this.
    time_point start_deadline;
};

/// How a want ended.
enum class permit_result : std::uint8_t
{
    granted,
    /// Every candidate is down, leaving or out.
    no_upstream,
    /// Queues are full.
    overloaded,
    /// No room came up before the latest time.
    expired
};

inline constexpr std::array permit_result_names{
    enum_name<permit_result>{permit_result::granted, "granted"},
    enum_name<permit_result>{permit_result::no_upstream, "no_upstream"},
    enum_name<permit_result>{permit_result::overloaded, "overloaded"},
    enum_name<permit_result>{permit_result::expired, "expired"},
};

/// The end of a want.
struct permit_decision
{
    permit_ticket ticket = 0;
    permit_result result = permit_result::no_upstream;
    /// The upstream to use, if granted.
    upstream_id upstream{};
    /// Place of that upstream among the candidates, 0 for the first choice.
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
    std::uint64_t repeated_requests = 0;
    std::uint64_t unreachable_owners = 0;
    std::uint64_t local_grants = 0;
    std::uint64_t first_choice_grants = 0;
    std::uint64_t other_choice_grants = 0;
};

/// The permits of one router's requests.
class permit_client
{
public:
    /// Returns the router that owns an upstream, or nothing.
    using owner_lookup = std::function<std::optional<router_id>(upstream_id)>;

    /// A router that restarts must not repeat its former life's tickets, so
    /// `first_ticket` is random.
    permit_client(owner_lookup owner_of, std::uint32_t first_ticket);

    /// Starts asking for `want`; a decision follows from take_decisions().
    permit_ticket acquire(time_point now, permit_demand want);

    /// Ends a want or a permit. Must be called once for each granted permit.
    void release(permit_ticket ticket, outcome request_outcome,
                 std::uint16_t first_token_ms);

    /// Notes the first token of the request `ticket`.
    void record_first_token(permit_ticket ticket);

    /// Handles an owner's answer.
    void handle(time_point now, router_id from, const permit_response& answer);

    /// Re-registers permits whose owner changed, and asks new owners again.
    void handle_view_change(time_point now);

    /// Repeats, renews and gives up; call at least every 50 ms.
    void tick(time_point now);

    /// Returns and clears the messages to send.
    std::vector<addressed_permit_message> take_messages();

    /// Returns and clears the decisions reached.
    std::vector<permit_decision> take_decisions();

    /// Returns the number of permits held.
    [[nodiscard]] std::size_t held_count() const;
    /// Returns the number of wants without a decision.
    [[nodiscard]] std::size_t pending_count() const;
    [[nodiscard]] const permit_client_counts& counts() const;

private:
    struct pending
    {
        permit_demand want;
        std::size_t choice = 0;
        /// Set once every candidate was asked; the ask may queue then.
        bool last_round = false;
        bool queued = false;
        bool any_at_limit = false;
        bool any_redirect = false;
        /// Candidate whose queue is the shortest for this customer.
        std::size_t shortest_queue = 0;
        std::uint16_t shortest_place = 0;
        unsigned repeats = 0;
        unsigned unreachable = 0;
        unsigned restarts = 0;
        router_id owner{};
        time_point next_repeat;
    };

    struct held_state
    {
        upstream_id upstream{};
        router_id owner{};
        time_point granted_at;
        time_point next_renewal;
        std::uint16_t usual_first_token_ms = 0;
        bool suspect = false;
        bool has_first_token = false;
        bool alerted = false;
        bool local = false;
    };

    void ask(time_point now, permit_ticket ticket, pending& item);
    void ask_next(time_point now, permit_ticket ticket, pending& item);
    void finish(permit_ticket ticket, permit_result result);
    void grant(time_point now, permit_ticket ticket,
               std::uint16_t usual_first_token_ms);
    bool grant_locally(time_point now, permit_ticket ticket, pending& item);
    void repeat_asks(time_point now);
    void renew_holds(time_point now);
    void alert_slow(time_point now, permit_ticket ticket, held_state& item);
    void flush_releases();
    void send(router_id to, permit_message content);

    owner_lookup owner_of_;
    std::map<permit_ticket, pending> pending_;
    std::map<permit_ticket, held_state> held_;
    std::map<router_id, std::vector<released_permit>> releases_;
    std::unordered_map<upstream_id, time_point> granted_lately_;
    std::unordered_map<upstream_id, std::uint32_t> local_running_;
    std::vector<addressed_permit_message> messages_;
    std::vector<permit_decision> decisions_;
    /// Recent share of asks that had to be repeated, 0 to 1.
    double loss_ = 0;
    permit_ticket last_ticket_ = 0;
    permit_client_counts counts_;
};

} // namespace baobabloft::routing
