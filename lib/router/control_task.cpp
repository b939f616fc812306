#include "baobabloft/router/control_task.hpp"

#include "baobabloft/config/preset_parser.hpp"
#include "baobabloft/net/random_seed.hpp"
#include "baobabloft/router/log.hpp"

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <algorithm>

namespace baobabloft::router
{

namespace
{

using nlohmann::json;

constexpr duration tick_period = 25ms;
constexpr duration gauge_period = 1s;
constexpr duration load_report_timeout = 1s;
constexpr duration preset_pull_timeout = 1s;
constexpr unsigned status_ok = 200;
constexpr std::string_view preset_request_line = "GET /control/preset";

std::uint64_t wall_clock_ms()
{
    return static_cast<std::uint64_t>(g_get_real_time() / 1000);
}

router_id own_router_id(const settings& settings)
{
    const auto host = parse_ipv4(settings.control_listen.host);
    return make_router_id(host.value_or(0), settings.control_listen.port);
}

fleet::node_options make_node_options(const settings& settings)
{
    [[maybe_unused]] const int ready = sodium_init();
    fleet::node_options options;
    options.self.id = own_router_id(settings);
    options.self.incarnation = wall_clock_ms();
    options.self.http_port = settings.listen.port;
    options.data_centre = settings.data_centre;
    options.seed_routers = settings.peers;
    options.seed = net::random_seed();
    options.ledger_shards = settings.ledger_shards;
    options.ledger_writes_per_second = settings.ledger_writes_per_second;
    options.ledger_retention =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            settings.ledger_retention);
    return options;
}

/// Returns `number` with leading zeros, so that the lexicographic order of keys
/// is the numeric order.
std::string zero_padded(std::uint64_t number, std::size_t digits)
{
    const auto text = std::to_string(number);
    return std::string(digits - std::min(digits, text.size()), '0') + text;
}

std::string entry_key_prefix(std::uint32_t shard)
{
    return "baobab/ledger/" + std::to_string(shard) + "/entry/";
}

/// Returns the key of a marker that is written together with a shard's first
/// entry and never deleted, so that entry 1 cannot be created a second time.
std::string shard_marker_key(std::uint32_t shard)
{
    return "baobab/ledger/" + std::to_string(shard) + "/started";
}

std::string entry_key(std::uint32_t shard, ledger::entry_number number)
{
    constexpr std::size_t digits = 20;
    return entry_key_prefix(shard) + zero_padded(number, digits);
}

std::optional<routing::load_report> parse_load_report(const std::string& body)
{
    const auto root = json::parse(body, nullptr, false);
    if (!root.is_object() || !root.contains("running"))
        return std::nullopt;
    routing::load_report report;
    report.running = root.value("running", 0U);
    report.incarnation = root.value("incarnation", std::uint64_t{0});
    report.cold = root.value("cold", false);
    report.leaving = root.value("leaving", false);
    return report;
}

route_status to_route_status(routing::permit_result result)
{
    switch (result)
    {
    case routing::permit_result::granted:
        return route_status::granted;
    case routing::permit_result::no_upstream:
        return route_status::no_upstream;
    case routing::permit_result::overloaded:
        return route_status::overloaded;
    case routing::permit_result::expired:
        return route_status::expired;
    }
    return route_status::no_upstream;
}

} // namespace

std::string active_preset_key()
{
    return "baobab/preset/active";
}

std::string preset_history_prefix()
{
    return "baobab/preset/history/";
}

std::string preset_history_key(config::generation number)
{
    constexpr std::size_t digits = 12;
    return preset_history_prefix() + zero_padded(number, digits);
}

callback_table::callback_table(net::event_loop& loop) : loop_(loop) {}

void callback_table::add_route(operation_id id, route_callback callback)
{
    routes_[id] = std::move(callback);
}

void callback_table::add_claim(operation_id id, claim_callback callback)
{
    claims_[id] = std::move(callback);
}

void callback_table::remove_route(operation_id id)
{
    routes_.erase(id);
}

void callback_table::deliver(operation_id id, const route_response& response)
{
    loop_.post(
        [this, id, response]
        {
            if (const auto found = routes_.extract(id))
                found.mapped()(response);
        });
}

void callback_table::deliver(operation_id id,
                             const ledger::claim_decision& decision)
{
    loop_.post(
        [this, id, decision]
        {
            if (const auto found = claims_.extract(id))
                found.mapped()(decision);
        });
}

control_task::control_task(const settings& settings,
                           std::shared_ptr<metrics> metrics)
    : settings_(settings), metrics_(std::move(metrics)),
      datagram_keys_(settings.fleet_secrets), own_id_(own_router_id(settings)),
      node_(make_node_options(settings))
{
}

control_task::~control_task() = default;

bool control_task::open(failure& reason)
{
    const net::event_loop::default_context_scope loop_scope{loop_};
    socket_ = net::datagram_socket::open(
        loop_, own_id_,
        [this](router_id from, std::string_view bytes)
        { receive(from, bytes); },
        reason);
    if (!socket_)
        return false;
    kv_client_ = net::make_etcd_client({.base_url = settings_.kv_url});
    http_client_ = std::make_unique<net::http_client>();
    loop_.run_every(tick_period, [this] { tick(); });
    loop_.run_every(gauge_period, [this] { update_gauges(); });
    return true;
}

void control_task::run()
{
    loop_.run();
}

void control_task::stop()
{
    loop_.stop();
}

void control_task::subscribe(net::event_loop& loop, state_callback callback)
{
    loop_.post(
        [this, &loop, callback = std::move(callback)]
        {
            subscribers_.push_back({&loop, callback});
            loop.post([callback, state = state_] { callback(state); });
        });
}

operation_id control_task::route(callback_table& callbacks, route_query query,
                                 route_callback callback)
{
    const auto id = ++last_operation_id_;
    callbacks.add_route(id, std::move(callback));
    loop_.post([this, id, &callbacks, query = std::move(query)]
               { start_route(id, query, callbacks); });
    return id;
}

void control_task::end_route(callback_table& callbacks, operation_id route_id,
                             const route_result& result)
{
    callbacks.remove_route(route_id);
    loop_.post([this, route_id, result] { finish_route(route_id, result); });
}

void control_task::record_first_token(operation_id route_id)
{
    loop_.post(
        [this, route_id]
        {
            const auto found = routes_.find(route_id);
            if (found == routes_.end())
                return;
            node_.record_first_token(net::monotonic_now(), found->second.ticket,
                                     found->second.body_hash);
            apply_effects();
        });
}

operation_id control_task::claim(callback_table& callbacks,
                                 const ledger::idempotency_key& key,
                                 time_point deadline, claim_callback callback)
{
    const auto id = ++last_operation_id_;
    callbacks.add_claim(id, std::move(callback));
    loop_.post(
        [this, id, &callbacks, key, deadline]
        {
            const auto ticket =
                node_.begin_claim(net::monotonic_now(), key, deadline);
            claims_[id] = {&callbacks, ticket};
            claims_by_ticket_[ticket] = id;
            apply_effects();
        });
    return id;
}

void control_task::release_claim(operation_id claim_id)
{
    loop_.post(
        [this, claim_id]
        {
            const auto found = claims_.find(claim_id);
            if (found == claims_.end())
                return;
            node_.release_claim(net::monotonic_now(), found->second.ticket);
            claims_.erase(found);
            apply_effects();
        });
}

void control_task::finish_claim(operation_id claim_id,
                                ledger::stored_response response)
{
    loop_.post(
        [this, claim_id, response = std::move(response)]
        {
            const auto found = claims_.find(claim_id);
            if (found == claims_.end())
                return;
            node_.finish_claim(net::monotonic_now(), found->second.ticket,
                               response);
            claims_.erase(found);
            apply_effects();
        });
}

void control_task::abandon_claim(operation_id claim_id)
{
    loop_.post(
        [this, claim_id]
        {
            const auto found = claims_.find(claim_id);
            if (found == claims_.end())
                return;
            node_.abandon_claim(found->second.ticket);
            claims_.erase(found);
        });
}

void control_task::record_objective(const burn_key& key, double target,
                                    bool missed)
{
    loop_.post([this, key, target, missed]
               { burn_.record(net::monotonic_now(), key, target, missed); });
}

void control_task::render_page(net::event_loop& loop, page kind,
                               std::function<void(const std::string&)> done)
{
    loop_.post(
        [this, &loop, kind, done = std::move(done)]
        {
            using page_renderer = std::string (control_task::*)() const;
            constexpr std::array<page_renderer, 3> renderers{
                &control_task::status_page, &control_task::burn_page,
                &control_task::envelope_page};
            const auto renderer = renderers.at(static_cast<std::size_t>(kind));
            loop.post([done, text = (this->*renderer)()] { done(text); });
        });
}

void control_task::leave()
{
    loop_.post(
        [this]
        {
            node_.leave(net::monotonic_now());
            log_event(log_level::info, "leaving");
            apply_effects();
            publish_state();
        });
}

bool control_task::verify_peer(std::string_view bytes,
                               std::string_view hex_mac) const
{
    net::datagram_keys::mac mac{};
    std::size_t size = 0;
    const int error = sodium_hex2bin(mac.data(), mac.size(), hex_mac.data(),
                                     hex_mac.size(), nullptr, &size, nullptr);
    return error == 0 && size == mac.size() &&
           datagram_keys_.verify(bytes, mac);
}

std::string control_task::peer_mac(std::string_view bytes) const
{
    const auto mac = datagram_keys_.sign(bytes);
    std::array<char, net::datagram_keys::mac_bytes * 2 + 1> text{};
    sodium_bin2hex(text.data(), text.size(), mac.data(), mac.size());
    return text.data();
}

void control_task::tick()
{
    node_.tick(net::monotonic_now(), wall_clock_ms());
    apply_effects();
    const auto [quarantined, cleared] = node_.take_quarantine_changes();
    for (const auto feature : quarantined)
        log_event(log_level::warning, "features_quarantined",
                  {{"features", std::to_string(raw(feature))}});
    for (const auto feature : cleared)
        log_event(log_level::info, "features_cleared",
                  {{"features", std::to_string(raw(feature))}});
    publish_state();
}

void control_task::receive(router_id from, std::string_view bytes)
{
    failure reason;
    const auto message =
        net::decode_datagram(datagram_keys_, from, bytes, reason);
    if (!message)
    {
        metrics_->record_datagram_rejected(
            name_in(failure_kind_names, reason.kind));
        return;
    }
    metrics_->record_datagram_received(
        fleet::message_names.at(message->index()),
        bytes.size() + net::datagram_header_bytes);
    node_.receive(net::monotonic_now(), from, *message);
    apply_effects();
}

void control_task::start_route(operation_id id, route_query query,
                               callback_table& callbacks)
{
    const auto now = net::monotonic_now();
    routes_[id] = {.callbacks = &callbacks, .body_hash = query.body_hash};
    const auto request = query.body_hash;
    const bool is_retry = query.is_retry;
    node_.admit(now, request, is_retry,
                [this, id, query = std::move(query)](bool admitted) mutable
                {
                    // The session may have ended while judges were asked.
                    if (!routes_.contains(id))
                        return;
                    if (admitted)
                    {
                        start_admitted_route(id, std::move(query));
                        return;
                    }
                    deliver_route_response(
                        id, {.status = route_status::quarantined});
                    routes_.erase(id);
                });
    apply_effects();
}

void control_task::start_admitted_route(operation_id id, route_query query)
{
    const auto now = net::monotonic_now();
    if (query.is_retry &&
        !node_.try_spend_retry(now, query.requirements.customer))
    {
        deliver_route_response(id, {.status = route_status::retries_spent});
        routes_.erase(id);
        return;
    }
    if (!query.is_retry)
        node_.record_first_attempt(now, query.requirements.customer);
    query.requirements.suspect = node_.is_crash_suspect(now, query.body_hash);
    const auto ticket = node_.begin_route(now, query.requirements);
    routes_[id].ticket = ticket;
    routes_by_ticket_[ticket] = id;
}

void control_task::finish_route(operation_id id, const route_result& result)
{
    const auto found = routes_.find(id);
    if (found == routes_.end())
        return;
    const auto entry = found->second;
    routes_.erase(found);
    routes_by_ticket_.erase(entry.ticket);
    const auto now = net::monotonic_now();
    if (result.crashed)
        node_.report_crash(now, entry.body_hash, entry.upstream);
    else if (result.outcome == routing::outcome::completed)
        node_.record_response(now, entry.body_hash);
    node_.end_route(now, entry.ticket, result.outcome, result.first_token_ms);
    apply_effects();
}

void control_task::deliver_route_response(operation_id id,
                                          const route_response& response)
{
    if (const auto found = routes_.find(id); found != routes_.end())
        found->second.callbacks->deliver(id, response);
}

void control_task::apply_effects()
{
    for (const auto& effect : node_.take_effects())
        std::visit([this](const auto& alternative) { apply(alternative); },
                   effect);
}

void control_task::apply(const fleet::send_message& effect)
{
    const auto bytes =
        net::encode_datagram(datagram_keys_, own_id_, effect.content);
    metrics_->record_datagram_sent(
        fleet::message_names.at(effect.content.index()),
        bytes.size() + net::datagram_header_bytes);
    socket_->send(effect.to, bytes);
}

void control_task::record_kv_revision(const net::revision_monitor::mark& sent,
                                      std::int64_t revision)
{
    const auto now = net::monotonic_now();
    if (!kv_revisions_.record(now, sent, revision))
        return;
    log_event(log_level::warning, "kv_restored",
              {{"known_revision", std::to_string(sent.revision)},
               {"revision", std::to_string(revision)}});
    node_.on_kv_restored(now, sent.known_at);
}

void control_task::apply(const fleet::read_preset& /*effect*/)
{
    kv_client_->read(
        {active_preset_key(), {}},
        [this, sent = kv_revisions_.current()](
            const std::optional<net::kv_range_result>& result, const failure&)
        {
            metrics_->record_platform_call("preset_read", result.has_value());
            fleet::node::preset_response response{result.has_value(), {}};
            if (result)
            {
                preset_revision_ = result->revision;
                record_kv_revision(sent, result->revision);
            }
            if (result && !result->entries.empty())
                response.envelope = result->entries.front().value;
            node_.on_preset_read(net::monotonic_now(), response);
            apply_effects();
        });
}

void control_task::apply(const fleet::watch_preset& /*effect*/)
{
    kv_client_->wait_for_change(
        active_preset_key(), preset_revision_,
        [this](const std::optional<net::kv_entry>& entry, const failure&)
        {
            metrics_->record_platform_call("preset_watch", entry.has_value());
            fleet::node::preset_response response{entry.has_value(), {}};
            if (entry)
                response.envelope = entry->value;
            node_.on_watch_ended(net::monotonic_now(), response);
            apply_effects();
        });
}

void control_task::apply(const fleet::replace_preset& effect)
{
    const auto& item = effect.replacement;
    log_event(log_level::warning, "preset_outdated_in_kv",
              {{"generation", std::to_string(item.number)}});
    net::kv_transaction transaction;
    // A restored service gives out revisions again, so only the value
    // identifies the preset that was read.
    if (item.stored)
        transaction.conditions.push_back(
            {.key = active_preset_key(),
             .target = net::kv_compare_target::value,
             .value_operand = *item.stored});
    else
        transaction.conditions.push_back(
            {.key = active_preset_key(),
             .target = net::kv_compare_target::version});
    transaction.puts.push_back({active_preset_key(), item.envelope});
    transaction.puts.push_back(
        {preset_history_key(item.number), item.envelope});
    kv_client_->commit(
        transaction,
        [this, sent = kv_revisions_.current()](
            const std::optional<net::kv_transaction_result>& result,
            const failure&)
        {
            metrics_->record_platform_call("preset_replace",
                                           result.has_value());
            if (result)
                record_kv_revision(sent, result->revision);
            node_.on_preset_replaced(net::monotonic_now(), result.has_value());
            apply_effects();
        });
}

void control_task::apply(const fleet::pull_preset& effect)
{
    net::http_request request;
    auto host = to_string(effect.peer);
    host.erase(host.rfind(':'));
    const bool tls = !settings_.tls_certificate.empty();
    request.url = std::string{tls ? "https://" : "http://"} + host + ":" +
                  std::to_string(effect.http_port) + "/control/preset";
    request.headers.push_back({"X-Fleet-Mac", peer_mac(preset_request_line)});
    request.timeout = preset_pull_timeout;
    http_client_->send(
        request,
        [this](const std::optional<net::http_response>& reply, const failure&)
        {
            metrics_->record_platform_call("preset_pull", reply.has_value());
            std::optional<std::string> envelope;
            const auto root = reply && reply->status == status_ok
                                  ? json::parse(reply->body, nullptr, false)
                                  : json{};
            if (root.is_object())
            {
                const auto text = root.value("envelope", "");
                if (verify_peer(text, root.value("mac", "")))
                    envelope = text;
            }
            node_.on_preset_pulled(net::monotonic_now(), envelope);
            apply_effects();
        });
}

void control_task::apply(const fleet::read_load& effect)
{
    net::http_request request;
    request.url = "http://" + effect.address + "/load";
    request.timeout = load_report_timeout;
    http_client_->send(
        request,
        [this, upstream = effect.upstream](
            const std::optional<net::http_response>& reply, const failure&)
        {
            metrics_->record_platform_call("load", reply.has_value());
            const auto report = reply && reply->status == status_ok
                                    ? parse_load_report(reply->body)
                                    : std::nullopt;
            node_.on_load_read(net::monotonic_now(), upstream, report);
            apply_effects();
        });
}

void control_task::apply(const fleet::read_host_list& /*effect*/)
{
    if (settings_.host_list_url.empty())
        return;
    net::http_request request;
    request.url = settings_.host_list_url;
    http_client_->send(
        request,
        [this](const std::optional<net::http_response>& reply, const failure&)
        {
            metrics_->record_platform_call("host_list", reply.has_value());
            if (!reply || reply->status != status_ok)
                return;
            const auto root = json::parse(reply->body, nullptr, false);
            std::vector<membership::upstream_record> upstreams;
            std::vector<router_id> routers;
            for (const auto& item : root.value("hosts", json::array()))
            {
                const auto address =
                    parse_endpoint(item.value("control_address", ""));
                if (address)
                    routers.push_back(make_router_id(*parse_ipv4(address->host),
                                                     address->port));
                else
                    upstreams.push_back(
                        {make_upstream_id(item.value("name", "")),
                         item.value("version", 0U),
                         item.value("state", "live") == "leaving"});
            }
            node_.on_host_list_read(upstreams, routers);
        });
}

void control_task::apply(const fleet::check_store& effect)
{
    kv_client_->read(
        {shard_marker_key(0), {}},
        [this, sent = kv_revisions_.current(), sent_at = effect.sent_at](
            const std::optional<net::kv_range_result>& result, const failure&)
        {
            metrics_->record_platform_call("store_check", result.has_value());
            if (!result)
                return;
            record_kv_revision(sent, result->revision);
            node_.on_store_checked(net::monotonic_now(), sent_at);
            apply_effects();
        });
}

void control_task::apply(const ledger::read_entries& effect)
{
    const auto prefix = entry_key_prefix(effect.shard);
    net::kv_range range{effect.first ? entry_key(effect.shard, *effect.first)
                                     : prefix,
                        net::prefix_end(prefix)};
    range.limit = effect.limit;
    kv_client_->read(
        range,
        [this, sent = kv_revisions_.current(), shard = effect.shard, prefix](
            const std::optional<net::kv_range_result>& result, const failure&)
        {
            metrics_->record_platform_call("ledger_read", result.has_value());
            std::optional<std::vector<ledger::log_entry>> entries;
            if (result)
            {
                record_kv_revision(sent, result->revision);
                entries.emplace();
                for (const auto& item : result->entries)
                    entries->push_back(
                        {std::stoull(item.key.substr(prefix.size())),
                         item.value});
            }
            node_.on_entries_read(net::monotonic_now(), shard, entries);
            apply_effects();
        });
}

void control_task::apply(const ledger::create_entry& effect)
{
    using target = net::kv_compare_target;
    using relation = net::kv_compare_relation;
    const auto key = entry_key(effect.shard, effect.number);
    net::kv_transaction transaction;
    transaction.conditions.push_back(
        {key, target::version, relation::equal, 0});
    transaction.puts.push_back({key, effect.bytes});
    if (effect.number == 1)
    {
        transaction.conditions.push_back({shard_marker_key(effect.shard),
                                          target::version, relation::equal, 0});
        transaction.puts.push_back({shard_marker_key(effect.shard), "1"});
    }
    else
        transaction.conditions.push_back(
            {.key = entry_key(effect.shard, effect.number - 1),
             .target = target::value,
             .value_operand = effect.predecessor});
    kv_client_->commit(
        transaction,
        [this, sent = kv_revisions_.current(), shard = effect.shard](
            const std::optional<net::kv_transaction_result>& result,
            const failure&)
        {
            metrics_->record_platform_call("ledger_write", result.has_value());
            std::optional<bool> created;
            if (result)
            {
                record_kv_revision(sent, result->revision);
                created = result->succeeded;
            }
            node_.on_entry_created(net::monotonic_now(), shard, created);
            apply_effects();
        });
}

void control_task::apply(const ledger::delete_entries& effect)
{
    net::kv_transaction transaction;
    transaction.deletes.push_back({entry_key(effect.shard, effect.first),
                                   entry_key(effect.shard, effect.end)});
    kv_client_->commit(
        transaction,
        [this, effect](const std::optional<net::kv_transaction_result>& result,
                       const failure&)
        {
            metrics_->record_platform_call("ledger_compaction",
                                           result.has_value());
            if (result && result->succeeded)
                node_.on_entries_deleted(effect.shard, effect.end);
        });
}

void control_task::apply(const fleet::route_decided& effect)
{
    const auto found = routes_by_ticket_.find(effect.decision.ticket);
    if (found == routes_by_ticket_.end())
        return;
    const auto id = found->second;
    auto& entry = routes_.at(id);
    entry.upstream = effect.decision.upstream;
    const auto status = to_route_status(effect.decision.result);
    deliver_route_response(id,
                           {.status = status,
                            .upstream = effect.decision.upstream,
                            .upstream_name = effect.upstream_name,
                            .address = effect.address,
                            .choice_index = effect.decision.candidate_index});
    if (status == route_status::granted)
        return;
    routes_.erase(id);
    routes_by_ticket_.erase(found);
}

void control_task::apply(const fleet::claim_decided& effect)
{
    const auto found = claims_by_ticket_.find(effect.decision.ticket);
    if (found == claims_by_ticket_.end())
        return;
    const auto id = found->second;
    claims_by_ticket_.erase(found);
    const auto& entry = claims_.at(id);
    entry.callbacks->deliver(id, effect.decision);
    if (effect.decision.result != ledger::claim_result::accepted)
        claims_.erase(id);
}

void control_task::apply(const fleet::preset_adopted& effect)
{
    log_event(log_level::info, "preset_adopted",
              {{"generation", std::to_string(effect.preset->generation_number)},
               {"name", effect.preset->value.name},
               {"author", effect.preset->author}});
    publish_state();
}

void control_task::publish_state()
{
    const published_state new_state{
        node_.preset(), node_.current_readiness(net::monotonic_now())};
    if (new_state.preset == state_.preset &&
        new_state.readiness == state_.readiness)
        return;
    if (new_state.readiness != state_.readiness)
        log_event(log_level::info, "readiness",
                  {{"from", std::string{name_in(fleet::readiness_names,
                                                state_.readiness)}},
                   {"to", std::string{name_in(fleet::readiness_names,
                                              new_state.readiness)}}});
    state_ = new_state;
    for (const auto& item : subscribers_)
        item.loop->post([callback = item.callback, state = state_]
                        { callback(state); });
}

void control_task::update_gauges()
{
    const auto now = net::monotonic_now();
    const auto ledger_totals = node_.ledger_totals();
    const auto& permit_client = node_.client();
    const auto to_double = [](auto value)
    {
        return static_cast<double>(value);
    };
    metrics_->set("baobab_members",
                  to_double(node_.members().live_members().size()));
    metrics_->set(
        "baobab_preset_generation",
        to_double(state_.preset ? state_.preset->generation_number : 0));
    metrics_->set("baobab_owned_upstreams",
                  to_double(node_.owner().owned_upstreams().size()));
    metrics_->set("baobab_permits_held", to_double(permit_client.held_count()));
    metrics_->set("baobab_permit_asks",
                  to_double(permit_client.counts().requests));
    metrics_->set("baobab_permit_first_choices",
                  to_double(permit_client.counts().first_choice_grants));
    metrics_->set("baobab_permit_other_choices",
                  to_double(permit_client.counts().other_choice_grants));
    metrics_->set("baobab_quarantined_requests",
                  to_double(node_.quarantined_count(now)));
    metrics_->set("baobab_ledger_writes",
                  to_double(ledger_totals.total.writes));
    metrics_->set("baobab_ledger_records",
                  to_double(ledger_totals.total.records));
    metrics_->set("baobab_ledger_lost_races",
                  to_double(ledger_totals.total.lost_races));
    metrics_->set("baobab_ledger_unknown_writes",
                  to_double(ledger_totals.total.unknown_writes));
    metrics_->set("baobab_ledger_damaged_entries",
                  to_double(ledger_totals.total.damaged_entries));
    metrics_->set("baobab_ledger_keys", to_double(ledger_totals.keys));
    metrics_->set("baobab_ready",
                  state_.readiness == fleet::readiness::ready ? 1 : 0);
}

std::string control_task::status_page() const
{
    const auto now = net::monotonic_now();
    json members = json::array();
    for (const auto& member : node_.members().all_members())
        members.push_back(
            {{"id", to_string(member.id)},
             {"state", name_in(membership::member_state_names, member.state)},
             {"http_port", member.http_port},
             {"incarnation", member.incarnation}});
    json upstreams = json::array();
    for (const auto& item : node_.owner().status(now))
    {
        std::string name;
        if (state_.preset)
            for (const auto& service : state_.preset->value.services)
                for (const auto& upstream : service.upstreams)
                    if (upstream.id == item.upstream)
                        name = upstream.name;
        upstreams.push_back(
            {{"name", name},
             {"owner", to_string(own_id_)},
             {"state", name_in(routing::warmup_state_names, item.state)},
             {"available", item.available},
             {"admitted", item.admitted},
             {"load", item.load},
             {"limit", item.limit},
             {"waiting", item.waiting},
             {"mean_load", item.mean_load},
             {"first_token_ms", item.first_token_ms},
             {"setbacks", item.outages}});
    }
    json verdicts = json::object();
    for (const auto& row : routing::verdict_names)
        verdicts[std::string{row.name}] =
            node_.owner().counts().at(static_cast<std::size_t>(row.value));
    return json{
        {"id", to_string(own_id_)},
        {"data_centre", settings_.data_centre},
        {"readiness", name_in(fleet::readiness_names, state_.readiness)},
        {"generation", state_.preset ? state_.preset->generation_number : 0},
        {"preset", state_.preset ? state_.preset->value.name : std::string{}},
        {"members", members},
        {"owned_upstreams", upstreams},
        {"verdicts", verdicts}}
        .dump();
}

std::string control_task::burn_page() const
{
    json rows = json::array();
    for (const auto& row : burn_.rows(net::monotonic_now()))
    {
        json windows = json::object();
        for (std::size_t index = 0; index < burn_windows.size(); ++index)
            windows[std::string{burn_window_names.at(index)}] = {
                {"total", row.windows.at(index).total},
                {"missed", row.windows.at(index).missed}};
        rows.push_back(
            {{"service", row.key.service},
             {"customer", row.key.customer},
             {"objective", name_in(objective_names, row.key.objective_kind)},
             {"target", row.target},
             {"windows", windows}});
    }
    return json{{"rows", rows}}.dump();
}

std::string control_task::envelope_page() const
{
    const auto envelope =
        state_.preset ? config::to_envelope(*state_.preset) : std::string{};
    return json{{"envelope", envelope}, {"mac", peer_mac(envelope)}}.dump();
}

} // namespace baobabloft::router
