#include "baobabloft/ledger/claim_client.hpp"

#include <algorithm>
#include <utility>

namespace baobabloft::ledger
{

namespace
{

/// Time without a response before the first resend to an appender; doubles with
/// each further resend to it.
constexpr duration first_resend_delay = 150ms;
constexpr unsigned sends_per_appender = 3;
/// Time before a request is sent again if the appender is overloaded or another
/// attempt holds the key.
constexpr duration retry_period = 250ms;
/// Time for which the router tries to record the end of a call.
constexpr duration outcome_record_timeout = 60s;
constexpr std::size_t max_timed_out_claims = 10000;

} // namespace

claim_client::claim_client(std::uint32_t shard_count,
                           appender_lookup appenders_of, std::uint64_t seed)
    : shard_count_(shard_count), appenders_of_(std::move(appenders_of)),
      random_(seed)
{
}

claim_ticket claim_client::claim(time_point now, const idempotency_key& key,
                                 time_point deadline)
{
    const auto sequence = ++last_sequence_;
    auto& item = pending_appends_[sequence];
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
    const auto found = accepted_claims_.find(ticket);
    if (found == accepted_claims_.end())
        return;
    record_outcome(now, found->second, record_kind::released, {});
    accepted_claims_.erase(found);
}

void claim_client::finish(time_point now, claim_ticket ticket,
                          stored_response upstream_response)
{
    const auto found = accepted_claims_.find(ticket);
    if (found == accepted_claims_.end())
        return;
    record_outcome(now, found->second, record_kind::done,
                   std::move(upstream_response));
    accepted_claims_.erase(found);
}

void claim_client::abandon(claim_ticket ticket)
{
    accepted_claims_.erase(ticket);
}

void claim_client::handle(time_point now, const append_response& response)
{
    if (const auto timed_out = timed_out_claims_.find(response.sequence);
        timed_out != timed_out_claims_.end() &&
        timed_out->second.attempt == response.attempt)
    {
        if (response.result == append_result::accepted)
            record_outcome(now, timed_out->second, record_kind::released, {});
        timed_out_claims_.erase(timed_out);
        return;
    }
    const auto found = pending_appends_.find(response.sequence);
    if (found == pending_appends_.end() ||
        found->second.content.attempt != response.attempt)
        return;
    auto& item = found->second;
    if (item.content.kind != record_kind::claimed)
    {
        if (response.result == append_result::overloaded)
            schedule_retry(now, item);
        else
            pending_appends_.erase(found);
        return;
    }
    switch (response.result)
    {
    case append_result::accepted:
        accepted_claims_[response.sequence] = {item.content.key,
                                               item.content.attempt};
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
        item.was_claimed_by_other = true;
        break;
    case append_result::overloaded:
        break;
    }
    schedule_retry(now, item);
}

void claim_client::tick(time_point now)
{
    std::vector<std::uint32_t> due;
    for (const auto& [sequence, item] : pending_appends_)
        if (now >= item.next_send || now >= item.deadline)
            due.push_back(sequence);
    for (const auto sequence : due)
    {
        auto& item = pending_appends_.at(sequence);
        if (now >= item.deadline)
            handle_timeout(sequence);
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

std::size_t claim_client::pending_requests() const
{
    return pending_appends_.size();
}

void claim_client::send(time_point now, std::uint32_t sequence,
                        pending_append& item)
{
    const auto appenders =
        appenders_of_(shard_of(item.content.key, shard_count_));
    if (item.sends_to_appender >= sends_per_appender)
    {
        item.sends_to_appender = 0;
        ++item.appender_index;
    }
    item.next_send = now + first_resend_delay * (1U << item.sends_to_appender);
    ++item.sends_to_appender;
    if (appenders.empty())
        return;
    const auto to = appenders[item.appender_index % appenders.size()];
    requests_.push_back({to, {sequence, item.content}});
}

void claim_client::record_outcome(time_point now, const claim_identity& claim,
                                  record_kind kind,
                                  stored_response upstream_response)
{
    const auto sequence = ++last_sequence_;
    auto& item = pending_appends_[sequence];
    item.content = {kind, claim.key, claim.attempt,
                    std::move(upstream_response)};
    item.deadline = now + outcome_record_timeout;
    send(now, sequence, item);
}

void claim_client::decide(std::uint32_t sequence, claim_result result,
                          const append_response& response)
{
    pending_appends_.erase(sequence);
    decisions_.push_back({sequence, result, response.fencing_number,
                          response.upstream_response});
}

void claim_client::schedule_retry(time_point now, pending_append& item)
{
    item.sends_to_appender = 0;
    item.next_send = now + retry_period;
}

void claim_client::handle_timeout(std::uint32_t sequence)
{
    const auto found = pending_appends_.find(sequence);
    const auto& item = found->second;
    if (item.content.kind == record_kind::claimed)
    {
        if (timed_out_claims_.size() >= max_timed_out_claims)
            timed_out_claims_.erase(timed_out_claims_.begin());
        timed_out_claims_[sequence] = {item.content.key, item.content.attempt};
        decisions_.push_back({sequence,
                              item.was_claimed_by_other
                                  ? claim_result::in_progress
                                  : claim_result::unconfirmed,
                              0,
                              {}});
    }
    pending_appends_.erase(found);
}

} // namespace baobabloft::ledger
