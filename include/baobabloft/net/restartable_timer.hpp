// A timer that is set again far more often than it fires, as a timeout between
// the bytes of a stream is. Setting it later costs no event source.
#pragma once

#include "baobabloft/net/event_loop.hpp"

#include <functional>

namespace baobabloft::net
{

/// One timer of one event loop; only for the loop's thread.
class restartable_timer
{
public:
    explicit restartable_timer(event_loop& loop);
    ~restartable_timer();
    restartable_timer(const restartable_timer&) = delete;
    restartable_timer& operator=(const restartable_timer&) = delete;

    /// Runs `work` once after `delay`, in place of what was set before.
    void set(duration delay, std::function<void()> work);

    /// Nothing runs any more.
    void clear();

private:
    void start(duration delay);
    void fire();

    event_loop& loop_;
    std::function<void()> work_;
    time_point due_;
    /// When the source fires; meaningful while there is one.
    time_point fires_;
    guint source_ = 0;
};

} // namespace baobabloft::net
