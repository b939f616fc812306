// Permit grants, request queues and load digests of the upstreams that a router
// owns.
#include "baobabloft/routing/permit_owner.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace baobabloft::routing
{

namespace
{

/// A permit that its holder neither releases nor renews ends after this time.
constexpr duration permit_lease_duration = 40s;
/// Chats without a cached prefix use an upstream only below this share of its
/// limit. They can run on any other upstream at no extra cost, and the rest of
/// the limit stays free for chats whose prefix is cached here.
constexpr double uncached_chat_share = 0.9;
/// Deferrable requests use an upstream only below this share of its limit.
constexpr double deferrable_share = 0.7;
/// Deferrable requests become interactive this long before their start
/// deadline.
constexpr duration deferrable_promotion_margin = 60s;
constexpr duration digest_period = 500ms;
/// Digest period if a service has few owners: they carry few requests, whose
/// mean changes faster.
constexpr duration few_owners_digest_period = 250ms;
constexpr std::size_t few_owners_limit = 16;
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
    const bool preset_changed =
        !preset_ || preset_->generation_number != preset->generation_number;
    preset_ = preset;
    const auto& services = preset->value.services;
    std::unordered_map<upstream_id, owned_upstream_state> new_upstreams;
    for (const auto& item : owned)
    {
        const auto& service = services.at(item.service_index);
        const auto id = service.upstreams.at(item.upstream_index).id;
        const auto options = make_admission_options(service);
        if (const auto known = upstreams_.find(id); known != upstreams_.end())
        {
            known->second.admission.set_options(options);
            new_upstreams.insert(upstreams_.extract(known));
        }
        else
            new_upstreams.emplace(
                id, owned_upstream_state{.admission =
                                             upstream_admission{options, now},
                                         .queue = {}});
        auto& state = new_upstreams.at(id);
        state.service_index = item.service_index;
        state.upstream_index = item.upstream_index;
        state.queue_limit = service.queue_limit;
        state.admitted = item.admitted;
        if (!item.admitted)
            for (const auto& queued : state.queue.drain())
                respond(queued.key, verdict::unavailable, &state);
    }
    for (auto& [id, removed] : upstreams_)
        for (const auto& queued : removed.queue.drain())
            respond(queued.key, verdict::unavailable, nullptr);
    upstreams_ = std::move(new_upstreams);
    std::erase_if(grants_, [this](const auto& entry)
                  { return !upstreams_.contains(entry.second.upstream); });
    std::map<std::uint16_t, service_state> new_services;
    for (const auto& item : owners)
    {
        const auto count = services.at(item.service_index).upstreams.size();
        service_state state{.loads = load_table{count}, .owners = item.owners};
        // Upstream indexes are valid only within one preset.
        const auto known = services_.find(item.service_index);
        if (known != services_.end() && !preset_changed)
            state.loads = known->second.loads;
        state.loads.set_admitted_count(count - item.not_admitted.size());
        for (const auto index : item.not_admitted)
            state.loads.remove(index);
        new_services.emplace(item.service_index, std::move(state));
    }
    services_ = std::move(new_services);
    update_loads(now);
}

void permit_owner::set_live_routers(time_point now,
                                    const std::vector<router_id>& live,
                                    double live_share)
{
    live_share_ = live_share;
    const auto is_lost = [&live](router_id router)
    {
        return !std::binary_search(live.begin(), live.end(), router);
    };
    for (const auto& [key, item] : grants_)
    {
        if (!is_lost(key.requester))
            continue;
        auto& state = upstreams_.at(item.upstream);
        if (item.suspect)
            --state.running_suspects;
        state.admission.record_lost_holder(now);
    }
    std::erase_if(grants_, [&is_lost](const auto& item)
                  { return is_lost(item.first.requester); });
    for (auto& [id, state] : upstreams_)
    {
        state.queue.remove_requests_from(is_lost);
        grant_queued(now, id, state);
    }
}

void permit_owner::handle(time_point now, router_id from,
                          const permit_request& request)
{
    const permit_request_key key{from, request.sequence};
    const auto found = upstreams_.find(request.upstream);
    if (found == upstreams_.end())
    {
        respond(key, verdict::unavailable, nullptr);
        return;
    }
    auto& state = found->second;
    const auto decision = decide(now, key, request, state);
    respond(key, decision, &state);
    if (decision == verdict::at_limit)
        responses_.back().response.queue_position =
            to_u16(state.queue.estimate_position(request.customer,
                                                 weight_of(request.customer)));
}

void permit_owner::handle(time_point now, router_id from,
                          const permit_release& release)
{
    for (const auto& item : release.permits)
        end_grant(now, {from, item.sequence}, item);
}

void permit_owner::handle(time_point now, router_id from,
                          const permit_renewal& renewal)
{
    for (const auto& item : renewal.permits)
    {
        const auto found = upstreams_.find(item.upstream);
        if (found == upstreams_.end())
            continue;
        const auto [entry, added] = grants_.try_emplace({from, item.sequence});
        entry->second.upstream = item.upstream;
        entry->second.expires = now + permit_lease_duration;
        if (added)
            found->second.admission.record_registered_permit(now);
    }
}

void permit_owner::handle(time_point now, router_id from,
                          const permit_cancel& cancel)
{
    const permit_request_key key{from, cancel.sequence};
    for (auto& [id, state] : upstreams_)
        if (state.queue.remove(key))
            return;
    end_grant(
        now, key,
        {.sequence = cancel.sequence, .request_outcome = outcome::cancelled});
}

void permit_owner::handle(time_point now, router_id from,
                          const suspect_cleared& notice)
{
    const auto found = grants_.find({from, notice.sequence});
    if (found == grants_.end() || !found->second.suspect)
        return;
    found->second.suspect = false;
    auto& state = upstreams_.at(found->second.upstream);
    --state.running_suspects;
    grant_queued(now, found->second.upstream, state);
}

void permit_owner::handle(time_point now, router_id from,
                          const slow_first_token& notice)
{
    const auto found = grants_.find({from, notice.sequence});
    if (found != grants_.end())
        upstreams_.at(found->second.upstream)
            .admission.record_slow_first_token(now, notice.waited_ms);
}

void permit_owner::handle(time_point now, router_id /*from*/,
                          const load_digest& digest)
{
    const auto found = services_.find(digest.service_index);
    if (found == services_.end() ||
        digest.generation != preset_->generation_number)
        return;
    found->second.loads.merge(now, digest.entries);
}

void permit_owner::handle_load_report(time_point now, upstream_id upstream,
                                      const load_report& report)
{
    const auto found = upstreams_.find(upstream);
    if (found == upstreams_.end())
        return;
    found->second.admission.record_report(now, report);
    grant_queued(now, upstream, found->second);
}

void permit_owner::handle_failed_load_report(time_point now,
                                             upstream_id upstream)
{
    if (const auto found = upstreams_.find(upstream); found != upstreams_.end())
        found->second.admission.record_failed_report(now);
}

void permit_owner::tick(time_point now)
{
    update_loads(now);
    send_digests(now);
    std::vector<permit_request_key> expired;
    for (const auto& [key, item] : grants_)
        if (item.expires <= now)
            expired.push_back(key);
    for (const auto& key : expired)
        end_grant(
            now, key,
            {.sequence = key.sequence, .request_outcome = outcome::cancelled});
    for (auto& [id, state] : upstreams_)
    {
        for (const auto& request : state.queue.remove_expired(now))
            respond(request.key, verdict::expired, &state);
        state.queue.promote_due(now, deferrable_promotion_margin);
        const bool cannot_serve = !state.admitted ||
                                  !state.admission.is_available(now) ||
                                  state.admission.is_leaving();
        if (cannot_serve)
            for (const auto& request : state.queue.drain())
                respond(request.key, verdict::unavailable, &state);
        else
            grant_queued(now, id, state);
    }
}

std::vector<addressed_response> permit_owner::take_responses()
{
    return std::exchange(responses_, {});
}

std::vector<addressed_digest> permit_owner::take_digests()
{
    return std::exchange(digests_, {});
}

std::vector<upstream_status> permit_owner::status(time_point now) const
{
    std::vector<upstream_status> result;
    result.reserve(upstreams_.size());
    for (const auto& [id, state] : upstreams_)
        result.push_back({.upstream = id,
                          .load = state.admission.load(now),
                          .limit = state.admission.limit(now),
                          .waiting = state.queue.size(),
                          .mean_load = state.admission.mean_load(),
                          .first_token_ms = state.admission.first_token_ms(now),
                          .state = state.admission.state(now),
                          .available = state.admission.is_available(now),
                          .admitted = state.admitted,
                          .outages = state.admission.outages()});
    return result;
}

std::vector<upstream_id> permit_owner::owned_upstreams() const
{
    std::vector<upstream_id> result;
    result.reserve(upstreams_.size());
    for (const auto& [id, state] : upstreams_)
        result.push_back(id);
    return result;
}

const verdict_counts& permit_owner::counts() const
{
    return counts_;
}

verdict permit_owner::decide(time_point now, const permit_request_key& key,
                             const permit_request& request,
                             owned_upstream_state& state)
{
    if (grants_.contains(key))
        return verdict::granted;
    if (state.queue.contains(key))
        return verdict::queued;
    if (!state.admitted || !state.admission.is_available(now) ||
        state.admission.is_leaving())
    {
        state.displaced_chats.insert(now, request.chat);
        return verdict::unavailable;
    }
    if (state.handled_outages != state.admission.outages())
    {
        // An upstream that restarted or became cold has lost its cache.
        state.handled_outages = state.admission.outages();
        state.cached_chats.clear();
    }
    if (request.may_redirect &&
        state.displaced_chats.contains(now, request.chat))
    {
        state.displaced_chats.insert(now, request.chat);
        return verdict::cached_elsewhere;
    }
    const auto queued = to_queued_request(now, key, request);
    const bool suspect_blocked = request.suspect && state.running_suspects > 0;
    const bool has_queued_interactive =
        state.queue.size_of(urgency::interactive) > 0;
    if (state.admission.load(now) < load_limit_for(now, request, state) &&
        !has_queued_interactive && !suspect_blocked)
    {
        grant_permit(now, key, state, request.upstream, queued);
        return verdict::granted;
    }
    if (request.may_queue)
        return enqueue(queued, state);
    state.cached_chats.erase(request.chat);
    state.displaced_chats.insert(now, request.chat);
    return verdict::at_limit;
}

double permit_owner::load_limit_for(time_point now,
                                    const permit_request& request,
                                    const owned_upstream_state& state) const
{
    const double limit = state.admission.limit(now);
    if (request.priority == urgency::deferrable)
        return deferrable_share * limit;
    // Only a request in its last round may be queued; it has no other upstream
    // left to try.
    const bool uncached =
        !request.may_queue && !state.cached_chats.contains(now, request.chat);
    return uncached && state.admission.state(now) == warmup_state::warm
               ? uncached_chat_share * limit
               : limit;
}

std::uint32_t permit_owner::weight_of(customer_id customer) const
{
    return preset_ ? preset_->value.weight_of(customer) : 1;
}

queued_request
permit_owner::to_queued_request(time_point now, const permit_request_key& key,
                                const permit_request& request) const
{
    return {.key = key,
            .chat = request.chat,
            .customer = request.customer,
            .weight = weight_of(request.customer),
            .priority = request.priority,
            .suspect = request.suspect,
            .start_deadline =
                now + std::chrono::milliseconds{request.max_queue_wait_ms}};
}

verdict permit_owner::enqueue(const queued_request& queued,
                              owned_upstream_state& state)
{
    const auto shed = state.queue.push(queued, state.queue_limit);
    if (!shed)
        return verdict::queued;
    if (shed->key == queued.key)
        return verdict::queue_full;
    respond(shed->key, verdict::queue_full, &state);
    return verdict::queued;
}

void permit_owner::grant_permit(time_point now, const permit_request_key& key,
                                owned_upstream_state& state,
                                upstream_id upstream,
                                const queued_request& request)
{
    grants_[key] = {upstream, now, now + permit_lease_duration,
                    request.suspect};
    state.admission.record_grant(now);
    state.displaced_chats.erase(request.chat);
    state.cached_chats.insert(now, request.chat);
    if (request.suspect)
        ++state.running_suspects;
}

void permit_owner::end_grant(time_point now, const permit_request_key& key,
                             const released_permit& released)
{
    const auto found = grants_.find(key);
    if (found == grants_.end())
        return;
    const auto ended = found->second;
    grants_.erase(found);
    auto& state = upstreams_.at(ended.upstream);
    if (ended.suspect)
        --state.running_suspects;
    state.admission.record_release(now, released.request_outcome,
                                   released.first_token_ms, ended.granted_at);
    grant_queued(now, ended.upstream, state);
}

void permit_owner::grant_queued(time_point now, upstream_id upstream,
                                owned_upstream_state& state)
{
    if (!state.admitted)
        return;
    const auto limit = state.admission.limit(now);
    while (state.admission.load(now) < limit && state.queue.size() > 0)
    {
        const pop_filter filter{.with_deferrable = state.admission.load(now) <
                                                   deferrable_share * limit,
                                .with_suspects = state.running_suspects == 0};
        const auto next = state.queue.pop(now, filter);
        if (!next)
            return;
        grant_permit(now, next->key, state, upstream, *next);
        respond(next->key, verdict::granted, &state);
    }
}

void permit_owner::update_loads(time_point now)
{
    for (const auto& [id, state] : upstreams_)
    {
        const auto found = services_.find(state.service_index);
        if (found == services_.end())
            continue;
        // The mean covers only upstreams that can carry their share: one that
        // is down or cold would lower the mean and, with it, the limits of the
        // others.
        const bool counts_in_mean =
            state.admitted && state.admission.is_available(now) &&
            state.admission.state(now) == warmup_state::warm;
        if (counts_in_mean)
            found->second.loads.set_own_load(
                now, state.upstream_index, state.admission.confirmed_load(),
                state.admission.first_token_ms(now));
        else
            found->second.loads.remove(state.upstream_index);
    }
    std::map<std::uint16_t, service_load> summaries;
    for (const auto& [service_index, state] : services_)
        summaries[service_index] = state.loads.summary(now);
    for (auto& [id, state] : upstreams_)
    {
        state.admission.set_service_load(summaries[state.service_index]);
        state.admission.set_live_share(live_share_);
    }
}

void permit_owner::send_digests(time_point now)
{
    for (auto& [service_index, state] : services_)
    {
        const auto count = state.owners.size();
        if (now < state.next_digest || count < 2)
            continue;
        state.next_digest =
            now + (count <= few_owners_limit ? few_owners_digest_period
                                             : digest_period);
        // The distance to the receiver in the ring of owners doubles with each
        // round, so that each load reaches all owners in as many rounds as
        // their number has binary digits.
        const auto own_position =
            std::find(state.owners.begin(), state.owners.end(), self_);
        const auto own_index =
            static_cast<std::size_t>(own_position - state.owners.begin());
        const auto rounds = static_cast<unsigned>(std::bit_width(count - 1));
        const auto step = std::size_t{1} << (state.digest_round++ % rounds);
        digests_.push_back(
            {state.owners[(own_index + step) % count],
             {.service_index = service_index,
              .generation = preset_->generation_number,
              .entries = state.loads.freshest(now, entries_per_digest)}});
    }
}

void permit_owner::respond(const permit_request_key& key, verdict decision,
                           const owned_upstream_state* state)
{
    ++counts_[static_cast<std::size_t>(decision)];
    permit_response response{.sequence = key.sequence, .decision = decision};
    if (state != nullptr && decision == verdict::granted)
        response.usual_first_token_ms =
            to_u16(state->admission.usual_first_token_ms());
    responses_.push_back({key.requester, response});
}

} // namespace baobabloft::routing
