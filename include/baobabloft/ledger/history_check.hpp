// Determines how far back a router that has just read a shard's log can rely on
// it. A KV service that returned from an older copy lacks the latest claims,
// and the entries alone do not show this to a router that had not read them.
#pragma once

#include "baobabloft/ledger/messages.hpp"
#include "baobabloft/ledger/shard_state.hpp"
#include "baobabloft/support/ids.hpp"
#include "baobabloft/support/time.hpp"

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace baobabloft::ledger
{

/// The time for which a router has received responses of the KV service without
/// a gap. Within it the service was not replaced by an older copy, since that
/// makes it unavailable for longer than a gap.
class store_view
{
public:
    /// Records a response to a request that was sent at `sent_at`.
    void record_response(time_point now, time_point sent_at);

    /// Records that the service was restored from a copy.
    void reset();

    /// Returns the length of the time without a gap, or nothing if the last
    /// response is too old.
    [[nodiscard]] std::optional<duration> age(time_point now) const;

private:
    std::optional<time_point> since_;
    time_point last_sent_at_;
};

/// A history query and the router to send it to.
struct outgoing_history_query
{
    router_id to{};
    history_query query;
};

/// Result of a history check.
struct history_result
{
    /// Claims made within this time before the start of the check are in the
    /// log that was read.
    duration covered{};
    /// True if another router knows a later entry than those read, so that the
    /// log must be read again.
    bool is_outdated = false;
};

/// Asks other routers, after a read of a shard's log, whether claims may be
/// missing in it. Two kinds of evidence count. A router that has followed the
/// KV service without a gap vouches for the time of this. If all routers
/// respond and none has restarted or left, each lost entry is known to the one
/// that appended it, and the last entries that they know are compared with the
/// log.
class history_check
{
public:
    struct options
    {
        /// Routers that follow the KV service.
        std::function<std::vector<router_id>()> watchers;
        /// All live routers, this one included.
        std::function<std::vector<router_id>()> routers;
        /// Time since a router left the fleet or died.
        std::function<duration(time_point now)> since_departure;
        /// Whether the log that was read holds an entry.
        std::function<entry_presence(entry_number number, std::uint64_t hash)>
            find_entry;
    };

    explicit history_check(options options);

    /// Starts a check for claims that may be up to `needed` old. Replaces a
    /// check in progress.
    void start(time_point now, std::uint32_t shard, duration needed);

    void handle(time_point now, router_id from,
                const history_response& response);

    /// Must be called at least every 50 ms.
    void tick(time_point now);

    /// Returns the queries to send, and clears the list.
    std::vector<outgoing_history_query> take_queries();

    /// Returns the result of the check if it has ended, and clears it.
    std::optional<history_result> take_result();

private:
    void send_queries(const std::vector<router_id>& routers);
    /// Ends the check if the responses suffice, or if `is_last`.
    void evaluate(time_point now, bool is_last);
    /// Returns the longest time for which one router vouches.
    [[nodiscard]] std::optional<duration> vouched_time() const;
    /// Returns the evidence of all routers together, if all have responded.
    [[nodiscard]] std::optional<history_result>
    combined_evidence(time_point now) const;

    options options_;
    bool in_progress_ = false;
    std::uint32_t sequence_ = 0;
    std::uint32_t shard_ = 0;
    duration needed_{};
    time_point started_at_;
    time_point next_send_;
    bool asks_all_ = false;
    std::unordered_map<router_id, history_response> responses_;
    std::vector<outgoing_history_query> queries_;
    std::optional<history_result> result_;
};

} // namespace baobabloft::ledger
