// Client for the etcd v3 JSON gateway, which encodes keys and values in base64
// and 64-bit numbers as strings.
#include "baobabloft/net/base64.hpp"
#include "baobabloft/net/kv_client.hpp"

#include <nlohmann/json.hpp>

namespace baobabloft::net
{

namespace
{

using nlohmann::json;

constexpr unsigned status_ok = 200;

/// Returns a 64-bit number, which the gateway writes as a string and omits if
/// it is 0.
std::int64_t int64_field(const json& object, const char* key)
{
    const auto found = object.find(key);
    if (found == object.end())
        return 0;
    if (found->is_string())
        return std::strtoll(found->get_ref<const std::string&>().c_str(),
                            nullptr, 10);
    return found->get<std::int64_t>();
}

kv_entry parse_entry(const json& item)
{
    return {decode_base64(item.value("key", "")),
            decode_base64(item.value("value", "")),
            int64_field(item, "mod_revision")};
}

json to_json(const kv_compare& condition)
{
    const bool greater = condition.relation == kv_compare_relation::greater;
    json result{{"key", encode_base64(condition.key)},
                {"result", greater ? "GREATER" : "EQUAL"}};
    switch (condition.target)
    {
    case kv_compare_target::mod_revision:
        result["target"] = "MOD";
        result["mod_revision"] = std::to_string(condition.operand);
        break;
    case kv_compare_target::version:
        result["target"] = "VERSION";
        result["version"] = std::to_string(condition.operand);
        break;
    case kv_compare_target::value:
        result["target"] = "VALUE";
        result["value"] = encode_base64(condition.value_operand);
        break;
    }
    return result;
}

json to_json(const kv_transaction& transaction)
{
    json compare = json::array();
    for (const auto& condition : transaction.conditions)
        compare.push_back(to_json(condition));
    json success = json::array();
    for (const auto& put : transaction.puts)
        success.push_back({{"request_put",
                            {{"key", encode_base64(put.key)},
                             {"value", encode_base64(put.value)}}}});
    for (const auto& range : transaction.deletes)
        success.push_back({{"request_delete_range",
                            {{"key", encode_base64(range.first)},
                             {"range_end", encode_base64(range.end)}}}});
    return {{"compare", compare}, {"success", success}};
}

failure unavailable(const std::string& message)
{
    return {failure_kind::kv_unavailable, "key-value service: " + message,
            "check that the service runs; routers keep their last known state"};
}

/// Returns the result of `convert`, or nothing if a field of `root` has an
/// unexpected type, which the JSON library reports by an exception.
template <typename Convert>
auto try_convert(Convert convert, const json& root)
    -> std::optional<decltype(convert(root))>
{
    try
    {
        return convert(root);
    }
    catch (const json::exception&)
    {
        return std::nullopt;
    }
}

/// Returns the latest entry in a line of a watch stream, or nothing if the line
/// reports no change.
std::optional<kv_entry> parse_latest_entry(const json& root)
{
    const auto events =
        root.value("/result/events"_json_pointer, json::array());
    if (events.empty())
        return std::nullopt;
    return parse_entry(events.back().at("kv"));
}

class etcd_client final : public kv_client
{
public:
    explicit etcd_client(etcd_options options) : options_(std::move(options)) {}

    void commit(const kv_transaction& transaction,
                callback<kv_transaction_result> done) override
    {
        send_request<kv_transaction_result>(
            "/v3/kv/txn", to_json(transaction), options_.timeout,
            [](const json& root)
            {
                return kv_transaction_result{
                    root.value("succeeded", false),
                    int64_field(root.value("header", json::object()),
                                "revision")};
            },
            std::move(done));
    }

    void read(const kv_range& range, callback<kv_range_result> done) override
    {
        json body{{"key", encode_base64(range.first)}};
        if (!range.end.empty())
            body["range_end"] = encode_base64(range.end);
        if (range.limit != 0)
            body["limit"] = std::to_string(range.limit);
        send_request<kv_range_result>(
            "/v3/kv/range", body, options_.timeout,
            [](const json& root)
            {
                kv_range_result result;
                result.revision = int64_field(
                    root.value("header", json::object()), "revision");
                for (const auto& item : root.value("kvs", json::array()))
                    result.entries.push_back(parse_entry(item));
                return result;
            },
            std::move(done));
    }

    void wait_for_change(const std::string& key, std::int64_t revision,
                         callback<kv_entry> done) override
    {
        auto watch = std::make_shared<pending_watch>();
        watch->done = std::move(done);
        watch->message.reset(soup_message_new(
            "POST", (options_.base_url + "/v3/watch").c_str()));
        const json body{{"create_request",
                         {{"key", encode_base64(key)},
                          {"start_revision", std::to_string(revision + 1)}}}};
        const auto text = body.dump();
        const bytes_ptr bytes{g_bytes_new(text.data(), text.size())};
        soup_message_set_request_body_from_bytes(
            watch->message.get(), "application/json", bytes.get());
        auto* timer = g_timeout_source_new_seconds(
            static_cast<guint>(to_seconds(options_.watch_timeout)));
        g_source_set_callback(timer, on_watch_timeout, watch.get(), nullptr);
        g_source_attach(timer, g_main_context_get_thread_default());
        watch->timer = timer;
        soup_session_send_async(client_.session(), watch->message.get(),
                                G_PRIORITY_DEFAULT, watch->cancellable.get(),
                                on_watch_opened,
                                new std::shared_ptr<pending_watch>(watch));
    }

private:
    /// One open watch. Its pending asynchronous operation holds a reference
    /// that keeps it alive.
    struct pending_watch
    {
        object_ptr<SoupMessage> message;
        object_ptr<GCancellable> cancellable{g_cancellable_new()};
        object_ptr<GDataInputStream> line_stream;
        GSource* timer = nullptr;
        callback<kv_entry> done;

        void finish(std::optional<kv_entry> entry, const failure& reason)
        {
            g_source_destroy(timer);
            g_source_unref(timer);
            g_cancellable_cancel(cancellable.get());
            done(std::move(entry), reason);
        }
    };

    /// The reference that a pending asynchronous operation holds, passed as its
    /// user data.
    using watch_handle = std::unique_ptr<std::shared_ptr<pending_watch>>;

    static gboolean on_watch_timeout(gpointer data)
    {
        g_cancellable_cancel(
            static_cast<pending_watch*>(data)->cancellable.get());
        return G_SOURCE_REMOVE;
    }

    static void on_watch_opened(GObject* source, GAsyncResult* result,
                                gpointer data)
    {
        watch_handle self{static_cast<std::shared_ptr<pending_watch>*>(data)};
        GError* raw_error = nullptr;
        object_ptr<GInputStream> body{
            soup_session_send_finish(SOUP_SESSION(source), result, &raw_error)};
        const error_ptr error{raw_error};
        if (!body ||
            soup_message_get_status((*self)->message.get()) != status_ok)
        {
            (*self)->finish(std::nullopt, unavailable("watch request failed"));
            return;
        }
        (*self)->line_stream.reset(g_data_input_stream_new(body.get()));
        read_next_line(std::move(self));
    }

    static void read_next_line(watch_handle self)
    {
        auto* line_stream = (*self)->line_stream.get();
        auto* cancellable = (*self)->cancellable.get();
        g_data_input_stream_read_line_async(line_stream, G_PRIORITY_DEFAULT,
                                            cancellable, on_line,
                                            self.release());
    }

    static void on_line(GObject* source, GAsyncResult* result, gpointer data)
    {
        watch_handle self{static_cast<std::shared_ptr<pending_watch>*>(data)};
        GError* raw_error = nullptr;
        char* line = g_data_input_stream_read_line_finish(
            G_DATA_INPUT_STREAM(source), result, nullptr, &raw_error);
        const error_ptr error{raw_error};
        if (line == nullptr)
        {
            (*self)->finish(std::nullopt,
                            unavailable("watch ended without a change"));
            return;
        }
        const auto root = json::parse(line, nullptr, false);
        g_free(line);
        const auto latest = try_convert(parse_latest_entry, root);
        if (!latest)
            (*self)->finish(std::nullopt,
                            unavailable("malformed line in watch stream"));
        else if (!*latest)
            read_next_line(std::move(self));
        else
            (*self)->finish(**latest, {});
    }

    template <typename Result, typename Convert>
    void send_request(const char* path, const json& body, duration timeout,
                      Convert convert, callback<Result> done)
    {
        http_request request{.method = "POST",
                             .url = options_.base_url + path,
                             .headers = {},
                             .body = body.dump(),
                             .timeout = timeout};
        client_.send(
            request,
            [convert, done = std::move(done)](
                const std::optional<http_response>& response,
                const failure& reason)
            {
                if (!response)
                {
                    done(std::nullopt, unavailable(reason.message));
                    return;
                }
                const auto root = json::parse(response->body, nullptr, false);
                if (response->status != status_ok || !root.is_object())
                {
                    done(std::nullopt,
                         unavailable("HTTP status " +
                                     std::to_string(response->status)));
                    return;
                }
                const auto result = try_convert(convert, root);
                done(result,
                     result ? failure{} : unavailable("malformed response"));
            });
    }

    etcd_options options_;
    http_client client_;
};

} // namespace

std::string prefix_end(std::string prefix)
{
    while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xff)
        prefix.pop_back();
    if (!prefix.empty())
        ++prefix.back();
    return prefix;
}

std::unique_ptr<kv_client> make_etcd_client(etcd_options options)
{
    return std::make_unique<etcd_client>(std::move(options));
}

} // namespace baobabloft::net
