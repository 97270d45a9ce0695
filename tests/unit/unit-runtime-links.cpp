#include "daisydoor/runtime/detail/link_task.hpp"
#include "support/loopback.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <event2/event.h>

namespace daisydoor::runtime::detail
{
namespace
{

/// One agent process: a kernel with a link_task, and handlers that record what they receive.
struct process
{
    process(std::uint32_t host, const std::string& listen, std::uint64_t incarnation)
        : address(core::parse_endpoint(listen)), id{host}
    {
        wire::helloT hello;
        hello.role = wire::process_role::agent;
        hello.host = host;
        hello.service = 1;
        hello.incarnation = incarnation;
        const std::string role = task_names::role;
        owner.register_handler<mesh_peer_up>(
            role, [this](mesh_peer_up& message) { peer_up_incarnations.push_back(core::raw(message.incarnation)); });
        owner.register_handler<mesh_peer_down>(role, [this](mesh_peer_down&) { ++peer_down_count; });
        owner.register_handler<mesh_message>(role, [this](mesh_message& message) {
            work_request_counts.push_back(message.message->body.Aswork_request()->count);
        });
        owner.register_handler<peer_message_received>(
            task_names::config, [this](peer_message_received& message) { senders.push_back(message.peer); });
        auto& links = owner.add(
            std::make_unique<link_task>(owner, link_options{address, std::move(hello)}, core::random_source(host)));
        links.start();
    }

    void set_mesh(const process& peer) { send(set_mesh_peers{{{peer.id, peer.address}}}); }

    void send_work_request(const process& peer, std::uint32_t count) { send(send_to_host{peer.id, request(count)}); }

    void send_work_request_to(const core::endpoint& peer) { send(send_to_endpoint{peer, request(0)}); }

    static wire::peer_messageT request(std::uint32_t count)
    {
        wire::work_requestT body;
        body.count = count;
        return wire::make_peer_message(core::config_version{1}, body);
    }

    template <typename Message>
    void send(Message message)
    {
        owner.find_handler<Message>(task_names::links).post(std::move(message));
    }

    [[nodiscard]] bool has_work_request(std::uint32_t count) const
    {
        return std::find(work_request_counts.begin(), work_request_counts.end(), count) != work_request_counts.end();
    }

    kernel owner;
    core::endpoint address;
    core::host_id id;
    std::vector<std::uint64_t> peer_up_incarnations;
    int peer_down_count = 0;
    std::vector<std::uint32_t> work_request_counts;
    std::vector<core::endpoint> senders;
};

class link_task_test : public ::testing::Test
{
  protected:
    support::loopback_range range;
    const std::string address_a = range.address(2);
    const std::string address_b = range.address(3);

    void SetUp() override
    {
        a = std::make_unique<process>(1, address_a, 100);
        b = std::make_unique<process>(2, address_b, 200);
    }

    /// Runs both loops until the condition holds; gives up after a bounded number of rounds of 1 ms.
    bool run_until(const std::function<bool()>& condition)
    {
        constexpr int max_rounds = 10'000;
        for (int i = 0; i < max_rounds && !condition(); ++i) {
            for (const auto* it : {a.get(), b.get()}) {
                if (it != nullptr) {
                    event_base_loop(it->owner.base(), EVLOOP_NONBLOCK);
                }
            }
            usleep(1000);
        }
        return condition();
    }

    bool run_until_up()
    {
        return run_until([this] { return a->peer_up_incarnations.size() == 1 && b->peer_up_incarnations.size() == 1; });
    }

    std::unique_ptr<process> a;
    std::unique_ptr<process> b;
};

// Guards against two mesh links between two agents: if one were lost, its lost messages would go unnoticed.
TEST_F(link_task_test, set_mesh_on_both_sides_one_link)
{
    a->set_mesh(*b);
    b->set_mesh(*a);
    ASSERT_TRUE(run_until_up());
    EXPECT_EQ(a->peer_up_incarnations, (std::vector<std::uint64_t>{200}));
    EXPECT_EQ(b->peer_up_incarnations, (std::vector<std::uint64_t>{100}));
    a->send_work_request(*b, 7);
    b->send_work_request(*a, 8);
    ASSERT_TRUE(run_until([this] { return !a->work_request_counts.empty() && !b->work_request_counts.empty(); }));
    EXPECT_EQ(b->work_request_counts, (std::vector<std::uint32_t>{7}));
    EXPECT_EQ(a->work_request_counts, (std::vector<std::uint32_t>{8}));
    EXPECT_EQ(a->peer_down_count + b->peer_down_count, 0);
}

// Guards against a link of the configuration exchange that is treated as the mesh link or replaces it, after which both
// agents reported a lost link. The configuration may contain another address for a peer than the peer's own hello, for
// instance behind a relay.
TEST_F(link_task_test, configuration_links_around_mesh_link_no_loss)
{
    a->send_work_request_to(b->address);
    b->send_work_request_to(a->address);
    ASSERT_TRUE(run_until([this] { return !a->senders.empty() && !b->senders.empty(); }));
    EXPECT_TRUE(a->peer_up_incarnations.empty() && b->peer_up_incarnations.empty());
    a->set_mesh(*b);
    b->set_mesh(*a);
    ASSERT_TRUE(run_until_up());
    a->send_work_request_to(b->address);
    b->send_work_request_to(a->address);
    a->send_work_request(*b, 7);
    b->send_work_request(*a, 8);
    ASSERT_TRUE(run_until([this] { return a->has_work_request(8) && b->has_work_request(7); }));
    EXPECT_EQ(a->peer_down_count + b->peer_down_count, 0);
    EXPECT_EQ(a->peer_up_incarnations.size() + b->peer_up_incarnations.size(), 2U);
}

// Guards against work that is sent to the wrong agent after two agents have swapped their addresses.
TEST_F(link_task_test, set_mesh_other_host_at_address_no_mesh_link)
{
    a->send(set_mesh_peers{{{core::host_id{3}, b->address}}});
    a->send_work_request_to(b->address);
    ASSERT_TRUE(run_until([this] { return !b->senders.empty(); }));
    EXPECT_TRUE(a->peer_up_incarnations.empty());
}

// Guards against a peer that is identified by the ephemeral source port of its link, which cannot be dialled.
TEST_F(link_task_test, accepted_link_remote_is_listen_address)
{
    a->send_work_request_to(b->address);
    ASSERT_TRUE(run_until([this] { return !b->senders.empty(); }));
    EXPECT_EQ(core::to_string(b->senders.front()), address_a);
}

// Guards against a mesh link that is not re-established after a peer restarts, or that reports the old incarnation.
TEST_F(link_task_test, peer_restart_link_with_new_incarnation)
{
    a->set_mesh(*b);
    ASSERT_TRUE(run_until_up());
    b.reset();
    ASSERT_TRUE(run_until([this] { return a->peer_down_count == 1; }));
    b = std::make_unique<process>(2, address_b, 201);
    ASSERT_TRUE(run_until([this] { return a->peer_up_incarnations.size() == 2; }));
    EXPECT_EQ(a->peer_up_incarnations.back(), 201U);
}

} // namespace
} // namespace daisydoor::runtime::detail
