#include "caller_fixture.hpp"

namespace daisydoor::caller
{

namespace
{

class reopen_test : public session_fixture
{
};

} // namespace

// Guards against a session that sends its opens forever from a local port whose datagrams are dropped on the path.
TEST_F(reopen_test, reopen_without_answer_replaces_socket)
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
