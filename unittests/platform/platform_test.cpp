// Decoding of the platform's keys, records and headers, including malformed,
// missing, unknown and wrongly typed fields, and the deployment template.
#include "platform/headers.hpp"
#include "platform/record_codec.hpp"

#include "baobabloft/router/settings.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <cstdio>
#include <fstream>
#include <regex>
#include <sstream>

namespace baobabloft::platform
{

namespace
{

using nlohmann::json;
namespace dir = directory;

const record_codec codec;

json sample_config()
{
    return json::parse(R"({"version":7,
      "routes":[
        {"name":"r-1","hostname":"a.example","prefix":"/x/",
         "routeKind":"streaming","timeoutMs":4000,"goalMs":500,"priority":0,
         "backends":[{"service":"s1","wt":90},{"service":"s2","wt":10}],
         "attempts":2,"public":false,"affinity":true,"resumable":true,
         "gapAimMs":300},
        {"name":"r-2","hostname":"a.example","prefix":"/y/",
         "routeKind":"unsafe","timeoutMs":800.5,"goalMs":100,"priority":2,
         "service":"s2","attempts":1,"public":true}],
      "services":[
        {"name":"s1","healthPath":"/healthz","maxConns":370,"protocol":"h1",
         "tls":false,"coldStartS":3.0,"coldPerS":17.0,
         "engine":{"slots":64,"kvCapacity":445152}},
        {"name":"s2","healthPath":"/healthz","maxConns":110,
         "coldStartS":0.0,"coldPerS":0.0}],
      "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
                "headerTimeoutMs":3000,"idleTimeoutMs":15000},
      "tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":1},
                 {"name":"t2","apiKeys":[]}]})");
}

json sample_server()
{
    return json::parse(R"({"service":"s1","address":"10.0.0.9:8080",
      "zone":"z","version":"v1","slots":64,"phase":"ready","coldLeftMs":1500,
      "stage":"mixed","models":[],"seq":4,"born":1700000000000})");
}

dir::record parse_config(const json& value)
{
    return codec.read({dir::key_kind::config, {}}, value.dump());
}

dir::record parse_server(const json& value)
{
    return codec.read({dir::key_kind::upstream, "i-1"}, value.dump());
}

bool is_unreadable(const dir::record& record)
{
    return std::holds_alternative<dir::unreadable_record>(record);
}

TEST(keys, are_classified_by_kind_and_name)
{
    EXPECT_EQ(codec.read_key("op/config").kind, dir::key_kind::config);
    EXPECT_EQ(codec.read_key("servers/i-7").name, "i-7");
    EXPECT_EQ(codec.read_key("op/evacuate/z").kind,
              dir::key_kind::data_centre_out_of_service);
    EXPECT_EQ(codec.read_key("baobabloft/routers/r").kind,
              dir::key_kind::router);
    EXPECT_EQ(codec.read_key("op/rollout/app").kind,
              dir::key_kind::rollout_order);
    EXPECT_EQ(codec.read_key("status/rollout/app").kind,
              dir::key_kind::rollout_status);
    EXPECT_EQ(codec.read_key("status/rollout/app").name, "app");
    EXPECT_EQ(codec.read_key("op/configuration").kind, dir::key_kind::other);
    EXPECT_EQ(codec.read_key("").kind, dir::key_kind::other);
}

TEST(config, is_decoded_into_routes_services_and_customers)
{
    const auto record = parse_config(sample_config());
    const auto* config = std::get_if<dir::config_snapshot>(&record);
    ASSERT_NE(config, nullptr);
    const auto& all = **config;
    EXPECT_EQ(all.version, 7U);
    const auto* route = all.find_route("a.example", "/x/1");
    ASSERT_NE(route, nullptr);
    EXPECT_EQ(route->kind, dir::request_kind::streaming);
    EXPECT_TRUE(route->resumable);
    EXPECT_EQ(route->timeout, 4s);
    EXPECT_EQ(route->gap_objective, 300ms);
    ASSERT_EQ(route->services.size(), 2U);
    EXPECT_EQ(route->services[1].weight, 10U);
    const auto* other = all.find_route("a.example", "/y/");
    EXPECT_TRUE(other->is_public);
    EXPECT_EQ(other->timeout, 800500us);
    EXPECT_EQ(all.services.at("s1").cold_requests_per_second, 17);
    EXPECT_EQ(all.find_customer("k2")->name, "t1");
    EXPECT_EQ(all.find_customer("k2")->priority, 1U);
    EXPECT_EQ(all.find_customer("k3"), nullptr);
    EXPECT_TRUE(all.needs_keys);
    EXPECT_EQ(all.bounds.idle_timeout, 15s);
}

TEST(config, without_tenants_needs_no_api_keys)
{
    auto value = sample_config();
    value.erase("tenants");
    const auto record = parse_config(value);
    EXPECT_FALSE(std::get<dir::config_snapshot>(record)->needs_keys);
}

TEST(config, unknown_fields_are_ignored)
{
    auto value = sample_config();
    value["more"] = 1;
    value["routes"][0]["more"] = "x";
    EXPECT_FALSE(is_unreadable(parse_config(value)));
}

TEST(config, any_invalid_field_makes_it_unreadable)
{
    const std::vector<std::pair<json::json_pointer, json>> invalid{
        {json::json_pointer{"/version"}, "7"},
        {json::json_pointer{"/version"}, -1},
        {json::json_pointer{"/routes"}, json::object()},
        {json::json_pointer{"/routes/0/prefix"}, 3},
        {json::json_pointer{"/routes/0/routeKind"}, "perhaps"},
        {json::json_pointer{"/routes/0/timeoutMs"}, nullptr},
        {json::json_pointer{"/routes/0/backends"}, json::array()},
        {json::json_pointer{"/routes/0/backends/0/wt"}, "90"},
        {json::json_pointer{"/routes/0/public"}, "no"},
        {json::json_pointer{"/routes/1"}, 5},
        {json::json_pointer{"/services/0/maxConns"}, false},
        {json::json_pointer{"/services/0/engine"}, 1},
        {json::json_pointer{"/tenants/0/apiKeys"}, "k1"},
        {json::json_pointer{"/tenants/0/apiKeys/0"}, 1},
        {json::json_pointer{"/tenants"}, "none"},
        {json::json_pointer{"/limits/maxBodyBytes"}, json::array()}};
    for (const auto& [where, value] : invalid)
    {
        auto config = sample_config();
        config[where] = value;
        EXPECT_TRUE(is_unreadable(parse_config(config))) << where.to_string();
    }
    for (const auto* name : {"version", "routes", "services"})
    {
        auto config = sample_config();
        config.erase(name);
        EXPECT_TRUE(is_unreadable(parse_config(config))) << name;
    }
}

TEST(server, is_decoded_into_an_upstream)
{
    const auto record = parse_server(sample_server());
    const auto* upstream = std::get_if<dir::upstream_record>(&record);
    ASSERT_NE(upstream, nullptr);
    EXPECT_EQ(upstream->id, "i-1");
    EXPECT_EQ(upstream->address, (endpoint{"10.0.0.9", 8080}));
    EXPECT_EQ(upstream->data_centre, "z");
    EXPECT_EQ(upstream->cold_remaining, 1500ms);
    EXPECT_FALSE(upstream->draining);
    EXPECT_EQ(upstream->started_ms, 1700000000000U);
    auto draining = sample_server();
    draining["phase"] = "draining";
    draining.erase("born");
    const auto other = parse_server(draining);
    EXPECT_TRUE(std::get<dir::upstream_record>(other).draining);
}

TEST(server, any_invalid_field_makes_it_unreadable)
{
    const std::vector<std::pair<std::string, json>> invalid{
        {"service", 1},          {"address", "nowhere"}, {"address", 7},
        {"address", "10.0.0.9"}, {"zone", nullptr},      {"slots", "64"},
        {"slots", -2},           {"phase", "asleep"},    {"phase", true},
        {"coldLeftMs", "soon"},  {"coldLeftMs", -1},     {"seq", 1.5},
        {"born", "yesterday"},   {"born", 1.5}};
    for (const auto& [name, value] : invalid)
    {
        auto server = sample_server();
        server[name] = value;
        EXPECT_TRUE(is_unreadable(parse_server(server))) << name << value;
    }
    for (const auto* name :
         {"service", "address", "zone", "slots", "phase", "coldLeftMs", "seq"})
    {
        auto server = sample_server();
        server.erase(name);
        EXPECT_TRUE(is_unreadable(parse_server(server))) << name;
    }
    EXPECT_TRUE(
        is_unreadable(codec.read({dir::key_kind::upstream, "i"}, "\xff\xfe{")));
    EXPECT_TRUE(
        is_unreadable(codec.read({dir::key_kind::upstream, "i"}, "[1]")));
}

json with_server_field(const std::string& name, const json& value)
{
    auto server = sample_server();
    server[name] = value;
    return server;
}

// Guards against a time that overflows the clock, so that a cold upstream
// counts as warm, and against numbers cut to fewer bits.
TEST(server, a_number_too_large_names_no_upstream)
{
    const std::vector<std::pair<std::string, json>> too_large{
        {"coldLeftMs", 1e300}, {"coldLeftMs", 1e30},
        {"coldLeftMs", 1e15},  {"slots", std::uint64_t{1} << 32U},
        {"slots", UINT64_MAX}, {"seq", 1e30},
        {"born", 1e30}};
    for (const auto& [name, value] : too_large)
        EXPECT_TRUE(is_unreadable(parse_server(with_server_field(name, value))))
            << name << value;
    EXPECT_TRUE(is_unreadable(
        codec.read({dir::key_kind::upstream, "i"}, R"({"slots":1e400})")));
}

// Guards against limits and times that overflow: requests are refused at once,
// or a route that allows many attempts allows one.
TEST(config, a_number_too_large_becomes_the_largest)
{
    auto value = sample_config();
    auto& route = value["routes"][0];
    route["timeoutMs"] = route["goalMs"] = route["gapAimMs"] = 1e300;
    route["attempts"] = route["priority"] = 1e30;
    route["backends"][0]["wt"] = 4294967296;
    auto& service = value["services"][0];
    service["maxConns"] = service["coldStartS"] = 1e300;
    service["engine"]["kvCapacity"] = 1e300;
    for (auto& limit : value["limits"])
        limit = 1e300;
    const auto record = parse_config(value);
    ASSERT_FALSE(is_unreadable(record));
    const auto& all = *std::get<dir::config_snapshot>(record);
    const time_point now{std::chrono::years{50}};
    const auto& first = all.routes[0];
    for (const auto time :
         {first.timeout, 3 * first.response_objective, 3 * first.gap_objective,
          all.services.at("s1").cold_start, all.bounds.header_timeout,
          all.bounds.idle_timeout + 1s})
        EXPECT_GT(now + time, now + std::chrono::years{1});
    EXPECT_EQ(first.max_runs, UINT32_MAX);
    EXPECT_EQ(first.services[0].weight, UINT32_MAX);
    EXPECT_EQ(all.services.at("s1").max_connections, UINT32_MAX);
    EXPECT_EQ(all.services.at("s1").engine_token_capacity, UINT64_MAX);
}

// Guards against an upstream that can't be connected to, or whose address is
// every host's own.
TEST(server, an_address_out_of_range_names_no_upstream)
{
    for (const auto* address :
         {"10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:99999", "10.0.0.9:-1",
          "10.0.0.9:", "10.0.0.9:80 ", " 10.0.0.9:80", "10.0.0.256:80",
          "0.0.0.0:80", "224.0.0.1:80", "255.255.255.255:80", ":80"})
        EXPECT_TRUE(
            is_unreadable(parse_server(with_server_field("address", address))))
            << address;
    EXPECT_TRUE(is_unreadable(
        codec.read({dir::key_kind::router, "r"},
                   R"({"control":"10.0.0.1:0","data_centre":"z"})")));
}

// Guards against an id that adds headers to requests, and against names too
// long for a header, which end the process.
TEST(records, names_that_fit_no_header_are_unreadable)
{
    const auto server = sample_server().dump();
    for (const std::string& name :
         {std::string{}, std::string{"i\r\nApi-Key: k"}, std::string{"i\0", 2},
          std::string{"\x7f"}, std::string(70'000, 'i')})
    {
        EXPECT_TRUE(
            is_unreadable(codec.read({dir::key_kind::upstream, name}, server)))
            << name.substr(0, 20);
        auto config = sample_config();
        config["tenants"][0]["name"] = name;
        EXPECT_TRUE(is_unreadable(parse_config(config))) << name.substr(0, 20);
    }
}

// Guards against an entry that takes much memory and time to parse.
TEST(records, deeply_nested_or_long_entries_are_unreadable)
{
    constexpr std::size_t depth = 100'000;
    const auto nested =
        R"(,"more":)" + std::string(depth, '[') + std::string(depth, ']') + "}";
    for (const auto& [kind, sample] :
         {std::pair{dir::key_kind::upstream, sample_server()},
          std::pair{dir::key_kind::config, sample_config()}})
    {
        auto text = sample.dump();
        text.replace(text.size() - 1, 1, nested);
        EXPECT_TRUE(is_unreadable(codec.read({kind, "x"}, text)));
    }
    EXPECT_TRUE(is_unreadable(parse_server(
        with_server_field("zone", std::string(std::size_t{1} << 20U, 'z')))));
}

RC_GTEST_PROP(records, arbitrary_bytes_are_unreadable, (std::string bytes))
{
    for (const auto kind : {dir::key_kind::config, dir::key_kind::upstream,
                            dir::key_kind::router})
        RC_ASSERT(is_unreadable(codec.read({kind, "x"}, bytes)));
}

RC_GTEST_PROP(records, truncated_values_are_unreadable, ())
{
    const auto complete = sample_config().dump();
    const auto length = *rc::gen::inRange<std::size_t>(0, complete.size());
    RC_ASSERT(is_unreadable(
        codec.read({dir::key_kind::config, {}}, complete.substr(0, length))));
}

TEST(router, record_round_trips)
{
    const dir::router_record router{"r", {"10.0.0.1", 7000}, "z"};
    const auto record =
        codec.read({dir::key_kind::router, "r"}, encode_router_record(router));
    EXPECT_EQ(std::get<dir::router_record>(record), router);
    EXPECT_TRUE(is_unreadable(
        codec.read({dir::key_kind::router, "r"}, R"({"control":"x"})")));
}

TEST(rollouts, are_read_from_orders_and_statuses)
{
    const auto read_order = [](const std::string& value)
    {
        return codec.read({dir::key_kind::rollout_order, "app"}, value);
    };
    const auto read_status = [](const std::string& value)
    {
        return codec.read({dir::key_kind::rollout_status, "app"}, value);
    };
    const auto order =
        read_order(R"({"service":"app","target":"v2","finishByS":12.5})");
    EXPECT_EQ(std::get<dir::rollout_order>(order),
              (dir::rollout_order{"app", "v2", 12500ms}));
    for (const auto* value :
         {R"({"service":"other","target":"v2","finishByS":12})",
          R"({"service":"app","target":"","finishByS":12})",
          R"({"service":"app","target":2,"finishByS":12})",
          R"({"service":"app","target":"v2","finishByS":-1})",
          R"({"service":"app","target":"v2"})", "[]", ""})
        EXPECT_TRUE(is_unreadable(read_order(value))) << value;

    const dir::rollout_status status{"v2", dir::rollout_phase::reverted};
    EXPECT_EQ(std::get<dir::rollout_status>(
                  read_status(encode_rollout_status(status))),
              status);
    EXPECT_TRUE(is_unreadable(read_status(R"({"phase":"x","target":"v2"})")));
}

TEST(headers, load_is_running_waiting_and_slots)
{
    const auto dialect = make_header_dialect();
    const auto load = dialect.parse_load("3,0,8");
    ASSERT_TRUE(load);
    EXPECT_EQ(load->running, 3U);
    EXPECT_EQ(load->waiting, 0U);
    EXPECT_FALSE(load->work_percent);
    for (const auto* text :
         {"", "3", "3,0", "3,0,8,100,1", "3,0,8,", "a,b,c", "-1,0,8"})
        EXPECT_FALSE(dialect.parse_load(text)) << text;
}

// Guards against loads that are lost because a server also reports its pace.
TEST(headers, a_load_may_state_how_long_work_takes)
{
    const auto dialect = make_header_dialect();
    const auto load = dialect.parse_load("3, 1,8,250");
    ASSERT_TRUE(load);
    EXPECT_EQ(load->running, 3U);
    EXPECT_EQ(load->waiting, 1U);
    EXPECT_EQ(load->work_percent, 250U);
    for (const auto* text : {"3,0,8,x", "3,0,8,-1", "3,0,8,65536"})
        EXPECT_FALSE(dialect.parse_load(text)) << text;
}

// Guards against a load whose sum wraps, so that the upstream looks idle.
TEST(headers, a_load_out_of_range_is_no_load)
{
    const auto dialect = make_header_dialect();
    for (const auto* text : {"4294967295,1,8", "1,4294967295,8", "65536,0,8",
                             "18446744073709551616,0,8"})
        EXPECT_FALSE(dialect.parse_load(text)) << text;
    EXPECT_TRUE(dialect.parse_load("65535,65535,8"));
}

// Guards against malformed limits that keep requests from an upstream.
TEST(headers, a_rate_limit_is_a_plain_decimal_number)
{
    const auto dialect = make_header_dialect();
    for (const auto& [text, rate] :
         {std::pair{"0", 0.0}, std::pair{"4.5", 4.5}, std::pair{"12", 12.0}})
        EXPECT_EQ(dialect.parse_rate_limit(text), rate) << text;
    for (const auto* text : {"", "-1", "-0", "1e400", "1e2", "nan", "inf", "x",
                             "0x0", "1,2", " 1", ".", "1.2.3"})
        EXPECT_FALSE(dialect.parse_rate_limit(text)) << text;
}

TEST(headers, prompt_parts_are_hexadecimal_ids_with_tokens)
{
    const auto dialect = make_header_dialect();
    const auto parts =
        dialect.parse_prompt_parts("5c1e07a2:800, 91bd3f06:410,e4402b7d:250");
    ASSERT_EQ(parts.size(), 3U);
    EXPECT_EQ(parts[1].id, 0x91bd3f06U);
    EXPECT_EQ(parts[1].tokens, 410U);
    for (const auto* text : {"", "5c", "xyz:1", "5c:", ":5", "5c:1,,6d:2"})
        EXPECT_TRUE(dialect.parse_prompt_parts(text).empty()) << text;
}

TEST(deploy, the_template_renders_to_valid_settings)
{
    const std::map<std::string, std::string> sample{
        {"nodeName", "edge-fyn-a-1"},
        {"zone", "fyn-a"},
        {"ip", "10.1.0.40"},
        {"listen.frontend", "10.1.0.40:8227"},
        {"listen.ready", "10.1.0.40:8220"},
        {"portRange.0", "7340"},
        {"portRange.1", "7355"},
        {"platform.address", "10.200.1.7:8223"},
        {"bounds.graceS", "8"},
        {"bounds.configMs", "2000"},
        {"bounds.revokeMs", "5000"},
        {"bounds.retryRatio", "0.2"},
        {"bounds.retrySlack", "58"},
        {"bounds.budgetWindowS", "10"},
        {"bounds.coldOverrun", "1.5"},
        {"bounds.coldSlack", "5"},
        {"bounds.exposure", ""},
        {"bounds.exposureSlack", "50"}};
    std::ifstream file{BAOBAB_SOURCE_DIR "/deploy/settings.template"};
    std::ostringstream text;
    text << file.rdbuf();
    auto rendered = text.str();
    // Sections without a value, as of platforms without roll-outs.
    rendered = std::regex_replace(
        rendered,
        std::regex{R"(\{\{#[^}]*\}\}[^{]*\{\{\.\}\}[^{]*\{\{/[^}]*\}\})"}, "");
    for (const auto& [name, value] : sample)
    {
        auto placeholder = std::string{"\\{\\{"};
        placeholder += name;
        placeholder += "\\}\\}";
        rendered = std::regex_replace(rendered, std::regex{placeholder}, value);
    }
    EXPECT_EQ(rendered.find("{{"), std::string::npos) << rendered;
    const auto path = testing::TempDir() + "baobab-settings";
    std::ofstream{path} << rendered;
    failure reason;
    std::vector<std::string> unknown;
    const auto file_settings =
        router::read_settings_file(path, unknown, reason);
    ASSERT_TRUE(file_settings) << reason.text();
    EXPECT_TRUE(unknown.empty());
    std::vector<failure> errors;
    const auto settings = router::make_settings(*file_settings, errors);
    for (const auto& error : errors)
        ADD_FAILURE() << error.text();
    ASSERT_TRUE(settings);
    EXPECT_EQ(settings->in_force_bound, 2s);
    EXPECT_EQ(settings->key_revocation_bound, 5s);
    EXPECT_EQ(settings->directory, (endpoint{"10.200.1.7", 8223}));
    std::remove(path.c_str());
}

} // namespace

} // namespace baobabloft::platform
