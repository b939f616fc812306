// Permit requests and their retransmission, and the renewal and release of
// permits.
#include "baobabloft/routing/permit_client.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace baobabloft::routing
{

namespace
{

constexpr duration first_retransmit_delay = 30ms;
constexpr unsigned max_retransmits = 3;
/// A queued request is retransmitted at this interval, which also detects that
/// the owner has lost it.
constexpr duration queued_retransmit_period = 2s;
constexpr duration renewal_period = 20s;
constexpr unsigned max_restarts = 3;
/// Number of requests of this router that may run at a time on one upstream
/// without a permit from its owner, while owners do not respond.
constexpr std::uint32_t max_local_grants_per_upstream = 1;
constexpr duration recently_granted_lifetime = 60s;
/// Weight of the latest request in the loss estimate.
constexpr double loss_estimate_weight = 0.02;
/// Above this estimated loss each release is sent twice.
constexpr double duplicate_release_loss = 0.01;
constexpr double slow_first_token_factor = 3.0;
constexpr double min_slow_first_token_ms = 250.0;

std::uint16_t to_ms(double value)
{
    constexpr double max_ms = 65535;
    return static_cast<std::uint16_t>(std::clamp(value, 0.0, max_ms));
}

std::uint32_t to_wait_ms(duration remaining)
{
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(remaining)
            .count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(ms, 0));
}

} // namespace

permit_client::permit_client(owner_lookup owner_of, std::uint32_t first_ticket)
    : owner_of_(std::move(owner_of)), last_ticket_(first_ticket)
{
}

permit_ticket permit_client::acquire(time_point now, permit_demand demand)
{
    const auto ticket = ++last_ticket_;
    auto& item = pending_[ticket];
    item.demand = std::move(demand);
    if (item.demand.candidates.empty())
        finish(ticket, permit_result::no_upstream);
    else
        send_request(now, ticket, item);
    return ticket;
}

void permit_client::release(permit_ticket ticket, outcome request_outcome,
                            std::uint16_t first_token_ms)
{
    if (const auto found_pending = pending_.find(ticket);
        found_pending != pending_.end())
    {
        send(found_pending->second.owner, permit_cancel{ticket});
        pending_.erase(found_pending);
        return;
    }
    const auto found = held_.find(ticket);
    assert(found != held_.end() && "released a permit that is not held");
    const auto& item = found->second;
    if (item.granted_locally)
        --local_grants_[item.upstream];
    pending_releases_[item.owner].push_back(
        {ticket, request_outcome, first_token_ms});
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
                           const permit_response& response)
{
    const auto found = pending_.find(response.sequence);
    if (found == pending_.end())
    {
        // The request is no longer pending, so its grant is returned; otherwise
        // the owner would count it as load.
        if (response.decision == verdict::granted &&
            !held_.contains(response.sequence))
            pending_releases_[from].push_back(
                {response.sequence, outcome::cancelled, 0});
        return;
    }
    auto& item = found->second;
    if (from != item.owner)
    {
        if (response.decision == verdict::granted)
            pending_releases_[from].push_back(
                {response.sequence, outcome::cancelled, 0});
        return;
    }
    if (!item.queued)
        loss_estimate_ += loss_estimate_weight *
                          ((item.retransmits > 0 ? 1.0 : 0.0) - loss_estimate_);
    switch (response.decision)
    {
    case verdict::granted:
        record_grant(now, response.sequence, response.usual_first_token_ms);
        return;
    case verdict::queued:
        item.queued = true;
        item.retransmits = 0;
        item.next_retransmit = now + queued_retransmit_period;
        return;
    case verdict::at_limit:
        if (!item.any_at_limit ||
            response.queue_position < item.shortest_queue_position)
        {
            item.shortest_queue_index = item.candidate_index;
            item.shortest_queue_position = response.queue_position;
        }
        item.any_at_limit = true;
        break;
    case verdict::queue_full:
        finish(response.sequence, permit_result::overloaded);
        return;
    case verdict::expired:
        finish(response.sequence, permit_result::expired);
        return;
    case verdict::cached_elsewhere:
        item.any_redirect = true;
        break;
    case verdict::unavailable:
        break;
    }
    request_next_candidate(now, response.sequence, item);
}

void permit_client::handle_view_change(time_point now)
{
    for (auto& [ticket, item] : pending_)
    {
        const auto owner =
            owner_of_(item.demand.candidates[item.candidate_index]);
        if (!owner || *owner == item.owner)
            continue;
        send(item.owner, permit_cancel{ticket});
        send_request(now, ticket, item);
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
    retransmit_requests(now);
    renew_permits(now);
    flush_releases();
    std::erase_if(recently_granted_, [now](const auto& entry)
                  { return now - entry.second > recently_granted_lifetime; });
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

void permit_client::send_request(time_point now, permit_ticket ticket,
                                 pending_request& item)
{
    const auto upstream = item.demand.candidates[item.candidate_index];
    // The upstream may have no owner, for example if it is no longer in the
    // preset. Nothing is sent then, and the request moves on to the next
    // candidate after its retransmissions.
    item.owner = owner_of_(upstream).value_or(router_id{});
    item.queued = false;
    item.retransmits = 0;
    item.next_retransmit = now + first_retransmit_delay;
    ++counts_.requests;
    send(item.owner, permit_request{.sequence = ticket,
                                    .upstream = upstream,
                                    .chat = item.demand.chat,
                                    .customer = item.demand.customer,
                                    .max_queue_wait_ms = to_wait_ms(
                                        item.demand.start_deadline - now),
                                    .priority = item.demand.priority,
                                    .may_queue = item.last_round,
                                    .suspect = item.demand.suspect,
                                    .may_redirect = !item.last_round});
}

void permit_client::request_next_candidate(time_point now, permit_ticket ticket,
                                           pending_request& item)
{
    if (!item.last_round &&
        item.candidate_index + 1 < item.demand.candidates.size())
    {
        ++item.candidate_index;
        send_request(now, ticket, item);
        return;
    }
    if (!item.last_round && (item.any_at_limit || item.any_redirect))
    {
        item.last_round = true;
        item.candidate_index =
            item.any_at_limit ? item.shortest_queue_index : 0;
        send_request(now, ticket, item);
        return;
    }
    if (item.last_round && item.restarts < max_restarts)
    {
        // The upstream in whose queue the request waited became unavailable.
        ++item.restarts;
        item.last_round = false;
        item.any_at_limit = false;
        item.any_redirect = false;
        item.candidate_index = 0;
        send_request(now, ticket, item);
        return;
    }
    if (item.unresponsive_owners > 0 && try_grant_locally(now, ticket, item))
        return;
    finish(ticket, permit_result::no_upstream);
}

void permit_client::finish(permit_ticket ticket, permit_result result)
{
    pending_.erase(ticket);
    decisions_.push_back({.ticket = ticket, .result = result});
}

void permit_client::record_grant(time_point now, permit_ticket ticket,
                                 std::uint16_t usual_first_token_ms)
{
    const auto found = pending_.find(ticket);
    const auto& item = found->second;
    const auto upstream = item.demand.candidates[item.candidate_index];
    const auto candidate_index =
        static_cast<std::uint32_t>(item.candidate_index);
    held_[ticket] = {.upstream = upstream,
                     .owner = item.owner,
                     .granted_at = now,
                     .next_renewal = now + renewal_period,
                     .usual_first_token_ms = usual_first_token_ms,
                     .suspect = item.demand.suspect};
    recently_granted_[upstream] = now;
    ++(candidate_index == 0 ? counts_.first_choice_grants
                            : counts_.other_choice_grants);
    pending_.erase(found);
    decisions_.push_back(
        {ticket, permit_result::granted, upstream, candidate_index});
}

bool permit_client::try_grant_locally(time_point now, permit_ticket ticket,
                                      pending_request& item)
{
    const auto& candidates = item.demand.candidates;
    for (std::size_t candidate_index = 0; candidate_index < candidates.size();
         ++candidate_index)
    {
        const auto upstream = candidates[candidate_index];
        if (!recently_granted_.contains(upstream) ||
            local_grants_[upstream] >= max_local_grants_per_upstream)
            continue;
        item.candidate_index = candidate_index;
        ++local_grants_[upstream];
        ++counts_.local_grants;
        record_grant(now, ticket, 0);
        held_.at(ticket).granted_locally = true;
        return true;
    }
    return false;
}

void permit_client::retransmit_requests(time_point now)
{
    std::vector<permit_ticket> due;
    for (const auto& [ticket, item] : pending_)
        if (now >= item.next_retransmit || now >= item.demand.start_deadline)
            due.push_back(ticket);
    for (const auto ticket : due)
    {
        auto& item = pending_.at(ticket);
        if (now >= item.demand.start_deadline)
        {
            send(item.owner, permit_cancel{ticket});
            finish(ticket, permit_result::expired);
            continue;
        }
        if (item.retransmits >= max_retransmits)
        {
            ++counts_.unreachable_owners;
            ++item.unresponsive_owners;
            request_next_candidate(now, ticket, item);
            continue;
        }
        const auto retransmits = item.retransmits + 1;
        const bool queued = item.queued;
        send_request(now, ticket, item);
        --counts_.requests;
        ++counts_.retransmitted_requests;
        item.retransmits = retransmits;
        item.queued = queued;
        item.next_retransmit =
            now + (queued ? queued_retransmit_period
                          : first_retransmit_delay * (1U << retransmits));
    }
}

void permit_client::renew_permits(time_point now)
{
    std::map<router_id, std::vector<held_permit>> due;
    for (auto& [ticket, item] : held_)
    {
        report_slow_first_token(now, ticket, item);
        if (now < item.next_renewal)
            continue;
        item.next_renewal = now + renewal_period;
        due[item.owner].push_back({ticket, item.upstream});
    }
    for (auto& [owner, permits] : due)
        send(owner, permit_renewal{std::move(permits)});
}

void permit_client::report_slow_first_token(time_point now,
                                            permit_ticket ticket,
                                            held_permit_state& item)
{
    if (item.has_first_token || item.slow_reported)
        return;
    const double usual_ms = item.usual_first_token_ms;
    const double waited_ms = to_seconds(now - item.granted_at) * 1000.0;
    if (usual_ms == 0 || waited_ms < min_slow_first_token_ms ||
        waited_ms < slow_first_token_factor * usual_ms)
        return;
    item.slow_reported = true;
    send(item.owner, slow_first_token{ticket, to_ms(waited_ms)});
}

void permit_client::flush_releases()
{
    for (auto& [owner, permits] : pending_releases_)
    {
        // The permit of a lost release counts as load until its lease ends, so
        // that a second datagram is worth its cost when datagrams are lost.
        if (loss_estimate_ > duplicate_release_loss)
            send(owner, permit_release{permits});
        send(owner, permit_release{std::move(permits)});
    }
    pending_releases_.clear();
}

void permit_client::send(router_id to, permit_message content)
{
    if (to == router_id{})
        return;
    messages_.push_back({to, std::move(content)});
}

} // namespace baobabloft::routing
