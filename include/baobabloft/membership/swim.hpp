// Membership of the router fleet: SWIM-style probing with suspicion, refuted
// by a higher incarnation, and gossip on the probes. Traffic per router does
// not depend on the size of the fleet. No I/O: events in, messages out.
#pragma once

#include "baobabloft/membership/gossip_queue.hpp"
#include "baobabloft/membership/records.hpp"
#include "baobabloft/support/time.hpp"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <unordered_map>
#include <variant>
#include <vector>

namespace baobabloft::membership
{

using message =
    std::variant<ping, ping_ack, indirect_ping, join_request, member_list>;

/// A message to send.
struct outgoing_message
{
    router_id to{};
    message content;
};

/// Settings of the protocol.
struct swim_options
{
    member_record self;
    duration probe_period = 1s;
    /// Wait for a direct answer before others are asked to probe.
    duration probe_timeout = 250ms;
    /// Time a suspect has to refute, at least.
    duration suspicion_timeout = 3s;
    /// Time a dead or departed member is remembered.
    duration dead_member_retention = 600s;
    std::size_t indirect_probes = 2;
    /// Records of each kind that ride on one message.
    std::size_t records_per_message = 6;
    std::uint64_t seed = 1;
};

/// One router's view of the fleet.
class swim
{
public:
    explicit swim(swim_options options);

    /// Adds addresses to ask for members, for example from the host list.
    void add_seed_routers(const std::vector<router_id>& routers);

    /// Advances timers; call at least every 50 ms.
    void tick(time_point now);

    /// Handles a message from `from`.
    void handle(time_point now, router_id from, const message& content);

    /// Announces departure to a few members; the router stops probing.
    void leave(time_point now);

    /// Spreads that an upstream is or is not leaving.
    void publish(const upstream_record& record);

    /// Spreads a crash.
    void publish(const crash_record& record);

    /// Sets the preset number that rides on messages.
    void set_generation(std::uint64_t generation);

    /// Returns and clears the messages to send.
    std::vector<outgoing_message> take_messages();

    /// Returns and clears the crashes heard of since the last call.
    std::vector<crash_record> take_crashes();

    /// Returns members believed to be alive or only suspect, self included.
    [[nodiscard]] std::vector<member_record> live_members() const;

    /// Returns every member known, self included.
    [[nodiscard]] std::vector<member_record> all_members() const;

    /// Returns true if the host list says that `upstream` is leaving.
    [[nodiscard]] bool is_leaving(upstream_id upstream) const;

    /// Returns the share of the fleet that this router sees alive: members that
    /// were lost without leaving may be alive behind a partition.
    [[nodiscard]] double live_share() const;

    /// Grows whenever the set of live members or leaving upstreams changes.
    [[nodiscard]] std::uint64_t view_version() const;

    /// Returns the highest preset number heard and from whom.
    [[nodiscard]] std::optional<std::pair<router_id, std::uint64_t>>
    highest_generation() const;

    /// Returns the time of the last message from any other router.
    [[nodiscard]] time_point last_received_at() const;

    /// Returns this router's own record.
    [[nodiscard]] const member_record& self() const;

    /// Returns up to `count` live members other than self, at random.
    std::vector<router_id> random_members(std::size_t count);

private:
    struct member
    {
        member_record record;
        time_point changed;
    };

    struct probe
    {
        router_id target{};
        std::uint32_t sequence = 0;
        time_point started;
        bool indirect_sent = false;
    };

    /// A ping sent on behalf of another router.
    struct relayed_probe
    {
        router_id origin{};
        std::uint32_t origin_sequence = 0;
        time_point started;
    };

    void handle_message(time_point now, router_id from, const ping& content);
    void handle_message(time_point now, router_id from,
                        const ping_ack& content);
    void handle_message(time_point now, router_id from,
                        const indirect_ping& content);
    void handle_message(time_point now, router_id from,
                        const join_request& content);
    void handle_message(time_point now, router_id from,
                        const member_list& content);

    void merge(time_point now, const member_record& record);
    void merge(const upstream_record& record);
    void merge(const crash_record& record);
    void merge_gossip(time_point now, router_id from,
                      const gossip_payload& gossip);
    void refute(std::uint64_t incarnation);
    /// Exchanges member lists with a router outside the view.
    void meet(time_point now, router_id from);
    void probe_lost();
    void hear_generation(router_id from, std::uint64_t generation);
    void expire_members(time_point now);
    void check_probe(time_point now);
    void start_probe(time_point now);
    void request_members(time_point now);
    std::optional<router_id> next_target();
    gossip_payload make_gossip();
    [[nodiscard]] unsigned max_sends() const;
    void send(router_id to, message content);

    swim_options options_;
    std::mt19937_64 random_;
    std::map<router_id, member> members_;
    std::vector<router_id> seed_routers_;
    std::vector<router_id> probe_order_;
    std::optional<probe> probe_;
    std::map<std::uint32_t, relayed_probe> relayed_;
    std::unordered_map<upstream_id, upstream_record> upstreams_;
    std::deque<crash_record> recent_crashes_;
    std::vector<crash_record> new_crashes_;
    gossip_queue<member_record, &member_record::id> member_gossip_;
    gossip_queue<upstream_record, &upstream_record::upstream> upstream_gossip_;
    gossip_queue<crash_record, &crash_record::event_id> crash_gossip_;
    std::vector<outgoing_message> messages_;
    std::optional<std::pair<router_id, std::uint64_t>> highest_generation_;
    time_point next_probe_;
    time_point next_join_;
    time_point next_meeting_;
    time_point last_received_at_;
    std::uint64_t view_version_ = 1;
    std::uint64_t generation_ = 0;
    std::uint32_t sequence_ = 0;
    std::uint32_t probes_ = 0;
    bool left_ = false;
};

} // namespace baobabloft::membership
