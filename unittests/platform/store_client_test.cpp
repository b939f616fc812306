// Each call to the store against valid, malformed and missing responses, and
// the directory that follows a store with odd entries.
#include "platform/record_codec.hpp"
#include "platform/store_client.hpp"

#include "baobabloft/directory/directory_follower.hpp"
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

/// A store that sends the same prepared response to every call.
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
                         [this](const auto& caller, http::request&& request)
                     {
                         request_target =
                             std::string{http::std_view(request.target())};
                         request_body = request.body();
                         respond_to(caller);
                         return nullptr;
                     },
                     .on_rejected = nullptr});
            },
            reason);
        EXPECT_NE(listener, nullptr) << reason.text();
        client = std::make_unique<store_client>(
            loop, endpoint{"127.0.0.1", listener->port()});
    }

    void respond_to(const http::caller_table::caller_ptr& caller)
    {
        if (unresponsive)
            return;
        if (part_bytes > 0)
        {
            http::response_head head;
            head.result(status);
            caller->start_streamed_response(std::move(head), true);
            send_parts(caller, 0);
            return;
        }
        http::response out;
        out.result(status);
        out.body() = response_body;
        if (!era.empty())
            out.set("Store-Era", era);
        caller->respond(net::boot_now(), std::move(out), true);
    }

    /// Sends the response from `offset` on, one part every 20 ms, and then
    /// blanks without end if `is_endless`.
    void send_parts(const http::caller_table::caller_ptr& caller,
                    std::size_t offset)
    {
        const bool is_sent = offset >= response_body.size();
        if (is_sent && !is_endless)
        {
            caller->end_streamed_response(net::boot_now());
            return;
        }
        caller->send_body_part(
            is_sent ? " " : response_body.substr(offset, part_bytes));
        loop.run_after(20ms,
                       [this, weak = std::weak_ptr{caller}, offset]
                       {
                           if (const auto open = weak.lock())
                               send_parts(open, offset + part_bytes);
                       });
    }

    /// Returns a callback that stores the result and the reason and counts its
    /// runs.
    template <typename Result>
    auto capture(std::optional<Result>& result)
    {
        return [this, &result](const Result& value, const failure& call_failure)
        {
            result = value;
            reason = call_failure;
            ++callbacks_run;
        };
    }

    void wait_for_callback()
    {
        callbacks_run = 0;
        bool timed_out = false;
        const auto timer = loop.run_after(2s, [&] { timed_out = true; });
        while (callbacks_run == 0 && !timed_out)
            g_main_context_iteration(loop.context(), TRUE);
        if (!timed_out)
            loop.cancel_timer(timer);
    }

    std::optional<directory::entry_page> read_page(const std::string& page_text)
    {
        response_body = page_text;
        std::optional<std::optional<directory::entry_page>> result;
        client->read_page("", 500ms, capture(result));
        wait_for_callback();
        return result.value_or(std::nullopt);
    }

    relay::watch_result watch(const std::string& changes_text)
    {
        response_body = changes_text;
        std::optional<relay::watch_result> result;
        client->watch({.after = 7, .wait = 100ms}, 500ms, capture(result));
        wait_for_callback();
        return result.value_or(relay::watch_result{});
    }

    net::event_loop loop;
    net::event_loop::default_context_scope loop_scope{loop};
    std::unique_ptr<http::tcp_listener> listener;
    http::caller_table callers;
    std::unique_ptr<store_client> client;
    unsigned status = 200;
    std::string response_body;
    std::string era;
    std::string request_target;
    std::string request_body;
    bool unresponsive = false;
    /// If not 0, the response is sent in parts of this size.
    std::size_t part_bytes = 0;
    bool is_endless = false;
    failure reason;
    int callbacks_run = 0;
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

TEST_F(store_test, a_page_with_invalid_fields_is_rejected)
{
    const std::vector<std::pair<std::string, json>> invalid{
        {"asOf", "9"},     {"asOf", -1},
        {"asOf", nullptr}, {"morePages", "no"},
        {"morePages", 1},  {"morePages", nullptr},
        {"entries", 3},    {"entries", json::object()}};
    for (const auto& [name, value] : invalid)
    {
        auto page = sample_page();
        page[name] = value;
        EXPECT_FALSE(read_page(page.dump())) << name << value;
        EXPECT_FALSE(reason.text().empty());
    }
    for (const auto* malformed : {"", "[]", "null", "{\"asOf\":", "\xff"})
        EXPECT_FALSE(read_page(malformed)) << malformed;
    auto last = sample_page();
    last.erase("morePages");
    const auto page = read_page(last.dump());
    ASSERT_TRUE(page);
    EXPECT_FALSE(page->has_more);
}

TEST_F(store_test, an_item_without_key_or_revision_is_skipped)
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

TEST_F(store_test, an_item_with_an_unreadable_value_has_an_empty_value)
{
    // The entry has changed, so its previous value must not be used any longer
    // even though the new one is unknown.
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

/// Texts of items that cannot be used.
std::vector<std::string> odd_items()
{
    constexpr std::size_t depth = 200'000;
    const auto deep = std::string(depth, '[') + std::string(depth, ']');
    return {deep,
            R"({"key":"c","rev":)" + deep + "}",
            R"({"key":"c\ud800","rev":5,"value":"aGVq"})",
            "{\"key\":\"c\xff\",\"rev\":5,\"value\":\"aGVq\"}",
            R"({"key":"c","rev":1e400,"value":"aGVq"})",
            R"({"key":"c","rev":18446744073709551616,"value":"aGVq"})",
            "tru"};
}

// Guards against an odd item that ends the process, or makes the whole page or
// watch unreadable, so that following stops.
TEST_F(store_test, an_odd_item_is_skipped_and_its_neighbours_are_read)
{
    const std::string first = R"({"key":"a","rev":3,"value":"aGVq"})";
    const std::string last = R"({"key":"],\"","rev":4,"value":"aGVq"})";
    for (const auto& item : odd_items())
    {
        auto list = "[" + first;
        list.append(", ").append(item).append(" ,").append(last).append("]}");
        const auto page = read_page(R"({"asOf":9, "entries" : )" + list);
        ASSERT_TRUE(page) << item.substr(0, 60);
        ASSERT_EQ(page->entries.size(), 2U) << item.substr(0, 60);
        EXPECT_EQ(page->entries[1].key, "],\"");
        const auto result = watch(R"({"asOf":9,"events":)" + list);
        ASSERT_TRUE(result.changes) << item.substr(0, 60);
        EXPECT_EQ(result.changes->entries.size(), 2U) << item.substr(0, 60);
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
    EXPECT_NE(request_target.find("after=7"), std::string::npos);
}

TEST_F(store_test, a_watch_distinguishes_lost_history_from_failure)
{
    status = 410;
    EXPECT_TRUE(watch("").history_lost);
    status = 503;
    const auto result = watch("");
    EXPECT_FALSE(result.history_lost);
    EXPECT_FALSE(result.changes);
    EXPECT_FALSE(reason.text().empty());
}

// Guards against taking revisions of a restored store for those of before.
TEST_F(store_test, every_response_tells_the_era)
{
    era = "3";
    EXPECT_EQ(read_page(R"({"entries":[],"asOf":9})")->era, 3U);
    EXPECT_EQ(watch(R"({"events":[],"asOf":9})").changes->era, 3U);
    status = 410;
    EXPECT_EQ(watch("").era, 3U);
    std::optional<std::optional<directory::entry_lookup>> entry;
    status = 404;
    client->read_entry("a", 500ms, capture(entry));
    wait_for_callback();
    ASSERT_TRUE(entry && *entry);
    EXPECT_EQ((*entry)->era, 3U);
    status = 200;
    era = "three";
    EXPECT_EQ(read_page(R"({"entries":[],"asOf":9})")->era, 0U);
}

TEST_F(store_test, read_entry_distinguishes_found_missing_and_failed)
{
    std::optional<std::optional<directory::entry_lookup>> result;
    const auto read = [&]
    {
        client->read_entry("a b", 500ms, capture(result));
        wait_for_callback();
        return result.value_or(std::nullopt);
    };
    response_body = R"({"key":"a b","rev":3,"value":"aGVq"})";
    ASSERT_TRUE(read());
    EXPECT_EQ((*result)->item->value, "hej");
    EXPECT_NE(request_target.find("a%20b"), std::string::npos);
    status = 404;
    ASSERT_TRUE(read());
    EXPECT_FALSE((*result)->item);
    status = 500;
    EXPECT_FALSE(read());
    status = 200;
    response_body = "{}";
    EXPECT_FALSE(read());
}

// Guards against a key that is cut at a NUL character, so that the next page
// begins before it again.
TEST_F(store_test, a_key_with_a_nul_character_is_sent_whole)
{
    std::optional<std::optional<directory::entry_page>> page;
    client->read_page({"a\0b", 3}, 500ms, capture(page));
    wait_for_callback();
    EXPECT_NE(request_target.find("after=a%00b"), std::string::npos)
        << request_target;
}

// Guards against a read that ends at a page of unreadable items and removes all
// entries after it.
TEST_F(store_test, a_page_without_a_usable_key_to_continue_from_fails)
{
    EXPECT_FALSE(
        read_page(R"({"asOf":9,"morePages":true,"entries":[{"key":1}]})"));
    EXPECT_TRUE(
        read_page(R"({"asOf":9,"morePages":false,"entries":[{"key":1}]})"));
}

TEST_F(store_test, a_lease_is_granted_and_renewed)
{
    std::optional<std::optional<relay::lease_id>> lease;
    response_body = R"({"lease":77})";
    client->grant_lease(3s, 500ms, capture(lease));
    wait_for_callback();
    EXPECT_EQ(*lease, 77U);
    EXPECT_EQ(json::parse(request_body)["ttlMs"], 3000);
    for (const auto* invalid : {"{}", R"({"lease":"77"})", "[]", ""})
    {
        response_body = invalid;
        client->grant_lease(3s, 500ms, capture(lease));
        wait_for_callback();
        EXPECT_FALSE(*lease) << invalid;
    }
    const std::vector<std::pair<unsigned, relay::lease_renewal>> renewals{
        {200, relay::lease_renewal::renewed},
        {404, relay::lease_renewal::ended},
        {503, relay::lease_renewal::unknown}};
    for (const auto& [code, expected] : renewals)
    {
        std::optional<relay::lease_renewal> renewal;
        status = code;
        client->renew_lease(77, 500ms, capture(renewal));
        wait_for_callback();
        EXPECT_EQ(*renewal, expected) << code;
    }
}

TEST_F(store_test, a_rollout_status_is_written_if_nothing_changed)
{
    const auto write = [this](unsigned response_status)
    {
        status = response_status;
        response_body = "{}";
        std::optional<dispatch::rollout_write_end> result;
        client->write_rollout_status(
            {.service = "app",
             .status = {"v2", directory::rollout_phase::complete},
             .order_revision = 7,
             .status_revision = 9},
            500ms, capture(result));
        wait_for_callback();
        return result;
    };
    using end = dispatch::rollout_write_end;
    EXPECT_EQ(write(200), end::written);
    const auto body = json::parse(request_body);
    EXPECT_EQ(body["expectRev"],
              json::parse(R"([{"key":"op/rollout/app","rev":7},
                              {"key":"status/rollout/app","rev":9}])"));
    EXPECT_EQ(body["writes"][0]["key"], "status/rollout/app");
    EXPECT_EQ(write(412), end::conflict);
    for (const unsigned other : {429U, 503U, 500U, 404U})
        EXPECT_EQ(write(other), end::unknown) << other;
}

TEST_F(store_test, a_call_without_a_response_times_out)
{
    unresponsive = true;
    std::optional<relay::lease_renewal> renewal;
    const auto before = net::boot_now();
    client->renew_lease(77, 50ms, capture(renewal));
    wait_for_callback();
    EXPECT_EQ(renewal, relay::lease_renewal::unknown);
    EXPECT_GE(net::boot_now() - before, 45ms);
    EXPECT_FALSE(reason.text().empty());
}

// Guards against a long configuration that is never read because its transfer
// takes longer than the timeout of a call.
TEST_F(store_test, a_response_that_keeps_arriving_outlasts_the_timeout)
{
    std::optional<std::optional<directory::entry_lookup>> result;
    response_body = R"({"key":"a","rev":3,"value":"aGVq"})";
    part_bytes = 2;
    client->read_entry("a", 100ms, capture(result));
    wait_for_callback();
    ASSERT_TRUE(result && *result && (*result)->item);
    EXPECT_EQ((*result)->item->value, "hej");
}

// Guards against a watch that never catches up with long values that change
// faster than they arrive.
TEST_F(store_test, changes_that_are_too_long_are_told_from_a_failure)
{
    std::optional<relay::watch_result> result;
    response_body = sample_page().dump();
    part_bytes = 50;
    is_endless = true;
    client->watch({.after = 7, .wait = 100ms}, 200ms, capture(result));
    wait_for_callback();
    ASSERT_TRUE(result);
    EXPECT_TRUE(result->is_too_long);
    unresponsive = true;
    client->watch({.after = 7, .wait = 100ms}, 200ms, capture(result));
    wait_for_callback();
    EXPECT_FALSE(result->is_too_long);
}

TEST_F(store_test, a_response_without_end_fails_the_call)
{
    std::optional<std::optional<directory::entry_page>> result;
    response_body = sample_page().dump();
    part_bytes = 50;
    is_endless = true;
    const auto before = net::boot_now();
    client->read_page("", 100ms, capture(result));
    for (int round = 0; round < 3 && !result; ++round)
        wait_for_callback();
    ASSERT_TRUE(result);
    EXPECT_FALSE(*result);
    EXPECT_GE(net::boot_now() - before, 1s);
    EXPECT_LE(net::boot_now() - before, 4s);
}

TEST_F(store_test, a_refused_connection_fails_the_call)
{
    listener.reset();
    std::optional<relay::lease_renewal> renewal;
    client->renew_lease(77, 5s, capture(renewal));
    wait_for_callback();
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

RC_GTEST_FIXTURE_PROP(store_test, malformed_responses_complete_each_call_once,
                      ())
{
    auto root = json::parse(R"({"asOf":9,"morePages":false,"lease":5,
        "key":"a","rev":3,"value":"aGVq",
        "entries":[{"key":"a","rev":3,"value":"aGVq"}],
        "events":[{"key":"b","rev":4,"deleted":true}]})");
    const auto paths = root.flatten();
    auto item = paths.begin();
    std::advance(item, *rc::gen::inRange<std::size_t>(0, paths.size()));
    root[json::json_pointer{item.key()}] = any_value();
    response_body = root.dump();
    if (*rc::gen::inRange(0, 4) == 0)
        response_body.resize(
            *rc::gen::inRange<std::size_t>(0, response_body.size()));
    std::optional<std::optional<directory::entry_page>> page;
    std::optional<std::optional<directory::entry_lookup>> entry;
    std::optional<relay::watch_result> changes;
    std::optional<std::optional<relay::lease_id>> lease;
    client->read_page("", 500ms, capture(page));
    wait_for_callback();
    RC_ASSERT(callbacks_run == 1);
    client->read_entry("a", 500ms, capture(entry));
    wait_for_callback();
    RC_ASSERT(callbacks_run == 1);
    client->watch({.after = 7, .wait = 100ms}, 500ms, capture(changes));
    wait_for_callback();
    RC_ASSERT(callbacks_run == 1);
    client->grant_lease(3s, 500ms, capture(lease));
    wait_for_callback();
    RC_ASSERT(callbacks_run == 1);
}

json sound_server(const char* address)
{
    return {{"service", "s"}, {"address", address}, {"zone", "z"},
            {"slots", 4},     {"phase", "ready"},   {"coldLeftMs", 0},
            {"seq", 1},       {"born", 1}};
}

std::string item_text(const std::string& quoted_key, int mod_revision,
                      const std::string& value)
{
    auto* encoded = g_base64_encode(
        reinterpret_cast<const guchar*>(value.data()), value.size());
    auto text = R"({"key":)" + quoted_key + R"(,"rev":)" +
                std::to_string(mod_revision) + R"(,"value":")" + encoded +
                "\"}";
    g_free(encoded);
    return text;
}

/// Returns the value of a server with one odd field, or altered bytes.
std::string odd_server_value()
{
    static const std::vector<json> odd_fields{1e300,
                                              -1,
                                              1.5,
                                              UINT64_MAX,
                                              nullptr,
                                              true,
                                              json::object(),
                                              "",
                                              "10.0.0.1:0",
                                              "10.0.0.1:99999",
                                              "a\r\nb",
                                              std::string(100'000, 'x')};
    constexpr std::size_t depth = 100'000;
    auto server = sound_server("10.0.0.2:80");
    const auto field = *rc::gen::elementOf(
        std::vector<std::string>{"service", "address", "zone", "slots", "phase",
                                 "coldLeftMs", "seq", "born", "models"});
    server[field] =
        odd_fields[*rc::gen::inRange<std::size_t>(0, odd_fields.size())];
    auto text = server.dump();
    const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
    switch (*rc::gen::inRange(0, 4))
    {
    case 0:
        return text.substr(0, position) + std::string(depth, '[');
    case 1:
        text[position] = *rc::gen::arbitrary<char>();
        return text;
    default:
        return text;
    }
}

// Guards against an odd entry among those of the servers that ends the process
// or stops it from following the others.
RC_GTEST_FIXTURE_PROP(store_test, sound_entries_beside_odd_ones_are_followed,
                      ())
{
    const record_codec codec;
    directory::directory_follower follower{codec, {}};
    const auto odd_key = *rc::gen::elementOf(std::vector<std::string>{
        R"("servers/i-2")", R"("servers/")", R"("servers/i\ud800")",
        R"("servers/i\u0000")", "\"servers/i\xff\"", R"("servers/i\r\nX: y")",
        "7"});
    const auto list_of = [&](int first_revision, const char* last_address)
    {
        return "[" +
               item_text(R"("servers/i-1")", first_revision,
                         sound_server("10.0.0.1:80").dump()) +
               "," +
               item_text(odd_key, first_revision + 1, odd_server_value()) +
               "," +
               item_text(R"("servers/i-3")", first_revision + 2,
                         sound_server(last_address).dump()) +
               "]}";
    };
    const auto now = net::boot_now();
    const auto page =
        read_page(R"({"asOf":9,"entries":)" + list_of(3, "10.0.0.3:80"));
    RC_ASSERT(page);
    follower.handle_page(now, *page);
    const auto& upstreams = follower.state().upstreams();
    RC_ASSERT(follower.has_complete_state());
    RC_ASSERT(upstreams.contains("i-1"));
    RC_ASSERT(upstreams.at("i-3").record.address.host == "10.0.0.3");
    const auto changes =
        watch(R"({"asOf":13,"events":)" + list_of(11, "10.0.0.4:80")).changes;
    RC_ASSERT(changes);
    follower.handle_changes(now, *changes);
    RC_ASSERT(follower.known_revision() == 13U);
    RC_ASSERT(upstreams.contains("i-1"));
    RC_ASSERT(upstreams.at("i-3").record.address.host == "10.0.0.4");
}

} // namespace

} // namespace baobabloft::platform
