// Preset changes over a KV service that loses answers, and the burn report.
#include "baobabloft/operators/burn_report.hpp"
#include "baobabloft/operators/preset_store.hpp"
#include "baobabloft/operators/request_account.hpp"
#include "baobabloft/router/control_task.hpp"

#include <gtest/gtest.h>

#include <map>

namespace baobabloft::operators
{

namespace
{

/// A KV service in memory. Answers come through the loop, and some get lost.
class memory_kv final : public net::kv_client
{
public:
    explicit memory_kv(net::event_loop& loop) : loop_(loop) {}

    void commit(const net::kv_transaction& transaction,
                callback<net::kv_transaction_result> done) override
    {
        if (before_commit)
            std::exchange(before_commit, {})();
        bool holds = true;
        for (const auto& item : transaction.conditions)
            holds = holds && data_[item.key].mod_revision == item.operand;
        if (holds)
            for (const auto& put : transaction.puts)
                data_[put.key] = {put.key, put.value, ++revision_};
        answer<net::kv_transaction_result>({holds, revision_}, std::move(done));
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
        answer<net::kv_range_result>(result, std::move(done));
    }

    void wait_for_change(const std::string& /*key*/, std::int64_t /*revision*/,
                         callback<net::kv_entry> done) override
    {
        done(std::nullopt, {});
    }

    int lost_answers = 0;
    std::function<void()> before_commit;

private:
    template <typename Result>
    void answer(const Result& result, callback<Result> done)
    {
        const bool lost = lost_answers > 0;
        lost_answers -= lost ? 1 : 0;
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

constexpr const char* text = R"({"format": 1, "name": "day",
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

TEST_F(preset_store_test, numbers_grow_and_history_keeps_all)
{
    ASSERT_TRUE(store.activate(text, {"ann", "n1", 0}, reason));
    const auto second = store.activate(text, {"bob", "n2", 0}, reason);
    ASSERT_TRUE(second);
    EXPECT_EQ(second->number, 2U);
    EXPECT_EQ(store.history(reason)->size(), 2U);
    EXPECT_EQ(store.active(reason)->author, "bob");
}

TEST_F(preset_store_test, a_lost_answer_counts_once)
{
    ASSERT_TRUE(store.activate(text, {"ann", "n1", 0}, reason));
    kv.before_commit = [this]
    {
        kv.lost_answers = 1;
    };
    const auto accepted = store.activate(text, {"ann", "n2", 0}, reason);
    ASSERT_TRUE(accepted);
    EXPECT_EQ(accepted->number, 2U);
    EXPECT_EQ(store.history(reason)->size(), 2U);
}

TEST_F(preset_store_test, the_slower_of_two_operators_is_told_of_the_winner)
{
    ASSERT_TRUE(store.activate(text, {"ann", "n1", 0}, reason));
    net::event_loop other_loop;
    kv.before_commit = [this]
    {
        net::kv_transaction rival;
        config::accepted_preset next = *config::parse_envelope(
            config::to_envelope({2, "rival", "bob", 0, text, {}}), reason);
        rival.puts.push_back(
            {router::active_preset_key(), config::to_envelope(next)});
        rival.puts.push_back(
            {router::preset_history_key(2), config::to_envelope(next)});
        kv.commit(rival, [](const auto&, const auto&) {});
    };
    EXPECT_FALSE(store.activate(text, {"ann", "n3", 0}, reason));
    EXPECT_EQ(reason.kind, failure_kind::conflict);
    EXPECT_NE(reason.message.find("bob"), std::string::npos);
}

TEST_F(preset_store_test, an_edit_starts_again_after_a_conflict)
{
    ASSERT_TRUE(store.activate(text, {"ann", "n1", 0}, reason));
    int edits = 0;
    const auto accepted = store.change(
        [&](const std::string& before, failure& why)
        {
            if (++edits == 1)
                kv.before_commit = [this]
                {
                    net::kv_transaction rival;
                    const auto envelope =
                        config::to_envelope({2, "rival", "bob", 0, text, {}});
                    rival.puts.push_back(
                        {router::active_preset_key(), envelope});
                    rival.puts.push_back(
                        {router::preset_history_key(2), envelope});
                    kv.commit(rival, [](const auto&, const auto&) {});
                };
            return config::set_data_centre(before, "b", false, why);
        },
        {"ann", "n2", 0}, reason);
    ASSERT_TRUE(accepted) << reason.text();
    EXPECT_EQ(edits, 2);
    EXPECT_EQ(accepted->number, 3U);
    EXPECT_FALSE(accepted->value.data_centres[1].in_service);
}

TEST_F(preset_store_test, an_invalid_preset_is_not_accepted)
{
    EXPECT_FALSE(store.activate("{}", {"ann", "n1", 0}, reason));
    EXPECT_EQ(reason.kind, failure_kind::invalid_preset);
    EXPECT_FALSE(store.active(reason));
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

TEST(burn_report, sums_routers_and_raises_alerts)
{
    const auto calm = sum_burn({{"a", burn_page(0, 0)}, {"b", ""}});
    ASSERT_EQ(calm.size(), 2U);
    EXPECT_EQ(calm[0].alert(), burn_alert::none);
    const auto hot =
        sum_burn({{"a", burn_page(20, 0)}, {"b", burn_page(20, 0)}});
    EXPECT_EQ(hot[0].windows[0].total, 200U);
    EXPECT_NEAR(hot[0].rate(0), 20, 0.01);
    EXPECT_EQ(hot[0].alert(), burn_alert::page);
}

TEST(burn_report, every_form_names_the_series)
{
    const auto series = sum_burn({{"a", burn_page(20, 0)}});
    EXPECT_NE(burn_text(series).find("answered"), std::string::npos);
    EXPECT_NE(burn_json(series).find("\"page\""), std::string::npos);
    EXPECT_NE(burn_html(series, "now").find("<svg"), std::string::npos);
}

TEST(request_account, joins_the_lines_of_several_routers_in_time_order)
{
    std::istringstream one{
        "ts=2026-01-01T10:00:01 level=info event=store_lost call=x\n"
        "ts=2026-01-01T10:00:03 level=info event=refused request=r7 kind=k\n"
        "ts=2026-01-01T10:00:04 level=info event=refused request=r77 kind=k\n"};
    std::istringstream two{
        "ts=2026-01-01T10:00:02 level=info event=attempt_failed request=r7 "
        "upstream=u\n"
        "ts=2026-01-01T10:00:05 level=info event=store_regained call=x\n"};
    std::istringstream third{
        "ts=2026-01-01T10:00:00 level=info event=store_lost call=x\n"};
    const auto account =
        account_of("r7", {{"one", &one}, {"two", &two}, {"third", &third}});
    ASSERT_EQ(account.size(), 3U);
    EXPECT_EQ(account[0].event, "store_lost");
    EXPECT_FALSE(account[0].names_request);
    EXPECT_EQ(account[1].router, "two");
    EXPECT_EQ(account[2].fields, "request=r7 kind=k");
    EXPECT_EQ(account_text(account).find("r77"), std::string::npos);
}

TEST(request_account, is_empty_if_no_log_names_the_request)
{
    std::istringstream log{"garbage\n\nts=1 event=started\n"};
    EXPECT_TRUE(account_of("r7", {{"one", &log}}).empty());
}

} // namespace

} // namespace baobabloft::operators
