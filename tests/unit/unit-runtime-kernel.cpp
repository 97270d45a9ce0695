#include "daisydoor/runtime/detail/io_event.hpp"
#include "daisydoor/runtime/kernel.hpp"

#include <gtest/gtest.h>

namespace daisydoor::runtime
{
namespace
{

struct ping
{
    int value = 0;
};

struct pong
{
    int value = 0;
};

class kernel_test : public ::testing::Test
{
  protected:
    kernel owner;
    std::vector<int> values;
};

int error_number_of(const std::function<void()>& function)
{
    try {
        function();
    } catch (const runtime_error& e) {
        return e.number();
    }
    return 0;
}

// Guards against a process that never ticks again because its handler threw an exception before it armed the timer.
TEST_F(kernel_test, repeated_timer_goes_on_after_exception)
{
    detail::repeated_timer timer(owner.base(), core::milliseconds(1), [this] {
        values.push_back(1);
        if (values.size() == 3) {
            owner.stop(0);
        }
        throw std::runtime_error("handler failed");
    });
    timer.start();
    const timeval limit{5, 0};
    event_base_loopexit(owner.base(), &limit);
    owner.run();
    EXPECT_EQ(values.size(), 3U);
}

// Guards against messages that are silently lost because of a wrong task name or message type.
TEST_F(kernel_test, find_handler_unknown_name_or_type_throws)
{
    owner.register_handler<ping>("a", [](ping&) {});
    EXPECT_EQ(error_number_of([this] { owner.find_handler<ping>("b"); }), static_cast<int>(errc::unknown_handler));
    EXPECT_EQ(error_number_of([this] { owner.find_handler<pong>("a"); }), static_cast<int>(errc::unknown_handler));
    EXPECT_FALSE(owner.find_optional_handler<pong>("a"));
    EXPECT_TRUE(owner.find_optional_handler<ping>("a"));
}

// Guards against a second handler that replaces the first one without an error.
TEST_F(kernel_test, register_handler_twice_throws)
{
    owner.register_handler<ping>("a", [](ping&) {});
    EXPECT_EQ(error_number_of([this] { owner.register_handler<ping>("a", [](ping&) {}); }),
              static_cast<int>(errc::duplicate_handler));
}

// Guards against reentrant delivery: a handler that posts a message must return before that message is handled.
TEST_F(kernel_test, post_inside_handler_delivered_in_next_round)
{
    handler_ref<pong> pong_handler;
    owner.register_handler<ping>("a", [&](ping& message) {
        pong_handler.post({message.value + 1});
        values.push_back(message.value);
    });
    owner.register_handler<pong>("b", [&](pong& message) { values.push_back(message.value); });
    pong_handler = owner.find_handler<pong>("b");
    owner.find_handler<ping>("a").post({1});
    EXPECT_TRUE(values.empty());
    owner.run_deferred();
    EXPECT_EQ(values, (std::vector<int>{1}));
    owner.run_deferred();
    EXPECT_EQ(values, (std::vector<int>{1, 2}));
}

// Guards against an exception that propagates through libevent's C code, or that prevents later messages from being
// delivered.
TEST_F(kernel_test, run_deferred_exception_later_messages_delivered)
{
    owner.defer([] { throw std::runtime_error("expected by the test"); });
    owner.defer([this] { values.push_back(7); });
    owner.run_deferred();
    EXPECT_EQ(values, (std::vector<int>{7}));
}

} // namespace
} // namespace daisydoor::runtime
