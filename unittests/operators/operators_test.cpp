// Tests of preset changes over a key-value service that loses responses, of the
// burn report, of the request timeline and of the report where a request would
// go.
#include "baobabloft/operators/burn_report.hpp"
#include "baobabloft/operators/preset_store.hpp"
#include "baobabloft/operators/request_timeline.hpp"
#include "baobabloft/operators/rollout_report.hpp"
#include "baobabloft/operators/where_report.hpp"
#include "baobabloft/router/control_task.hpp"

#include <gtest/gtest.h>

#include <map>

namespace baobabloft::operators
{

namespace
{

/// An in-memory key-value service. Delivers responses through the event loop
/// and drops the next `responses_to_lose` of them after it has run the
/// operation.
class memory_kv final : public net::kv_client
{
public:
    explicit memory_kv(net::event_loop& loop) : loop_(loop) {}

    void commit(const net::kv_transaction& transaction,
                callback<net::kv_transaction_result> done) override
    {
        if (before_commit)
            std::exchange(before_commit, {})();
        bool conditions_hold = true;
        for (const auto& item : transaction.conditions)
            conditions_hold = conditions_hold && is_met(item);
        if (conditions_hold)
            for (const auto& put : transaction.puts)
                data_[put.key] = {put.key, put.value, ++revision_};
        respond<net::kv_transaction_result>({conditions_hold, revision_},
                                            std::move(done));
    }

    void read(const net::kv_range& range,
              callback<net::kv_range_result> done) override
    {
        net::kv_range_result result;
        for (const auto& [key, entry] : data_)
            if (entry.mod_revision != 0 &&
                (range.end.empty() ? key == range.first
                                   : key >= range.first && key < range.end))
                result.entries.push_back(entry);
        respond<net::kv_range_result>(result, std::move(done));
    }

    void wait_for_change(const std::string& /*key*/, std::int64_t /*revision*/,
                         callback<net::kv_entry> done) override
    {
        done(std::nullopt, {});
    }

    /// Replaces the preset in force without a new revision, as a restored
    /// service does that gives out a revision again.
    void replace_active(const std::string& envelope)
    {
        data_[router::active_preset_key()].value = envelope;
    }

    int responses_to_lose = 0;
    /// Runs once, before the next commit.
    std::function<void()> before_commit;

private:
    bool is_met(const net::kv_compare& condition)
    {
        const auto found = data_.find(condition.key);
        const bool exists = found != data_.end();
        switch (condition.target)
        {
        case net::kv_compare_target::mod_revision:
            return (exists ? found->second.mod_revision : 0) ==
                   condition.operand;
        case net::kv_compare_target::version:
            return (exists ? 1 : 0) == condition.operand;
        case net::kv_compare_target::value:
            return exists && found->second.value == condition.value_operand;
        }
        return false;
    }

    template <typename Result>
    void respond(const Result& result, callback<Result> done)
    {
        const bool lost = responses_to_lose > 0;
        responses_to_lose -= lost ? 1 : 0;
        loop_.post(
            [lost, result, done = std::move(done)]
            {
                if (lost)
                    done(std::nullopt, {failure_kind::kv_unavailable, "", ""});
                else
                    done(result, {});
            });
    }

    net::event_loop& loop_;
    std::map<std::string, net::kv_entry> data_;
    std::int64_t revision_ = 0;
};

constexpr const char* preset_text = R"({"format": 1, "name": "day",
  "data_centres": [{"name": "a", "region": "r"}, {"name": "b", "region": "r"}],
  "services": []})";

struct store_fixture : ::testing::Test
{
    net::event_loop loop;
    memory_kv kv{loop};
    preset_store store{loop, kv};
    failure reason;
};

using preset_store_test = store_fixture;

TEST_F(preset_store_test,
       each_activation_gets_the_next_number_and_a_history_entry)
{
    ASSERT_TRUE(store.activate(preset_text, {"ann", "n1", 0}, reason));
    const auto second = store.activate(preset_text, {"bob", "n2", 0}, reason);
    ASSERT_TRUE(second);
    EXPECT_EQ(second->generation_number, 2U);
    EXPECT_EQ(store.history(reason)->size(), 2U);
    EXPECT_EQ(store.active_preset(reason)->author, "bob");
}

TEST_F(preset_store_test, a_change_whose_response_was_lost_is_accepted_once)
{
    ASSERT_TRUE(store.activate(preset_text, {"ann", "n1", 0}, reason));
    kv.before_commit = [this]
    {
        kv.responses_to_lose = 1;
    };
    const auto accepted = store.activate(preset_text, {"ann", "n2", 0}, reason);
    ASSERT_TRUE(accepted);
    EXPECT_EQ(accepted->generation_number, 2U);
    EXPECT_EQ(store.history(reason)->size(), 2U);
}

TEST_F(preset_store_test, a_conflict_reports_the_author_of_the_accepted_change)
{
    ASSERT_TRUE(store.activate(preset_text, {"ann", "n1", 0}, reason));
    net::event_loop other_loop;
    kv.before_commit = [this]
    {
        net::kv_transaction rival;
        config::accepted_preset next = *config::parse_envelope(
            config::to_envelope({2, "rival", "bob", 0, preset_text, {}}),
            reason);
        rival.puts.push_back(
            {router::active_preset_key(), config::to_envelope(next)});
        rival.puts.push_back(
            {router::preset_history_key(2), config::to_envelope(next)});
        kv.commit(rival, [](const auto&, const auto&) {});
    };
    EXPECT_FALSE(store.activate(preset_text, {"ann", "n3", 0}, reason));
    EXPECT_EQ(reason.kind, failure_kind::conflict);
    EXPECT_NE(reason.message.find("bob"), std::string::npos);
}

// Guards against a change that overwrites another operator's change because a
// restored service gave that one the revision of the preset that was read.
TEST_F(preset_store_test, a_revision_given_out_again_is_a_conflict)
{
    ASSERT_TRUE(store.activate(preset_text, {"ann", "n1", 0}, reason));
    kv.before_commit = [this]
    {
        kv.replace_active(
            config::to_envelope({1, "rival", "bob", 0, preset_text, {}}));
    };
    EXPECT_FALSE(store.activate(preset_text, {"ann", "n2", 0}, reason));
    EXPECT_EQ(reason.kind, failure_kind::conflict);
    EXPECT_EQ(store.active_preset(reason)->author, "bob");
}

TEST_F(preset_store_test, an_edit_is_repeated_after_a_conflict)
{
    ASSERT_TRUE(store.activate(preset_text, {"ann", "n1", 0}, reason));
    int edits = 0;
    const auto accepted = store.edit_active_preset(
        [&](const std::string& before, failure& why)
        {
            if (++edits == 1)
                kv.before_commit = [this]
                {
                    net::kv_transaction rival;
                    const auto envelope = config::to_envelope(
                        {2, "rival", "bob", 0, preset_text, {}});
                    rival.puts.push_back(
                        {router::active_preset_key(), envelope});
                    rival.puts.push_back(
                        {router::preset_history_key(2), envelope});
                    kv.commit(rival, [](const auto&, const auto&) {});
                };
            return config::set_data_centre_in_service(before, "b", false, why);
        },
        {"ann", "n2", 0}, reason);
    ASSERT_TRUE(accepted) << reason.text();
    EXPECT_EQ(edits, 2);
    EXPECT_EQ(accepted->generation_number, 3U);
    EXPECT_FALSE(accepted->value.data_centres[1].in_service);
}

TEST_F(preset_store_test, an_invalid_preset_is_not_accepted)
{
    EXPECT_FALSE(store.activate("{}", {"ann", "n1", 0}, reason));
    EXPECT_EQ(reason.kind, failure_kind::invalid_preset);
    EXPECT_FALSE(store.active_preset(reason));
}

std::string burn_page(int missed_5m, int missed_6h)
{
    return R"({"rows": [{"service": "m", "customer": "c0",
      "objective": "answered", "target": 0.99, "windows": {
      "5m": {"total": 100, "missed": )" +
           std::to_string(missed_5m) + R"(},
      "30m": {"total": 100, "missed": 0},
      "1h": {"total": 100, "missed": )" +
           std::to_string(missed_5m) + R"(},
      "6h": {"total": 100, "missed": )" +
           std::to_string(missed_6h) + "}}}]}";
}

TEST(burn_report, sums_the_counts_of_all_routers_and_raises_alerts)
{
    const auto without_misses = sum_burn({{"a", burn_page(0, 0)}, {"b", ""}});
    ASSERT_EQ(without_misses.size(), 2U);
    EXPECT_EQ(without_misses[0].alert(), burn_alert::none);
    const auto with_misses =
        sum_burn({{"a", burn_page(20, 0)}, {"b", burn_page(20, 0)}});
    EXPECT_EQ(with_misses[0].windows[0].total, 200U);
    EXPECT_NEAR(with_misses[0].burn_rate(0), 20, 0.01);
    EXPECT_EQ(with_misses[0].alert(), burn_alert::page);
}

TEST(burn_report, every_format_contains_the_series)
{
    const auto series = sum_burn({{"a", burn_page(20, 0)}});
    EXPECT_NE(burn_text(series).find("answered"), std::string::npos);
    EXPECT_NE(burn_json(series).find("\"page\""), std::string::npos);
    EXPECT_NE(burn_html(series, "now").find("<svg"), std::string::npos);
}

TEST(request_timeline, merges_the_lines_of_several_routers_in_time_order)
{
    std::istringstream first{
        "ts=2026-01-01T10:00:01 level=info event=store_lost call=x\n"
        "ts=2026-01-01T10:00:03 level=info event=refused request=r7 kind=k\n"
        "ts=2026-01-01T10:00:04 level=info event=refused request=r77 kind=k\n"};
    std::istringstream second{
        "ts=2026-01-01T10:00:02 level=info event=attempt_failed request=r7 "
        "upstream=u\n"
        "ts=2026-01-01T10:00:05 level=info event=store_regained call=x\n"};
    std::istringstream third{
        "ts=2026-01-01T10:00:00 level=info event=store_lost call=x\n"};
    const auto timeline = build_timeline(
        "r7", {{"one", &first}, {"two", &second}, {"third", &third}});
    ASSERT_EQ(timeline.size(), 3U);
    EXPECT_EQ(timeline[0].event, "store_lost");
    EXPECT_FALSE(timeline[0].names_request);
    EXPECT_EQ(timeline[1].router, "two");
    EXPECT_EQ(timeline[2].fields, "request=r7 kind=k");
    EXPECT_EQ(timeline_text(timeline).find("r77"), std::string::npos);
}

TEST(request_timeline, is_empty_if_no_log_names_the_request)
{
    std::istringstream log{"garbage\n\nts=1 event=started\n"};
    EXPECT_TRUE(build_timeline("r7", {{"one", &log}}).empty());
}

TEST(rollout_report, shows_what_a_judge_sees_and_who_agrees)
{
    const auto page = [](const char* stage, bool is_judge, int requests)
    {
        return std::string{R"([{"service":"chat","target":"v2",)"} +
               R"("phase":"active","share":0.08,"is_judge":)" +
               (is_judge ? "true" : "false") + R"(,"requests":)" +
               std::to_string(requests) + R"(,"stage":")" + stage + "\"}]";
    };
    const auto rollouts = parse_rollouts({{"a", page("canary", false, 9000)},
                                          {"b", page("advance", true, 500)},
                                          {"c", page("advance", false, 10)},
                                          {"d", ""},
                                          {"e", R"([{"share":"x"}, 3])"}});
    ASSERT_EQ(rollouts.size(), 3U);
    const auto text = rollouts_text(rollouts);
    EXPECT_NE(text.find("chat to v2"), std::string::npos) << text;
    EXPECT_NE(text.find("of 500 requests"), std::string::npos) << text;
    EXPECT_NE(text.find("2 of 3 routers"), std::string::npos) << text;
    EXPECT_FALSE(are_rollouts_final(rollouts));
    EXPECT_TRUE(are_rollouts_final({}));
}

std::string where_page(const std::string& upstream)
{
    return R"({"router":"r","route":"s","config":3,"config_age_ms":4,"services":
        [{"service":"app","share":1,"upstream":")" +
           upstream +
           R"(","choice":"other","prefix_source":"","load_limit":null,
        "mean_load":1.5,"candidates":[],"refusal":null}]})";
}

TEST(where_report, says_whether_routers_agree)
{
    failure reason;
    std::vector<router_page> pages{{.url = "a", .body = where_page("i-1")},
                                   {.url = "b", .body = where_page("i-1")},
                                   {.url = "c", .body = ""}};
    auto report = merge_where(pages, reason);
    ASSERT_TRUE(report);
    EXPECT_TRUE(report->agree);
    EXPECT_NE(where_text(*report).find("i-1, other"), std::string::npos);
    EXPECT_NE(where_text(*report).find("did not respond"), std::string::npos);
    pages[1].body = where_page("i-2");
    report = merge_where(pages, reason);
    ASSERT_TRUE(report);
    EXPECT_FALSE(report->agree);
}

TEST(where_report, a_wrong_address_names_the_remedy)
{
    failure reason;
    const std::vector<router_page> other{
        {.url = "a", .body = "", .problem = R"({"kind":"unknown_path"})"}};
    EXPECT_FALSE(merge_where(other, reason));
    EXPECT_NE(reason.text().find("metrics-listen"), std::string::npos);
}

} // namespace

} // namespace baobabloft::operators
