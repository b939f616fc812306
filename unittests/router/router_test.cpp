// Tests of settings, request classification, refusals, event streams and burn,
// and of the documentation pages, which must list every setting, metric and
// refusal.
#include "baobabloft/config/preset_parser.hpp"
#include "baobabloft/router/burn.hpp"
#include "baobabloft/router/execution.hpp"
#include "baobabloft/router/metrics.hpp"
#include "baobabloft/router/request.hpp"
#include "baobabloft/router/settings.hpp"
#include "baobabloft/router/sse.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <fstream>
#include <map>
#include <sstream>

namespace baobabloft::router
{

namespace
{

std::string read_documentation(const std::string& name)
{
    std::ifstream file{std::string{BAOBAB_SOURCE_DIR "/docs/"} + name};
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

const std::vector<raw_setting> required{{"data-centre", "fyn-a"},
                                        {"kv-url", "http://127.0.0.1:2379"},
                                        {"fleet-secrets", "0123456789abcdef"}};

TEST(settings, defaults_apply_to_unset_settings)
{
    std::vector<failure> errors;
    const auto result = make_settings(required, errors);
    ASSERT_TRUE(result);
    EXPECT_EQ(result->listen.port, 8080);
    EXPECT_EQ(result->workers, 2U);
    EXPECT_EQ(result->ledger_retention, 600s);
}

TEST(settings, all_errors_are_reported_together_with_remedies)
{
    std::vector<failure> errors;
    const std::vector<raw_setting> raw_settings{{"listen", "nowhere"},
                                                {"workers", "many"},
                                                {"fleet-secrets", "short"},
                                                {"tls-key", "key.pem"}};
    EXPECT_FALSE(make_settings(raw_settings, errors));
    EXPECT_EQ(errors.size(), 6U);
    for (const auto& error : errors)
        EXPECT_FALSE(error.remedy.empty()) << error.text();
}

TEST(settings, each_is_documented_with_its_environment_variable)
{
    const auto page = read_documentation("SETTINGS.md");
    for (const auto& row : setting_table())
    {
        EXPECT_NE(page.find("--" + std::string{row.flag}), std::string::npos)
            << row.flag;
        EXPECT_NE(page.find(environment_variable_of(row)), std::string::npos)
            << row.flag;
    }
}

TEST(metrics, each_is_documented)
{
    const auto page = read_documentation("METRICS.md");
    for (const auto& row : metric_table())
        EXPECT_NE(page.find(row.name), std::string::npos) << row.name;
}

TEST(refusals, each_is_documented)
{
    const auto page = read_documentation("CALLERS.md");
    for (std::size_t index = 0; index < refusal_kind_count; ++index)
    {
        const auto& row = refusal_row_of(static_cast<refusal_kind>(index));
        EXPECT_NE(page.find(row.name), std::string::npos) << row.name;
        EXPECT_FALSE(row.remedy.empty());
        EXPECT_GE(row.status, 400U);
    }
}

config::preset make_preset()
{
    std::vector<config::preset_error> errors;
    return *config::parse_preset(R"({
      "format": 1, "name": "t",
      "data_centres": [{"name": "a", "region": "r"}],
      "services": [
        {"name": "m", "models": ["frugt-lm"], "upstreams": []},
        {"name": "pass-app", "kind": "plain", "upstreams": [],
         "non_repeatable": [{"method": "POST", "path": "/bookings"}]}]})",
                                 errors);
}

/// Classifies a request under make_preset().
std::optional<routed_request> classify_with(
    const std::string& method, const std::string& path, const std::string& body,
    const std::map<std::string, std::string>& headers, refusal_kind& reason)
{
    const raw_request raw{.method = method,
                          .path = path,
                          .body = body,
                          .header = [&headers](const char* name)
                          {
                              const auto found = headers.find(name);
                              return found == headers.end() ? std::string{}
                                                            : found->second;
                          }};
    return classify(raw, make_preset(), 600s, 1, reason);
}

constexpr const char* valid_key = "0192f3a4-0000-7000-8000-000000000001";

TEST(classify, finds_the_service_that_serves_a_model)
{
    refusal_kind reason{};
    const auto found =
        classify_with("POST", "/v1/chat/completions",
                      R"({"model": "frugt-lm", "stream": true})",
                      {{"X-Customer", "c1"}, {"X-Timeout-Ms", "1500"}}, reason);
    ASSERT_TRUE(found);
    EXPECT_EQ(found->service, "m");
    EXPECT_TRUE(found->streamed);
    EXPECT_TRUE(found->repeatable);
    EXPECT_EQ(found->timeout, 1500ms);
}

TEST(classify, reports_why_a_request_is_rejected)
{
    refusal_kind reason{};
    EXPECT_FALSE(
        classify_with("POST", "/v1/chat/completions", "{", {}, reason));
    EXPECT_EQ(reason, refusal_kind::bad_request);
    EXPECT_FALSE(classify_with("POST", "/v1/chat/completions",
                               R"({"model": "x"})", {}, reason));
    EXPECT_EQ(reason, refusal_kind::unknown_model);
    EXPECT_FALSE(classify_with("GET", "/services/x/y", "", {}, reason));
    EXPECT_EQ(reason, refusal_kind::unknown_service);
    EXPECT_FALSE(classify_with("GET", "/elsewhere", "", {}, reason));
    EXPECT_EQ(reason, refusal_kind::unknown_path);
    EXPECT_FALSE(
        classify_with("POST", "/services/pass-app/bookings", "", {}, reason));
    EXPECT_EQ(reason, refusal_kind::key_required);
    EXPECT_FALSE(classify_with("POST", "/services/pass-app/bookings", "",
                               {{"Idempotency-Key", "1"}}, reason));
    EXPECT_EQ(reason, refusal_kind::key_invalid);
}

TEST(classify, equivalent_spellings_of_a_path_require_a_key_too)
{
    refusal_kind reason{};
    for (const auto* path : {"/bookings", "/bookings/", "//bookings",
                             "/%62ookings", "/bookings?row=7"})
    {
        EXPECT_FALSE(classify_with(
            "POST", std::string{"/services/pass-app"} + path, "", {}, reason))
            << path;
        EXPECT_EQ(reason, refusal_kind::key_required) << path;
        const auto found = classify_with(
            "POST", std::string{"/services/pass-app"} + path, "",
            {{"Idempotency-Key", valid_key}, {"X-Attempt", "1"}}, reason);
        ASSERT_TRUE(found) << path;
        EXPECT_FALSE(found->repeatable);
        EXPECT_TRUE(found->first_attempt);
    }
}

TEST(classify, only_idempotent_methods_of_plain_services_are_repeatable)
{
    refusal_kind reason{};
    const auto get =
        classify_with("GET", "/services/pass-app/rows", "", {}, reason);
    const auto post =
        classify_with("POST", "/services/pass-app/notes", "", {}, reason);
    ASSERT_TRUE(get && post);
    EXPECT_TRUE(get->repeatable);
    EXPECT_FALSE(post->repeatable);
}

// Guards against a refusal of any kind, from before the key is classified to
// after the call was sent, that says "not run" of a key that may have run.
TEST(execution, no_refusal_denies_a_call_that_may_have_run)
{
    for (std::size_t number = 0; number < refusal_kind_count; ++number)
        for (const auto& [result, name] : ledger::claim_result_names)
            for (const unsigned flags : {0U, 1U, 2U, 3U, 4U, 5U, 6U, 7U})
            {
                const bool is_asked = (flags & 1U) != 0;
                const execution_knowledge known{
                    .has_key = true,
                    .first_attempt = (flags & 2U) != 0,
                    .evidence =
                        is_asked ? evidence_of(result) : key_evidence::none,
                    .sent = (flags & 4U) != 0};
                const bool is_used =
                    is_asked && (result == ledger::claim_result::answered ||
                                 result == ledger::claim_result::in_progress);
                const bool is_unused =
                    known.first_attempt ||
                    (is_asked && result == ledger::claim_result::accepted);
                const bool may_have_run = known.sent || is_used || !is_unused;
                const auto body =
                    problem_json(static_cast<refusal_kind>(number),
                                 execution_status(known), "");
                EXPECT_EQ(body.find(R"("executed":"unknown")") !=
                              std::string::npos,
                          may_have_run)
                    << body << name << flags;
            }
}

TEST(classify, finds_a_key_without_a_preset)
{
    const std::string key = "\"0190163d-8694-739b-aea5-966c26f8ad91\"";
    const auto request_with = [](const std::string& value)
    {
        return raw_request{.method = "POST",
                           .path = "/unknown",
                           .body = {},
                           .header = [value](const char* name)
                           {
                               return name == std::string{"Idempotency-Key"}
                                          ? value
                                          : std::string{};
                           }};
    };
    EXPECT_TRUE(find_idempotency_key(request_with(key)));
    EXPECT_FALSE(find_idempotency_key(request_with("")));
    EXPECT_FALSE(find_idempotency_key(request_with("x")));
}

TEST(sse, splits_events_independently_of_chunk_boundaries)
{
    const std::string stream =
        "id: 1\ndata: {\"a\":1}\n\nid: 2\ndata: {}\n\ndata: [DONE]\n\n";
    for (std::size_t step = 1; step < stream.size(); ++step)
    {
        sse_splitter splitter;
        std::vector<sse_event> events;
        for (std::size_t at = 0; at < stream.size(); at += step)
        {
            splitter.add(stream.substr(at, step));
            while (auto event = splitter.next())
                events.push_back(*event);
        }
        ASSERT_EQ(events.size(), 3U);
        EXPECT_EQ(events[1].id, 2U);
        EXPECT_FALSE(events[1].is_end);
        EXPECT_TRUE(events[2].is_end);
    }
}

TEST(burn_meter, counts_events_per_window)
{
    burn_meter meter;
    const burn_key key{"m", "c", objective::answered};
    const time_point present{100'000s};
    meter.record(present - 7200s, key, 0.95, true);
    meter.record(present - 1000s, key, 0.95, true);
    meter.record(present, key, 0.95, false);
    const auto rows = meter.rows(present);
    ASSERT_EQ(rows.size(), 1U);
    EXPECT_EQ(rows[0].windows[0].total, 1U);
    EXPECT_EQ(rows[0].windows[1].missed, 1U);
    EXPECT_EQ(rows[0].windows[3].total, 3U);
}

} // namespace

} // namespace baobabloft::router
