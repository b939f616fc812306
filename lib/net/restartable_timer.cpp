#include "baobabloft/net/restartable_timer.hpp"

#include <algorithm>
#include <utility>

namespace baobabloft::net
{

restartable_timer::restartable_timer(event_loop& loop) : loop_(loop) {}

restartable_timer::~restartable_timer()
{
    loop_.cancel_timer(source_);
}

void restartable_timer::set(duration delay, std::function<void()> work)
{
    const auto now = monotonic_now();
    due_ = now + std::max(delay, duration{1ms});
    work_ = std::move(work);
    if (source_ != 0 && fires_ <= due_)
        return;
    loop_.cancel_timer(source_);
    start(due_ - now);
}

void restartable_timer::clear()
{
    work_ = nullptr;
}

void restartable_timer::start(duration delay)
{
    fires_ = monotonic_now() + delay;
    source_ = loop_.run_after(delay, [this] { fire(); });
}

void restartable_timer::fire()
{
    source_ = 0;
    if (!work_)
        return;
    const auto now = monotonic_now();
    if (now < due_)
    {
        start(due_ - now);
        return;
    }
    // The work may destroy this timer.
    const auto work = std::exchange(work_, nullptr);
    work();
}

} // namespace baobabloft::net
