// Tests of the preset check, stored envelopes, edits and adoption.
#include "baobabloft/config/preset_follower.hpp"
#include "baobabloft/config/preset_parser.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace baobabloft::config
{

namespace
{

constexpr const char* valid_text = R"({
  "format": 1, "name": "day",
  "data_centres": [{"name": "a", "region": "r"}, {"name": "b", "region": "r"}],
  "services": [
    {"name": "m", "models": ["m"],
     "upstreams": [{"name": "m-1", "data_centre": "a",
                    "address": "10.0.0.1:80"}]}]})";

accepted_preset make_accepted_preset(generation number,
                                     const std::string& text = valid_text)
{
    std::vector<preset_error> errors;
    return {number, "nonce", "me", 0, text, *parse_preset(text, errors)};
}

std::string replace_first(std::string text, const std::string& from,
                          const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

std::vector<preset_error> errors_of(const std::string& text)
{
    std::vector<preset_error> errors;
    EXPECT_FALSE(parse_preset(text, errors));
    return errors;
}

TEST(preset_parser, accepts_the_example_presets)
{
    const std::filesystem::path directory{BAOBAB_SOURCE_DIR "/examples"};
    int count = 0;
    for (const auto& entry :
         std::filesystem::recursive_directory_iterator{directory})
    {
        if (entry.path().extension() != ".json")
            continue;
        std::ifstream file{entry.path()};
        std::ostringstream text;
        text << file.rdbuf();
        std::vector<preset_error> errors;
        EXPECT_TRUE(parse_preset(text.str(), errors)) << entry.path();
        ++count;
    }
    EXPECT_EQ(count, 6);
}

TEST(preset_parser, reports_the_line_of_invalid_json)
{
    const auto errors = errors_of("{\n  \"format\": 1,,\n}");
    ASSERT_EQ(errors.size(), 1U);
    EXPECT_EQ(errors[0].location.substr(0, 6), "line 2");
}

TEST(preset_parser, reports_every_error_with_location_and_remedy)
{
    auto text = replace_first(valid_text, R"("data_centre": "a")",
                              R"("data_centre": "x", "colour": "red")");
    text = replace_first(text, R"("name": "m",)",
                         R"("name": "m", "capacity": -1,)");
    const auto errors = errors_of(text);
    ASSERT_EQ(errors.size(), 3U);
    EXPECT_EQ(errors[0].location, "/services/0/capacity");
    EXPECT_EQ(errors[1].location, "/services/0/upstreams/0/colour");
    for (const auto& item : errors)
        EXPECT_FALSE(item.remedy.empty());
}

TEST(preset_parser, rejects_a_preset_with_no_data_centre_in_service)
{
    failure reason;
    auto text = *set_data_centre_in_service(valid_text, "a", false, reason);
    text = *set_data_centre_in_service(text, "b", false, reason);
    EXPECT_EQ(errors_of(text).size(), 1U);
}

TEST(preset_edit, data_centre_out_of_service_shows_in_the_diff)
{
    failure reason;
    const auto text =
        set_data_centre_in_service(valid_text, "b", false, reason);
    ASSERT_TRUE(text);
    const auto changes = diff_presets(valid_text, *text);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].pointer, "/data_centres/1/in_service");
    EXPECT_FALSE(set_data_centre_in_service(valid_text, "z", false, reason));
    EXPECT_EQ(reason.kind, failure_kind::invalid_preset);
}

TEST(preset, draining_and_out_of_service_upstreams_receive_no_work)
{
    failure reason;
    auto preset = make_accepted_preset(1).value;
    const auto& upstream = preset.services[0].upstreams[0];
    EXPECT_TRUE(may_receive_work(preset, upstream));
    preset.data_centres[0].in_service = false;
    EXPECT_FALSE(may_receive_work(preset, upstream));
    preset.data_centres[0].in_service = true;
    const auto draining_text = set_upstream_intent(
        valid_text, "m-1", upstream_intent::draining, reason);
    const auto after = make_accepted_preset(2, *draining_text).value;
    EXPECT_FALSE(may_receive_work(after, after.services[0].upstreams[0]));
}

TEST(envelope, survives_a_round_trip)
{
    failure reason;
    const auto before = make_accepted_preset(7);
    const auto after = parse_envelope(to_envelope(before), reason);
    ASSERT_TRUE(after);
    EXPECT_EQ(after->generation_number, 7U);
    EXPECT_EQ(after->text, before.text);
    EXPECT_FALSE(parse_envelope("{}", reason));
    EXPECT_EQ(reason.kind, failure_kind::invalid_preset);
}

TEST(preset_follower, reads_from_a_peer_with_a_newer_preset)
{
    preset_follower follower{1};
    const time_point now{10s};
    follower.handle_kv_response(now, to_envelope(make_accepted_preset(3)));
    const router_id peer{5};
    follower.record_peer_generation(peer, 3);
    EXPECT_FALSE(follower.start_due_reads(now, false).from_peer);
    follower.record_peer_generation(peer, 4);
    EXPECT_EQ(follower.start_due_reads(now, false).from_peer, peer);
    EXPECT_TRUE(
        follower.handle_peer_response(to_envelope(make_accepted_preset(4))));
    EXPECT_EQ(follower.current_generation(), 4U);
}

// Guards against a KV service that was restored from an older copy and keeps
// the older preset or none.
TEST(preset_follower, replaces_an_older_stored_preset_by_its_own)
{
    preset_follower follower{1};
    const auto newest = to_envelope(make_accepted_preset(4));
    const auto older = to_envelope(make_accepted_preset(3));
    follower.handle_kv_response(time_point{}, newest);
    EXPECT_FALSE(follower.take_replacement());
    for (const auto& stored : {std::optional{older}, {}})
    {
        EXPECT_FALSE(follower.handle_kv_response(time_point{}, stored));
        const auto replacement = follower.take_replacement();
        ASSERT_TRUE(replacement);
        EXPECT_EQ(replacement->stored, stored);
        EXPECT_EQ(replacement->envelope, newest);
    }
    follower.handle_kv_response(time_point{}, "malformed");
    EXPECT_FALSE(follower.take_replacement());
}

// Guards against a change that is mistaken for an older preset because a
// restored KV service gave it the number of a lost one or a lower number.
TEST(preset_follower, numbers_a_change_accepted_after_a_restore_anew)
{
    const auto change = [](const accepted_preset& previous, const char* nonce)
    {
        auto next = make_accepted_preset(0);
        next.nonce = nonce;
        return succeed(previous, std::move(next));
    };
    const auto first = make_accepted_preset(1);
    const auto second = change(first, "second");
    const auto third = change(second, "third");
    preset_follower follower{1};
    follower.handle_kv_response(time_point{}, to_envelope(third));
    const auto replacement_of = [&](const accepted_preset& stored)
    {
        follower.handle_kv_response(time_point{}, to_envelope(stored));
        return follower.take_replacement();
    };
    for (const auto& old : {first, second})
        EXPECT_EQ(replacement_of(old)->envelope, to_envelope(third));
    for (const auto& later : {change(second, "x"), change(first, "y")})
    {
        const auto replacement = replacement_of(later);
        ASSERT_TRUE(replacement);
        EXPECT_EQ(replacement->number, 4U);
        failure reason;
        EXPECT_EQ(parse_envelope(replacement->envelope, reason)->nonce,
                  later.nonce);
    }
}

TEST(preset_follower, keeps_its_preset_when_the_stored_envelope_is_malformed)
{
    preset_follower follower{1};
    follower.handle_kv_response(time_point{},
                                to_envelope(make_accepted_preset(3)));
    EXPECT_FALSE(
        follower.handle_kv_response(time_point{}, "{\"generation\": 4}"));
    EXPECT_EQ(follower.current_generation(), 3U);
    EXPECT_EQ(follower.last_failure().kind, failure_kind::invalid_preset);
}

RC_GTEST_PROP(preset_follower, generation_never_decreases, ())
{
    preset_follower follower{1};
    generation highest = 0;
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40));
    for (const int step : steps)
    {
        const auto number = static_cast<generation>(step / 4) + 1;
        const auto envelope = to_envelope(make_accepted_preset(number));
        if (step % 4 == 0)
            follower.handle_kv_failure(time_point{});
        else if (step % 4 == 1)
            follower.handle_kv_response(time_point{}, envelope);
        else
            follower.handle_peer_response(envelope);
        if (step % 4 != 0)
            highest = std::max(highest, number);
        RC_ASSERT(follower.current_generation() == highest);
    }
}

} // namespace

} // namespace baobabloft::config
