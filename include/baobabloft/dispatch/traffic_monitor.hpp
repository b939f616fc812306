// The traffic of a group of routers: the loads that their responses reported
// and the shares of frequent prompt prefixes. Each router reports to one router
// of its data centre, which merges the reports and responds with a summary.
#pragma once

#include "baobabloft/dispatch/messages.hpp"

#include <deque>
#include <optional>
#include <unordered_map>

namespace baobabloft::dispatch
{

/// One router's view of the traffic.
class traffic_monitor
{
public:
    /// Records a request of this router.
    void record_request(time_point now, prefix_id prefix);
    /// Records a load reported to this router.
    void record_load(time_point now, upstream_id upstream, std::uint32_t load,
                     std::optional<std::uint32_t> work_percent = {});

    /// Returns what this router saw since the last call.
    [[nodiscard]] traffic_report take_report(time_point now);
    /// Merges the report of another router.
    void merge(time_point now, const traffic_report& report);
    /// Returns the summary of all merged reports and of this router's own
    /// traffic.
    [[nodiscard]] traffic_summary summarize(time_point now);
    /// Records the frequent prefixes of another router's summary, which replace
    /// those of earlier summaries.
    void apply(time_point now, const traffic_summary& summary);

    /// Returns the prefix's share of the requests, or 0 unless it is frequent.
    [[nodiscard]] double share_of(time_point now, prefix_id prefix);

private:
    struct known_load
    {
        std::uint32_t load = 0;
        time_point measured_at;
        /// As load_sample::work_steps.
        std::uint8_t work_steps = 0;
    };

    struct counted_request
    {
        time_point at;
        prefix_id prefix{};
    };

    void count_request(time_point now, prefix_id prefix);
    /// Forgets the requests that are older than the window.
    void expire_requests(time_point now);
    /// Forgets the loads that are too old for a summary.
    void expire_loads(time_point now);
    /// Returns the shares of the prefixes that are frequent among the most
    /// recent requests.
    [[nodiscard]] std::unordered_map<prefix_id, double>
    recent_shares(time_point now) const;
    /// Returns the share of a prefix that was requested `count` times; 0 if
    /// that is not often enough to tell.
    [[nodiscard]] double share_of_count(std::uint32_t count) const;

    /// Requests of this router and of those that report to it, within the
    /// window, and their number by prefix.
    std::deque<counted_request> requests_;
    std::unordered_map<prefix_id, std::uint32_t> request_counts_;
    std::unordered_map<upstream_id, known_load> loads_;
    /// What is to be reported next.
    std::unordered_map<upstream_id, known_load> unreported_loads_;
    std::vector<prefix_id> unreported_prefixes_;
    /// Frequent prefixes of the last summary, and when it arrived.
    std::unordered_map<prefix_id, double> summary_shares_;
    std::optional<time_point> summary_at_;
};

} // namespace baobabloft::dispatch
