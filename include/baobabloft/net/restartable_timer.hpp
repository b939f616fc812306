// A timer for timeouts that are set again far more often than they expire, such
// as the timeout between the bytes of a stream. Moving the deadline to a later
// time creates no event source.
#pragma once

#include "baobabloft/net/event_loop.hpp"

#include <functional>

namespace baobabloft::net
{

/// A timer of one event loop. Use it only on the loop's thread.
class restartable_timer
{
public:
    explicit restartable_timer(event_loop& loop);
    ~restartable_timer();
    restartable_timer(const restartable_timer&) = delete;
    restartable_timer& operator=(const restartable_timer&) = delete;

    /// Runs `work` once after `delay`, at least 1 ms. Replaces the work and the
    /// deadline that were set before.
    void set(duration delay, std::function<void()> work);

    /// Drops the work that was set, so that it does not run.
    void clear();

private:
    void start_source(duration delay);
    void fire();

    event_loop& loop_;
    std::function<void()> work_;
    /// Time at which `work_` is to run; may be later than the time at which
    /// the event source fires.
    time_point deadline_;
    /// Time at which the event source fires; valid while `source_id_` is not 0.
    time_point source_fires_at_;
    guint source_id_ = 0;
};

} // namespace baobabloft::net
