// The relay's part in finding requests, and parts of prompts, that crash
// upstreams.
#include "router_address.hpp"

#include "baobabloft/relay/relay.hpp"
#include "baobabloft/router/log.hpp"
#include "baobabloft/support/hash.hpp"

#include <algorithm>
#include <map>

namespace baobabloft::relay
{

namespace
{

using router::log_event;
using router::log_level;

/// Within this time, resets of all other connections to a crashed upstream have
/// arrived.
constexpr duration crash_check_delay = 60ms;
/// A crashed upstream refuses a new connection well within this time.
constexpr duration crash_probe_timeout = 200ms;
constexpr std::size_t max_parts_per_datagram = 100;
/// Routers asked for the parts in quarantine after a start.
constexpr std::size_t max_routers_to_ask = 5;

/// The names of all routers and their hashes, by which judges are ranked.
struct router_names
{
    explicit router_names(const directory::directory_state& state)
    {
        for (const auto& [name, router] : state.routers())
        {
            names.push_back(name);
            hashes.push_back(hash_bytes(name));
        }
    }

    std::vector<std::string> names;
    std::vector<std::uint64_t> hashes;
};

std::string joined(std::span<const prompt_part_id> parts)
{
    std::string text;
    for (const auto part : parts)
        text += (text.empty() ? "" : ",") + std::to_string(raw(part));
    return text;
}

} // namespace

void relay::schedule_crash_check(const crash_suspect& suspect,
                                 const std::string& upstream)
{
    const auto open_before = context_.pool.open_count(upstream);
    loop_.run_after(crash_check_delay, [this, suspect, upstream, open_before]
                    { check_crash(suspect, upstream, open_before); });
}

void relay::check_crash(const crash_suspect& suspect,
                        const std::string& upstream, std::size_t open_before)
{
    // A crash ends every connection to the upstream; a lost response only its
    // own.
    if (context_.pool.open_count(upstream) > 0)
        return;
    if (open_before > 0)
    {
        record_crash(suspect, upstream);
        return;
    }
    const auto& known = context_.follower.state().upstreams();
    const auto found = known.find(upstream);
    if (found == known.end())
        return;
    const auto probe =
        http::tcp_stream::connect(loop_, found->second.record.address, {});
    if (!probe)
        return;
    probe->set_handlers(
        {.on_connected =
             [weak = std::weak_ptr{probe}]
         {
             if (const auto connection = weak.lock())
                 connection->close();
         },
         .on_data = nullptr,
         .on_end =
             [this, suspect, upstream](http::stream_end_reason end)
         {
             if (end == http::stream_end_reason::connect_failed)
                 record_crash(suspect, upstream);
         },
         .on_drained = nullptr});
    // Keeps the probe alive until its result is known or the time is up.
    loop_.run_after(crash_probe_timeout, [probe] { probe->close(); });
}

void relay::record_crash(const crash_suspect& suspect,
                         const std::string& upstream)
{
    const auto now = net::boot_now();
    const routing::crash_notice notice{suspect.request,
                                       make_upstream_id(upstream)};
    context_.crashes.record_crash(now, suspect.request, notice.upstream);
    const bool is_quarantined =
        context_.crashes.state_of(now, suspect.request) ==
        routing::crash_state::quarantined;
    log_event(log_level::warning, "upstream_crashed",
              {{"upstream", upstream},
               {"fingerprint", std::to_string(raw(suspect.request))},
               {"parts", joined(suspect.parts)},
               {"quarantined", is_quarantined ? "yes" : "no"}});
    send_to_all(notice);
    report_to_judges(now, {suspect.request, notice.upstream, suspect.parts});
}

void relay::report_to_judges(time_point now,
                             const routing::part_crash_report& report)
{
    const router_names routers{context_.follower.state()};
    std::map<std::string, routing::part_crash_report> by_judge;
    for (const auto part : report.parts)
        for (const auto judge : routing::judges_of(part, routers.hashes))
            by_judge
                .try_emplace(routers.names[judge],
                             routing::part_crash_report{
                                 report.request, report.upstream, {}})
                .first->second.parts.push_back(part);
    const auto& records = context_.follower.state().routers();
    for (const auto& [name, judged] : by_judge)
        if (name == options_.router_name)
            context_.crashing_parts.record_crash(now, judged);
        else if (const auto id = router_id_at(records.at(name).control_address);
                 id && router_socket_)
            send_datagram(*id, judged);
}

void relay::judge_parts()
{
    const auto now = net::boot_now();
    const auto decisions = context_.crashing_parts.take_decisions(now);
    for (const auto& query : decisions.queries)
        send_to_all(query);
    if (decisions.quarantined.empty())
        return;
    quarantine_parts(decisions.quarantined);
    send_to_all(routing::part_quarantine{decisions.quarantined});
}

void relay::quarantine_parts(std::span<const prompt_part_id> parts)
{
    const auto now = net::boot_now();
    const router_names routers{context_.follower.state()};
    std::vector<prompt_part_id> added;
    for (const auto part : parts)
    {
        const auto judges = routing::judges_of(part, routers.hashes);
        const bool may_try = !judges.empty() && routers.names[judges.front()] ==
                                                    options_.router_name;
        if (context_.crashing_parts.quarantine(now, part, may_try))
            added.push_back(part);
    }
    if (!added.empty())
        log_event(log_level::warning, "parts_quarantined",
                  {{"parts", joined(added)}});
}

void relay::announce_cleared(std::vector<prompt_part_id> parts)
{
    log_event(log_level::info, "parts_cleared", {{"parts", joined(parts)}});
    send_to_all(routing::part_cleared{std::move(parts)});
}

void relay::query_quarantine()
{
    // Routers that start together ask different ones.
    const auto& routers = context_.follower.state().routers();
    auto item = routers.upper_bound(options_.router_name);
    for (std::size_t asked = 0;
         asked < std::min(routers.size(), max_routers_to_ask); ++asked)
    {
        if (item == routers.end())
            item = routers.begin();
        if (const auto id = router_id_at(item->second.control_address);
            id && item->first != options_.router_name)
            send_datagram(*id, routing::quarantine_query{});
        ++item;
    }
}

void relay::handle(router_id /*from*/, const routing::crash_notice& message)
{
    context_.crashes.record_crash(net::boot_now(), message.request,
                                  message.upstream);
}

void relay::handle(router_id from, const routing::part_crash_report& message)
{
    // The sender may have missed the quarantine of a part.
    if (auto known =
            context_.crashing_parts.record_crash(net::boot_now(), message);
        !known.empty())
        send_datagram(from, routing::part_quarantine{std::move(known)});
}

void relay::handle(router_id from, const routing::part_query& message)
{
    if (auto cleared =
            context_.crashing_parts.successes(net::boot_now(), message);
        !cleared.empty())
        send_datagram(from, routing::part_cleared{std::move(cleared)});
}

void relay::handle(router_id /*from*/, const routing::part_cleared& message)
{
    context_.crashing_parts.clear(net::boot_now(), message.parts);
}

void relay::handle(router_id /*from*/, const routing::part_quarantine& message)
{
    quarantine_parts(message.parts);
}

void relay::handle(router_id from, const routing::quarantine_query& /*message*/)
{
    auto parts = context_.crashing_parts.quarantined(net::boot_now());
    parts.resize(std::min(parts.size(), max_parts_per_datagram));
    if (!parts.empty())
        send_datagram(from, routing::part_quarantine{std::move(parts)});
}

} // namespace baobabloft::relay
