// The relay's part in roll-outs: passes on what the directory and other routers
// say, sends messages and writes statuses.
#include "store_timeout.hpp"

#include "baobabloft/relay/relay.hpp"
#include "baobabloft/router/log.hpp"

#include <nlohmann/json.hpp>

namespace baobabloft::relay
{

namespace
{

using router::log_event;
using router::log_level;

constexpr std::array write_end_names{
    enum_name<dispatch::rollout_write_end>{dispatch::rollout_write_end::written,
                                           "written"},
    enum_name<dispatch::rollout_write_end>{
        dispatch::rollout_write_end::conflict, "conflict"},
    enum_name<dispatch::rollout_write_end>{dispatch::rollout_write_end::unknown,
                                           "unknown"},
};

} // namespace

dispatch::rollout_upstreams
relay::count_upstreams(const directory::known_rollout& rollout) const
{
    dispatch::rollout_upstreams result;
    const auto& state = context_.follower.state();
    for (const auto& [id, item] : state.upstreams())
    {
        const auto& record = item.record;
        if (record.service != rollout.order.service || record.draining ||
            state.is_out_of_service(record.data_centre))
            continue;
        if (record.version == rollout.order.target)
            ++result.of_target;
        else
            ++result.of_others;
    }
    return result;
}

void relay::run_rollouts()
{
    const auto now = net::boot_now();
    const auto& known = context_.follower.state().rollouts();
    for (const auto& [service, rollout] : known)
        context_.rollouts.update(now, rollout, count_upstreams(rollout));
    context_.rollouts.retain([&known](const std::string& service)
                             { return known.contains(service); });
    context_.rollouts.tick(now);
    perform_rollout_actions();
}

std::string relay::rollouts_page() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto& item : context_.rollouts.summaries(net::boot_now()))
        list.push_back(
            {{"service", item.service},
             {"target", item.target},
             {"phase",
              item.phase ? name_in(directory::rollout_phase_names, *item.phase)
                         : std::string_view{}},
             {"stage", name_in(dispatch::rollout_stage_names, item.stage)},
             {"share", item.share},
             {"age_s", to_seconds(item.age)},
             {"finish_within_s", to_seconds(item.finish_within)},
             {"is_judge", item.is_judge},
             {"requests", item.requests},
             {"target_requests", item.target_requests},
             {"target_responses", item.target_responses},
             {"target_failures", item.target_failures},
             {"target_slow", item.target_slow}});
    return list.dump();
}

void relay::handle(router_id from, const dispatch::rollout_report& message)
{
    context_.rollouts.handle(net::boot_now(), from, message);
    perform_rollout_actions();
}

void relay::handle(router_id from, const dispatch::rollout_response& message)
{
    context_.rollouts.handle(net::boot_now(), from, message);
    perform_rollout_actions();
}

void relay::perform_rollout_actions()
{
    for (const auto& [to, content] : context_.rollouts.take_messages())
        if (router_socket_)
            std::visit([&, to = to](const auto& message)
                       { send_datagram(to, message); },
                       content);
    for (const auto& change : context_.rollouts.take_events())
    {
        context_.counters.increment("baobab_rollout_changes_total", "change",
                                    change.change);
        log_event(log_level::info, "rollout",
                  {{"service", change.service},
                   {"target", change.target},
                   {"change", std::string{change.change}},
                   {"evidence", change.detail}});
    }
    for (const auto& write : context_.rollouts.take_writes())
        store_.write_rollout_status(
            write, store_timeout,
            [this, write](dispatch::rollout_write_end end,
                          const failure& reason)
            {
                context_.counters.record_platform_call(
                    "rollout_status",
                    end == dispatch::rollout_write_end::written);
                log_event(log_level::info, "rollout_status_write",
                          {{"service", write.service},
                           {"target", write.status.target},
                           {"phase",
                            std::string{name_in(directory::rollout_phase_names,
                                                write.status.phase)}},
                           {"end", std::string{name_in(write_end_names, end)}},
                           {"reason", reason.message}});
                context_.rollouts.handle_write_end(net::boot_now(),
                                                   write.service, end);
            });
}

} // namespace baobabloft::relay
