#include "caller_fixture.hpp"

namespace daisydoor::caller
{

namespace
{

class reopen_test : public session_fixture
{
};

} // namespace

// Guards against a session that asks for a new flow for ever over a path that went silent.
TEST_F(reopen_test, reopen_without_answer_uses_fresh_socket)
{
    open();
    receive(token, wire::flow_goneT{});
    ASSERT_FALSE(subject.is_open());
    extract_actions<replace_socket>();
    run(core::milliseconds(5100));
    EXPECT_EQ(extract_actions<replace_socket>().size(), 1U);
    answer_open(make_token(12, 2));
    EXPECT_TRUE(subject.is_open());
}

} // namespace daisydoor::caller
