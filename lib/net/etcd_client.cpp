// The etcd v3 JSON gateway: keys and values travel in base64, 64-bit numbers
// as strings.
#include "baobabloft/net/base64.hpp"
#include "baobabloft/net/kv_client.hpp"

#include <nlohmann/json.hpp>

namespace baobabloft::net
{

namespace
{

using nlohmann::json;

constexpr unsigned status_ok = 200;

/// Reads a 64-bit number that the gateway writes as a string, and leaves out
/// when it is 0.
std::int64_t number_at(const json& object, const char* key)
{
    const auto found = object.find(key);
    if (found == object.end())
        return 0;
    if (found->is_string())
        return std::strtoll(found->get_ref<const std::string&>().c_str(),
                            nullptr, 10);
    return found->get<std::int64_t>();
}

kv_entry to_entry(const json& item)
{
    return {decode_base64(item.value("key", "")),
            decode_base64(item.value("value", "")),
            number_at(item, "mod_revision")};
}

json to_json(const kv_compare& condition)
{
    const bool by_version = condition.target == kv_compare_target::version;
    const bool greater = condition.relation == kv_compare_relation::greater;
    return {{"key", encode_base64(condition.key)},
            {"target", by_version ? "VERSION" : "MOD"},
            {"result", greater ? "GREATER" : "EQUAL"},
            {by_version ? "version" : "mod_revision",
             std::to_string(condition.operand)}};
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

failure unavailable(const std::string& what)
{
    return {failure_kind::kv_unavailable, "key-value service: " + what,
            "check the service; routers go on with what they know"};
}

/// Converts an answer; nothing if a field has another type, which the library
/// reports by an exception.
template <typename Convert>
auto read_as(Convert convert, const json& root)
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

/// The newest state in a line of a watch; nothing inside if it tells of no
/// change.
std::optional<kv_entry> to_newest(const json& root)
{
    const auto events =
        root.value("/result/events"_json_pointer, json::array());
    if (events.empty())
        return std::nullopt;
    return to_entry(events.back().at("kv"));
}

class etcd_client final : public kv_client
{
public:
    explicit etcd_client(etcd_options options) : options_(std::move(options)) {}

    void commit(const kv_transaction& transaction,
                callback<kv_transaction_result> done) override
    {
        call<kv_transaction_result>(
            "/v3/kv/txn", to_json(transaction), options_.timeout,
            [](const json& root)
            {
                return kv_transaction_result{
                    root.value("succeeded", false),
                    number_at(root.value("header", json::object()),
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
        call<kv_range_result>(
            "/v3/kv/range", body, options_.timeout,
            [](const json& root)
            {
                kv_range_result result;
                result.revision =
                    number_at(root.value("header", json::object()), "revision");
                for (const auto& item : root.value("kvs", json::array()))
                    result.entries.push_back(to_entry(item));
                return result;
            },
            std::move(done));
    }

    void wait_for_change(const std::string& key, std::int64_t revision,
                         callback<kv_entry> done) override
    {
        auto wait = std::make_shared<pending_watch>();
        wait->done = std::move(done);
        wait->message.reset(soup_message_new(
            "POST", (options_.base_url + "/v3/watch").c_str()));
        const json body{{"create_request",
                         {{"key", encode_base64(key)},
                          {"start_revision", std::to_string(revision + 1)}}}};
        const auto text = body.dump();
        const bytes_ptr bytes{g_bytes_new(text.data(), text.size())};
        soup_message_set_request_body_from_bytes(
            wait->message.get(), "application/json", bytes.get());
        auto* timer = g_timeout_source_new_seconds(
            static_cast<guint>(to_seconds(options_.watch_timeout)));
        g_source_set_callback(timer, on_watch_timeout, wait.get(), nullptr);
        g_source_attach(timer, g_main_context_get_thread_default());
        wait->timer = timer;
        soup_session_send_async(client_.session(), wait->message.get(),
                                G_PRIORITY_DEFAULT, wait->cancel.get(),
                                on_watch_open,
                                new std::shared_ptr<pending_watch>(wait));
    }

private:
    /// One open watch; keeps itself alive through its pending operation.
    struct pending_watch
    {
        object_ptr<SoupMessage> message;
        object_ptr<GCancellable> cancel{g_cancellable_new()};
        object_ptr<GDataInputStream> lines;
        GSource* timer = nullptr;
        callback<kv_entry> done;

        void finish(std::optional<kv_entry> entry, const failure& reason)
        {
            g_source_destroy(timer);
            g_source_unref(timer);
            g_cancellable_cancel(cancel.get());
            done(std::move(entry), reason);
        }
    };

    using watch_handle = std::unique_ptr<std::shared_ptr<pending_watch>>;

    static gboolean on_watch_timeout(gpointer data)
    {
        g_cancellable_cancel(static_cast<pending_watch*>(data)->cancel.get());
        return G_SOURCE_REMOVE;
    }

    static void on_watch_open(GObject* source, GAsyncResult* result,
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
            (*self)->finish(std::nullopt, unavailable("watch refused"));
            return;
        }
        (*self)->lines.reset(g_data_input_stream_new(body.get()));
        read_line(std::move(self));
    }

    static void read_line(watch_handle self)
    {
        auto* lines = (*self)->lines.get();
        auto* cancel = (*self)->cancel.get();
        g_data_input_stream_read_line_async(lines, G_PRIORITY_DEFAULT, cancel,
                                            on_line, self.release());
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
            (*self)->finish(std::nullopt, unavailable("watch ended"));
            return;
        }
        const auto root = json::parse(line, nullptr, false);
        g_free(line);
        const auto newest = read_as(to_newest, root);
        if (!newest)
            (*self)->finish(std::nullopt,
                            unavailable("watch line of another form"));
        else if (!*newest)
            read_line(std::move(self));
        else
            (*self)->finish(**newest, {});
    }

    template <typename Result, typename Convert>
    void call(const char* path, const json& body, duration timeout,
              Convert convert, callback<Result> done)
    {
        http_request request{.method = "POST",
                             .url = options_.base_url + path,
                             .headers = {},
                             .body = body.dump(),
                             .timeout = timeout};
        client_.send(
            request,
            [convert,
             done = std::move(done)](const std::optional<http_response>& reply,
                                     const failure& reason)
            {
                if (!reply)
                {
                    done(std::nullopt, unavailable(reason.message));
                    return;
                }
                const auto root = json::parse(reply->body, nullptr, false);
                if (reply->status != status_ok || !root.is_object())
                {
                    done(
                        std::nullopt,
                        unavailable("status " + std::to_string(reply->status)));
                    return;
                }
                const auto result = read_as(convert, root);
                done(result, result ? failure{}
                                    : unavailable("answer of another form"));
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
