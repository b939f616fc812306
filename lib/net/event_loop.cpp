#include "baobabloft/net/event_loop.hpp"

#include <algorithm>
#include <ctime>

namespace baobabloft::net
{

namespace
{

gboolean run_task_once(gpointer data)
{
    (*static_cast<event_loop::task*>(data))();
    return G_SOURCE_REMOVE;
}

gboolean run_task_repeatedly(gpointer data)
{
    (*static_cast<event_loop::task*>(data))();
    return G_SOURCE_CONTINUE;
}

void delete_task(gpointer data)
{
    delete static_cast<event_loop::task*>(data);
}

guint to_ms(duration delay)
{
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(delay).count();
    return static_cast<guint>(std::max<std::int64_t>(ms, 0));
}

} // namespace

event_loop::event_loop()
    : context_(g_main_context_new()), loop_(g_main_loop_new(context_, FALSE))
{
}

event_loop::~event_loop()
{
    poller_.reset();
    g_main_loop_unref(loop_);
    g_main_context_unref(context_);
}

void event_loop::run()
{
    const default_context_scope context_scope{*this};
    g_main_loop_run(loop_);
}

void event_loop::stop()
{
    post([this] { g_main_loop_quit(loop_); });
}

guint event_loop::attach(GSource* source, task work)
{
    g_source_set_callback(source, run_task_once, new task(std::move(work)),
                          delete_task);
    const guint source_id = g_source_attach(source, context_);
    g_source_unref(source);
    return source_id;
}

void event_loop::post(task work)
{
    auto* source = g_idle_source_new();
    g_source_set_priority(source, G_PRIORITY_DEFAULT);
    attach(source, std::move(work));
}

guint event_loop::run_after(duration delay, task work)
{
    return attach(g_timeout_source_new(to_ms(delay)), std::move(work));
}

void event_loop::run_every(duration period, task work)
{
    auto* source = g_timeout_source_new(to_ms(period));
    g_source_set_callback(source, run_task_repeatedly,
                          new task(std::move(work)), delete_task);
    g_source_attach(source, context_);
    g_source_unref(source);
}

void event_loop::cancel_timer(guint source_id)
{
    if (source_id == 0)
        return;
    if (auto* found = g_main_context_find_source_by_id(context_, source_id))
        g_source_destroy(found);
}

fd_poller& event_loop::poller()
{
    if (!poller_)
        poller_ = std::make_unique<fd_poller>(context_);
    return *poller_;
}

GMainContext* event_loop::context() const
{
    return context_;
}

event_loop::default_context_scope::default_context_scope(const event_loop& loop)
    : context_(loop.context_)
{
    g_main_context_push_thread_default(context_);
}

event_loop::default_context_scope::~default_context_scope()
{
    g_main_context_pop_thread_default(context_);
}

time_point monotonic_now()
{
    return time_point{duration{g_get_monotonic_time()}};
}

time_point boot_now()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point{std::chrono::duration_cast<duration>(
        std::chrono::seconds{now.tv_sec} +
        std::chrono::nanoseconds{now.tv_nsec})};
}

} // namespace baobabloft::net
