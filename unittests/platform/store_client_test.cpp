// Each call of the store against answers as the pages give them, damaged ones,
// and none.
#include "platform/store_client.hpp"

#include "baobabloft/http/caller_table.hpp"
#include "baobabloft/http/tcp_stream.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace baobabloft::platform
{

namespace
{

using nlohmann::json;

/// A store that gives one prepared answer to every call.
class store_test : public testing::Test
{
protected:
    store_test()
    {
        failure reason;
        listener = http::tcp_listener::open(
            loop, {"127.0.0.1", 0}, {},
            [this](std::shared_ptr<http::byte_stream> stream)
            {
                callers.accept(
                    std::move(stream), {},
                    {.on_request =
                         [this](const auto& caller, http::request&& message)
                     {
                         target = std::string{http::view_of(message.target())};
                         body = message.body();
                         answer(caller);
                         return nullptr;
                     },
                     .on_rejected = nullptr});
            },
            reason);
        EXPECT_NE(listener, nullptr) << reason.text();
        client = std::make_unique<store_client>(
            loop, endpoint{"127.0.0.1", listener->port()});
    }

    void answer(const http::caller_table::caller_ptr& caller)
    {
        if (silent)
            return;
        http::response out;
        out.result(status);
        out.body() = text;
        caller->respond(net::boot_now(), std::move(out), true);
    }

    /// Returns a callback that keeps result and reason and counts its calls.
    template <typename Result>
    auto keep(std::optional<Result>& result)
    {
        return [this, &result](const Result& value, const failure& why)
        {
            result = value;
            reason = why;
            ++calls;
        };
    }

    void run()
    {
        calls = 0;
        bool late = false;
        const auto timer = loop.after(2s, [&] { late = true; });
        while (calls == 0 && !late)
            g_main_context_iteration(loop.context(), TRUE);
        if (!late)
            loop.cancel(timer);
    }

    std::optional<directory::entry_page> read_page(const std::string& answered)
    {
        text = answered;
        std::optional<std::optional<directory::entry_page>> result;
        client->read_page("", 500ms, keep(result));
        run();
        return result.value_or(std::nullopt);
    }

    relay::watch_result watch(const std::string& answered)
    {
        text = answered;
        std::optional<relay::watch_result> result;
        client->watch({.after = 7, .wait = 100ms}, 500ms, keep(result));
        run();
        return result.value_or(relay::watch_result{});
    }

    net::event_loop loop;
    net::event_loop::scope own{loop};
    std::unique_ptr<http::tcp_listener> listener;
    http::caller_table callers;
    std::unique_ptr<store_client> client;
    unsigned status = 200;
    std::string text;
    std::string target;
    std::string body;
    bool silent = false;
    failure reason;
    int calls = 0;
};

json sample_page()
{
    return json::parse(R"({"asOf":9,"morePages":true,"entries":[
        {"key":"a","rev":3,"value":"aGVq"},
        {"key":"b","rev":4,"value":"aGVq"}]})");
}

TEST_F(store_test, a_page_is_decoded)
{
    const auto page = read_page(sample_page().dump());
    ASSERT_TRUE(page);
    EXPECT_EQ(page->as_of_revision, 9U);
    EXPECT_TRUE(page->has_more);
    ASSERT_EQ(page->entries.size(), 2U);
    EXPECT_EQ(page->entries[0].key, "a");
    EXPECT_EQ(page->entries[0].value, "hej");
    EXPECT_EQ(page->entries[1].mod_revision, 4U);
}

TEST_F(store_test, a_page_whose_own_fields_are_wrong_is_none)
{
    const std::vector<std::pair<std::string, json>> wrong{
        {"asOf", "9"},     {"asOf", -1},
        {"asOf", nullptr}, {"morePages", "no"},
        {"morePages", 1},  {"morePages", nullptr},
        {"entries", 3},    {"entries", json::object()}};
    for (const auto& [name, value] : wrong)
    {
        auto page = sample_page();
        page[name] = value;
        EXPECT_FALSE(read_page(page.dump())) << name << value;
        EXPECT_FALSE(reason.text().empty());
    }
    for (const auto* text_of_none : {"", "[]", "null", "{\"asOf\":", "\xff"})
        EXPECT_FALSE(read_page(text_of_none)) << text_of_none;
    auto last = sample_page();
    last.erase("morePages");
    const auto page = read_page(last.dump());
    ASSERT_TRUE(page);
    EXPECT_FALSE(page->has_more);
}

TEST_F(store_test, an_item_without_key_or_revision_leaves_the_others)
{
    for (const auto* field : {"key", "rev"})
        for (const json& value : {json{nullptr}, json{-1}, json::object()})
        {
            auto root = sample_page();
            root["entries"][0][field] = value;
            const auto page = read_page(root.dump());
            ASSERT_TRUE(page) << field << value;
            ASSERT_EQ(page->entries.size(), 1U) << field << value;
            EXPECT_EQ(page->entries[0].key, "b");
        }
}

TEST_F(store_test, an_item_whose_value_is_unreadable_replaces_the_one_before)
{
    // What it says now is unknown, but what it said before holds no more.
    for (const json& value :
         {json{nullptr}, json{7}, json{"not base64!"}, json::array()})
    {
        auto root = sample_page();
        root["entries"][0]["value"] = value;
        const auto page = read_page(root.dump());
        ASSERT_TRUE(page) << value;
        ASSERT_EQ(page->entries.size(), 2U) << value;
        EXPECT_EQ(page->entries[0].value, "");
        EXPECT_FALSE(page->entries[0].removed);
    }
}

TEST_F(store_test, changes_and_removals_are_decoded)
{
    const auto result =
        watch(R"({"asOf":12,"events":[{"key":"a","rev":11,"value":"aGVq"},
                  {"key":"b","rev":12,"deleted":true}]})");
    ASSERT_TRUE(result.changes);
    ASSERT_EQ(result.changes->entries.size(), 2U);
    EXPECT_FALSE(result.changes->entries[0].removed);
    EXPECT_TRUE(result.changes->entries[1].removed);
    EXPECT_NE(target.find("after=7"), std::string::npos);
}

TEST_F(store_test, a_watch_tells_lost_history_from_a_failure)
{
    status = 410;
    EXPECT_TRUE(watch("").history_lost);
    status = 503;
    const auto result = watch("");
    EXPECT_FALSE(result.history_lost);
    EXPECT_FALSE(result.changes);
    EXPECT_FALSE(reason.text().empty());
}

TEST_F(store_test, one_entry_is_found_missing_or_unknown)
{
    std::optional<std::optional<std::optional<directory::entry>>> result;
    const auto read = [&]
    {
        client->read_entry("a b", 500ms, keep(result));
        run();
        return result.value_or(std::nullopt);
    };
    text = R"({"key":"a b","rev":3,"value":"aGVq"})";
    ASSERT_TRUE(read());
    EXPECT_EQ((**result)->value, "hej");
    EXPECT_NE(target.find("a%20b"), std::string::npos);
    status = 404;
    ASSERT_TRUE(read());
    EXPECT_FALSE(**result);
    status = 500;
    EXPECT_FALSE(read());
    status = 200;
    text = "{}";
    EXPECT_FALSE(read());
}

TEST_F(store_test, a_lease_is_granted_and_renewed)
{
    std::optional<std::optional<relay::lease_id>> lease;
    text = R"({"lease":77})";
    client->grant_lease(3s, 500ms, keep(lease));
    run();
    EXPECT_EQ(*lease, 77U);
    EXPECT_EQ(json::parse(body)["ttlMs"], 3000);
    for (const auto* wrong : {"{}", R"({"lease":"77"})", "[]", ""})
    {
        text = wrong;
        client->grant_lease(3s, 500ms, keep(lease));
        run();
        EXPECT_FALSE(*lease) << wrong;
    }
    const std::vector<std::pair<unsigned, relay::lease_renewal>> renewals{
        {200, relay::lease_renewal::renewed},
        {404, relay::lease_renewal::ended},
        {503, relay::lease_renewal::unknown}};
    for (const auto& [code, expected] : renewals)
    {
        std::optional<relay::lease_renewal> renewal;
        status = code;
        client->renew_lease(77, 500ms, keep(renewal));
        run();
        EXPECT_EQ(*renewal, expected) << code;
    }
}

TEST_F(store_test, a_call_without_an_answer_ends_at_its_timeout)
{
    silent = true;
    std::optional<relay::lease_renewal> renewal;
    const auto before = net::boot_now();
    client->renew_lease(77, 50ms, keep(renewal));
    run();
    EXPECT_EQ(renewal, relay::lease_renewal::unknown);
    EXPECT_GE(net::boot_now() - before, 45ms);
    EXPECT_FALSE(reason.text().empty());
}

TEST_F(store_test, a_store_that_is_gone_fails_calls_at_once)
{
    listener.reset();
    std::optional<relay::lease_renewal> renewal;
    client->renew_lease(77, 5s, keep(renewal));
    run();
    EXPECT_EQ(renewal, relay::lease_renewal::unknown);
}

json any_value()
{
    switch (*rc::gen::inRange(0, 7))
    {
    case 0:
        return nullptr;
    case 1:
        return *rc::gen::arbitrary<bool>();
    case 2:
        return *rc::gen::arbitrary<std::int64_t>();
    case 3:
        return 1.5;
    case 4:
        return json::array({1, "x"});
    case 5:
        return json::object();
    default:
        return *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
    }
}

RC_GTEST_FIXTURE_PROP(store_test, damaged_answers_end_each_call_once, ())
{
    auto root = json::parse(R"({"asOf":9,"morePages":false,"lease":5,
        "key":"a","rev":3,"value":"aGVq",
        "entries":[{"key":"a","rev":3,"value":"aGVq"}],
        "events":[{"key":"b","rev":4,"deleted":true}]})");
    const auto paths = root.flatten();
    auto item = paths.begin();
    std::advance(item, *rc::gen::inRange<std::size_t>(0, paths.size()));
    root[json::json_pointer{item.key()}] = any_value();
    text = root.dump();
    if (*rc::gen::inRange(0, 4) == 0)
        text.resize(*rc::gen::inRange<std::size_t>(0, text.size()));
    std::optional<std::optional<directory::entry_page>> page;
    std::optional<std::optional<std::optional<directory::entry>>> entry;
    std::optional<relay::watch_result> changes;
    std::optional<std::optional<relay::lease_id>> lease;
    client->read_page("", 500ms, keep(page));
    run();
    RC_ASSERT(calls == 1);
    client->read_entry("a", 500ms, keep(entry));
    run();
    RC_ASSERT(calls == 1);
    client->watch({.after = 7, .wait = 100ms}, 500ms, keep(changes));
    run();
    RC_ASSERT(calls == 1);
    client->grant_lease(3s, 500ms, keep(lease));
    run();
    RC_ASSERT(calls == 1);
}

} // namespace

} // namespace baobabloft::platform
