#include "baobabloft/dispatch/run_evidence.hpp"

#include <gtest/gtest.h>

namespace baobabloft::dispatch
{

constexpr run_evidence unsent{};
constexpr run_evidence sent{.sent_bytes = 1};
constexpr run_evidence refused{
    .sent_bytes = 1, .is_refusal = true, .names_request = true};
constexpr run_evidence refused_without_id{.sent_bytes = 1, .is_refusal = true};

// Guards against "not run" for a request of which bytes have left and that no
// refusal names.
TEST(run_evidence, not_run_needs_a_proof)
{
    EXPECT_FALSE(may_have_run(unsent));
    EXPECT_FALSE(may_have_run(refused));
    EXPECT_TRUE(may_have_run(sent));
    EXPECT_TRUE(may_have_run(refused_without_id));
    for (const auto& evidence : {sent, refused_without_id})
    {
        EXPECT_EQ(proven_end(attempt_end::not_sent, evidence),
                  attempt_end::broken);
        EXPECT_EQ(proven_end(attempt_end::declined, evidence),
                  attempt_end::failed);
    }
}

TEST(run_evidence, proven_ends_stay)
{
    EXPECT_EQ(proven_end(attempt_end::declined, refused),
              attempt_end::declined);
    for (const auto end :
         {attempt_end::broken, attempt_end::timed_out, attempt_end::failed})
    {
        EXPECT_EQ(proven_end(end, sent), end);
        EXPECT_EQ(proven_end(end, unsent), attempt_end::not_sent);
    }
}

} // namespace baobabloft::dispatch
