// Decides whether a request that no upstream can take waits at the router, and
// when the caller of a refused request may return.
#pragma once

#include "baobabloft/dispatch/sliding_count.hpp"
#include "baobabloft/support/enum_names.hpp"

#include <optional>
#include <string>
#include <unordered_map>

namespace baobabloft::dispatch
{

/// What a router knows about room at the upstreams of a service.
struct room_outlook
{
    /// The service has an upstream in service that does not leave.
    bool is_usable = false;
    /// When this router may try the first of these again, if the service is
    /// usable.
    time_point usable_from;
    /// When another router may, if that is sooner: where routers divide the
    /// rate that an upstream accepts, this one may have a small part or none.
    std::optional<time_point> usable_elsewhere_from;
};

/// Why a caller is asked to return at a time, or is not asked to return.
enum class return_reason : std::uint8_t
{
    /// Another router may serve the request now.
    other_router,
    /// An upstream is expected to have room for it by then.
    room,
    /// No upstream will have room within the time that the caller will wait.
    no_room_in_time,
    /// No upstream of the service is usable, and none is known to become so.
    no_upstream,
    /// No router may decide on the request until the store responds again.
    store_unavailable
};

inline constexpr std::array return_reason_names{
    enum_name<return_reason>{return_reason::other_router, "other_router"},
    enum_name<return_reason>{return_reason::room, "room"},
    enum_name<return_reason>{return_reason::no_room_in_time, "no_room_in_time"},
    enum_name<return_reason>{return_reason::no_upstream, "no_upstream"},
    enum_name<return_reason>{return_reason::store_unavailable,
                             "store_unavailable"},
};

/// When the caller of a refused request may return.
struct planned_return
{
    return_reason reason = return_reason::other_router;
    /// Value of Retry-After.
    duration after{0};
};

/// A request that no upstream can take now.
struct unplaced_request
{
    time_point arrived_at;
    time_point deadline;
    /// As directory::route::timeout and directory::route::response_objective.
    duration timeout{0};
    duration objective{0};
    /// Number of times it has waited for room.
    std::uint32_t waits = 0;
};

/// Returns true if the request has less time than its route grants, so that its
/// caller was refused before.
bool was_refused_before(const unplaced_request& request);

/// Returns how long the request waits at this router before it is tried again;
/// nothing if it is to be refused now. A first request waits only while it can
/// still be answered on time, one that was refused before while an answer can
/// reach its caller at all.
/// `random` is uniform in [0, 1).
std::optional<duration> wait_for_room(time_point now,
                                      const unplaced_request& request,
                                      const room_outlook& outlook,
                                      double random);

/// Plans the returns of callers that one router refuses.
class return_schedule
{
public:
    /// Records that an upstream of `service` has ended a request of this
    /// router, which makes room for another one.
    void record_ended(time_point now, const std::string& service);

    /// Plans the return of a caller whose request was refused for lack of room
    /// at `service`. `time_left` is the time that the caller still waits for an
    /// answer; `random` is uniform in [0, 1).
    planned_return plan(time_point now, const std::string& service,
                        const room_outlook& outlook, duration time_left,
                        double random);

    /// Returns when a caller may return to another router.
    static planned_return plan_other_router(double random);

    /// Returns when a caller may return while all routers wait for the store.
    static planned_return plan_store_return(duration time_left, double random);

private:
    struct service_state
    {
        sliding_count ended{std::chrono::seconds{2}};
        /// Earliest time for the next caller to return.
        time_point next_return;
    };

    std::unordered_map<std::string, service_state> services_;
};

} // namespace baobabloft::dispatch
