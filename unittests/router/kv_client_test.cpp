// Tests of the key-value client against malformed and well-formed responses of
// the service.
#include "baobabloft/http/caller_table.hpp"
#include "baobabloft/http/tcp_stream.hpp"
#include "baobabloft/net/kv_client.hpp"
#include "baobabloft/net/revision_monitor.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace baobabloft::net
{

namespace
{

using nlohmann::json;

/// Runs a service that sends the same response body to every request.
class kv_client_test : public testing::Test
{
protected:
    kv_client_test()
    {
        failure reason;
        listener = http::tcp_listener::open(
            loop, {"127.0.0.1", 0}, {},
            [this](std::shared_ptr<http::byte_stream> stream)
            {
                callers.accept(std::move(stream), {},
                               {.on_request =
                                    [this](const auto& caller, http::request&&)
                                {
                                    http::response response;
                                    response.result(200);
                                    response.body() = response_body;
                                    caller->respond(boot_now(),
                                                    std::move(response), true);
                                    return nullptr;
                                },
                                .on_rejected = nullptr});
            },
            reason);
        EXPECT_NE(listener, nullptr) << reason.text();
        client = make_etcd_client(
            {.base_url = "http://127.0.0.1:" + std::to_string(listener->port()),
             .timeout = 1s});
    }

    /// Runs the event loop until a callback made by store_result() has run, for
    /// at most 3 s.
    void run_until_done()
    {
        const auto end = boot_now() + 3s;
        while (!done && boot_now() < end)
            g_main_context_iteration(loop.context(), TRUE);
        EXPECT_TRUE(done);
        done = false;
    }

    /// Returns a callback that stores its result in `result`.
    template <typename Result>
    auto store_result(std::optional<Result>& result)
    {
        return [this, &result](std::optional<Result> value, const failure&)
        {
            result = std::move(value);
            done = true;
        };
    }

    event_loop loop;
    event_loop::default_context_scope context_scope{loop};
    std::unique_ptr<http::tcp_listener> listener;
    http::caller_table callers;
    std::unique_ptr<kv_client> client;
    std::string response_body;
    bool done = false;
};

TEST_F(kv_client_test, malformed_responses_are_reported_as_failures)
{
    const std::vector<const char*> bodies{
        "", "[]", R"({"succeeded":"yes","kvs":{"a":1},"header":7})",
        R"({"header":{"revision":null}})",
        R"({"header":{"revision":{}},"kvs":[{"key":4,"value":null}]})"};
    for (const auto* body : bodies)
    {
        response_body = body;
        std::optional<kv_range_result> entries;
        client->read({.first = "a", .end = {}}, store_result(entries));
        run_until_done();
        EXPECT_FALSE(entries) << body;
        std::optional<kv_transaction_result> outcome;
        client->commit({}, store_result(outcome));
        run_until_done();
        EXPECT_FALSE(outcome) << body;
    }
}

TEST_F(kv_client_test, malformed_watch_lines_end_the_watch)
{
    for (const auto* line :
         {"[]", R"({"result":{"events":[7]}})", R"({"result":{"events":7}})",
          R"({"result":{"events":[{"kv":{"key":1}}]}})"})
    {
        response_body = std::string{line} + "\n";
        std::optional<kv_entry> entry;
        client->wait_for_change("a", 1, store_result(entry));
        run_until_done();
        EXPECT_FALSE(entry) << line;
    }
}

// Guards against responses out of order that are taken for a restored service,
// and against a restore that is reported by each response.
TEST(revision_monitor, reports_each_restore_once)
{
    revision_monitor monitor;
    EXPECT_FALSE(monitor.record(time_point{}, monitor.current(), 7));
    const auto early = monitor.current();
    EXPECT_FALSE(monitor.record(time_point{}, monitor.current(), 9));
    EXPECT_FALSE(monitor.record(time_point{}, early, 8));
    const auto first = monitor.current();
    const auto second = monitor.current();
    EXPECT_TRUE(monitor.record(time_point{}, first, 5));
    EXPECT_FALSE(monitor.record(time_point{}, second, 6));
    EXPECT_FALSE(monitor.record(time_point{}, monitor.current(), 5));
    EXPECT_TRUE(monitor.record(time_point{}, monitor.current(), 4));
}

TEST_F(kv_client_test, a_well_formed_response_is_parsed)
{
    response_body = R"({"header":{"revision":"9"},
               "kvs":[{"key":"YQ==","value":"aGVq","mod_revision":"8"}]})";
    std::optional<kv_range_result> entries;
    client->read({.first = "a", .end = {}}, store_result(entries));
    run_until_done();
    ASSERT_TRUE(entries);
    EXPECT_EQ(entries->revision, 9);
    ASSERT_EQ(entries->entries.size(), 1U);
    EXPECT_EQ(entries->entries[0].value, "hej");
}

} // namespace

} // namespace baobabloft::net
