// The request rate that one upstream accepts from all routers together, as it
// states in its responses, and one router's part of it. The routers divide the
// rate without an owner: rendezvous hashing chooses as many of them as may each
// send a request at any moment.
#pragma once

#include "baobabloft/support/enum_names.hpp"
#include "baobabloft/support/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace baobabloft::dispatch
{

/// What a response to some router says of its upstream's limit.
struct rate_limit_statement
{
    /// Requests per second from all routers; empty if there is no limit.
    std::optional<double> rate;
    /// When a response with a limit arrived. For one without, when its request
    /// was sent: other responses may have overtaken it.
    time_point as_of;
};

/// One router's place among those that may send to an upstream.
struct router_place
{
    /// Number of routers that are chosen before this one.
    std::size_t rank = 0;
    std::size_t routers = 1;
};

/// How a statement changed what is known.
enum class rate_limit_change : std::uint8_t
{
    none,
    set,
    changed,
    ended
};

inline constexpr std::array rate_limit_change_names{
    enum_name<rate_limit_change>{rate_limit_change::none, "none"},
    enum_name<rate_limit_change>{rate_limit_change::set, "set"},
    enum_name<rate_limit_change>{rate_limit_change::changed, "changed"},
    enum_name<rate_limit_change>{rate_limit_change::ended, "ended"},
};

/// The limit of one upstream in one of its lifetimes.
class upstream_rate_limit
{
public:
    /// Records a statement to any router, unless a later one is known.
    /// `recently_sent` is the number of requests that this router has just sent
    /// to the upstream.
    rate_limit_change record(time_point now, const rate_limit_statement& said,
                             std::uint32_t recently_sent);
    /// Records a statement to this router, to be passed on to other routers.
    rate_limit_change record_own(time_point now,
                                 const rate_limit_statement& said,
                                 std::uint32_t recently_sent);
    /// Records that this router sends a request.
    void record_sent(time_point now);
    /// Sets this router's place, which is unknown at first: until then it sends
    /// nothing while there is a limit.
    void set_place(time_point now, const router_place& place);
    /// Returns when set_place() was called last.
    [[nodiscard]] std::optional<time_point> placed_at() const;

    /// Returns the limit for all routers, if there is one.
    [[nodiscard]] std::optional<double> rate() const;
    /// Returns true if this router may send a request now.
    [[nodiscard]] bool permits(time_point now) const;
    /// Returns when this router may send its next request, and when a router
    /// that was chosen may be expected to.
    [[nodiscard]] time_point next_permitted(time_point now) const;
    [[nodiscard]] time_point next_permitted_anywhere(time_point now) const;

    /// Returns the last statement unless it is too old to be passed on.
    [[nodiscard]] std::optional<rate_limit_statement>
    statement(time_point now) const;
    /// Returns the last statement to this router unless it is too old for a
    /// report.
    [[nodiscard]] std::optional<rate_limit_statement>
    own_statement(time_point now) const;
    /// Returns true if there is no limit, and has not been for a while.
    [[nodiscard]] bool is_over(time_point now) const;

private:
    [[nodiscard]] bool is_chosen() const;
    /// Returns the requests per second of a chosen router.
    [[nodiscard]] double own_rate() const;
    /// Returns the requests that a chosen router may send at once.
    [[nodiscard]] double burst() const;
    /// Returns the requests sent beyond those that `own_rate()` has allowed.
    [[nodiscard]] double debt(time_point now) const;
    /// Returns the time after which a router that was not chosen may test
    /// whether the limit still holds, if it hears nothing.
    [[nodiscard]] duration patience() const;

    std::optional<rate_limit_statement> said_;
    std::optional<rate_limit_statement> own_;
    time_point own_heard_at_;
    time_point ended_at_;
    std::optional<router_place> place_;
    std::optional<time_point> placed_at_;
    double debt_ = 0;
    /// Time to which `debt_` refers.
    time_point settled_at_;
    time_point last_sent_at_;
};

} // namespace baobabloft::dispatch
