// Every message that routers exchange, as one variant. The order is part of
// the wire format: new kinds go to the end.
#pragma once

#include "baobabloft/directory/messages.hpp"
#include "baobabloft/ledger/messages.hpp"
#include "baobabloft/membership/records.hpp"
#include "baobabloft/routing/messages.hpp"

#include <variant>

namespace baobabloft::fleet
{

/// Says that the sender has adopted preset number `generation`.
struct preset_notice
{
    std::uint64_t generation = 0;
};

using message = std::variant<
    membership::ping, membership::ping_ack, membership::indirect_ping,
    membership::join_request, membership::member_list, routing::permit_ask,
    routing::permit_answer, routing::permit_release, routing::permit_hold,
    routing::permit_cancel, routing::suspect_cleared, routing::slow_first_token,
    ledger::append_request, ledger::append_reply, preset_notice,
    routing::load_digest, directory::change_query, directory::change_response,
    directory::change_notice, routing::crash_notice, directory::entry_query,
    directory::entry_part>;

/// Names of the message kinds, in the order of the variant, for metrics.
inline constexpr std::array message_names{
    "ping",           "ping_ack",      "indirect_ping",   "join_request",
    "member_list",    "permit_ask",    "permit_answer",   "permit_release",
    "permit_hold",    "permit_cancel", "suspect_cleared", "slow_first_token",
    "append_request", "append_reply",  "preset_notice",   "load_digest",
    "change_ask",     "change_answer", "change_notice",   "crash_notice",
    "entry_ask",      "entry_part"};

static_assert(message_names.size() == std::variant_size_v<message>,
              "each message kind needs a name");

} // namespace baobabloft::fleet
