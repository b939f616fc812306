#include "baobabloft/ledger/history_check.hpp"

#include <algorithm>
#include <utility>

namespace baobabloft::ledger
{

namespace
{

/// Longest time between two responses of the KV service without a gap.
constexpr duration max_gap = 600ms;
/// Time after which all routers are asked, if no watcher vouches.
constexpr duration watcher_patience = 100ms;
constexpr duration resend_period = 150ms;
/// Must end before the read of the log counts as old.
constexpr duration check_timeout = 550ms;

} // namespace

void store_view::record_response(time_point now, time_point sent_at)
{
    if (!since_ || now - last_sent_at_ > max_gap)
        since_ = sent_at;
    // Responses may arrive in any order.
    last_sent_at_ = std::max(last_sent_at_, sent_at);
}

void store_view::reset()
{
    since_.reset();
}

std::optional<duration> store_view::age(time_point now) const
{
    if (!since_ || now - last_sent_at_ > max_gap)
        return std::nullopt;
    return now - *since_;
}

history_check::history_check(options options) : options_(std::move(options)) {}

void history_check::start(time_point now, std::uint32_t shard, duration needed)
{
    in_progress_ = true;
    ++sequence_;
    shard_ = shard;
    needed_ = needed;
    started_at_ = now;
    next_send_ = now + watcher_patience;
    asks_all_ = false;
    responses_.clear();
    result_.reset();
    send_queries(options_.watchers());
}

void history_check::handle(time_point now, router_id from,
                           const history_response& response)
{
    if (!in_progress_ || response.sequence != sequence_)
        return;
    responses_.insert_or_assign(from, response);
    evaluate(now, false);
}

void history_check::tick(time_point now)
{
    if (!in_progress_)
        return;
    evaluate(now, now - started_at_ >= check_timeout);
    if (!in_progress_ || now < next_send_)
        return;
    asks_all_ = true;
    next_send_ = now + resend_period;
    send_queries(options_.routers());
}

std::vector<outgoing_history_query> history_check::take_queries()
{
    return std::exchange(queries_, {});
}

std::optional<history_result> history_check::take_result()
{
    return std::exchange(result_, std::nullopt);
}

void history_check::send_queries(const std::vector<router_id>& routers)
{
    for (const auto to : routers)
        if (!responses_.contains(to))
            queries_.push_back({to, {sequence_, shard_}});
}

void history_check::evaluate(time_point now, bool is_last)
{
    // The responses were sent at any time since the start of the check.
    const auto waited = now - started_at_;
    history_result best{.covered = vouched_time().value_or(duration{})};
    if (best.covered < needed_ + waited && asks_all_)
        if (const auto combined = combined_evidence(now))
        {
            best.is_outdated = combined->is_outdated;
            best.covered = std::max(best.covered, combined->covered);
            is_last = true;
        }
    if (best.covered < needed_ + waited && !is_last)
        return;
    in_progress_ = false;
    best.covered = std::max(duration{}, best.covered - waited);
    result_ = best;
}

std::optional<duration> history_check::vouched_time() const
{
    std::optional<duration> longest;
    for (const auto& [from, response] : responses_)
        if (response.view_age_ms > 0)
            longest = std::max(
                longest.value_or(duration{}),
                duration{std::chrono::milliseconds{response.view_age_ms}});
    return longest;
}

std::optional<history_result>
history_check::combined_evidence(time_point now) const
{
    history_result result{.covered = options_.since_departure(now)};
    for (const auto router : options_.routers())
    {
        const auto found = responses_.find(router);
        if (found == responses_.end())
            return std::nullopt;
        const auto& response = found->second;
        result.covered =
            std::min(result.covered,
                     duration{std::chrono::milliseconds{response.uptime_ms}});
        if (response.lost_entries)
            return history_result{};
        if (response.last_entry == 0)
            continue;
        const auto presence =
            options_.find_entry(response.last_entry, response.entry_hash);
        if (presence == entry_presence::not_read)
            return history_result{.covered = {}, .is_outdated = true};
        if (presence == entry_presence::replaced)
            return history_result{};
    }
    return result;
}

} // namespace baobabloft::ledger
