// The relay's use of the store: follows the directory and keeps this router's
// own entry registered.
#include "store_timeout.hpp"

#include "baobabloft/relay/relay.hpp"
#include "baobabloft/router/log.hpp"

#include <algorithm>

namespace baobabloft::relay
{

namespace
{

using router::log_event;
using router::log_level;

/// Lifetime of this router's entry; after the last renewal, other routers count
/// this router as a member for this long. Whether a router responds is found
/// out by queries, so the entry may outlive it.
constexpr duration registration_lifetime = 24s;
constexpr duration registration_period = 8s;
constexpr duration registration_retry = 500ms;
/// Pause after a renewal that failed; the lease outlives several of these.
constexpr duration renewal_retry = 2s;
/// After a restore or an outage of the store, routers register again or renew
/// their leases within this time.
constexpr duration registration_spread = 1s;

} // namespace

void relay::follow_directory()
{
    if (const auto call = context_.follower.next_call(net::boot_now()))
        std::visit([this](const auto& typed_call) { start_call(typed_call); },
                   *call);
    process_directory_events();
    compare_config_versions();
}

void relay::record_store_call(std::string_view kind, bool succeeded,
                              const failure& reason)
{
    context_.counters.record_platform_call(kind, succeeded);
    if (succeeded == store_reachable_)
        return;
    store_reachable_ = succeeded;
    log_event(
        succeeded ? log_level::info : log_level::warning,
        succeeded ? "store_regained" : "store_lost",
        {{"call", std::string{kind}},
         {"proof_age_ms",
          std::to_string(context_.confirmation_age(net::boot_now()) / 1ms)},
         {"reason", reason.message}});
    // Routers that wait for the store's return query this one at once.
    if (succeeded && store_was_unavailable_)
        notify_routers();
}

void relay::start_call(const directory::read_page& call)
{
    store_.read_page(call.after, store_timeout,
                     [this](const std::optional<directory::entry_page>& page,
                            const failure& reason)
                     {
                         const auto now = net::boot_now();
                         if (page)
                             context_.follower.handle_page(now, *page);
                         else
                             context_.follower.handle_call_failure(now);
                         record_store_call("directory_read", page.has_value(),
                                           reason);
                         follow_directory();
                     });
}

void relay::start_call(const directory::watch_changes& call)
{
    store_.watch(call, call.wait + store_timeout,
                 [this](const watch_result& result, const failure& reason)
                 {
                     const auto now = net::boot_now();
                     auto& follower = context_.follower;
                     if (result.changes)
                         follower.handle_changes(now, *result.changes);
                     else if (result.history_lost || result.is_too_long)
                     {
                         log_event(log_level::info, "store_history_lost",
                                   {{"reason", reason.message}});
                         follower.handle_history_loss(now, result.era);
                     }
                     else
                         follower.handle_call_failure(now);
                     record_store_call("directory_watch",
                                       result.changes || result.history_lost,
                                       reason);
                     follow_directory();
                 });
}

void relay::start_call(const directory::read_entry& call)
{
    store_.read_entry(
        call.key, store_timeout,
        [this](const std::optional<directory::entry_lookup>& result,
               const failure& reason)
        {
            const auto now = net::boot_now();
            if (result)
                context_.follower.handle_entry(now, *result);
            else
                context_.follower.handle_call_failure(now);
            record_store_call("directory_entry", result.has_value(), reason);
            follow_directory();
        });
}

void relay::apply_caller_limits()
{
    callers_.set_limits(caller_limits());
}

void relay::process_directory_events()
{
    using event_kind = directory::directory_event::event_kind;
    const auto changes = context_.follower.state().take_events();
    if (std::ranges::any_of(changes,
                            [](const auto& change) {
                                return change.kind != event_kind::entries_read;
                            }))
        notify_routers();
    for (const auto& change : changes)
    {
        const auto kind =
            name_in(directory::directory_event_names, change.kind);
        context_.counters.increment("baobab_directory_changes_total", "kind",
                                    kind);
        if (change.kind == event_kind::config_adopted)
            apply_caller_limits();
    }
    for (const auto& change : changes)
        log_event(log_level::info,
                  name_in(directory::directory_event_names, change.kind),
                  {{"name", change.name},
                   {"detail", change.detail},
                   {"revision", std::to_string(change.mod_revision)}});
}

void relay::check_registration(time_point now)
{
    const auto& follower = context_.follower;
    if (!follower.has_complete_state() || registration_era_ == follower.era())
        return;
    // The lease may be lost and its id given out again.
    if (registration_era_)
        lease_.reset();
    std::uniform_real_distribution<double> distribution{0, 1};
    if (registration_era_)
        next_registration_at_ =
            now + from_seconds(distribution(context_.random) *
                               to_seconds(registration_spread));
    registration_era_ = follower.era();
}

void relay::maintain_registration()
{
    const auto now = net::boot_now();
    check_registration(now);
    if (registering_ || now < next_registration_at_ ||
        context_.is_shutting_down())
        return;
    if (!context_.follower.has_complete_state())
        return;
    if (context_.follower.is_store_unavailable(now))
    {
        std::uniform_real_distribution<double> distribution{0, 1};
        next_registration_at_ =
            now + from_seconds(distribution(context_.random) *
                               to_seconds(registration_spread));
        return;
    }
    registering_ = true;
    if (lease_)
    {
        store_.renew_lease(
            *lease_, store_timeout,
            [this](lease_renewal renewal, const failure& reason)
            {
                registering_ = false;
                if (renewal == lease_renewal::ended)
                {
                    log_event(log_level::info, "registration_lost");
                    lease_.reset();
                    return;
                }
                const bool renewed = renewal == lease_renewal::renewed;
                const auto& state = context_.follower.state();
                if (renewed && !state.is_router_listed(options_.router_name))
                {
                    log_event(log_level::info, "registration_missing");
                    lease_.reset();
                    return;
                }
                context_.counters.record_platform_call("lease_renewal",
                                                       renewed);
                if (!renewed)
                    log_event(log_level::debug, "registration_not_renewed",
                              {{"reason", reason.message}});
                next_registration_at_ =
                    net::boot_now() +
                    (renewed ? registration_period : renewal_retry);
            });
        return;
    }
    store_.grant_lease(
        registration_lifetime, store_timeout,
        [this](const std::optional<lease_id>& lease, const failure&)
        {
            context_.counters.record_platform_call("lease_grant",
                                                   lease.has_value());
            lease_ = lease;
            if (lease)
            {
                register_router();
                return;
            }
            registering_ = false;
            next_registration_at_ = net::boot_now() + registration_retry;
        });
}

void relay::register_router()
{
    store_.write_router(
        {options_.router_name, options_.control_listen, options_.data_centre},
        *lease_, store_timeout,
        [this](bool written, const failure& reason)
        {
            registering_ = false;
            context_.counters.record_platform_call("registration", written);
            log_event(log_level::info,
                      written ? "registered" : "registration_failed",
                      {{"reason", reason.message}});
            if (!written)
                lease_.reset();
            next_registration_at_ =
                net::boot_now() +
                (written ? registration_period : registration_retry);
        });
}

} // namespace baobabloft::relay
