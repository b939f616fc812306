#include "baobabloft/fleet/node.hpp"

#include "baobabloft/support/hash.hpp"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace baobabloft::fleet
{

namespace
{

constexpr std::size_t candidates_per_request = 4;
/// Routers of each data centre that watch the KV service and the host list.
constexpr std::size_t watchers_per_data_centre = 2;
constexpr std::size_t notice_fanout = 3;
constexpr std::size_t appenders_per_shard = 3;
constexpr duration steady_load_period = 2s;
constexpr duration unsettled_load_period = 500ms;
constexpr duration host_list_period = 1s;
constexpr duration watch_retry_period = 1s;
/// Silence of all peers after which the KV service is asked often.
constexpr duration quiet_peers = 2500ms;
/// Silence of peers and KV service after which the preset may be old.
constexpr duration isolation = 5s;
constexpr duration appender_idle_lifetime = 300s;
/// Share of the ledger's writes for entries; the rest is for compaction and for
/// routers that append at the same time.
constexpr double entry_share_of_writes = 0.9;

std::uint32_t data_centre_hash(std::string_view name)
{
    return static_cast<std::uint32_t>(hash_bytes(name));
}

membership::swim_options make_swim_options(const node_options& options)
{
    membership::swim_options result;
    result.self = options.self;
    result.self.data_centre = data_centre_hash(options.data_centre);
    result.seed = options.seed;
    return result;
}

template <typename Part, typename... Parts>
constexpr bool is_one_of = (std::is_same_v<Part, Parts> || ...);

} // namespace

node::node(const node_options& options)
    : options_(options), swim_(make_swim_options(options)),
      follower_(options.seed), owner_(options.self.id),
      client_([this](upstream_id upstream) { return owner_of(upstream); },
              static_cast<std::uint32_t>(hash_combine(options.seed, 1))),
      retries_(config::retry_limits{}.budget_share),
      claims_(
          options.ledger_shards,
          [this](std::uint32_t shard) { return appenders_of(shard); },
          hash_combine(options.seed, 2))
{
    swim_.add_seeds(options.seeds);
}

void node::tick(time_point now, std::uint64_t wall_ms)
{
    wall_ms_ = wall_ms;
    swim_.tick(now);
    take_crashes(now);
    refresh_view(now);
    follow_preset(now);
    follow_host_list(now);
    poll_loads(now);
    owner_.tick(now);
    client_.tick(now);
    claims_.tick(now);
    for (auto& [shard, item] : appenders_)
        item.log.tick(now, wall_ms);
    std::erase_if(appenders_,
                  [now](const auto& entry)
                  {
                      const auto& item = entry.second;
                      return item.log.waiting() == 0 &&
                             now - item.last_used > appender_idle_lifetime;
                  });
    collect(now);
}

template <typename Part>
void node::handle_message(time_point now, router_id from, const Part& part)
{
    using namespace membership;
    using namespace routing;
    if constexpr (is_one_of<Part, ping, ping_ack, indirect_ping, join_request,
                            member_list>)
    {
        swim_.handle(now, from, membership::message{part});
        take_crashes(now);
        refresh_view(now);
        if (const auto best = swim_.best_generation())
            follower_.peer_has(best->first, best->second);
    }
    else if constexpr (is_one_of<Part, permit_answer>)
        client_.handle(now, from, part);
    else if constexpr (is_one_of<Part, ledger::append_request>)
    {
        auto& item = appender_for(
            now, ledger::shard_of(part.content.key, options_.ledger_shards));
        item.log.submit(now, wall_ms_, {raw(from), part.sequence},
                        part.content);
    }
    else if constexpr (is_one_of<Part, ledger::append_reply>)
        claims_.handle(now, part);
    else if constexpr (is_one_of<Part, preset_notice>)
    {
        follower_.peer_has(from, part.generation);
        follow_preset(now);
    }
    else if constexpr (is_one_of<Part, directory::change_query,
                                 directory::change_response,
                                 directory::change_notice, crash_notice,
                                 directory::entry_query, directory::entry_part>)
    {
        // Only routers that follow a directory exchange these.
    }
    else
        owner_.handle(now, from, part);
}

void node::receive(time_point now, router_id from, const message& content)
{
    std::visit([&](const auto& part) { handle_message(now, from, part); },
               content);
    collect(now);
}

void node::preset_read(time_point now, const preset_answer& answer)
{
    if (!answer.answered)
        follower_.kv_failed(now);
    else if (follower_.kv_answered(now, answer.envelope))
        adopted(now);
    collect(now);
}

void node::watch_ended(time_point now, const preset_answer& answer)
{
    watching_ = false;
    if (answer.answered && answer.envelope)
    {
        preset_read(now, answer);
        return;
    }
    next_watch_ = now + watch_retry_period;
}

void node::preset_pulled(time_point now,
                         const std::optional<std::string>& envelope)
{
    if (follower_.peer_answered(envelope))
        adopted(now);
    collect(now);
}

void node::load_read(time_point now, upstream_id upstream,
                     const std::optional<routing::load_report>& report)
{
    if (const auto poll = polls_.find(upstream); poll != polls_.end())
        poll->second.reading = false;
    if (report)
        owner_.report(now, upstream, *report);
    else
        owner_.report_failed(now, upstream);
    collect(now);
}

void node::host_list_read(const std::vector<membership::upstream_record>& hosts,
                          const std::vector<router_id>& routers)
{
    for (const auto& record : hosts)
        swim_.publish(record);
    swim_.add_seeds(routers);
}

void node::entries_read(
    time_point now, std::uint32_t shard,
    const std::optional<std::vector<ledger::log_entry>>& entries)
{
    const auto found = appenders_.find(shard);
    if (found == appenders_.end())
        return;
    if (entries)
        found->second.log.entries_read(now, *entries);
    else
        found->second.log.read_failed(now);
    collect(now);
}

void node::entry_created(time_point now, std::uint32_t shard,
                         std::optional<bool> created)
{
    const auto found = appenders_.find(shard);
    if (found == appenders_.end())
        return;
    if (created)
        found->second.log.entry_created(now, *created);
    else
        found->second.log.create_unknown(now);
    collect(now);
}

void node::entries_deleted(std::uint32_t shard, ledger::entry_number end)
{
    if (const auto found = appenders_.find(shard); found != appenders_.end())
        found->second.log.entries_deleted(end);
}

routing::permit_ticket node::begin_route(time_point now, const route_want& want)
{
    routing::permit_want permit{.candidates = {},
                                .chat = want.chat,
                                .customer = want.customer,
                                .priority = want.priority,
                                .suspect = want.suspect,
                                .latest = want.latest};
    if (const auto& snapshot = preset())
    {
        const auto& value = snapshot->value;
        const auto* service = value.find_service(want.service);
        const auto* home = value.find_data_centre(options_.data_centre);
        const auto eligible = [&](const config::upstream& item)
        {
            return config::may_receive_work(value, item) &&
                   !swim_.is_leaving(item.id) &&
                   std::find(want.avoid.begin(), want.avoid.end(), item.id) ==
                       want.avoid.end();
        };
        if (service != nullptr)
            for (const auto* item : routing::rank_upstreams(
                     value, *service, raw(want.chat),
                     home != nullptr ? home->region : std::string{},
                     candidates_per_request, eligible))
                permit.candidates.push_back(item->id);
    }
    const auto ticket = client_.acquire(now, std::move(permit));
    collect(now);
    return ticket;
}

void node::end_route(time_point now, routing::permit_ticket ticket,
                     routing::outcome how, std::uint16_t first_token_ms)
{
    client_.release(ticket, how, first_token_ms);
    collect(now);
}

void node::first_token(routing::permit_ticket ticket, fingerprint request)
{
    client_.first_token(ticket);
    crashes_.clear(request);
}

ledger::claim_ticket node::begin_claim(time_point now,
                                       const ledger::booking_key& key,
                                       time_point latest)
{
    const auto ticket = claims_.claim(now, key, latest);
    collect(now);
    return ticket;
}

void node::release_claim(time_point now, ledger::claim_ticket ticket)
{
    claims_.release(now, ticket);
    collect(now);
}

void node::finish_claim(time_point now, ledger::claim_ticket ticket,
                        ledger::stored_answer answer)
{
    claims_.finish(now, ticket, std::move(answer));
    collect(now);
}

void node::abandon_claim(ledger::claim_ticket ticket)
{
    claims_.abandon(ticket);
}

void node::report_crash(time_point now, fingerprint request,
                        upstream_id upstream)
{
    const auto event = hash_combine(
        raw(request) ^ raw(upstream),
        static_cast<std::uint64_t>(now.time_since_epoch().count()));
    swim_.publish(membership::crash_record{request, upstream,
                                           static_cast<std::uint32_t>(event)});
    take_crashes(now);
}

routing::crash_standing node::crash_standing(time_point now,
                                             fingerprint request) const
{
    return crashes_.standing(now, request);
}

void node::earn_retry(time_point now, customer_id customer)
{
    retries_.earn(now, customer);
}

bool node::spend_retry(time_point now, customer_id customer)
{
    return retries_.spend(now, customer);
}

void node::leave(time_point now)
{
    leaving_ = true;
    swim_.leave(now);
    seen_view_ = 0;
    refresh_view(now);
    collect(now);
}

std::vector<effect> node::take_effects()
{
    return std::exchange(effects_, {});
}

readiness node::state(time_point now) const
{
    if (leaving_)
        return readiness::leaving;
    if (!preset())
        return readiness::joining;
    const auto kv = follower_.last_kv_answer();
    const bool hears_kv = kv && now - *kv < isolation;
    const bool hears_peers = now - swim_.last_heard() < isolation;
    // A router that never had a peer has nobody to learn of a change from but
    // the KV service, whose outages must not stop it.
    if (had_peers_ && !hears_kv && !hears_peers)
        return readiness::isolated;
    return readiness::ready;
}

const config::preset_snapshot& node::preset() const
{
    return follower_.current();
}

const membership::swim& node::members() const
{
    return swim_;
}

const routing::permit_owner& node::owner() const
{
    return owner_;
}

const routing::permit_client& node::client() const
{
    return client_;
}

const routing::crash_tracker& node::crashes() const
{
    return crashes_;
}

ledger_counts node::ledger_totals() const
{
    ledger_counts result;
    for (const auto& [shard, item] : appenders_)
    {
        const auto& counts = item.log.counts();
        result.total.writes += counts.writes;
        result.total.lost_races += counts.lost_races;
        result.total.unknown_writes += counts.unknown_writes;
        result.total.records += counts.records;
        result.total.reads += counts.reads;
        result.total.damaged_entries += counts.damaged_entries;
        result.keys += item.log.state().size();
        result.waiting += item.log.waiting();
    }
    return result;
}

std::optional<router_id> node::owner_of(upstream_id upstream) const
{
    const auto found = owners_.find(upstream);
    if (found == owners_.end())
        return std::nullopt;
    return found->second;
}

void node::adopted(time_point now)
{
    const auto& snapshot = preset();
    swim_.set_generation(snapshot->number);
    retries_.set_share(snapshot->value.retries.budget_share);
    for (const auto peer : swim_.random_members(notice_fanout))
        send(peer, preset_notice{snapshot->number});
    effects_.emplace_back(preset_adopted{snapshot});
    seen_view_ = 0;
    refresh_view(now);
}

void node::refresh_view(time_point now)
{
    if (!preset() || seen_view_ == swim_.view_version())
        return;
    seen_view_ = swim_.view_version();
    refresh_owners();
    const auto& value = preset()->value;
    std::vector<routing::permit_owner::owned_upstream> owned;
    std::vector<routing::permit_owner::service_owners> owners;
    std::unordered_map<upstream_id, load_poll> polls;
    for (std::size_t place = 0; place < value.services.size(); ++place)
    {
        const auto& service = value.services[place];
        routing::permit_owner::service_owners peers{
            .service = static_cast<std::uint16_t>(place)};
        bool is_owner = false;
        for (std::size_t index = 0; index < service.upstreams.size(); ++index)
        {
            const auto& item = service.upstreams[index];
            const bool admitted = config::may_receive_work(value, item) &&
                                  !swim_.is_leaving(item.id);
            const auto short_index = static_cast<std::uint16_t>(index);
            if (!admitted)
                peers.closed.push_back(short_index);
            const auto owner = owners_.at(item.id);
            peers.owners.push_back(owner);
            if (owner != swim_.self().id || leaving_)
                continue;
            is_owner = true;
            owned.push_back({peers.service, short_index, admitted});
            if (service.kind == config::service_kind::model)
                polls[item.id] = keep_poll(item);
        }
        if (!is_owner)
            continue;
        auto& routers = peers.owners;
        std::sort(routers.begin(), routers.end());
        routers.erase(std::unique(routers.begin(), routers.end()),
                      routers.end());
        owners.push_back(std::move(peers));
    }
    polls_ = std::move(polls);
    owner_.set_owned(now, preset(), owned, owners);
    std::vector<router_id> live;
    for (const auto& member : swim_.live_members())
        live.push_back(member.id);
    std::sort(live.begin(), live.end());
    owner_.set_members(now, live, swim_.live_share());
    client_.view_changed(now);
}

node::load_poll node::keep_poll(const config::upstream& item) const
{
    load_poll poll;
    if (const auto known = polls_.find(item.id); known != polls_.end())
        poll = known->second;
    poll.address = item.address;
    return poll;
}

void node::refresh_owners()
{
    const auto& value = preset()->value;
    std::unordered_map<std::uint32_t, std::string> regions;
    for (const auto& item : value.data_centres)
        regions[data_centre_hash(item.name)] = item.region;
    std::map<std::string, std::vector<router_id>> by_region;
    std::vector<router_id> everyone;
    for (const auto& member : swim_.live_members())
    {
        everyone.push_back(member.id);
        if (const auto region = regions.find(member.data_centre);
            region != regions.end())
            by_region[region->second].push_back(member.id);
    }
    had_peers_ = had_peers_ || everyone.size() > 1;
    owners_.clear();
    upstreams_.clear();
    for (const auto& service : value.services)
        for (const auto& item : service.upstreams)
        {
            upstreams_[item.id] = &item;
            const auto* home = value.find_data_centre(item.data_centre);
            const auto local = by_region.find(home->region);
            const auto& routers =
                local != by_region.end() ? local->second : everyone;
            owners_[item.id] =
                routing::owner_of(item.id, routers).value_or(swim_.self().id);
        }
}

void node::follow_preset(time_point now)
{
    if (leaving_)
        return;
    const bool watcher = is_designated();
    const bool quiet = now - swim_.last_heard() > quiet_peers;
    const auto reads = follower_.take_reads(now, quiet || !preset());
    if (reads.from_kv)
        effects_.emplace_back(read_preset{});
    if (reads.from_peer)
    {
        std::uint16_t port = 0;
        for (const auto& member : swim_.all_members())
            if (member.id == *reads.from_peer)
                port = member.http_port;
        if (port != 0)
            effects_.emplace_back(pull_preset{*reads.from_peer, port});
        else
            follower_.peer_answered(std::nullopt);
    }
    if (!watcher || watching_ || now < next_watch_)
        return;
    watching_ = true;
    effects_.emplace_back(watch_preset{});
}

void node::follow_host_list(time_point now)
{
    const bool due = now >= next_host_list_;
    if (leaving_ || !due || !is_designated())
        return;
    next_host_list_ = now + host_list_period;
    effects_.emplace_back(read_host_list{});
}

void node::poll_loads(time_point now)
{
    std::unordered_map<upstream_id, bool> settled;
    bool any_due = false;
    for (const auto& [id, poll] : polls_)
        any_due = any_due || (!poll.reading && now >= poll.next);
    if (!any_due)
        return;
    for (const auto& item : owner_.status(now))
        settled[item.upstream] =
            item.available && item.state == routing::warmth::warm;
    for (auto& [id, poll] : polls_)
    {
        if (poll.reading || now < poll.next)
            continue;
        poll.reading = true;
        poll.next = now + (settled[id] ? duration{steady_load_period}
                                       : duration{unsettled_load_period});
        effects_.emplace_back(read_load{id, poll.address});
    }
}

void node::take_crashes(time_point now)
{
    for (const auto& record : swim_.take_crashes())
        crashes_.record(now, record.request, record.upstream);
}

bool node::is_designated()
{
    if (designated_view_ == swim_.view_version())
        return designated_;
    designated_view_ = swim_.view_version();
    const auto& self = swim_.self();
    const auto score = [&self](router_id id)
    {
        return rendezvous_score(self.data_centre, raw(id));
    };
    std::size_t better = 0;
    for (const auto& member : swim_.live_members())
        if (member.data_centre == self.data_centre &&
            score(member.id) > score(self.id))
            ++better;
    designated_ = better < watchers_per_data_centre;
    return designated_;
}

std::vector<router_id> node::appenders_of(std::uint32_t shard) const
{
    std::vector<router_id> routers;
    for (const auto& member : swim_.live_members())
        routers.push_back(member.id);
    const auto kept = std::min(appenders_per_shard, routers.size());
    std::partial_sort(routers.begin(),
                      routers.begin() + static_cast<std::ptrdiff_t>(kept),
                      routers.end(),
                      [shard](router_id left, router_id right)
                      {
                          return rendezvous_score(shard, raw(left)) >
                                 rendezvous_score(shard, raw(right));
                      });
    routers.resize(kept);
    // The last resort is to append here.
    if (std::find(routers.begin(), routers.end(), swim_.self().id) ==
        routers.end())
        routers.push_back(swim_.self().id);
    return routers;
}

node::hosted_appender& node::appender_for(time_point now, std::uint32_t shard)
{
    const auto found = appenders_.find(shard);
    if (found != appenders_.end())
    {
        found->second.last_used = now;
        return found->second;
    }
    const ledger::appender_options options{
        .shard = shard,
        .writes_per_second = options_.ledger_writes_per_second *
                             entry_share_of_writes / options_.ledger_shards,
        .max_records_per_entry = options_.ledger_records_per_entry,
        .retention = options_.ledger_retention,
        .seed = hash_combine(options_.seed, 1000 + shard)};
    return appenders_
        .emplace(shard, hosted_appender{ledger::appender{options}, now})
        .first->second;
}

void node::collect(time_point now)
{
    for (auto& item : swim_.take_messages())
        std::visit([&](auto& part) { send(item.to, std::move(part)); },
                   item.content);
    // Messages to itself may cause more messages, so this runs until none is
    // left.
    for (;;)
    {
        for (auto& item : client_.take_messages())
            std::visit([&](auto& part) { send(item.to, std::move(part)); },
                       item.content);
        for (auto& item : owner_.take_answers())
            send(item.to, item.answer);
        for (auto& item : owner_.take_digests())
            send(item.to, std::move(item.digest));
        for (auto& item : claims_.take_requests())
            send(item.to, std::move(item.request));
        collect_ledger();
        if (own_messages_.empty())
            break;
        for (const auto& content : std::exchange(own_messages_, {}))
            std::visit([&](const auto& part)
                       { handle_message(now, swim_.self().id, part); },
                       content);
    }
    for (auto& decision : client_.take_decisions())
    {
        route_decided decided{decision, {}, {}};
        if (const auto found = upstreams_.find(decision.upstream);
            found != upstreams_.end())
        {
            decided.upstream_name = found->second->name;
            decided.address = found->second->address;
        }
        effects_.emplace_back(std::move(decided));
    }
    for (auto& decision : claims_.take_decisions())
        effects_.emplace_back(claim_decided{std::move(decision)});
}

void node::collect_ledger()
{
    for (auto& [shard, item] : appenders_)
    {
        for (auto& action : item.log.take_actions())
            std::visit([this](auto& part)
                       { effects_.emplace_back(std::move(part)); },
                       action);
        for (auto& outcome : item.log.take_outcomes())
            send(router_id{outcome.ticket.requester}, std::move(outcome.reply));
    }
}

void node::send(router_id to, message content)
{
    if (to == swim_.self().id)
    {
        own_messages_.push_back(std::move(content));
        return;
    }
    effects_.emplace_back(send_message{to, std::move(content)});
}

} // namespace baobabloft::fleet
