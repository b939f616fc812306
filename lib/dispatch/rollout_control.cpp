#include "baobabloft/dispatch/rollout_control.hpp"

namespace baobabloft::dispatch
{

rollout_control::rollout_control(router_id /*self*/, std::uint32_t /*lifetime*/,
                                 member_source /*members*/,
                                 const rollout_options& /*options*/)
{
}

void rollout_control::set_options(const rollout_options& /*options*/) {}

void rollout_control::update(time_point /*now*/,
                             const directory::known_rollout& /*rollout*/,
                             const rollout_upstreams& /*upstreams*/)
{
}

void rollout_control::retain(
    const std::function<bool(const std::string&)>& /*has_order*/)
{
}

version_choice rollout_control::choose(time_point /*now*/,
                                       const std::string& /*service*/,
                                       std::uint64_t /*key*/,
                                       bool /*is_repeat*/)
{
    return {};
}

void rollout_control::record_sent(time_point /*now*/,
                                  const std::string& /*service*/,
                                  bool /*is_target*/)
{
}

void rollout_control::record_ended(const std::string& /*service*/,
                                   bool /*is_target*/)
{
}

void rollout_control::record_outcome(time_point /*now*/,
                                     const rollout_outcome& /*outcome*/)
{
}

void rollout_control::tick(time_point /*now*/) {}

void rollout_control::handle(time_point /*now*/, router_id /*from*/,
                             const rollout_report& /*message*/)
{
}

void rollout_control::handle(time_point /*now*/, router_id /*from*/,
                             const rollout_response& /*message*/)
{
}

std::vector<addressed_rollout_message> rollout_control::take_messages()
{
    return {};
}

std::vector<rollout_write> rollout_control::take_writes()
{
    return {};
}

std::vector<rollout_event> rollout_control::take_events()
{
    return {};
}

void rollout_control::handle_write_end(time_point /*now*/,
                                       const std::string& /*service*/,
                                       rollout_write_end /*end*/)
{
}

std::vector<rollout_summary>
rollout_control::summaries(time_point /*now*/) const
{
    return {};
}

} // namespace baobabloft::dispatch
