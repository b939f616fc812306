// Stand-in for a model engine: continuous batching with a token time that grows
// past its capacity, a bounded prefix cache, cold starts, lagging load reports,
// resume by Last-Event-ID, and faults. A prompt that contains "crash-engine"
// ends the process, as a request does that crashes each engine it meets.
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

constexpr unsigned default_tokens = 20;
constexpr unsigned cold_slowdown = 5;

/// Chats whose prefix is cached, least recently used first.
class prefix_cache
{
public:
    explicit prefix_cache(std::size_t limit) : limit_(limit) {}

    /// Notes a turn of `chat`; returns true if its prefix was cached.
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

/// One answer being generated.
struct generation
{
    engine* owner = nullptr;
    SoupServerMessage* message = nullptr;
    std::string prompt{};
    std::string request_id{};
    unsigned next = 1;
    unsigned tokens = default_tokens;
    bool streamed = false;
    bool silent = false;
    guint timer = 0;
    std::string whole{};
};

class engine
{
public:
    explicit engine(const engine_options& options)
        : options_(options), cache_(options.chat_cache_capacity),
          incarnation_(static_cast<std::uint64_t>(g_get_real_time())),
          warm_at_(monotonic_ms() + options.cold_ms)
    {
    }

    void handle(const request& item)
    {
        if (item.path == "/load")
            respond(item.message, SOUP_STATUS_OK, lagged_report());
        else if (item.path == "/standin/stats")
            respond(item.message, SOUP_STATUS_OK, stats());
        else if (item.path == "/standin/faults")
            set_faults(item);
        else if (item.path == "/v1/chat/completions")
            start(item);
        else
            respond(item.message, SOUP_STATUS_NOT_FOUND, json::object());
    }

private:
    [[nodiscard]] bool is_cold() const
    {
        return monotonic_ms() < warm_at_;
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
        const auto present = monotonic_ms();
        reports_.push_back({present, report()});
        const auto limit = present - options_.report_lag_ms;
        while (reports_.size() > 1 && reports_[1].at <= limit)
            reports_.pop_front();
        return reports_.front().content;
    }

    [[nodiscard]] json stats() const
    {
        return {{"running", running_.size()}, {"peak", peak_},
                {"cold_peak", cold_peak_},    {"served", served_},
                {"cache_hits", cache_hits_},  {"cancelled", cancelled_},
                {"cold", is_cold()}};
    }

    void set_faults(const request& item)
    {
        const auto body = item.json();
        if (body.value("silent", false))
            for (auto* open : running_)
                open->silent = true;
        if (body.contains("cold_ms"))
        {
            warm_at_ = monotonic_ms() + body.value("cold_ms", 0);
            cache_.clear();
        }
        leaving_ = body.value("leaving", leaving_);
        respond(item.message, SOUP_STATUS_OK, json::object());
    }

    void start(const request& item)
    {
        const auto body = item.json();
        auto* self = new generation{.owner = this, .message = item.message};
        self->prompt = body.value("messages", json::array()).dump();
        if (self->prompt.find("crash-engine") != std::string::npos)
            std::abort();
        self->streamed = body.value("stream", false);
        self->tokens = body.value("max_tokens", default_tokens);
        self->request_id = item.header("X-Request-Id");
        const auto resume = item.header("Last-Event-ID");
        if (!resume.empty())
            self->next = static_cast<unsigned>(std::stoul(resume)) + 1;
        const auto chat =
            item.header("X-Customer") + "/" + item.header("X-Chat-Id");
        const bool hit = cache_.touch(chat);
        cache_hits_ += hit ? 1 : 0;
        running_.push_back(self);
        peak_ = std::max(peak_, running_.size());
        if (is_cold())
            cold_peak_ = std::max(cold_peak_, running_.size());
        g_object_ref(self->message);
        g_signal_connect(self->message, "finished", G_CALLBACK(on_finished),
                         self);
        soup_server_message_pause(self->message);
        set_headers(*self);
        const auto prefill =
            hit ? options_.cached_prefill_ms : options_.prefill_ms;
        self->timer = g_timeout_add(slowed(prefill), on_token, self);
    }

    static void set_headers(const generation& self)
    {
        auto* headers = soup_server_message_get_response_headers(self.message);
        soup_message_headers_replace(headers, "X-Request-Id",
                                     self.request_id.c_str());
        if (!self.streamed)
            return;
        soup_message_headers_replace(headers, "Content-Type",
                                     "text/event-stream");
        soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
        soup_server_message_set_status(self.message, SOUP_STATUS_OK, nullptr);
        soup_message_body_set_accumulate(
            soup_server_message_get_response_body(self.message), FALSE);
    }

    /// Returns `ms` stretched by a cold start and by load past the capacity.
    [[nodiscard]] unsigned slowed(unsigned ms) const
    {
        if (is_cold())
            ms *= cold_slowdown;
        if (running_.size() > options_.capacity)
            ms =
                static_cast<unsigned>(ms * running_.size() / options_.capacity);
        return std::max(ms, 1U);
    }

    static std::string token(const generation& self, unsigned index)
    {
        const auto mixed = hash_bytes(self.prompt, index);
        return "w" + std::to_string(mixed % 1000);
    }

    static gboolean on_token(gpointer data)
    {
        auto* self = static_cast<generation*>(data);
        if (self->silent)
        {
            self->timer = 0;
            return G_SOURCE_REMOVE;
        }
        if (self->next > self->tokens)
            self->owner->finish(*self);
        else
            self->owner->emit(*self);
        self->timer = self->next > self->tokens + 1
                          ? 0
                          : g_timeout_add(self->owner->slowed(
                                              self->owner->options_.token_ms),
                                          on_token, self);
        return G_SOURCE_REMOVE;
    }

    void emit(generation& self)
    {
        const auto text = token(self, self.next) + " ";
        if (self.streamed)
        {
            const json event{
                {"id", "chatcmpl-" + self.request_id},
                {"object", "chat.completion.chunk"},
                {"choices", {{{"index", 0}, {"delta", {{"content", text}}}}}}};
            append(self, "id: " + std::to_string(self.next) +
                             "\ndata: " + event.dump() + "\n\n");
        }
        else
            self.whole += text;
        ++self.next;
    }

    void finish(generation& self)
    {
        ++self.next;
        ++served_;
        if (self.streamed)
        {
            append(self, "data: [DONE]\n\n");
            soup_message_body_complete(
                soup_server_message_get_response_body(self.message));
            return;
        }
        respond(
            self.message, SOUP_STATUS_OK,
            {{"id", "chatcmpl-" + self.request_id},
             {"object", "chat.completion"},
             {"choices",
              {{{"index", 0},
                {"message", {{"role", "assistant"}, {"content", self.whole}}},
                {"finish_reason", "stop"}}}}});
        soup_server_message_unpause(self.message);
    }

    static void append(generation& self, const std::string& text)
    {
        soup_message_body_append(
            soup_server_message_get_response_body(self.message),
            SOUP_MEMORY_COPY, text.data(), text.size());
        soup_server_message_unpause(self.message);
    }

    static void on_finished(SoupServerMessage* /*message*/, gpointer data)
    {
        const std::unique_ptr<generation> self{static_cast<generation*>(data)};
        if (self->timer != 0)
        {
            g_source_remove(self->timer);
            ++self->owner->cancelled_;
        }
        std::erase(self->owner->running_, self.get());
        g_object_unref(self->message);
    }

    struct dated_report
    {
        std::int64_t at = 0;
        json content;
    };

    engine_options options_;
    prefix_cache cache_;
    std::deque<dated_report> reports_;
    std::vector<generation*> running_;
    std::uint64_t incarnation_;
    std::int64_t warm_at_;
    std::size_t peak_ = 0;
    std::size_t cold_peak_ = 0;
    std::uint64_t served_ = 0;
    std::uint64_t cache_hits_ = 0;
    std::uint64_t cancelled_ = 0;
    bool leaving_ = false;
};

} // namespace

int run_engine(const engine_options& options)
{
    engine self{options};
    return serve(options.port,
                 [&self](const request& item) { self.handle(item); });
}

} // namespace baobabloft::standins
