// The relay's part in finding requests that crash upstreams.
#include "router_address.hpp"

#include "baobabloft/relay/relay.hpp"
#include "baobabloft/router/log.hpp"
#include "baobabloft/support/hash.hpp"

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

std::string joined(std::span<const request_feature> features)
{
    std::string text;
    for (const auto feature : features)
        text += (text.empty() ? "" : ",") + std::to_string(raw(feature));
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
    log_event(log_level::warning, "upstream_crashed",
              {{"upstream", upstream},
               {"fingerprint", std::to_string(raw(suspect.request))},
               {"features", joined(suspect.features)}});
    context_.protection.report_crash(
        net::boot_now(),
        {suspect.request, make_upstream_id(upstream), suspect.features});
    send_protection_messages();
}

std::vector<routing::fleet_member> relay::fleet_members() const
{
    std::vector<routing::fleet_member> members;
    for (const auto& [name, router] : context_.follower.state().routers())
        if (const auto id = router_id_at(router.control_address))
            members.push_back({*id, hash_bytes(name)});
    return members;
}

void relay::send_protection_messages()
{
    for (const auto& [to, content] : context_.protection.take_messages())
        if (router_socket_)
            std::visit([&, to = to](const auto& message)
                       { send_datagram(to, message); },
                       content);
    const auto [added, cleared] = context_.protection.take_changes();
    if (!added.empty())
        log_event(log_level::warning, "features_quarantined",
                  {{"features", joined(added)}});
    if (!cleared.empty())
        log_event(log_level::info, "features_cleared",
                  {{"features", joined(cleared)}});
}

} // namespace baobabloft::relay
