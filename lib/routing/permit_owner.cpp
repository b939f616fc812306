#include "baobabloft/routing/permit_owner.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace baobabloft::routing
{

namespace
{

/// A permit that its holder neither returns nor renews ends after this.
constexpr duration permit_lease = 40s;
/// Chats without a cached prefix use an upstream only below this share of its
/// limit. They lose nothing elsewhere, and the rest stays for those that would.
constexpr double newcomer_share = 0.9;
/// Deferrable requests use an upstream only below this share of its limit.
constexpr double deferrable_share = 0.7;
/// Deferrable requests become interactive this long before their latest time.
constexpr duration deferrable_margin = 60s;
constexpr duration digest_period = 500ms;
/// Few owners carry few requests, whose mean changes faster.
constexpr duration small_digest_period = 250ms;
constexpr std::size_t few_owners = 16;
constexpr std::size_t entries_per_digest = 16;

std::uint16_t to_u16(double value)
{
    return static_cast<std::uint16_t>(std::clamp(value, 0.0, 65535.0));
}

} // namespace

permit_owner::permit_owner(router_id self) : self_(self) {}

void permit_owner::set_owned_upstreams(
    time_point now, const config::preset_snapshot& preset,
    const std::vector<owned_upstream>& owned,
    const std::vector<service_owners>& owners)
{
    const bool renumbered = !preset_ || preset_->number != preset->number;
    preset_ = preset;
    const auto& services = preset->value.services;
    std::unordered_map<upstream_id, station> kept;
    for (const auto& item : owned)
    {
        const auto& service = services.at(item.service_index);
        const auto id = service.upstreams.at(item.upstream_index).id;
        const auto options = make_admission_options(service);
        if (const auto known = stations_.find(id); known != stations_.end())
        {
            known->second.gate.set_options(options);
            kept.insert(stations_.extract(known));
        }
        else
            kept.emplace(id, station{.gate = upstream_admission{options, now},
                                     .queue = {}});
        auto& at = kept.at(id);
        at.service_index = item.service_index;
        at.upstream_index = item.upstream_index;
        at.queue_limit = service.queue_limit;
        at.admitted = item.admitted;
        if (!item.admitted)
            for (const auto& waiting : at.queue.drain())
                answer(waiting.key, verdict::unavailable, &at);
    }
    for (auto& [id, lost] : stations_)
        for (const auto& waiting : lost.queue.drain())
            answer(waiting.key, verdict::unavailable, nullptr);
    stations_ = std::move(kept);
    std::erase_if(grants_, [this](const auto& entry)
                  { return !stations_.contains(entry.second.upstream); });
    std::map<std::uint16_t, service_state> known_services;
    for (const auto& item : owners)
    {
        const auto count = services.at(item.service_index).upstreams.size();
        service_state state{.loads = load_table{count}, .owners = item.owners};
        // Places keep their meaning only within one preset.
        const auto known = services_.find(item.service_index);
        if (known != services_.end() && !renumbered)
            state.loads = known->second.loads;
        state.loads.set_admitted_count(count - item.not_admitted.size());
        for (const auto index : item.not_admitted)
            state.loads.remove(index);
        known_services.emplace(item.service_index, std::move(state));
    }
    services_ = std::move(known_services);
    update_loads(now);
}

void permit_owner::set_live_routers(time_point now,
                                    const std::vector<router_id>& live,
                                    double live_share)
{
    live_share_ = live_share;
    const auto is_gone = [&live](router_id router)
    {
        return !std::binary_search(live.begin(), live.end(), router);
    };
    for (const auto& [key, item] : grants_)
    {
        if (!is_gone(key.requester))
            continue;
        auto& at = stations_.at(item.upstream);
        if (item.suspect)
            --at.suspects;
        at.gate.record_lost_holder(now);
    }
    std::erase_if(grants_, [&is_gone](const auto& item)
                  { return is_gone(item.first.requester); });
    for (auto& [id, at] : stations_)
    {
        at.queue.remove_requests_from(is_gone);
        pump(now, id, at);
    }
}

void permit_owner::handle(time_point now, router_id from,
                          const permit_request& ask)
{
    const permit_request_key key{from, ask.sequence};
    const auto found = stations_.find(ask.upstream);
    if (found == stations_.end())
    {
        answer(key, verdict::unavailable, nullptr);
        return;
    }
    auto& at = found->second;
    const auto decision = decide(now, key, ask, at);
    answer(key, decision, &at);
    if (decision == verdict::at_limit)
        answers_.back().response.queue_position = to_u16(
            at.queue.estimate_position(ask.customer, weight_of(ask.customer)));
}

void permit_owner::handle(time_point now, router_id from,
                          const permit_release& release)
{
    for (const auto& item : release.permits)
        end_grant(now, {from, item.sequence}, item);
}

void permit_owner::handle(time_point now, router_id from,
                          const permit_renewal& hold)
{
    for (const auto& item : hold.permits)
    {
        const auto found = stations_.find(item.upstream);
        if (found == stations_.end())
            continue;
        const auto [entry, added] = grants_.try_emplace({from, item.sequence});
        entry->second.upstream = item.upstream;
        entry->second.expires = now + permit_lease;
        if (added)
            found->second.gate.record_registered_permit(now);
    }
}

void permit_owner::handle(time_point now, router_id from,
                          const permit_cancel& cancel)
{
    const permit_request_key key{from, cancel.sequence};
    for (auto& [id, at] : stations_)
        if (at.queue.remove(key))
            return;
    end_grant(
        now, key,
        {.sequence = cancel.sequence, .request_outcome = outcome::cancelled});
}

void permit_owner::handle(time_point now, router_id from,
                          const suspect_cleared& note)
{
    const auto found = grants_.find({from, note.sequence});
    if (found == grants_.end() || !found->second.suspect)
        return;
    found->second.suspect = false;
    auto& at = stations_.at(found->second.upstream);
    --at.suspects;
    pump(now, found->second.upstream, at);
}

void permit_owner::handle(time_point now, router_id from,
                          const slow_first_token& note)
{
    const auto found = grants_.find({from, note.sequence});
    if (found != grants_.end())
        stations_.at(found->second.upstream)
            .gate.record_slow_first_token(now, note.waited_ms);
}

void permit_owner::handle(time_point now, router_id /*from*/,
                          const load_digest& digest)
{
    const auto found = services_.find(digest.service_index);
    if (found == services_.end() || digest.generation != preset_->number)
        return;
    found->second.loads.merge(now, digest.entries);
}

void permit_owner::handle_load_report(time_point now, upstream_id upstream,
                                      const load_report& report)
{
    const auto found = stations_.find(upstream);
    if (found == stations_.end())
        return;
    found->second.gate.record_report(now, report);
    pump(now, upstream, found->second);
}

void permit_owner::handle_failed_load_report(time_point now,
                                             upstream_id upstream)
{
    if (const auto found = stations_.find(upstream); found != stations_.end())
        found->second.gate.record_failed_report(now);
}

void permit_owner::tick(time_point now)
{
    update_loads(now);
    send_digests(now);
    std::vector<permit_request_key> lapsed;
    for (const auto& [key, item] : grants_)
        if (item.expires <= now)
            lapsed.push_back(key);
    for (const auto& key : lapsed)
        end_grant(
            now, key,
            {.sequence = key.sequence, .request_outcome = outcome::cancelled});
    for (auto& [id, at] : stations_)
    {
        for (const auto& ask : at.queue.remove_expired(now))
            answer(ask.key, verdict::expired, &at);
        at.queue.promote_due(now, deferrable_margin);
        const bool useless =
            !at.admitted || !at.gate.is_available(now) || at.gate.is_leaving();
        if (useless)
            for (const auto& ask : at.queue.drain())
                answer(ask.key, verdict::unavailable, &at);
        else
            pump(now, id, at);
    }
}

std::vector<addressed_response> permit_owner::take_responses()
{
    return std::exchange(answers_, {});
}

std::vector<addressed_digest> permit_owner::take_digests()
{
    return std::exchange(digests_, {});
}

std::vector<upstream_status> permit_owner::status(time_point now) const
{
    std::vector<upstream_status> result;
    result.reserve(stations_.size());
    for (const auto& [id, at] : stations_)
        result.push_back({.upstream = id,
                          .load = at.gate.load(now),
                          .limit = at.gate.limit(now),
                          .waiting = at.queue.size(),
                          .mean_load = at.gate.mean_load(),
                          .first_token_ms = at.gate.first_token_ms(now),
                          .state = at.gate.state(now),
                          .available = at.gate.is_available(now),
                          .admitted = at.admitted,
                          .outages = at.gate.outages()});
    return result;
}

std::vector<upstream_id> permit_owner::owned_upstreams() const
{
    std::vector<upstream_id> result;
    result.reserve(stations_.size());
    for (const auto& [id, at] : stations_)
        result.push_back(id);
    return result;
}

const verdict_counts& permit_owner::counts() const
{
    return counts_;
}

verdict permit_owner::decide(time_point now, const permit_request_key& key,
                             const permit_request& ask, station& at)
{
    if (grants_.contains(key))
        return verdict::granted;
    if (at.queue.contains(key))
        return verdict::queued;
    if (!at.admitted || !at.gate.is_available(now) || at.gate.is_leaving())
    {
        at.displaced.insert(now, ask.chat);
        return verdict::unavailable;
    }
    if (at.outages != at.gate.outages())
    {
        // What restarted or went cold has lost its cache.
        at.outages = at.gate.outages();
        at.resident.clear();
    }
    if (ask.may_redirect && at.displaced.contains(now, ask.chat))
    {
        at.displaced.insert(now, ask.chat);
        return verdict::cached_elsewhere;
    }
    const auto waiting = to_waiting(now, key, ask);
    const bool suspect_blocked = ask.suspect && at.suspects > 0;
    const bool others_wait = at.queue.size_of(urgency::interactive) > 0;
    if (at.gate.load(now) < room_for(now, ask, at) && !others_wait &&
        !suspect_blocked)
    {
        grant_permit(now, key, at, ask.upstream, waiting);
        return verdict::granted;
    }
    if (ask.may_queue)
        return enqueue(waiting, at);
    at.resident.erase(ask.chat);
    at.displaced.insert(now, ask.chat);
    return verdict::at_limit;
}

double permit_owner::room_for(time_point now, const permit_request& ask,
                              const station& at) const
{
    const double limit = at.gate.limit(now);
    if (ask.priority == urgency::deferrable)
        return deferrable_share * limit;
    // The last round has nowhere else to go.
    const bool newcomer =
        !ask.may_queue && !at.resident.contains(now, ask.chat);
    return newcomer && at.gate.state(now) == warmup_state::warm
               ? newcomer_share * limit
               : limit;
}

std::uint32_t permit_owner::weight_of(customer_id customer) const
{
    return preset_ ? preset_->value.weight_of(customer) : 1;
}

queued_request permit_owner::to_waiting(time_point now,
                                        const permit_request_key& key,
                                        const permit_request& ask) const
{
    return {.key = key,
            .chat = ask.chat,
            .customer = ask.customer,
            .weight = weight_of(ask.customer),
            .priority = ask.priority,
            .suspect = ask.suspect,
            .start_deadline =
                now + std::chrono::milliseconds{ask.max_queue_wait_ms}};
}

verdict permit_owner::enqueue(const queued_request& waiting, station& at)
{
    const auto shed = at.queue.push(waiting, at.queue_limit);
    if (!shed)
        return verdict::queued;
    if (shed->key == waiting.key)
        return verdict::queue_full;
    answer(shed->key, verdict::queue_full, &at);
    return verdict::queued;
}

void permit_owner::grant_permit(time_point now, const permit_request_key& key,
                                station& at, upstream_id upstream,
                                const queued_request& ask)
{
    grants_[key] = {upstream, now, now + permit_lease, ask.suspect};
    at.gate.record_grant(now);
    at.displaced.erase(ask.chat);
    at.resident.insert(now, ask.chat);
    if (ask.suspect)
        ++at.suspects;
}

void permit_owner::end_grant(time_point now, const permit_request_key& key,
                             const released_permit& released)
{
    const auto found = grants_.find(key);
    if (found == grants_.end())
        return;
    const auto ended = found->second;
    grants_.erase(found);
    auto& at = stations_.at(ended.upstream);
    if (ended.suspect)
        --at.suspects;
    at.gate.record_release(now, released.request_outcome,
                           released.first_token_ms, ended.granted_at);
    pump(now, ended.upstream, at);
}

void permit_owner::pump(time_point now, upstream_id upstream, station& at)
{
    if (!at.admitted)
        return;
    const auto limit = at.gate.limit(now);
    while (at.gate.load(now) < limit && at.queue.size() > 0)
    {
        const pop_filter filter{.with_deferrable = at.gate.load(now) <
                                                   deferrable_share * limit,
                                .with_suspects = at.suspects == 0};
        const auto next = at.queue.pop(now, filter);
        if (!next)
            return;
        grant_permit(now, next->key, at, upstream, *next);
        answer(next->key, verdict::granted, &at);
    }
}

void permit_owner::update_loads(time_point now)
{
    for (const auto& [id, at] : stations_)
    {
        const auto found = services_.find(at.service_index);
        if (found == services_.end())
            continue;
        // The mean is one of upstreams that can carry their share: one that is
        // down or cold would lower it and with it what the others may take.
        const bool counts = at.admitted && at.gate.is_available(now) &&
                            at.gate.state(now) == warmup_state::warm;
        if (counts)
            found->second.loads.set_own_load(now, at.upstream_index,
                                             at.gate.confirmed_load(),
                                             at.gate.first_token_ms(now));
        else
            found->second.loads.remove(at.upstream_index);
    }
    std::map<std::uint16_t, service_load> summaries;
    for (const auto& [service, state] : services_)
        summaries[service] = state.loads.summary(now);
    for (auto& [id, at] : stations_)
    {
        at.gate.set_service_load(summaries[at.service_index]);
        at.gate.set_live_share(live_share_);
    }
}

void permit_owner::send_digests(time_point now)
{
    for (auto& [service, state] : services_)
    {
        const auto count = state.owners.size();
        if (now < state.next_digest || count < 2)
            continue;
        state.next_digest =
            now + (count <= few_owners ? small_digest_period : digest_period);
        // Doubling steps around the ring of owners carry each load to all of
        // them in as many rounds as their number has binary digits.
        const auto own =
            std::find(state.owners.begin(), state.owners.end(), self_);
        const auto place = static_cast<std::size_t>(own - state.owners.begin());
        const auto rounds = static_cast<unsigned>(std::bit_width(count - 1));
        const auto step = std::size_t{1} << (state.round++ % rounds);
        digests_.push_back(
            {state.owners[(place + step) % count],
             {.service_index = service,
              .generation = preset_->number,
              .entries = state.loads.freshest(now, entries_per_digest)}});
    }
}

void permit_owner::answer(const permit_request_key& key, verdict decision,
                          const station* at)
{
    ++counts_[static_cast<std::size_t>(decision)];
    permit_response answer{.sequence = key.sequence, .decision = decision};
    if (at != nullptr && decision == verdict::granted)
        answer.usual_first_token_ms = to_u16(at->gate.usual_first_token_ms());
    answers_.push_back({key.requester, answer});
}

} // namespace baobabloft::routing
