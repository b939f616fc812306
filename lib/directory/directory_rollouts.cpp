// The roll-outs in the directory state: orders, statuses and the phase in
// force.
#include "baobabloft/directory/directory_state.hpp"

#include <algorithm>

namespace baobabloft::directory
{

void directory_state::apply_rollout_order(time_point now,
                                          const rollout_order& order,
                                          const entry& item)
{
    const auto [found, added] = rollouts_.try_emplace(order.service);
    auto& known = found->second;
    const auto era = order_eras_.find(order.service);
    const bool was_withdrawn = era == order_eras_.end();
    // A restored store brings the order again, and operators write again what
    // it lost. Later, the same order is a repeated one.
    const bool is_same = !added && !was_withdrawn && known.order == order &&
                         (era->second != era_count_ || now < rewritten_by_);
    order_eras_[order.service] = era_count_;
    if (!is_same)
    {
        known = {.order = order, .first_seen = now};
        record_event(directory_event::event_kind::rollout_ordered,
                     order.service, "target " + order.target,
                     item.mod_revision);
    }
    known.order_revision = item.mod_revision;
    update_rollout_phase(order.service);
}

void directory_state::apply_rollout_status(const std::string& service,
                                           const rollout_status& status,
                                           const entry& item)
{
    rollout_statuses_[service] = {status, item.mod_revision};
    update_rollout_phase(service);
}

void directory_state::withdraw_rollout(const std::string& service)
{
    const auto found = rollouts_.find(service);
    if (order_eras_.erase(service) == 0 || found == rollouts_.end())
        return;
    auto& known = found->second;
    record_event(directory_event::event_kind::rollout_withdrawn, service,
                 "target " + known.order.target);
    if (known.phase == rollout_phase::complete ||
        !has_upstream_of(service, known.order.target))
    {
        rollouts_.erase(found);
        return;
    }
    known.phase = rollout_phase::reverted;
    known.is_status_lost = false;
}

void directory_state::update_rollout_phase(const std::string& service)
{
    const auto found = rollouts_.find(service);
    if (found == rollouts_.end() || !order_eras_.contains(service))
        return;
    auto& known = found->second;
    const auto listed = rollout_statuses_.find(service);
    const bool is_listed = listed != rollout_statuses_.end();
    known.status_revision = is_listed ? listed->second.mod_revision : 0;
    const bool applies = is_listed &&
                         listed->second.status.target == known.order.target &&
                         listed->second.mod_revision > known.order_revision;
    const auto is_final = [](std::optional<rollout_phase> phase)
    {
        return phase && *phase != rollout_phase::active;
    };
    if (applies && known.phase != listed->second.status.phase &&
        (is_final(listed->second.status.phase) || !is_final(known.phase)))
    {
        known.phase = listed->second.status.phase;
        record_event(directory_event::event_kind::rollout_phase_changed,
                     service,
                     std::string{name_in(rollout_phase_names, *known.phase)} +
                         ", target " + known.order.target,
                     listed->second.mod_revision);
    }
    known.is_status_lost =
        is_final(known.phase) &&
        !(applies && listed->second.status.phase == *known.phase);
}

bool directory_state::has_upstream_of(const std::string& service,
                                      const std::string& version) const
{
    return std::ranges::any_of(upstreams_,
                               [&](const auto& item)
                               {
                                   const auto& record = item.second.record;
                                   return record.service == service &&
                                          record.version == version;
                               });
}

} // namespace baobabloft::directory
