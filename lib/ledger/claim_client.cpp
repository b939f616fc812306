#include "baobabloft/ledger/claim_client.hpp"

#include <algorithm>
#include <utility>

namespace baobabloft::ledger
{

namespace
{

constexpr duration first_repeat = 150ms;
constexpr unsigned sends_per_appender = 3;
constexpr duration poll_period = 250ms;
/// Time during which the end of a call is offered to the ledger.
constexpr duration record_patience = 60s;
constexpr std::size_t max_given_up = 10000;

} // namespace

claim_client::claim_client(std::uint32_t shards, appender_lookup appenders_of,
                           std::uint64_t seed)
    : shards_(shards), appenders_of_(std::move(appenders_of)), random_(seed)
{
}

claim_ticket claim_client::claim(time_point now, const idempotency_key& key,
                                 time_point deadline)
{
    const auto sequence = ++last_sequence_;
    auto& item = pending_[sequence];
    item.content = {.kind = record_kind::claimed,
                    .key = key,
                    .attempt = random_(),
                    .upstream_response = {}};
    item.deadline = deadline;
    send(now, sequence, item);
    return sequence;
}

void claim_client::release(time_point now, claim_ticket ticket)
{
    const auto found = held_.find(ticket);
    if (found == held_.end())
        return;
    record_end(now, found->second, record_kind::released, {});
    held_.erase(found);
}

void claim_client::finish(time_point now, claim_ticket ticket,
                          stored_response upstream_response)
{
    const auto found = held_.find(ticket);
    if (found == held_.end())
        return;
    record_end(now, found->second, record_kind::done,
               std::move(upstream_response));
    held_.erase(found);
}

void claim_client::abandon(claim_ticket ticket)
{
    held_.erase(ticket);
}

void claim_client::handle(time_point now, const append_response& response)
{
    if (const auto late = given_up_.find(response.sequence);
        late != given_up_.end() && late->second.attempt == response.attempt)
    {
        if (response.result == append_result::accepted)
            record_end(now, late->second, record_kind::released, {});
        given_up_.erase(late);
        return;
    }
    const auto found = pending_.find(response.sequence);
    if (found == pending_.end() ||
        found->second.content.attempt != response.attempt)
        return;
    auto& item = found->second;
    if (item.content.kind != record_kind::claimed)
    {
        if (response.result == append_result::overloaded)
            retry_later(now, item);
        else
            pending_.erase(found);
        return;
    }
    switch (response.result)
    {
    case append_result::accepted:
        held_[response.sequence] = {item.content.key, item.content.attempt};
        decide(response.sequence, claim_result::accepted, response);
        return;
    case append_result::already_done:
        decide(response.sequence, claim_result::answered, response);
        return;
    case append_result::below_low_water_mark:
        decide(response.sequence, claim_result::below_low_water_mark, response);
        return;
    case append_result::key_from_future:
        decide(response.sequence, claim_result::key_from_future, response);
        return;
    case append_result::claimed_by_other:
        item.seen_other = true;
        break;
    case append_result::overloaded:
        break;
    }
    retry_later(now, item);
}

void claim_client::tick(time_point now)
{
    std::vector<std::uint32_t> due;
    for (const auto& [sequence, item] : pending_)
        if (now >= item.next_send || now >= item.deadline)
            due.push_back(sequence);
    for (const auto sequence : due)
    {
        auto& item = pending_.at(sequence);
        if (now >= item.deadline)
            give_up(sequence);
        else
            send(now, sequence, item);
    }
}

std::vector<outgoing_append> claim_client::take_requests()
{
    return std::exchange(requests_, {});
}

std::vector<claim_decision> claim_client::take_decisions()
{
    return std::exchange(decisions_, {});
}

std::size_t claim_client::unanswered_requests() const
{
    return pending_.size();
}

void claim_client::send(time_point now, std::uint32_t sequence,
                        pending_append& item)
{
    const auto appenders = appenders_of_(shard_of(item.content.key, shards_));
    if (item.sends >= sends_per_appender)
    {
        item.sends = 0;
        ++item.preference;
    }
    item.next_send = now + first_repeat * (1U << item.sends);
    ++item.sends;
    if (appenders.empty())
        return;
    const auto to = appenders[item.preference % appenders.size()];
    requests_.push_back({to, {sequence, item.content}});
}

void claim_client::record_end(time_point now, const held_claim& claim,
                              record_kind kind,
                              stored_response upstream_response)
{
    const auto sequence = ++last_sequence_;
    auto& item = pending_[sequence];
    item.content = {kind, claim.key, claim.attempt,
                    std::move(upstream_response)};
    item.deadline = now + record_patience;
    send(now, sequence, item);
}

void claim_client::decide(std::uint32_t sequence, claim_result result,
                          const append_response& response)
{
    pending_.erase(sequence);
    decisions_.push_back({sequence, result, response.fencing_number,
                          response.upstream_response});
}

void claim_client::retry_later(time_point now, pending_append& item)
{
    item.sends = 0;
    item.next_send = now + poll_period;
}

void claim_client::give_up(std::uint32_t sequence)
{
    const auto found = pending_.find(sequence);
    const auto& item = found->second;
    if (item.content.kind == record_kind::claimed)
    {
        if (given_up_.size() >= max_given_up)
            given_up_.erase(given_up_.begin());
        given_up_[sequence] = {item.content.key, item.content.attempt};
        decisions_.push_back({sequence,
                              item.seen_other ? claim_result::in_progress
                                              : claim_result::unconfirmed,
                              0,
                              {}});
    }
    pending_.erase(found);
}

} // namespace baobabloft::ledger
