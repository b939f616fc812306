#include "baobabloft/fleet/node.hpp"

#include "baobabloft/support/hash.hpp"

#include <algorithm>
#include <cassert>
#include <type_traits>
#include <utility>

namespace baobabloft::fleet
{

namespace
{

/// Maximum number of candidate upstreams of a request.
constexpr std::size_t candidates_per_request = 4;
/// Number of routers per data centre that watch the KV service and read the
/// host list for the others.
constexpr std::size_t watchers_per_data_centre = 2;
/// Number of members that are notified when this router adopts a preset.
constexpr std::size_t preset_notice_fanout = 3;
constexpr std::size_t appenders_per_shard = 3;
/// Period of load reads from an upstream that is available and warm.
constexpr duration steady_load_read_period = 2s;
/// Period of load reads from any other upstream.
constexpr duration unsteady_load_read_period = 500ms;
constexpr duration host_list_read_period = 1s;
constexpr duration watch_retry_period = 1s;
/// If no peer has sent a message for this long, the preset is read from the KV
/// service frequently.
constexpr duration peer_timeout = 2500ms;
/// If neither a peer nor the KV service has sent anything for this long, the
/// preset may be outdated.
constexpr duration isolation_timeout = 5s;
/// An appender that has been unused for this long after the retention of its
/// keys is destroyed. Until then it knows the entries that it has appended.
constexpr duration appender_idle_lifetime = 60s;
/// Period in which a watcher reads from the KV service while the ledger is
/// used.
constexpr duration store_check_period = 200ms;
/// Fraction of the ledger's write budget that is used for entries. The rest is
/// left for compaction and for routers that append to the same shard
/// concurrently.
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

template <typename Alternative, typename... Alternatives>
constexpr bool is_one_of = (std::is_same_v<Alternative, Alternatives> || ...);

} // namespace

node::node(const node_options& options)
    : options_(options), swim_(make_swim_options(options)),
      preset_follower_(options.seed), permit_owner_(options.self.id),
      permit_client_([this](upstream_id upstream)
                     { return owner_of(upstream); },
                     static_cast<std::uint32_t>(hash_combine(options.seed, 1))),
      protection_(options.self.id, [this] { return fleet_members(); }),
      retry_budget_(config::retry_limits{}.budget_share),
      claim_client_(
          options.ledger_shards,
          [this](std::uint32_t shard) { return appender_routers(shard); },
          hash_combine(options.seed, 2))
{
    swim_.add_seed_routers(options.seed_routers);
}

void node::tick(time_point now, std::uint64_t wall_ms)
{
    wall_ms_ = wall_ms;
    ticked_at_ = now;
    swim_.tick(now);
    record_gossiped_crashes(now);
    update_owned_upstreams(now);
    compare_first_preset(now);
    start_preset_reads(now);
    start_host_list_read(now);
    start_store_check(now);
    start_load_reads(now);
    permit_owner_.tick(now);
    permit_client_.tick(now);
    protection_.tick(now);
    if (!has_queried_quarantine_ && swim_.live_members().size() > 1)
    {
        has_queried_quarantine_ = true;
        protection_.query_quarantine(now);
    }
    claim_client_.tick(now);
    for (auto& [shard, hosted] : hosted_appenders_)
    {
        hosted.appender.tick(now, wall_ms);
        hosted.history.tick(now);
    }
    std::erase_if(hosted_appenders_,
                  [this, now](const auto& entry)
                  {
                      const auto& hosted = entry.second;
                      return hosted.appender.waiting_records() == 0 &&
                             now - hosted.last_used_at >
                                 options_.ledger_retention +
                                     appender_idle_lifetime;
                  });
    collect_effects(now);
}

template <typename Alternative>
void node::handle_message(time_point now, router_id from,
                          const Alternative& alternative)
{
    using namespace membership;
    using namespace routing;
    if constexpr (is_one_of<Alternative, ping, ping_ack, indirect_ping,
                            join_request, member_list>)
    {
        swim_.handle(now, from, membership::message{alternative});
        record_gossiped_crashes(now);
        update_owned_upstreams(now);
        if (const auto highest = swim_.highest_generation())
            preset_follower_.record_peer_generation(highest->first,
                                                    highest->second);
    }
    else if constexpr (is_one_of<Alternative, permit_response>)
        permit_client_.handle(now, from, alternative);
    else if constexpr (is_one_of<Alternative, ledger::append_request>)
    {
        // Without the time, every key would be from the future. The sender
        // sends its request again.
        if (!ticked_at_)
            return;
        auto& hosted =
            appender_for(now, ledger::shard_of(alternative.content.key,
                                               options_.ledger_shards));
        hosted.appender.submit(now, wall_ms_at(now),
                               {raw(from), alternative.sequence},
                               alternative.content);
    }
    else if constexpr (is_one_of<Alternative, ledger::append_response>)
        claim_client_.handle(now, alternative);
    else if constexpr (is_one_of<Alternative, ledger::history_query>)
        send(from, respond(now, alternative));
    else if constexpr (is_one_of<Alternative, ledger::history_response>)
    {
        for (auto& [shard, hosted] : hosted_appenders_)
            if (shard == alternative.shard)
                hosted.history.handle(now, from, alternative);
    }
    else if constexpr (is_one_of<Alternative, preset_notice>)
    {
        preset_follower_.record_peer_generation(from, alternative.generation);
        start_preset_reads(now);
    }
    else if constexpr (is_one_of<
                           Alternative, directory::change_query,
                           directory::change_response, directory::change_notice,
                           crash_notice, directory::entry_query,
                           directory::entry_part, directory::config_query,
                           directory::config_part, directory::listing_query,
                           directory::listing_response,
                           dispatch::traffic_report, dispatch::traffic_summary,
                           feature_quarantine, dispatch::rollout_report,
                           dispatch::rollout_response>)
    {
        // A node follows no directory and ignores the messages of routers that
        // do.
    }
    else if constexpr (is_one_of<
                           Alternative, feature_crash_report, success_query,
                           features_cleared, quarantine_query, older_successes,
                           quarantine_notice, trial_query, trial_response>)
        protection_.handle(now, from, alternative);
    else
        permit_owner_.handle(now, from, alternative);
}

void node::receive(time_point now, router_id from, const message& content)
{
    std::visit([&](const auto& alternative)
               { handle_message(now, from, alternative); },
               content);
    collect_effects(now);
}

void node::on_preset_read(time_point now, const preset_response& response)
{
    if (!response.responded)
        preset_follower_.handle_kv_failure(now);
    else
    {
        can_open_preset_watch_ = !preset_watch_open_;
        if (preset_follower_.handle_kv_response(now, response.envelope))
            apply_adopted_preset(now);
        if (auto replacement = preset_follower_.take_replacement())
            effects_.emplace_back(replace_preset{std::move(*replacement)});
    }
    collect_effects(now);
}

void node::on_preset_replaced(time_point now, bool responded)
{
    // The next read shows which preset is stored now.
    if (responded)
        preset_follower_.request_kv_read(now);
    else
        preset_follower_.handle_kv_failure(now);
}

void node::on_watch_ended(time_point now, const preset_response& response)
{
    preset_watch_open_ = false;
    if (response.responded && response.envelope)
        on_preset_read(now, response);
    else
        next_preset_watch_ = now + watch_retry_period;
    can_open_preset_watch_ = false;
}

void node::on_preset_pulled(time_point now,
                            const std::optional<std::string>& envelope)
{
    if (preset_follower_.handle_peer_response(envelope))
        apply_adopted_preset(now);
    collect_effects(now);
}

void node::on_load_read(time_point now, upstream_id upstream,
                        const std::optional<routing::load_report>& report)
{
    if (const auto poll = load_polls_.find(upstream); poll != load_polls_.end())
        poll->second.in_progress = false;
    if (report)
        permit_owner_.handle_load_report(now, upstream, *report);
    else
        permit_owner_.handle_failed_load_report(now, upstream);
    collect_effects(now);
}

void node::on_host_list_read(
    const std::vector<membership::upstream_record>& hosts,
    const std::vector<router_id>& routers)
{
    for (const auto& record : hosts)
        swim_.publish(record);
    swim_.add_seed_routers(routers);
}

void node::on_entries_read(
    time_point now, std::uint32_t shard,
    const std::optional<std::vector<ledger::log_entry>>& entries)
{
    const auto found = hosted_appenders_.find(shard);
    if (found == hosted_appenders_.end())
        return;
    if (entries)
        found->second.appender.on_entries_read(now, *entries);
    else
        found->second.appender.on_read_failed(now);
    collect_effects(now);
}

void node::on_entry_created(time_point now, std::uint32_t shard,
                            std::optional<bool> created)
{
    const auto found = hosted_appenders_.find(shard);
    if (found == hosted_appenders_.end())
        return;
    if (created)
        found->second.appender.on_entry_created(now, *created);
    else
        found->second.appender.on_create_unconfirmed(now);
    collect_effects(now);
}

void node::on_entries_deleted(std::uint32_t shard, ledger::entry_number end)
{
    if (const auto found = hosted_appenders_.find(shard);
        found != hosted_appenders_.end())
        found->second.appender.on_entries_deleted(end);
}

void node::on_store_checked(time_point now, time_point sent_at)
{
    store_view_.record_response(now, sent_at);
}

void node::on_kv_restored(time_point now, time_point known_at)
{
    store_view_.reset();
    const auto since_ms =
        wall_ms_ - static_cast<std::uint64_t>((now - known_at) / 1ms);
    for (std::uint32_t shard = 0; shard < options_.ledger_shards; ++shard)
        appender_for(now, shard)
            .appender.handle_possible_loss(now, wall_ms_, since_ms);
    preset_follower_.request_kv_read(now);
    collect_effects(now);
}

routing::permit_ticket node::begin_route(time_point now,
                                         const route_requirements& requirements)
{
    routing::permit_demand demand{.candidates = {},
                                  .chat = requirements.chat,
                                  .customer = requirements.customer,
                                  .priority = requirements.priority,
                                  .suspect = requirements.suspect,
                                  .start_deadline = requirements.deadline};
    if (const auto& snapshot = preset())
    {
        const auto& value = snapshot->value;
        const auto* service = value.find_service(requirements.service);
        const auto* data_centre = value.find_data_centre(options_.data_centre);
        const auto eligible = [&](const config::upstream& item)
        {
            return config::may_receive_work(value, item) &&
                   !swim_.is_leaving(item.id) &&
                   std::find(requirements.excluded_upstreams.begin(),
                             requirements.excluded_upstreams.end(),
                             item.id) == requirements.excluded_upstreams.end();
        };
        if (service != nullptr)
            for (const auto* item : routing::rank_upstreams(
                     value, *service, raw(requirements.chat),
                     data_centre != nullptr ? data_centre->region
                                            : std::string{},
                     candidates_per_request, eligible))
                demand.candidates.push_back(item->id);
    }
    const auto ticket = permit_client_.acquire(now, std::move(demand));
    collect_effects(now);
    return ticket;
}

void node::end_route(time_point now, routing::permit_ticket ticket,
                     routing::outcome result, std::uint16_t first_token_ms)
{
    permit_client_.release(ticket, result, first_token_ms);
    collect_effects(now);
}

void node::record_first_token(time_point now, routing::permit_ticket ticket,
                              fingerprint request)
{
    permit_client_.record_first_token(ticket);
    record_response(now, request);
}

void node::record_response(time_point now, fingerprint request)
{
    const auto feature = routing::feature_of(request);
    protection_.record_success(now, {&feature, 1});
    collect_effects(now);
}

ledger::claim_ticket node::begin_claim(time_point now,
                                       const ledger::idempotency_key& key,
                                       time_point deadline)
{
    const auto ticket = claim_client_.claim(now, key, deadline);
    collect_effects(now);
    return ticket;
}

void node::release_claim(time_point now, ledger::claim_ticket ticket)
{
    claim_client_.release(now, ticket);
    collect_effects(now);
}

void node::finish_claim(time_point now, ledger::claim_ticket ticket,
                        ledger::stored_response upstream_response)
{
    claim_client_.finish(now, ticket, std::move(upstream_response));
    collect_effects(now);
}

void node::abandon_claim(ledger::claim_ticket ticket)
{
    claim_client_.abandon(ticket);
}

void node::report_crash(time_point now, fingerprint request,
                        upstream_id upstream)
{
    const auto event_id = hash_combine(
        raw(request) ^ raw(upstream),
        static_cast<std::uint64_t>(now.time_since_epoch().count()));
    swim_.publish(membership::crash_record{
        request, upstream, static_cast<std::uint32_t>(event_id)});
    record_gossiped_crashes(now);
    protection_.report_crash(
        now, {request, upstream, {routing::feature_of(request)}});
    collect_effects(now);
}

void node::admit(time_point now, fingerprint request, bool is_retry,
                 std::function<void(bool admitted)> callback)
{
    const auto feature = routing::feature_of(request);
    const auto verdict = protection_.check(now, {&feature, 1});
    const bool may_wait = !is_retry || protection_.is_starting();
    if (verdict == routing::admission::trial_due && may_wait)
        protection_.request_trial(now, {&feature, 1}, std::move(callback));
    else
        callback(verdict == routing::admission::admitted);
    collect_effects(now);
}

bool node::is_crash_suspect(time_point now, fingerprint request) const
{
    return protection_.is_suspect(now, request);
}

void node::record_first_attempt(time_point now, customer_id customer)
{
    retry_budget_.record_first_attempt(now, customer);
}

bool node::try_spend_retry(time_point now, customer_id customer)
{
    return retry_budget_.try_spend(now, customer);
}

void node::leave(time_point now)
{
    leaving_ = true;
    swim_.leave(now);
    applied_view_ = 0;
    update_owned_upstreams(now);
    collect_effects(now);
}

std::vector<effect> node::take_effects()
{
    return std::exchange(effects_, {});
}

readiness node::current_readiness(time_point now) const
{
    if (leaving_)
        return readiness::leaving;
    if (!preset() || !has_compared_preset_)
        return readiness::joining;
    const auto kv = preset_follower_.last_kv_response_at();
    const bool kv_responds = kv && now - *kv < isolation_timeout;
    const bool peers_respond =
        now - swim_.last_received_at() < isolation_timeout;
    // A router that never had a peer depends on the KV service alone, and an
    // outage of the KV service must not take it out of service.
    if (had_peers_ && !kv_responds && !peers_respond)
        return readiness::isolated;
    return readiness::ready;
}

const config::preset_snapshot& node::preset() const
{
    return preset_follower_.current();
}

const membership::swim& node::members() const
{
    return swim_;
}

const routing::permit_owner& node::owner() const
{
    return permit_owner_;
}

const routing::permit_client& node::client() const
{
    return permit_client_;
}

std::size_t node::quarantined_count(time_point now) const
{
    return protection_.quarantined(now).size();
}

routing::quarantine_changes node::take_quarantine_changes()
{
    return protection_.take_changes();
}

ledger_counts node::ledger_totals() const
{
    ledger_counts result;
    for (const auto& [shard, hosted] : hosted_appenders_)
    {
        const auto& counts = hosted.appender.counts();
        result.total.writes += counts.writes;
        result.total.lost_races += counts.lost_races;
        result.total.unknown_writes += counts.unknown_writes;
        result.total.records += counts.records;
        result.total.reads += counts.reads;
        result.total.damaged_entries += counts.damaged_entries;
        result.keys += hosted.appender.state().key_count();
        result.waiting_records += hosted.appender.waiting_records();
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

std::uint64_t node::wall_ms_at(time_point now) const
{
    assert(ticked_at_ && "the time is not known before the first tick");
    return wall_ms_ + static_cast<std::uint64_t>((now - *ticked_at_) / 1ms);
}

void node::apply_adopted_preset(time_point now)
{
    const auto& snapshot = preset();
    swim_.set_generation(snapshot->generation_number);
    retry_budget_.set_share(snapshot->value.retries.budget_share);
    const auto& services = snapshot->value.services;
    uses_ledger_ = std::any_of(services.begin(), services.end(),
                               [](const config::service& item)
                               { return !item.non_repeatable.empty(); });
    for (const auto peer : swim_.random_members(preset_notice_fanout))
        send(peer, preset_notice{snapshot->generation_number});
    effects_.emplace_back(preset_adopted{snapshot});
    applied_view_ = 0;
    update_owned_upstreams(now);
}

void node::update_owned_upstreams(time_point now)
{
    if (!preset() || applied_view_ == swim_.view_version())
        return;
    applied_view_ = swim_.view_version();
    recompute_owners();
    const auto& value = preset()->value;
    std::vector<routing::permit_owner::owned_upstream> owned;
    std::vector<routing::permit_owner::service_owners> owners;
    std::unordered_map<upstream_id, load_poll> polls;
    for (std::size_t service_index = 0; service_index < value.services.size();
         ++service_index)
    {
        const auto& service = value.services[service_index];
        routing::permit_owner::service_owners peers{
            .service_index = static_cast<std::uint16_t>(service_index)};
        bool is_owner = false;
        for (std::size_t index = 0; index < service.upstreams.size(); ++index)
        {
            const auto& item = service.upstreams[index];
            const bool admitted = config::may_receive_work(value, item) &&
                                  !swim_.is_leaving(item.id);
            const auto preset_index = static_cast<std::uint16_t>(index);
            if (!admitted)
                peers.not_admitted.push_back(preset_index);
            const auto owner = owners_.at(item.id);
            peers.owners.push_back(owner);
            if (owner != swim_.self().id || leaving_)
                continue;
            is_owner = true;
            owned.push_back({peers.service_index, preset_index, admitted});
            if (service.kind == config::service_kind::model)
                polls[item.id] = load_poll_for(item);
        }
        if (!is_owner)
            continue;
        auto& routers = peers.owners;
        std::sort(routers.begin(), routers.end());
        routers.erase(std::unique(routers.begin(), routers.end()),
                      routers.end());
        owners.push_back(std::move(peers));
    }
    load_polls_ = std::move(polls);
    permit_owner_.set_owned_upstreams(now, preset(), owned, owners);
    std::vector<router_id> live;
    for (const auto& member : swim_.live_members())
        live.push_back(member.id);
    std::sort(live.begin(), live.end());
    permit_owner_.set_live_routers(now, live, swim_.live_share());
    permit_client_.handle_view_change(now);
}

node::load_poll node::load_poll_for(const config::upstream& item) const
{
    load_poll poll;
    if (const auto known = load_polls_.find(item.id);
        known != load_polls_.end())
        poll = known->second;
    poll.address = item.address;
    return poll;
}

void node::recompute_owners()
{
    const auto& value = preset()->value;
    std::unordered_map<std::uint32_t, std::string> regions;
    for (const auto& item : value.data_centres)
        regions[data_centre_hash(item.name)] = item.region;
    std::map<std::string, std::vector<router_id>> routers_by_region;
    std::vector<router_id> all_routers;
    for (const auto& member : swim_.live_members())
    {
        all_routers.push_back(member.id);
        if (const auto region = regions.find(member.data_centre);
            region != regions.end())
            routers_by_region[region->second].push_back(member.id);
    }
    had_peers_ = had_peers_ || all_routers.size() > 1;
    owners_.clear();
    upstreams_.clear();
    for (const auto& service : value.services)
        for (const auto& item : service.upstreams)
        {
            upstreams_[item.id] = &item;
            const auto* data_centre = value.find_data_centre(item.data_centre);
            const auto same_region =
                routers_by_region.find(data_centre->region);
            const auto& routers = same_region != routers_by_region.end()
                                      ? same_region->second
                                      : all_routers;
            owners_[item.id] =
                routing::owner_of(item.id, routers).value_or(swim_.self().id);
        }
}

void node::compare_first_preset(time_point now)
{
    if (!started_at_)
        started_at_ = now;
    if (has_compared_preset_ || !preset())
        return;
    // The KV service may have been restored from an older copy.
    const auto highest = swim_.highest_generation();
    const bool is_newest =
        highest && highest->second <= preset()->generation_number;
    has_compared_preset_ = is_newest || options_.seed_routers.empty() ||
                           now - *started_at_ > peer_timeout;
}

void node::start_preset_reads(time_point now)
{
    if (leaving_)
        return;
    const bool is_watcher = is_data_centre_watcher();
    const bool peers_unresponsive =
        now - swim_.last_received_at() > peer_timeout;
    const bool needs_watch =
        is_watcher && !preset_watch_open_ && now >= next_preset_watch_;
    if (needs_watch && !can_open_preset_watch_)
        preset_follower_.request_kv_read(now);
    const auto reads =
        preset_follower_.start_due_reads(now, peers_unresponsive || !preset());
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
            preset_follower_.handle_peer_response(std::nullopt);
    }
    if (!needs_watch || !can_open_preset_watch_)
        return;
    can_open_preset_watch_ = false;
    preset_watch_open_ = true;
    effects_.emplace_back(watch_preset{});
}

void node::start_host_list_read(time_point now)
{
    const bool due = now >= next_host_list_read_;
    if (leaving_ || !due || !is_data_centre_watcher())
        return;
    next_host_list_read_ = now + host_list_read_period;
    effects_.emplace_back(read_host_list{});
}

void node::start_store_check(time_point now)
{
    const bool due = now >= next_store_check_;
    if (leaving_ || !uses_ledger_ || !due || !is_data_centre_watcher())
        return;
    next_store_check_ = now + store_check_period;
    effects_.emplace_back(check_store{now});
}

ledger::history_response node::respond(time_point now,
                                       const ledger::history_query& query) const
{
    const auto to_ms = [](duration value)
    {
        return saturating_cast<std::uint32_t>(to_seconds(value) * 1000);
    };
    ledger::history_response response{
        .sequence = query.sequence,
        .shard = query.shard,
        .uptime_ms = to_ms(now - started_at_.value_or(now)),
        .view_age_ms = to_ms(store_view_.age(now).value_or(duration{}))};
    if (const auto found = hosted_appenders_.find(query.shard);
        found != hosted_appenders_.end())
    {
        const auto& appender = found->second.appender;
        response.last_entry = appender.state().last_entry().value_or(0);
        response.entry_hash = appender.state().last_entry_hash();
        response.lost_entries = appender.has_unrecorded_loss();
    }
    return response;
}

void node::start_load_reads(time_point now)
{
    std::unordered_map<upstream_id, bool> is_steady;
    bool any_due = false;
    for (const auto& [id, poll] : load_polls_)
        any_due = any_due || (!poll.in_progress && now >= poll.next_read);
    if (!any_due)
        return;
    for (const auto& item : permit_owner_.status(now))
        is_steady[item.upstream] =
            item.available && item.state == routing::warmup_state::warm;
    for (auto& [id, poll] : load_polls_)
    {
        if (poll.in_progress || now < poll.next_read)
            continue;
        poll.in_progress = true;
        poll.next_read =
            now + (is_steady[id] ? duration{steady_load_read_period}
                                 : duration{unsteady_load_read_period});
        effects_.emplace_back(read_load{id, poll.address});
    }
}

void node::record_gossiped_crashes(time_point now)
{
    for (const auto& record : swim_.take_crashes())
        protection_.note_crash(now, record.request, record.upstream);
}

std::vector<routing::fleet_member> node::fleet_members() const
{
    std::vector<routing::fleet_member> members;
    for (const auto& member : swim_.live_members())
        members.push_back({member.id, raw(member.id)});
    return members;
}

bool node::is_data_centre_watcher()
{
    if (watcher_view_ == swim_.view_version())
        return is_watcher_;
    watcher_view_ = swim_.view_version();
    const auto& self = swim_.self();
    const auto score = [&self](router_id id)
    {
        return rendezvous_score(self.data_centre, raw(id));
    };
    std::size_t higher_scores = 0;
    for (const auto& member : swim_.live_members())
        if (member.data_centre == self.data_centre &&
            score(member.id) > score(self.id))
            ++higher_scores;
    is_watcher_ = higher_scores < watchers_per_data_centre;
    return is_watcher_;
}

std::vector<router_id> node::data_centre_watchers() const
{
    std::map<std::uint32_t, std::vector<router_id>> by_data_centre;
    for (const auto& member : swim_.live_members())
        by_data_centre[member.data_centre].push_back(member.id);
    std::vector<router_id> result;
    for (auto& [data_centre, routers] : by_data_centre)
    {
        const auto count = std::min(watchers_per_data_centre, routers.size());
        const auto end = routers.begin() + static_cast<std::ptrdiff_t>(count);
        std::partial_sort(routers.begin(), end, routers.end(),
                          [key = data_centre](router_id left, router_id right)
                          {
                              return rendezvous_score(key, raw(left)) >
                                     rendezvous_score(key, raw(right));
                          });
        result.insert(result.end(), routers.begin(), end);
    }
    return result;
}

ledger::history_check::options
node::history_check_options(std::uint32_t shard) const
{
    return {.watchers = [this] { return data_centre_watchers(); },
            .routers =
                [this]
            {
                std::vector<router_id> routers;
                for (const auto& member : swim_.live_members())
                    routers.push_back(member.id);
                return routers;
            },
            .since_departure =
                [this](time_point now)
            {
                const auto last = swim_.last_departure();
                return last ? now - *last : max_duration;
            },
            .find_entry =
                [this, shard](ledger::entry_number number, std::uint64_t hash)
            {
                return hosted_appenders_.at(shard).appender.state().find_entry(
                    number, hash);
            }};
}

std::vector<router_id> node::appender_routers(std::uint32_t shard) const
{
    std::vector<router_id> routers;
    for (const auto& member : swim_.live_members())
        routers.push_back(member.id);
    const auto count = std::min(appenders_per_shard, routers.size());
    std::partial_sort(routers.begin(),
                      routers.begin() + static_cast<std::ptrdiff_t>(count),
                      routers.end(),
                      [shard](router_id left, router_id right)
                      {
                          return rendezvous_score(shard, raw(left)) >
                                 rendezvous_score(shard, raw(right));
                      });
    routers.resize(count);
    // If the other routers do not respond, this router appends the records
    // itself.
    if (std::find(routers.begin(), routers.end(), swim_.self().id) ==
        routers.end())
        routers.push_back(swim_.self().id);
    return routers;
}

node::hosted_appender& node::appender_for(time_point now, std::uint32_t shard)
{
    const auto found = hosted_appenders_.find(shard);
    if (found != hosted_appenders_.end())
    {
        found->second.last_used_at = now;
        return found->second;
    }
    const ledger::appender_options options{
        .shard = shard,
        .writes_per_second = options_.ledger_writes_per_second *
                             entry_share_of_writes / options_.ledger_shards,
        .max_records_per_entry = options_.ledger_records_per_entry,
        .retention = options_.ledger_retention,
        .seed = hash_combine(options_.seed, 1000 + shard)};
    return hosted_appenders_
        .emplace(shard, hosted_appender{ledger::appender{options}, now,
                                        ledger::history_check{
                                            history_check_options(shard)}})
        .first->second;
}

void node::collect_effects(time_point now)
{
    for (auto& item : swim_.take_messages())
        std::visit([&](auto& alternative)
                   { send(item.to, std::move(alternative)); },
                   item.content);
    // Handling a message to this router may create further ones, so repeat
    // until there are none left.
    for (;;)
    {
        for (auto& item : permit_client_.take_messages())
            std::visit([&](auto& alternative)
                       { send(item.to, std::move(alternative)); },
                       item.content);
        for (auto& item : protection_.take_messages())
            std::visit([&](auto& alternative)
                       { send(item.to, std::move(alternative)); },
                       item.content);
        for (auto& item : permit_owner_.take_responses())
            send(item.to, item.response);
        for (auto& item : permit_owner_.take_digests())
            send(item.to, std::move(item.digest));
        for (auto& item : claim_client_.take_requests())
            send(item.to, std::move(item.request));
        collect_ledger_effects(now);
        if (messages_to_self_.empty())
            break;
        for (const auto& content : std::exchange(messages_to_self_, {}))
            std::visit([&](const auto& alternative)
                       { handle_message(now, swim_.self().id, alternative); },
                       content);
    }
    for (auto& decision : permit_client_.take_decisions())
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
    for (auto& decision : claim_client_.take_decisions())
        effects_.emplace_back(claim_decided{std::move(decision)});
}

void node::collect_ledger_effects(time_point now)
{
    for (auto& [shard, hosted] : hosted_appenders_)
    {
        if (const auto result = hosted.history.take_result())
            hosted.appender.on_history_checked(now, hosted.checked, *result);
        for (auto& action : hosted.appender.take_actions())
            std::visit(
                [this, now, &hosted = hosted, shard = shard](auto& alternative)
                {
                    if constexpr (is_one_of<std::decay_t<decltype(alternative)>,
                                            ledger::check_history>)
                    {
                        hosted.checked = alternative;
                        const auto age_ms =
                            wall_ms_ - std::min(wall_ms_, alternative.since_ms);
                        hosted.history.start(now, shard,
                                             std::chrono::milliseconds{age_ms});
                    }
                    else
                        effects_.emplace_back(std::move(alternative));
                },
                action);
        for (auto& item : hosted.history.take_queries())
            send(item.to, item.query);
        for (auto& outcome : hosted.appender.take_outcomes())
            send(router_id{outcome.ticket.requester},
                 std::move(outcome.response));
    }
}

void node::send(router_id to, message content)
{
    if (to == swim_.self().id)
    {
        messages_to_self_.push_back(std::move(content));
        return;
    }
    effects_.emplace_back(send_message{to, std::move(content)});
}

} // namespace baobabloft::fleet
