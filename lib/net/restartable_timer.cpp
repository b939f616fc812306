#include "baobabloft/net/restartable_timer.hpp"

#include <algorithm>
#include <utility>

namespace baobabloft::net
{

restartable_timer::restartable_timer(event_loop& loop) : loop_(loop) {}

restartable_timer::~restartable_timer()
{
    loop_.cancel_timer(source_id_);
}

void restartable_timer::set(duration delay, std::function<void()> work)
{
    const auto now = monotonic_now();
    deadline_ = now + std::max(delay, duration{1ms});
    work_ = std::move(work);
    if (source_id_ != 0 && source_fires_at_ <= deadline_)
        return;
    loop_.cancel_timer(source_id_);
    start_source(deadline_ - now);
}

void restartable_timer::clear()
{
    work_ = nullptr;
}

void restartable_timer::start_source(duration delay)
{
    source_fires_at_ = monotonic_now() + delay;
    source_id_ = loop_.run_after(delay, [this] { fire(); });
}

void restartable_timer::fire()
{
    source_id_ = 0;
    if (!work_)
        return;
    const auto now = monotonic_now();
    if (now < deadline_)
    {
        start_source(deadline_ - now);
        return;
    }
    // The work may destroy this timer, so that it must not run from a member.
    const auto work = std::exchange(work_, nullptr);
    work();
}

} // namespace baobabloft::net
