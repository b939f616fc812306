// Stand-in for the platform's KV service: the part of the etcd v3 JSON gateway
// that the router uses (range, txn, put, watch, lease grant), in memory.
// Faults: POST /standin/faults {"outage", "delay_ms", "lost_answers"}; the last
// is the probability that a call takes effect but its response is lost. "copy"
// keeps a copy of the contents, "restore" returns to it.
#include "standins.hpp"

#include "baobabloft/net/base64.hpp"

#include <list>
#include <map>
#include <random>
#include <tuple>

namespace baobabloft::standins
{

namespace
{

using nlohmann::json;

struct stored_value
{
    std::string value;
    std::int64_t mod_revision = 0;
    std::int64_t create_revision = 0;
    std::int64_t version = 0;
};

struct watcher
{
    SoupServerMessage* message;
    std::string key;
};

/// Returns the number at `key`, which may be a JSON string as in protobuf's
/// JSON mapping of 64-bit integers, or 0 if it is absent.
std::int64_t number_at(const json& item, const char* key)
{
    const auto found = item.find(key);
    if (found == item.end())
        return 0;
    return found->is_string() ? std::stoll(found->get_ref<const std::string&>())
                              : found->get<std::int64_t>();
}

class kv_store
{
public:
    void handle(const request& incoming)
    {
        if (incoming.path == "/standin/faults")
        {
            set_faults(incoming.json());
            respond(incoming.message, SOUP_STATUS_OK, json::object());
            return;
        }
        if (incoming.path == "/standin/counters")
        {
            respond(incoming.message, SOUP_STATUS_OK,
                    {{"reads", reads_},
                     {"writes", writes_},
                     {"watches", watches_},
                     {"keys", data_.size()},
                     {"open_watches", watchers_.size()}});
            return;
        }
        if (unavailable_)
        {
            close_without_response(incoming.message);
            return;
        }
        const auto response = apply(incoming);
        if (response.is_null())
            return;
        std::uniform_real_distribution<double> uniform(0, 1);
        if (uniform(random_) < response_loss_probability_)
            close_without_response(incoming.message);
        else
            respond_later(incoming.message, delay_ms_, SOUP_STATUS_OK,
                          response);
    }

private:
    json apply(const request& incoming)
    {
        const auto body = incoming.json();
        if (incoming.path == "/v3/kv/range")
        {
            ++reads_;
            return range(body);
        }
        if (incoming.path == "/v3/kv/put")
        {
            ++writes_;
            put(body);
            return {{"header", header()}};
        }
        if (incoming.path == "/v3/kv/txn")
        {
            ++writes_;
            return transact(body);
        }
        if (incoming.path == "/v3/lease/grant")
        {
            ++writes_;
            return {{"header", header()},
                    {"ID", std::to_string(++last_lease_)},
                    {"TTL", body.value("TTL", "10")}};
        }
        if (incoming.path == "/v3/watch")
        {
            ++watches_;
            start_watch(incoming, body);
            return nullptr;
        }
        respond(incoming.message, SOUP_STATUS_NOT_FOUND, json::object());
        return nullptr;
    }

    void set_faults(const json& body)
    {
        unavailable_ = body.value("outage", unavailable_);
        delay_ms_ = body.value("delay_ms", delay_ms_);
        response_loss_probability_ =
            body.value("lost_answers", response_loss_probability_);
        if (body.value("copy", false))
            copy_ = {data_, revision_};
        const bool restores = body.value("restore", false);
        if (restores)
            std::tie(data_, revision_) = copy_;
        if (!unavailable_ && !restores)
            return;
        for (const auto& item : watchers_)
            g_socket_close(soup_server_message_get_socket(item.message),
                           nullptr);
    }

    [[nodiscard]] json header() const
    {
        return {{"revision", std::to_string(revision_)}};
    }

    static json to_json(const std::string& key, const stored_value& item)
    {
        return {{"key", net::encode_base64(key)},
                {"value", net::encode_base64(item.value)},
                {"mod_revision", std::to_string(item.mod_revision)},
                {"create_revision", std::to_string(item.create_revision)},
                {"version", std::to_string(item.version)}};
    }

    json range(const json& body)
    {
        const auto first_key = net::decode_base64(body.value("key", ""));
        const auto end_key = net::decode_base64(body.value("range_end", ""));
        const auto limit = number_at(body, "limit");
        json found = json::array();
        for (auto entry = data_.lower_bound(first_key); entry != data_.end();
             ++entry)
        {
            const bool in_range = end_key.empty() ? entry->first == first_key
                                                  : entry->first < end_key;
            const bool limit_reached =
                limit > 0 && found.size() >= static_cast<std::size_t>(limit);
            if (!in_range || limit_reached)
                break;
            found.push_back(to_json(entry->first, entry->second));
        }
        return {{"header", header()}, {"kvs", found}};
    }

    bool is_met(const json& condition)
    {
        const auto found =
            data_.find(net::decode_base64(condition.value("key", "")));
        const stored_value item =
            found == data_.end() ? stored_value{} : found->second;
        const auto target = condition.value("target", "VERSION");
        if (target == "VALUE")
            return item.version != 0 &&
                   item.value ==
                       net::decode_base64(condition.value("value", ""));
        std::int64_t actual = item.version;
        std::int64_t expected = number_at(condition, "version");
        if (target == "MOD")
        {
            actual = item.mod_revision;
            expected = number_at(condition, "mod_revision");
        }
        else if (target == "CREATE")
        {
            actual = item.create_revision;
            expected = number_at(condition, "create_revision");
        }
        return condition.value("result", "EQUAL") == "GREATER"
                   ? actual > expected
                   : actual == expected;
    }

    json transact(const json& body)
    {
        bool succeeded = true;
        for (const auto& condition : body.value("compare", json::array()))
            succeeded = succeeded && is_met(condition);
        const auto* branch = succeeded ? "success" : "failure";
        for (const auto& operation : body.value(branch, json::array()))
        {
            if (operation.contains("request_put"))
                put(operation["request_put"]);
            if (operation.contains("request_delete_range"))
                erase(operation["request_delete_range"]);
        }
        return {{"header", header()}, {"succeeded", succeeded}};
    }

    void put(const json& body)
    {
        const auto key = net::decode_base64(body.value("key", ""));
        auto& item = data_[key];
        ++revision_;
        if (item.version == 0)
            item.create_revision = revision_;
        item.mod_revision = revision_;
        ++item.version;
        item.value = net::decode_base64(body.value("value", ""));
        notify(key);
    }

    void erase(const json& body)
    {
        ++revision_;
        const auto first_key = net::decode_base64(body.value("key", ""));
        const auto end_key = net::decode_base64(body.value("range_end", ""));
        data_.erase(data_.lower_bound(first_key),
                    end_key.empty() ? data_.upper_bound(first_key)
                                    : data_.lower_bound(end_key));
    }

    void start_watch(const request& incoming, const json& body)
    {
        const auto create = body.value("create_request", json::object());
        const auto key = net::decode_base64(create.value("key", ""));
        auto* message = incoming.message;
        soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
        soup_message_headers_set_encoding(
            soup_server_message_get_response_headers(message),
            SOUP_ENCODING_CHUNKED);
        g_object_ref(message);
        watchers_.push_back({message, key});
        g_signal_connect(message, "finished", G_CALLBACK(on_finished), this);
        send_line(message, {{"result", {{"created", true}}}});
        const auto found = data_.find(key);
        if (found != data_.end() &&
            found->second.mod_revision >= number_at(create, "start_revision"))
            send_event(message, key);
    }

    void notify(const std::string& key)
    {
        for (const auto& item : watchers_)
            if (item.key == key)
                send_event(item.message, key);
    }

    void send_event(SoupServerMessage* message, const std::string& key)
    {
        send_line(message,
                  {{"result",
                    {{"header", header()},
                     {"events", {{{"kv", to_json(key, data_.at(key))}}}}}}});
    }

    static void send_line(SoupServerMessage* message, const json& line)
    {
        const auto text = line.dump() + "\n";
        soup_message_body_append(soup_server_message_get_response_body(message),
                                 SOUP_MEMORY_COPY, text.data(), text.size());
        soup_server_message_unpause(message);
    }

    static void on_finished(SoupServerMessage* message, gpointer data)
    {
        auto& watchers = static_cast<kv_store*>(data)->watchers_;
        watchers.remove_if([message](const watcher& item)
                           { return item.message == message; });
        g_object_unref(message);
    }

    std::map<std::string, stored_value> data_;
    std::list<watcher> watchers_;
    std::mt19937_64 random_{1};
    std::int64_t revision_ = 0;
    /// Contents and revision at the last copy.
    std::pair<std::map<std::string, stored_value>, std::int64_t> copy_;
    std::int64_t last_lease_ = 0;
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
    std::uint64_t watches_ = 0;
    bool unavailable_ = false;
    unsigned delay_ms_ = 0;
    double response_loss_probability_ = 0;
};

} // namespace

int run_kv(std::uint16_t port)
{
    kv_store store;
    return serve(port,
                 [&store](const request& incoming) { store.handle(incoming); });
}

} // namespace baobabloft::standins
