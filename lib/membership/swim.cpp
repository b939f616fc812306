#include "baobabloft/membership/swim.hpp"

#include <algorithm>
#include <bit>
#include <cassert>
#include <utility>

namespace baobabloft::membership
{

namespace
{

constexpr std::size_t max_records_per_list = 32;
constexpr std::size_t max_recent_crashes = 256;
constexpr std::size_t leave_fanout = 4;
constexpr duration join_retry_period = 500ms;
/// A router that has joined requests the list of a random member at this
/// period, which repairs a view that has lost a record.
constexpr duration resync_period = 300s;
constexpr duration relayed_probe_lifetime = 5s;
constexpr duration unknown_sender_join_period = 500ms;
/// Number of probes per ping of a lost member. Lost members are dead members
/// and seed routers that are not live members; pinging them lets the two halves
/// of a fleet find each other after a partition.
constexpr std::uint32_t probes_per_lost_member_ping = 4;

bool is_live(member_state state)
{
    return state == member_state::alive || state == member_state::suspect;
}

/// Returns true if `update` overrides `known`.
bool overrides(const member_record& update, const member_record& known)
{
    if (update.incarnation != known.incarnation)
        return update.incarnation > known.incarnation;
    return update.state > known.state;
}

} // namespace

swim::swim(swim_options options)
    : options_(options), random_(options.seed ^ raw(options.self.id))
{
    assert(raw(options_.self.id) != 0 && "router id must not be 0");
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
    if (has_left_)
        return;
    expire_members(now);
    check_probe(now);
    if (now >= next_join_request_)
        request_members(now);
    if (now >= next_probe_)
        start_probe(now);
}

void swim::handle(time_point now, router_id from, const message& content)
{
    if (has_left_ || from == options_.self.id)
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
    has_left_ = true;
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
    if (!has_left_)
        result.push_back(options_.self);
    for (const auto& [id, item] : members_)
        if (is_live(item.record.state))
            result.push_back(item.record);
    return result;
}

std::optional<time_point> swim::last_departure() const
{
    std::optional<time_point> last;
    for (const auto& [id, item] : members_)
        if (!is_live(item.record.state))
            last = std::max(last.value_or(item.changed_at), item.changed_at);
    return last;
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
    // If the sender was wrongly declared dead, its own record in the ping_ack
    // lets it refute this.
    if (const auto known = members_.find(from);
        known != members_.end() && !is_live(known->second.record.state))
        gossip.members.push_back(known->second.record);
    send(from, ping_ack{content.sequence, std::move(gossip)});
    join_unknown_sender(now, from);
}

void swim::handle_message(time_point now, router_id from,
                          const ping_ack& content)
{
    merge_gossip(now, from, content.gossip);
    join_unknown_sender(now, from);
    if (probe_ && content.sequence == probe_->sequence)
        probe_.reset();
    const auto relayed = relayed_probes_.find(content.sequence);
    if (relayed == relayed_probes_.end())
        return;
    send(relayed->second.origin,
         ping_ack{relayed->second.origin_sequence, make_gossip()});
    relayed_probes_.erase(relayed);
}

void swim::handle_message(time_point now, router_id from,
                          const indirect_ping& content)
{
    relayed_probes_[++sequence_] = {from, content.sequence, now};
    send(content.target, ping{sequence_, make_gossip()});
}

void swim::handle_message(time_point now, router_id from,
                          const join_request& content)
{
    merge(now, content.self);
    member_list part{generation_, {}, {}};
    for (const auto& [id, record] : upstreams_)
        if (part.upstreams.size() < max_records_per_list)
            part.upstreams.push_back(record);
    for (const auto& record : all_members())
    {
        part.members.push_back(record);
        if (part.members.size() < max_records_per_list)
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
    record_generation(from, content.generation);
    for (const auto& record : content.members)
        merge(now, record);
    for (const auto& record : content.upstreams)
        merge(record);
    next_join_request_ = now + resync_period;
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
    record_generation(from, gossip.generation);
    for (const auto& record : gossip.members)
        merge(now, record);
    for (const auto& record : gossip.upstreams)
        merge(record);
    for (const auto& record : gossip.crashes)
        merge(record);
}

void swim::join_unknown_sender(time_point now, router_id from)
{
    const auto known = members_.find(from);
    const bool live =
        known != members_.end() && is_live(known->second.record.state);
    if (live || now < next_unknown_sender_join_)
        return;
    next_unknown_sender_join_ = now + unknown_sender_join_period;
    send(from, join_request{options_.self});
}

void swim::ping_lost_member()
{
    std::vector<router_id> lost;
    for (const auto seed : seed_routers_)
    {
        const auto known = members_.find(seed);
        if (known == members_.end() || !is_live(known->second.record.state))
            lost.push_back(seed);
    }
    // Two members that each see the other as dead would otherwise never
    // reconnect.
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

void swim::record_generation(router_id from, std::uint64_t generation)
{
    if (!highest_generation_ || generation > highest_generation_->second)
        highest_generation_ = {from, generation};
}

void swim::expire_members(time_point now)
{
    for (auto& [id, item] : members_)
    {
        if (item.record.state != member_state::suspect ||
            now - item.changed_at < options_.suspicion_timeout)
            continue;
        auto record = item.record;
        record.state = member_state::dead;
        merge(now, record);
    }
    const auto removed_members =
        std::erase_if(members_,
                      [&](const auto& entry)
                      {
                          return !is_live(entry.second.record.state) &&
                                 now - entry.second.changed_at >
                                     options_.dead_member_retention;
                      });
    if (removed_members > 0)
        ++view_version_;
    std::erase_if(
        relayed_probes_, [now](const auto& entry)
        { return now - entry.second.started_at > relayed_probe_lifetime; });
}

void swim::check_probe(time_point now)
{
    if (!probe_)
        return;
    const auto waited = now - probe_->started_at;
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
    // Jitter keeps routers that start together from probing at the same time.
    std::uniform_int_distribution<duration::rep> jitter(
        0, options_.probe_period.count() / 8);
    next_probe_ = now + options_.probe_period + duration{jitter(random_)};
    if (++probe_count_ % probes_per_lost_member_ping == 0)
        ping_lost_member();
    const auto target = next_probe_target();
    if (!target)
        return;
    probe_ = probe{*target, ++sequence_, now, false};
    auto gossip = make_gossip();
    // A suspect that receives its own record can refute the suspicion.
    const auto& record = members_.at(*target).record;
    if (record.state == member_state::suspect)
        gossip.members.push_back(record);
    send(*target, ping{probe_->sequence, std::move(gossip)});
}

void swim::request_members(time_point now)
{
    next_join_request_ = now + join_retry_period;
    const bool has_no_members = members_.empty();
    const auto candidates = has_no_members ? seed_routers_ : random_members(1);
    if (candidates.empty())
        return;
    std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
    send(candidates[pick(random_)], join_request{options_.self});
    if (!has_no_members)
        next_join_request_ = now + resync_period;
}

std::optional<router_id> swim::next_probe_target()
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
