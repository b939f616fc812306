#include "baobabloft/membership/swim.hpp"

#include <algorithm>
#include <bit>
#include <cassert>
#include <utility>

namespace baobabloft::membership
{

namespace
{

constexpr std::size_t list_part = 32;
constexpr std::size_t max_recent_crashes = 256;
constexpr std::size_t leave_fanout = 4;
constexpr duration join_retry_period = 500ms;
/// A settled router still asks one member for its list now and then, which
/// heals views that lost a record.
constexpr duration resync_period = 300s;
constexpr duration relayed_lifetime = 5s;
constexpr duration meeting_period = 500ms;
/// Seeds outside the view and dead members are probed at this share of the
/// probe rate, so that two halves of a fleet find each other after a partition.
constexpr std::uint32_t probes_per_lost_probe = 4;

bool is_live(member_state state)
{
    return state == member_state::alive || state == member_state::suspect;
}

/// Returns true if `next` overrides `known`.
bool overrides(const member_record& next, const member_record& known)
{
    if (next.incarnation != known.incarnation)
        return next.incarnation > known.incarnation;
    return next.state > known.state;
}

} // namespace

swim::swim(swim_options options)
    : options_(options), random_(options.seed ^ raw(options.self.id))
{
    assert(raw(options_.self.id) != 0 && "a router needs an address");
}

void swim::add_seed_routers(const std::vector<router_id>& routers)
{
    for (const auto router : routers)
    {
        if (router == options_.self.id)
            continue;
        if (std::find(seed_routers_.begin(), seed_routers_.end(), router) ==
            seed_routers_.end())
            seed_routers_.push_back(router);
    }
}

void swim::tick(time_point now)
{
    if (left_)
        return;
    expire_members(now);
    check_probe(now);
    if (now >= next_join_)
        request_members(now);
    if (now >= next_probe_)
        start_probe(now);
}

void swim::handle(time_point now, router_id from, const message& content)
{
    if (left_ || from == options_.self.id)
        return;
    last_received_at_ = now;
    std::visit([&](const auto& part) { handle_message(now, from, part); },
               content);
}

void swim::leave(time_point now)
{
    auto record = options_.self;
    record.state = member_state::left;
    for (const auto to : random_members(leave_fanout))
    {
        gossip_payload gossip{.generation = generation_,
                              .members = {record},
                              .upstreams = {},
                              .crashes = {}};
        send(to, ping{++sequence_, std::move(gossip)});
    }
    last_received_at_ = now;
    left_ = true;
}

void swim::publish(const upstream_record& record)
{
    merge(record);
}

void swim::publish(const crash_record& record)
{
    merge(record);
}

void swim::set_generation(std::uint64_t generation)
{
    generation_ = generation;
}

std::vector<outgoing_message> swim::take_messages()
{
    return std::exchange(messages_, {});
}

std::vector<crash_record> swim::take_crashes()
{
    return std::exchange(new_crashes_, {});
}

std::vector<member_record> swim::live_members() const
{
    std::vector<member_record> result;
    if (!left_)
        result.push_back(options_.self);
    for (const auto& [id, item] : members_)
        if (is_live(item.record.state))
            result.push_back(item.record);
    return result;
}

std::vector<member_record> swim::all_members() const
{
    std::vector<member_record> result{options_.self};
    for (const auto& [id, item] : members_)
        result.push_back(item.record);
    return result;
}

bool swim::is_leaving(upstream_id upstream) const
{
    const auto found = upstreams_.find(upstream);
    return found != upstreams_.end() && found->second.leaving;
}

double swim::live_share() const
{
    std::size_t live = 1;
    std::size_t lost = 0;
    for (const auto& [id, item] : members_)
    {
        live += is_live(item.record.state) ? 1 : 0;
        lost += item.record.state == member_state::dead ? 1 : 0;
    }
    return static_cast<double>(live) / static_cast<double>(live + lost);
}

std::uint64_t swim::view_version() const
{
    return view_version_;
}

std::optional<std::pair<router_id, std::uint64_t>>
swim::highest_generation() const
{
    return highest_generation_;
}

time_point swim::last_received_at() const
{
    return last_received_at_;
}

const member_record& swim::self() const
{
    return options_.self;
}

std::vector<router_id> swim::random_members(std::size_t count)
{
    std::vector<router_id> live;
    for (const auto& [id, item] : members_)
        if (is_live(item.record.state))
            live.push_back(id);
    std::shuffle(live.begin(), live.end(), random_);
    if (live.size() > count)
        live.resize(count);
    return live;
}

void swim::handle_message(time_point now, router_id from, const ping& content)
{
    merge_gossip(now, from, content.gossip);
    auto gossip = make_gossip();
    // A member wrongly declared dead learns of it here, and refutes it.
    if (const auto known = members_.find(from);
        known != members_.end() && !is_live(known->second.record.state))
        gossip.members.push_back(known->second.record);
    send(from, ping_ack{content.sequence, std::move(gossip)});
    meet(now, from);
}

void swim::handle_message(time_point now, router_id from,
                          const ping_ack& content)
{
    merge_gossip(now, from, content.gossip);
    meet(now, from);
    if (probe_ && content.sequence == probe_->sequence)
        probe_.reset();
    const auto relayed = relayed_.find(content.sequence);
    if (relayed == relayed_.end())
        return;
    send(relayed->second.origin,
         ping_ack{relayed->second.origin_sequence, make_gossip()});
    relayed_.erase(relayed);
}

void swim::handle_message(time_point now, router_id from,
                          const indirect_ping& content)
{
    relayed_[++sequence_] = {from, content.sequence, now};
    send(content.target, ping{sequence_, make_gossip()});
}

void swim::handle_message(time_point now, router_id from,
                          const join_request& content)
{
    merge(now, content.self);
    member_list part{generation_, {}, {}};
    for (const auto& [id, record] : upstreams_)
        if (part.upstreams.size() < list_part)
            part.upstreams.push_back(record);
    for (const auto& record : all_members())
    {
        part.members.push_back(record);
        if (part.members.size() < list_part)
            continue;
        send(from, part);
        part = {generation_, {}, {}};
    }
    if (!part.members.empty())
        send(from, part);
}

void swim::handle_message(time_point now, router_id from,
                          const member_list& content)
{
    hear_generation(from, content.generation);
    for (const auto& record : content.members)
        merge(now, record);
    for (const auto& record : content.upstreams)
        merge(record);
    next_join_ = now + resync_period;
}

void swim::merge(time_point now, const member_record& record)
{
    if (record.id == options_.self.id)
    {
        if (record.state != member_state::alive ||
            record.incarnation > options_.self.incarnation)
            refute(record.incarnation);
        return;
    }
    const auto known = members_.find(record.id);
    if (known == members_.end())
    {
        members_[record.id] = {record, now};
        member_gossip_.push(record);
        if (is_live(record.state))
            ++view_version_;
        return;
    }
    auto& item = known->second;
    if (!overrides(record, item.record))
        return;
    if (is_live(item.record.state) != is_live(record.state) ||
        item.record.incarnation != record.incarnation)
        ++view_version_;
    item = {record, now};
    member_gossip_.push(record);
}

void swim::merge(const upstream_record& record)
{
    auto& known = upstreams_[record.upstream];
    if (record.version <= known.version)
        return;
    known = record;
    upstream_gossip_.push(record);
    ++view_version_;
}

void swim::merge(const crash_record& record)
{
    if (std::find(recent_crashes_.begin(), recent_crashes_.end(), record) !=
        recent_crashes_.end())
        return;
    recent_crashes_.push_back(record);
    if (recent_crashes_.size() > max_recent_crashes)
        recent_crashes_.pop_front();
    new_crashes_.push_back(record);
    crash_gossip_.push(record);
}

void swim::merge_gossip(time_point now, router_id from,
                        const gossip_payload& gossip)
{
    hear_generation(from, gossip.generation);
    for (const auto& record : gossip.members)
        merge(now, record);
    for (const auto& record : gossip.upstreams)
        merge(record);
    for (const auto& record : gossip.crashes)
        merge(record);
}

void swim::meet(time_point now, router_id from)
{
    const auto known = members_.find(from);
    const bool live =
        known != members_.end() && is_live(known->second.record.state);
    if (live || now < next_meeting_)
        return;
    next_meeting_ = now + meeting_period;
    send(from, join_request{options_.self});
}

void swim::probe_lost()
{
    std::vector<router_id> lost;
    for (const auto seed : seed_routers_)
    {
        const auto known = members_.find(seed);
        if (known == members_.end() || !is_live(known->second.record.state))
            lost.push_back(seed);
    }
    // Two members that each believe the other dead would never meet again.
    for (const auto& [id, item] : members_)
        if (item.record.state == member_state::dead)
            lost.push_back(id);
    if (lost.empty())
        return;
    std::uniform_int_distribution<std::size_t> pick(0, lost.size() - 1);
    send(lost[pick(random_)], ping{++sequence_, make_gossip()});
}

void swim::refute(std::uint64_t incarnation)
{
    if (incarnation < options_.self.incarnation)
        return;
    options_.self.incarnation = incarnation + 1;
    member_gossip_.push(options_.self);
}

void swim::hear_generation(router_id from, std::uint64_t generation)
{
    if (!highest_generation_ || generation > highest_generation_->second)
        highest_generation_ = {from, generation};
}

void swim::expire_members(time_point now)
{
    for (auto& [id, item] : members_)
    {
        if (item.record.state != member_state::suspect ||
            now - item.changed < options_.suspicion_timeout)
            continue;
        auto record = item.record;
        record.state = member_state::dead;
        merge(now, record);
    }
    const auto forgotten = std::erase_if(
        members_,
        [&](const auto& entry)
        {
            return !is_live(entry.second.record.state) &&
                   now - entry.second.changed > options_.dead_member_retention;
        });
    if (forgotten > 0)
        ++view_version_;
    std::erase_if(relayed_, [now](const auto& entry)
                  { return now - entry.second.started > relayed_lifetime; });
}

void swim::check_probe(time_point now)
{
    if (!probe_)
        return;
    const auto waited = now - probe_->started;
    if (!probe_->indirect_sent && waited >= options_.probe_timeout)
    {
        probe_->indirect_sent = true;
        for (const auto helper : random_members(options_.indirect_probes + 1))
            if (helper != probe_->target)
                send(helper, indirect_ping{probe_->sequence, probe_->target});
    }
    if (waited < options_.probe_period - options_.probe_timeout / 2)
        return;
    const auto known = members_.find(probe_->target);
    probe_.reset();
    if (known == members_.end() ||
        known->second.record.state != member_state::alive)
        return;
    auto record = known->second.record;
    record.state = member_state::suspect;
    merge(now, record);
}

void swim::start_probe(time_point now)
{
    // A random phase keeps routers that start together from probing together.
    std::uniform_int_distribution<duration::rep> jitter(
        0, options_.probe_period.count() / 8);
    next_probe_ = now + options_.probe_period + duration{jitter(random_)};
    if (++probes_ % probes_per_lost_probe == 0)
        probe_lost();
    const auto target = next_target();
    if (!target)
        return;
    probe_ = probe{*target, ++sequence_, now, false};
    auto gossip = make_gossip();
    // A suspect learns of the suspicion from the probe, and can refute it.
    const auto& record = members_.at(*target).record;
    if (record.state == member_state::suspect)
        gossip.members.push_back(record);
    send(*target, ping{probe_->sequence, std::move(gossip)});
}

void swim::request_members(time_point now)
{
    next_join_ = now + join_retry_period;
    const bool alone = members_.empty();
    const auto candidates = alone ? seed_routers_ : random_members(1);
    if (candidates.empty())
        return;
    std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
    send(candidates[pick(random_)], join_request{options_.self});
    if (!alone)
        next_join_ = now + resync_period;
}

std::optional<router_id> swim::next_target()
{
    if (probe_order_.empty())
    {
        for (const auto& [id, item] : members_)
            if (is_live(item.record.state))
                probe_order_.push_back(id);
        std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
    }
    while (!probe_order_.empty())
    {
        const auto target = probe_order_.back();
        probe_order_.pop_back();
        const auto known = members_.find(target);
        if (known != members_.end() && is_live(known->second.record.state))
            return target;
    }
    return std::nullopt;
}

gossip_payload swim::make_gossip()
{
    const auto limit = options_.records_per_message;
    const auto sends = max_sends();
    return {generation_, member_gossip_.take(limit, sends),
            upstream_gossip_.take(limit, sends),
            crash_gossip_.take(limit, sends)};
}

unsigned swim::max_sends() const
{
    constexpr unsigned sends_per_doubling = 1;
    return sends_per_doubling *
           static_cast<unsigned>(std::bit_width(members_.size() + 1));
}

void swim::send(router_id to, message content)
{
    messages_.push_back({to, std::move(content)});
}

} // namespace baobabloft::membership
