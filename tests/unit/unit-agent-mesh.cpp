#include "support/work_mesh.hpp"

#include <gtest/gtest.h>

namespace daisydoor::agent
{
namespace
{

constexpr std::uint64_t sessions = 400;
constexpr int steps = 250;

class work_mesh_test : public ::testing::TestWithParam<std::size_t>
{
};

// Guards against a non-idempotent request that starts twice, and against `not_run` for a request that started or starts
// later, while links break, agents restart, drain or are ejected, and datagrams are repeated, lost or overtaken by
// cancellations.
TEST_P(work_mesh_test, random_events_refusals_truthful)
{
    std::size_t handed_over = 0;
    std::size_t refused = 0;
    std::size_t answered = 0;
    for (std::uint64_t seed = 1; seed <= sessions; ++seed) {
        support::work_mesh mesh(seed * 10 + GetParam(), GetParam(), 2);
        for (int i = 0; i < steps; ++i) {
            mesh.step();
        }
        mesh.settle();
        ASSERT_TRUE(mesh.violations().empty()) << "seed " << seed << ": " << mesh.violations().front();
        handed_over += mesh.handed_over();
        for (const auto& request : mesh.requests()) {
            refused += request.replied_not_run ? 1 : 0;
            answered += request.replied_answer ? 1 : 0;
        }
    }
    // The random sequences must include hand-overs, refusals and answers, which the checks of the mesh are for.
    EXPECT_GT(handed_over, sessions);
    EXPECT_GT(refused, sessions);
    EXPECT_GT(answered, sessions);
}

INSTANTIATE_TEST_SUITE_P(agents, work_mesh_test, ::testing::Values(2, 3));

} // namespace
} // namespace daisydoor::agent
