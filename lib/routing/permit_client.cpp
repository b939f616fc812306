#include "baobabloft/routing/permit_client.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace baobabloft::routing
{

namespace
{

constexpr duration first_repeat = 30ms;
constexpr unsigned max_repeats = 3;
/// An ask that waits in a queue is repeated this often, which also finds out
/// that the owner lost it.
constexpr duration queued_repeat = 2s;
constexpr duration renewal_period = 20s;
constexpr unsigned max_restarts = 3;
/// Requests that may run on one upstream without its owner's word.
constexpr std::uint32_t local_share = 1;
constexpr duration granted_lately_lifetime = 60s;
/// Weight of the newest ask in the loss estimate.
constexpr double loss_weight = 0.02;
/// Above this loss each release is sent twice.
constexpr double lossy = 0.01;
constexpr double slow_factor = 3.0;
constexpr double slow_floor_ms = 250.0;

std::uint16_t to_ms(double value)
{
    constexpr double most = 65535;
    return static_cast<std::uint16_t>(std::clamp(value, 0.0, most));
}

std::uint32_t to_patience_ms(duration left)
{
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(ms, 0));
}

} // namespace

permit_client::permit_client(owner_lookup owner_of, std::uint32_t first_ticket)
    : owner_of_(std::move(owner_of)), last_ticket_(first_ticket)
{
}

permit_ticket permit_client::acquire(time_point now, permit_demand want)
{
    const auto ticket = ++last_ticket_;
    auto& item = pending_[ticket];
    item.want = std::move(want);
    if (item.want.candidates.empty())
        finish(ticket, permit_result::no_upstream);
    else
        ask(now, ticket, item);
    return ticket;
}

void permit_client::release(permit_ticket ticket, outcome request_outcome,
                            std::uint16_t first_token_ms)
{
    if (const auto waiting = pending_.find(ticket); waiting != pending_.end())
    {
        send(waiting->second.owner, permit_cancel{ticket});
        pending_.erase(waiting);
        return;
    }
    const auto found = held_.find(ticket);
    assert(found != held_.end() && "released a permit that is not held");
    const auto& item = found->second;
    if (item.local)
        --local_running_[item.upstream];
    releases_[item.owner].push_back({ticket, request_outcome, first_token_ms});
    held_.erase(found);
}

void permit_client::record_first_token(permit_ticket ticket)
{
    const auto found = held_.find(ticket);
    if (found == held_.end())
        return;
    auto& item = found->second;
    item.has_first_token = true;
    if (item.suspect)
        send(item.owner, suspect_cleared{ticket});
}

void permit_client::handle(time_point now, router_id from,
                           const permit_response& answer)
{
    const auto found = pending_.find(answer.sequence);
    if (found == pending_.end())
    {
        // A grant that nobody waits for any more must not count as load.
        if (answer.decision == verdict::granted &&
            !held_.contains(answer.sequence))
            releases_[from].push_back({answer.sequence, outcome::cancelled, 0});
        return;
    }
    auto& item = found->second;
    if (from != item.owner)
    {
        if (answer.decision == verdict::granted)
            releases_[from].push_back({answer.sequence, outcome::cancelled, 0});
        return;
    }
    if (!item.queued)
        loss_ += loss_weight * ((item.repeats > 0 ? 1.0 : 0.0) - loss_);
    switch (answer.decision)
    {
    case verdict::granted:
        grant(now, answer.sequence, answer.usual_first_token_ms);
        return;
    case verdict::queued:
        item.queued = true;
        item.repeats = 0;
        item.next_repeat = now + queued_repeat;
        return;
    case verdict::at_limit:
        if (!item.any_at_limit || answer.queue_position < item.shortest_place)
        {
            item.shortest_queue = item.choice;
            item.shortest_place = answer.queue_position;
        }
        item.any_at_limit = true;
        break;
    case verdict::queue_full:
        finish(answer.sequence, permit_result::overloaded);
        return;
    case verdict::expired:
        finish(answer.sequence, permit_result::expired);
        return;
    case verdict::cached_elsewhere:
        item.any_redirect = true;
        break;
    case verdict::unavailable:
        break;
    }
    ask_next(now, answer.sequence, item);
}

void permit_client::handle_view_change(time_point now)
{
    for (auto& [ticket, item] : pending_)
    {
        const auto owner = owner_of_(item.want.candidates[item.choice]);
        if (!owner || *owner == item.owner)
            continue;
        send(item.owner, permit_cancel{ticket});
        ask(now, ticket, item);
    }
    std::map<router_id, std::vector<held_permit>> moved;
    for (auto& [ticket, item] : held_)
    {
        const auto owner = owner_of_(item.upstream);
        if (!owner || *owner == item.owner)
            continue;
        item.owner = *owner;
        item.next_renewal = now + renewal_period;
        moved[*owner].push_back({ticket, item.upstream});
    }
    for (auto& [owner, permits] : moved)
        send(owner, permit_renewal{std::move(permits)});
}

void permit_client::tick(time_point now)
{
    repeat_asks(now);
    renew_holds(now);
    flush_releases();
    std::erase_if(granted_lately_, [now](const auto& entry)
                  { return now - entry.second > granted_lately_lifetime; });
}

std::vector<addressed_permit_message> permit_client::take_messages()
{
    return std::exchange(messages_, {});
}

std::vector<permit_decision> permit_client::take_decisions()
{
    return std::exchange(decisions_, {});
}

std::size_t permit_client::held_count() const
{
    return held_.size();
}

std::size_t permit_client::pending_count() const
{
    return pending_.size();
}

const permit_client_counts& permit_client::counts() const
{
    return counts_;
}

void permit_client::ask(time_point now, permit_ticket ticket, pending& item)
{
    const auto upstream = item.want.candidates[item.choice];
    // Without any router in the upstream's region nobody answers, and the
    // ask goes on to the next candidate after its repeats.
    item.owner = owner_of_(upstream).value_or(router_id{});
    item.queued = false;
    item.repeats = 0;
    item.next_repeat = now + first_repeat;
    ++counts_.requests;
    send(item.owner, permit_request{.sequence = ticket,
                                    .upstream = upstream,
                                    .chat = item.want.chat,
                                    .customer = item.want.customer,
                                    .max_queue_wait_ms = to_patience_ms(
                                        item.want.start_deadline - now),
                                    .priority = item.want.priority,
                                    .may_queue = item.last_round,
                                    .suspect = item.want.suspect,
                                    .may_redirect = !item.last_round});
}

void permit_client::ask_next(time_point now, permit_ticket ticket,
                             pending& item)
{
    if (!item.last_round && item.choice + 1 < item.want.candidates.size())
    {
        ++item.choice;
        ask(now, ticket, item);
        return;
    }
    if (!item.last_round && (item.any_at_limit || item.any_redirect))
    {
        item.last_round = true;
        item.choice = item.any_at_limit ? item.shortest_queue : 0;
        ask(now, ticket, item);
        return;
    }
    if (item.last_round && item.restarts < max_restarts)
    {
        // The upstream whose queue held the request went away.
        ++item.restarts;
        item.last_round = false;
        item.any_at_limit = false;
        item.any_redirect = false;
        item.choice = 0;
        ask(now, ticket, item);
        return;
    }
    if (item.unreachable > 0 && grant_locally(now, ticket, item))
        return;
    finish(ticket, permit_result::no_upstream);
}

void permit_client::finish(permit_ticket ticket, permit_result result)
{
    pending_.erase(ticket);
    decisions_.push_back({.ticket = ticket, .result = result});
}

void permit_client::grant(time_point now, permit_ticket ticket,
                          std::uint16_t usual_first_token_ms)
{
    const auto found = pending_.find(ticket);
    const auto& item = found->second;
    const auto upstream = item.want.candidates[item.choice];
    const auto choice = static_cast<std::uint32_t>(item.choice);
    held_[ticket] = {.upstream = upstream,
                     .owner = item.owner,
                     .granted_at = now,
                     .next_renewal = now + renewal_period,
                     .usual_first_token_ms = usual_first_token_ms,
                     .suspect = item.want.suspect};
    granted_lately_[upstream] = now;
    ++(choice == 0 ? counts_.first_choice_grants : counts_.other_choice_grants);
    pending_.erase(found);
    decisions_.push_back({ticket, permit_result::granted, upstream, choice});
}

bool permit_client::grant_locally(time_point now, permit_ticket ticket,
                                  pending& item)
{
    const auto& candidates = item.want.candidates;
    for (std::size_t choice = 0; choice < candidates.size(); ++choice)
    {
        const auto upstream = candidates[choice];
        if (!granted_lately_.contains(upstream) ||
            local_running_[upstream] >= local_share)
            continue;
        item.choice = choice;
        ++local_running_[upstream];
        ++counts_.local_grants;
        grant(now, ticket, 0);
        held_.at(ticket).local = true;
        return true;
    }
    return false;
}

void permit_client::repeat_asks(time_point now)
{
    std::vector<permit_ticket> due;
    for (const auto& [ticket, item] : pending_)
        if (now >= item.next_repeat || now >= item.want.start_deadline)
            due.push_back(ticket);
    for (const auto ticket : due)
    {
        auto& item = pending_.at(ticket);
        if (now >= item.want.start_deadline)
        {
            send(item.owner, permit_cancel{ticket});
            finish(ticket, permit_result::expired);
            continue;
        }
        if (item.repeats >= max_repeats)
        {
            ++counts_.unreachable_owners;
            ++item.unreachable;
            ask_next(now, ticket, item);
            continue;
        }
        const auto repeats = item.repeats + 1;
        const bool queued = item.queued;
        ask(now, ticket, item);
        --counts_.requests;
        ++counts_.repeated_requests;
        item.repeats = repeats;
        item.queued = queued;
        item.next_repeat =
            now + (queued ? queued_repeat : first_repeat * (1U << repeats));
    }
}

void permit_client::renew_holds(time_point now)
{
    std::map<router_id, std::vector<held_permit>> due;
    for (auto& [ticket, item] : held_)
    {
        alert_slow(now, ticket, item);
        if (now < item.next_renewal)
            continue;
        item.next_renewal = now + renewal_period;
        due[item.owner].push_back({ticket, item.upstream});
    }
    for (auto& [owner, permits] : due)
        send(owner, permit_renewal{std::move(permits)});
}

void permit_client::alert_slow(time_point now, permit_ticket ticket,
                               held_state& item)
{
    if (item.has_first_token || item.alerted)
        return;
    const double usual_ms = item.usual_first_token_ms;
    const double waited_ms = to_seconds(now - item.granted_at) * 1000.0;
    if (usual_ms == 0 || waited_ms < slow_floor_ms ||
        waited_ms < slow_factor * usual_ms)
        return;
    item.alerted = true;
    send(item.owner, slow_first_token{ticket, to_ms(waited_ms)});
}

void permit_client::flush_releases()
{
    for (auto& [owner, permits] : releases_)
    {
        // A lost release counts as load until its lease ends, so it is worth
        // a second datagram when datagrams get lost.
        if (loss_ > lossy)
            send(owner, permit_release{permits});
        send(owner, permit_release{std::move(permits)});
    }
    releases_.clear();
}

void permit_client::send(router_id to, permit_message content)
{
    if (to == router_id{})
        return;
    messages_.push_back({to, std::move(content)});
}

} // namespace baobabloft::routing
