// Stand-in for a model engine: continuous batching with a token time that grows
// when more requests run than its capacity, a bounded prefix cache, cold
// starts, lagging load reports, resumption of streams by Last-Event-ID, and
// faults. Faults: POST /standin/faults {"silent", "cold_ms", "leaving"}. A
// prompt that contains "crash-engine" aborts the process; it simulates a
// request that crashes every engine that runs it.
#include "standins.hpp"

#include "baobabloft/support/hash.hpp"

#include <cstdlib>
#include <deque>
#include <list>
#include <unordered_map>

namespace baobabloft::standins
{

namespace
{

using nlohmann::json;

constexpr unsigned default_token_count = 20;
constexpr unsigned cold_slowdown = 5;

/// Chats whose prefix is cached, least recently used first.
class prefix_cache
{
public:
    explicit prefix_cache(std::size_t limit) : limit_(limit) {}

    /// Marks `chat` as most recently used and evicts the least recently used
    /// chat if the cache is over its limit. Returns true if the prefix was
    /// cached.
    bool touch(const std::string& chat)
    {
        const auto found = index_.find(chat);
        const bool hit = found != index_.end();
        if (hit)
            order_.erase(found->second);
        order_.push_back(chat);
        index_[chat] = std::prev(order_.end());
        if (order_.size() > limit_)
        {
            index_.erase(order_.front());
            order_.pop_front();
        }
        return hit;
    }

    void clear()
    {
        order_.clear();
        index_.clear();
    }

private:
    std::size_t limit_;
    std::list<std::string> order_;
    std::unordered_map<std::string, std::list<std::string>::iterator> index_;
};

class engine;

/// A chat completion in progress; engine::on_finished() deletes it.
struct completion_task
{
    engine* owner = nullptr;
    SoupServerMessage* message = nullptr;
    std::string prompt{};
    std::string request_id{};
    /// Number of the next token, from 1; one past `token_count` is the end
    /// mark.
    unsigned next_token = 1;
    unsigned token_count = default_token_count;
    bool is_streamed = false;
    /// Fault: sends no more tokens but keeps the connection open.
    bool stalled = false;
    /// GLib source of the next token, 0 if none is scheduled.
    guint timer = 0;
    /// Text of a response that is not streamed.
    std::string text{};
};

class engine
{
public:
    explicit engine(const engine_options& options)
        : options_(options), cache_(options.chat_cache_capacity),
          incarnation_(static_cast<std::uint64_t>(g_get_real_time())),
          warm_at_ms_(monotonic_ms() + options.cold_ms)
    {
    }

    void handle(const request& incoming)
    {
        if (incoming.path == "/load")
            respond(incoming.message, SOUP_STATUS_OK, lagged_report());
        else if (incoming.path == "/standin/stats")
            respond(incoming.message, SOUP_STATUS_OK, stats());
        else if (incoming.path == "/standin/faults")
            set_faults(incoming);
        else if (incoming.path == "/v1/chat/completions")
            start_completion(incoming);
        else
            respond(incoming.message, SOUP_STATUS_NOT_FOUND, json::object());
    }

private:
    [[nodiscard]] bool is_cold() const
    {
        return monotonic_ms() < warm_at_ms_;
    }

    [[nodiscard]] json report() const
    {
        return {{"running", running_.size()},
                {"incarnation", incarnation_},
                {"cold", is_cold()},
                {"leaving", leaving_}};
    }

    json lagged_report()
    {
        const auto now = monotonic_ms();
        reports_.push_back({now, report()});
        const auto newest_served_ms = now - options_.report_lag_ms;
        while (reports_.size() > 1 &&
               reports_[1].recorded_at_ms <= newest_served_ms)
            reports_.pop_front();
        return reports_.front().content;
    }

    [[nodiscard]] json stats() const
    {
        return {{"running", running_.size()},
                {"peak", peak_running_},
                {"cold_peak", cold_peak_running_},
                {"served", completed_},
                {"cache_hits", cache_hits_},
                {"cancelled", cancelled_},
                {"cold", is_cold()}};
    }

    void set_faults(const request& incoming)
    {
        const auto body = incoming.json();
        if (body.value("silent", false))
            for (auto* task : running_)
                task->stalled = true;
        if (body.contains("cold_ms"))
        {
            warm_at_ms_ = monotonic_ms() + body.value("cold_ms", 0);
            cache_.clear();
        }
        leaving_ = body.value("leaving", leaving_);
        respond(incoming.message, SOUP_STATUS_OK, json::object());
    }

    void start_completion(const request& incoming)
    {
        const auto body = incoming.json();
        auto* task =
            new completion_task{.owner = this, .message = incoming.message};
        task->prompt = body.value("messages", json::array()).dump();
        if (task->prompt.find("crash-engine") != std::string::npos)
            std::abort();
        task->is_streamed = body.value("stream", false);
        task->token_count = body.value("max_tokens", default_token_count);
        task->request_id = incoming.header("X-Request-Id");
        const auto last_event_id = incoming.header("Last-Event-ID");
        if (!last_event_id.empty())
            task->next_token =
                static_cast<unsigned>(std::stoul(last_event_id)) + 1;
        const auto chat =
            incoming.header("X-Customer") + "/" + incoming.header("X-Chat-Id");
        const bool hit = cache_.touch(chat);
        cache_hits_ += hit ? 1 : 0;
        running_.push_back(task);
        peak_running_ = std::max(peak_running_, running_.size());
        if (is_cold())
            cold_peak_running_ = std::max(cold_peak_running_, running_.size());
        g_object_ref(task->message);
        g_signal_connect(task->message, "finished", G_CALLBACK(on_finished),
                         task);
        soup_server_message_pause(task->message);
        set_headers(*task);
        const auto prefill_ms =
            hit ? options_.cached_prefill_ms : options_.prefill_ms;
        task->timer =
            g_timeout_add(scaled_duration_ms(prefill_ms), on_token, task);
    }

    static void set_headers(const completion_task& task)
    {
        auto* headers = soup_server_message_get_response_headers(task.message);
        soup_message_headers_replace(headers, "X-Request-Id",
                                     task.request_id.c_str());
        if (!task.is_streamed)
            return;
        soup_message_headers_replace(headers, "Content-Type",
                                     "text/event-stream");
        soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
        soup_server_message_set_status(task.message, SOUP_STATUS_OK, nullptr);
        soup_message_body_set_accumulate(
            soup_server_message_get_response_body(task.message), FALSE);
    }

    /// Returns `ms` scaled up during a cold start and under load above the
    /// capacity, at least 1.
    [[nodiscard]] unsigned scaled_duration_ms(unsigned ms) const
    {
        if (is_cold())
            ms *= cold_slowdown;
        if (running_.size() > options_.capacity)
            ms =
                static_cast<unsigned>(ms * running_.size() / options_.capacity);
        return std::max(ms, 1U);
    }

    static std::string token_text(const completion_task& task, unsigned index)
    {
        const auto hash = hash_bytes(task.prompt, index);
        return "w" + std::to_string(hash % 1000);
    }

    static gboolean on_token(gpointer data)
    {
        auto* task = static_cast<completion_task*>(data);
        if (task->stalled)
        {
            task->timer = 0;
            return G_SOURCE_REMOVE;
        }
        if (task->next_token > task->token_count)
            task->owner->finish(*task);
        else
            task->owner->send_token(*task);
        task->timer = task->next_token > task->token_count + 1
                          ? 0
                          : g_timeout_add(task->owner->scaled_duration_ms(
                                              task->owner->options_.token_ms),
                                          on_token, task);
        return G_SOURCE_REMOVE;
    }

    void send_token(completion_task& task)
    {
        const auto text = token_text(task, task.next_token) + " ";
        if (task.is_streamed)
        {
            const json event{
                {"id", "chatcmpl-" + task.request_id},
                {"object", "chat.completion.chunk"},
                {"choices", {{{"index", 0}, {"delta", {{"content", text}}}}}}};
            append(task, "id: " + std::to_string(task.next_token) +
                             "\ndata: " + event.dump() + "\n\n");
        }
        else
            task.text += text;
        ++task.next_token;
    }

    void finish(completion_task& task)
    {
        ++task.next_token;
        ++completed_;
        if (task.is_streamed)
        {
            append(task, "data: [DONE]\n\n");
            soup_message_body_complete(
                soup_server_message_get_response_body(task.message));
            return;
        }
        respond(
            task.message, SOUP_STATUS_OK,
            {{"id", "chatcmpl-" + task.request_id},
             {"object", "chat.completion"},
             {"choices",
              {{{"index", 0},
                {"message", {{"role", "assistant"}, {"content", task.text}}},
                {"finish_reason", "stop"}}}}});
        soup_server_message_unpause(task.message);
    }

    static void append(completion_task& task, const std::string& text)
    {
        soup_message_body_append(
            soup_server_message_get_response_body(task.message),
            SOUP_MEMORY_COPY, text.data(), text.size());
        soup_server_message_unpause(task.message);
    }

    static void on_finished(SoupServerMessage* /*message*/, gpointer data)
    {
        const std::unique_ptr<completion_task> task{
            static_cast<completion_task*>(data)};
        if (task->timer != 0)
        {
            g_source_remove(task->timer);
            ++task->owner->cancelled_;
        }
        std::erase(task->owner->running_, task.get());
        g_object_unref(task->message);
    }

    struct timed_report
    {
        std::int64_t recorded_at_ms = 0;
        json content;
    };

    engine_options options_;
    prefix_cache cache_;
    std::deque<timed_report> reports_;
    std::vector<completion_task*> running_;
    std::uint64_t incarnation_;
    std::int64_t warm_at_ms_;
    std::size_t peak_running_ = 0;
    std::size_t cold_peak_running_ = 0;
    std::uint64_t completed_ = 0;
    std::uint64_t cache_hits_ = 0;
    std::uint64_t cancelled_ = 0;
    bool leaving_ = false;
};

} // namespace

int run_engine(const engine_options& options)
{
    engine server{options};
    return serve(options.port, [&server](const request& incoming)
                 { server.handle(incoming); });
}

} // namespace baobabloft::standins
