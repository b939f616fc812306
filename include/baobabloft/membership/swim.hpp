// Membership of the router fleet by the SWIM protocol: periodic probes, a
// suspicion state that a member refutes with a higher incarnation, and gossip
// carried by the probes. Traffic per router does not depend on the size of the
// fleet. Performs no I/O: events are passed in and messages are returned.
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
    /// Time without a direct ping_ack after which other members are requested
    /// to probe the target.
    duration probe_timeout = 250ms;
    /// Minimum time that a suspect has to refute the suspicion.
    duration suspicion_timeout = 3s;
    /// Time for which the record of a dead or departed member is kept.
    duration dead_member_retention = 600s;
    /// Number of members that are requested to probe an unresponsive target.
    std::size_t indirect_probes = 2;
    /// Maximum number of records of each kind in one message.
    std::size_t records_per_message = 6;
    /// Seed of the random number generator.
    std::uint64_t seed = 1;
};

/// One router's view of the fleet.
class swim
{
public:
    explicit swim(swim_options options);

    /// Adds routers, for example from the host list, from which the list of
    /// members can be requested.
    void add_seed_routers(const std::vector<router_id>& routers);

    /// Advances all timers; must be called at least every 50 ms.
    void tick(time_point now);

    /// Handles a message from `from`.
    void handle(time_point now, router_id from, const message& content);

    /// Announces the departure to a few members and stops probing.
    void leave(time_point now);

    /// Spreads whether an upstream is leaving.
    void publish(const upstream_record& record);

    /// Spreads a crash.
    void publish(const crash_record& record);

    /// Sets the preset number that messages carry.
    void set_generation(std::uint64_t generation);

    /// Returns the messages to send, and clears the list.
    std::vector<outgoing_message> take_messages();

    /// Returns the crashes learned since the last call, and clears the list.
    std::vector<crash_record> take_crashes();

    /// Returns the members in state alive or suspect, including this router
    /// until it leaves.
    [[nodiscard]] std::vector<member_record> live_members() const;

    /// Returns all known members, including this router.
    [[nodiscard]] std::vector<member_record> all_members() const;

    /// Returns true if `upstream` is leaving, according to the host list.
    [[nodiscard]] bool is_leaving(upstream_id upstream) const;

    /// Returns the live fraction of the known members that have not left, from
    /// 0 to 1. Dead members count as part of the fleet, since they may be alive
    /// on the other side of a network partition.
    [[nodiscard]] double live_share() const;

    /// Returns when a member died or left that is still known, or nothing.
    [[nodiscard]] std::optional<time_point> last_departure() const;

    /// Returns a number that grows whenever the set of live members or of
    /// leaving upstreams changes.
    [[nodiscard]] std::uint64_t view_version() const;

    /// Returns the highest preset number received and the router that sent it.
    [[nodiscard]] std::optional<std::pair<router_id, std::uint64_t>>
    highest_generation() const;

    /// Returns the time of the last message received from another router.
    [[nodiscard]] time_point last_received_at() const;

    /// Returns this router's own record.
    [[nodiscard]] const member_record& self() const;

    /// Returns up to `count` random live members other than this router.
    std::vector<router_id> random_members(std::size_t count);

private:
    struct member
    {
        member_record record;
        time_point changed_at;
    };

    struct probe
    {
        router_id target{};
        std::uint32_t sequence = 0;
        time_point started_at;
        bool indirect_sent = false;
    };

    /// A ping sent on behalf of another router.
    struct relayed_probe
    {
        router_id origin{};
        std::uint32_t origin_sequence = 0;
        time_point started_at;
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
    /// Sends a join_request to a sender that is not a live member in this view,
    /// so that both routers learn each other's records. Rate-limited.
    void join_unknown_sender(time_point now, router_id from);
    /// Pings a random lost member: a dead member, or a seed router that is not
    /// a live member.
    void ping_lost_member();
    void record_generation(router_id from, std::uint64_t generation);
    void expire_members(time_point now);
    void check_probe(time_point now);
    void start_probe(time_point now);
    void request_members(time_point now);
    std::optional<router_id> next_probe_target();
    gossip_payload make_gossip();
    [[nodiscard]] unsigned max_sends() const;
    void send(router_id to, message content);

    swim_options options_;
    std::mt19937_64 random_;
    std::map<router_id, member> members_;
    std::vector<router_id> seed_routers_;
    /// Members still to be probed in this round, last one first.
    std::vector<router_id> probe_order_;
    std::optional<probe> probe_;
    /// Pings sent on behalf of other routers, by sequence number.
    std::map<std::uint32_t, relayed_probe> relayed_probes_;
    std::unordered_map<upstream_id, upstream_record> upstreams_;
    /// Crashes already known, to recognise duplicates.
    std::deque<crash_record> recent_crashes_;
    /// Crashes not yet returned by take_crashes().
    std::vector<crash_record> new_crashes_;
    gossip_queue<member_record, &member_record::id> member_gossip_;
    gossip_queue<upstream_record, &upstream_record::upstream> upstream_gossip_;
    gossip_queue<crash_record, &crash_record::event_id> crash_gossip_;
    std::vector<outgoing_message> messages_;
    std::optional<std::pair<router_id, std::uint64_t>> highest_generation_;
    time_point next_probe_;
    time_point next_join_request_;
    time_point next_unknown_sender_join_;
    time_point last_received_at_;
    std::uint64_t view_version_ = 1;
    std::uint64_t generation_ = 0;
    std::uint32_t sequence_ = 0;
    std::uint32_t probe_count_ = 0;
    bool has_left_ = false;
};

} // namespace baobabloft::membership
