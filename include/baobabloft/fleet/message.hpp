// The variant of all messages that routers exchange. The position of a kind in
// the variant is its number on the wire, so new kinds are appended at the end.
#pragma once

#include "baobabloft/directory/messages.hpp"
#include "baobabloft/dispatch/messages.hpp"
#include "baobabloft/dispatch/rollout_messages.hpp"
#include "baobabloft/ledger/messages.hpp"
#include "baobabloft/membership/records.hpp"
#include "baobabloft/routing/messages.hpp"

#include <variant>

namespace baobabloft::fleet
{

/// Announces that the sender has adopted preset number `generation`.
struct preset_notice
{
    std::uint64_t generation = 0;
};

using message = std::variant<
    membership::ping, membership::ping_ack, membership::indirect_ping,
    membership::join_request, membership::member_list, routing::permit_request,
    routing::permit_response, routing::permit_release, routing::permit_renewal,
    routing::permit_cancel, routing::suspect_cleared, routing::slow_first_token,
    ledger::append_request, ledger::append_response, preset_notice,
    routing::load_digest, directory::change_query, directory::change_response,
    directory::change_notice, routing::crash_notice, directory::entry_query,
    directory::entry_part, dispatch::traffic_report, dispatch::traffic_summary,
    routing::feature_crash_report, routing::success_query,
    routing::features_cleared, routing::feature_quarantine,
    routing::quarantine_query, directory::config_query, directory::config_part,
    directory::listing_query, directory::listing_response,
    routing::older_successes, routing::quarantine_notice, routing::trial_query,
    routing::trial_response, dispatch::rollout_report,
    dispatch::rollout_response, ledger::history_query,
    ledger::history_response>;

/// Names of the message kinds for metrics, in the order of the variant.
inline constexpr std::array message_names{"ping",
                                          "ping_ack",
                                          "indirect_ping",
                                          "join_request",
                                          "member_list",
                                          "permit_ask",
                                          "permit_answer",
                                          "permit_release",
                                          "permit_hold",
                                          "permit_cancel",
                                          "suspect_cleared",
                                          "slow_first_token",
                                          "append_request",
                                          "append_reply",
                                          "preset_notice",
                                          "load_digest",
                                          "change_ask",
                                          "change_answer",
                                          "change_notice",
                                          "crash_notice",
                                          "entry_ask",
                                          "entry_part",
                                          "traffic_report",
                                          "traffic_summary",
                                          "feature_crash_report",
                                          "success_query",
                                          "features_cleared",
                                          "feature_quarantine",
                                          "quarantine_query",
                                          "config_query",
                                          "config_part",
                                          "listing_query",
                                          "listing_response",
                                          "older_successes",
                                          "quarantine_notice",
                                          "trial_query",
                                          "trial_response",
                                          "rollout_report",
                                          "rollout_response",
                                          "history_query",
                                          "history_response"};

static_assert(message_names.size() == std::variant_size_v<message>,
              "message_names must have one name per message kind");

} // namespace baobabloft::fleet
