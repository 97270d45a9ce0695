#include "daisydoor/relay/store_reader.hpp"

#include "relay_fixture.hpp"

#include <algorithm>

namespace daisydoor::relay
{
namespace
{

/// Views that follow the store into a new era and tell others.
class restored_view_test : public relay_fixture
{
  protected:
    static fleet_update whole(std::uint64_t era, std::uint64_t at)
    {
        fleet_update result;
        result.era = store_era{era};
        result.revision = revision{at};
        result.whole = true;
        return result;
    }

    static fleet_change host_at(std::uint64_t at, std::uint32_t n, std::uint64_t sequence,
                                host_state state = host_state::ready)
    {
        auto value = make_host(n);
        value.sequence = sequence;
        value.state = state;
        return {revision{at}, value};
    }

    static fleet_change routes_at(std::uint64_t at, std::uint64_t version)
    {
        route_set value;
        value.version = route_version{version};
        value.routes = {make_route({{"svc", 1}}, static_cast<std::uint16_t>(400 + version))};
        return {revision{at}, value};
    }

    fleet_view m_view{"a"};
};

// Guards against a host that stays for ever at a process that knew a later write than the peer which tells that its
// entry is missing.
TEST_F(restored_view_test, missing_host_with_later_write_gets_grace)
{
    auto first = whole(1, 20);
    first.changes = {routes_at(5, 1), host_at(20, 1, 2, host_state::draining)};
    m_view.apply(first, m_now);
    auto told = whole(2, 10);
    told.changes = {routes_at(5, 1), host_at(10, 1, 1)};
    told.changes.back().grace = core::milliseconds(500);
    m_view.apply(told, m_now);
    advance(core::milliseconds(501));
    EXPECT_EQ(m_view.expire(m_now), 1U);
}

// Guards against the same if the entry has not changed since the era began.
TEST_F(restored_view_test, missing_host_that_is_unchanged_gets_grace)
{
    auto first = whole(1, 20);
    first.changes = {routes_at(5, 1), host_at(20, 1, 2)};
    m_view.apply(first, m_now);
    auto told = whole(2, 10);
    told.changes = {routes_at(5, 1), host_at(0, 1, 2)};
    told.changes.back().grace = core::milliseconds(500);
    m_view.apply(told, m_now);
    advance(core::milliseconds(501));
    EXPECT_EQ(m_view.expire(m_now), 1U);
}

// Guards against a host that stays for ever: it was removed between the revisions of a source's whole read, so that the
// source never knew it.
TEST_F(restored_view_test, difference_of_whole_read_is_for_view_before_it_only)
{
    auto first = whole(1, 10);
    first.changes = {routes_at(5, 1)};
    m_view.apply(first, m_now);
    auto later = whole(1, 20);
    later.changes = {routes_at(5, 1), host_at(20, 2, 1)};
    m_view.apply(later, m_now);
    EXPECT_FALSE(m_view.changes_after({store_era{1}, revision{15}})) << "has a host that came at 12 and went at 17";
    const auto difference = m_view.changes_after({store_era{1}, revision{10}});
    ASSERT_TRUE(difference);
    EXPECT_TRUE(difference->exact);
    ASSERT_TRUE(m_view.changes_after({store_era{1}, revision{20}}));
    EXPECT_FALSE(m_view.changes_after({store_era{1}, revision{20}})->exact);
}

// Guards against revisions of the former era in messages about the new one, which receivers take for a higher position.
TEST_F(restored_view_test, unchanged_values_have_no_revision_above_the_position)
{
    auto first = whole(1, 50);
    first.changes = {routes_at(48, 3), host_at(50, 1, 1), host_at(40, 2, 1)};
    m_view.apply(first, m_now);
    auto copy = whole(2, 30);
    copy.changes = {routes_at(20, 2), host_at(21, 1, 1), host_at(22, 2, 1)};
    m_view.apply(copy, m_now);
    for (const auto& it : m_view.snapshot(m_now).changes) {
        EXPECT_LE(it.revision, revision{30});
        EXPECT_GT(it.revision, revision{0});
    }
}

// Guards against changes that receivers skip: a later page of a whole read can be ahead of the read's revision.
TEST_F(restored_view_test, later_page_ahead_of_whole_read_is_not_told_early)
{
    auto first = whole(1, 10);
    first.changes = {routes_at(5, 1)};
    m_view.apply(first, m_now);
    auto pages = whole(1, 20);
    pages.changes = {host_at(15, 1, 1), host_at(25, 2, 1), routes_at(5, 1)};
    m_view.apply(pages, m_now);
    fleet_update watch;
    watch.era = store_era{1};
    watch.revision = revision{25};
    watch.changes = {host_at(22, 3, 1), host_at(25, 2, 1)};
    m_view.apply(watch, m_now);
    const auto told = m_view.changes_after({store_era{1}, revision{10}});
    ASSERT_TRUE(told);
    EXPECT_TRUE(std::is_sorted(told->changes.begin(), told->changes.end(),
                               [](const auto& a, const auto& b) { return a.revision < b.revision; }));
}

// Guards against a host whose removal peers never hear of: it was applied with an update that could not be used.
TEST_F(restored_view_test, update_with_unknown_base_changes_nothing)
{
    auto first = whole(1, 10);
    first.changes = {routes_at(5, 1), host_at(6, 1, 1)};
    m_view.apply(first, m_now);
    fleet_update update;
    update.era = store_era{1};
    update.revision = revision{12};
    route_delta delta;
    delta.base = route_version{2};
    delta.version = route_version{3};
    update.changes = {{revision{11}, host_removed{"i-1"}}, {revision{12}, delta}};
    EXPECT_TRUE(m_view.apply(update, m_now).needs_whole);
    EXPECT_EQ(m_view.hosts().count("i-1"), 1U);
    EXPECT_EQ(m_view.revision(), revision{10});
}

class restored_reader_test : public relay_fixture
{
  protected:
    store_progress answer(store_call call, std::uint64_t era, std::uint64_t at, bool has_more = false,
                          store_result result = store_result::answered)
    {
        advance(core::milliseconds(1000));
        const auto request = m_reader.next(m_now);
        EXPECT_TRUE(request && request->call == call);
        fleet_update update;
        update.era = store_era{era};
        update.revision = revision{at};
        return m_reader.on_result(result, update, has_more, "servers/x", m_now);
    }

    store_reader m_reader;
};

// Guards against events of a new era that are taken for the continuation of a watch in the former one.
TEST_F(restored_reader_test, watch_answered_in_new_era_reads_everything)
{
    answer(store_call::read_all, 1, 14);
    const auto progress = answer(store_call::watch, 2, 16);
    EXPECT_FALSE(progress.update);
    EXPECT_EQ(progress.restored_from, store_era{1});
    const auto next = answer(store_call::read_all, 2, 16);
    ASSERT_TRUE(next.update);
    EXPECT_TRUE(next.update->whole);
    EXPECT_EQ(next.update->position(), (store_position{store_era{2}, revision{16}}));
}

// Guards against a whole state put together from pages of two eras.
TEST_F(restored_reader_test, era_that_changes_between_pages_starts_read_again)
{
    answer(store_call::read_all, 1, 14, true);
    EXPECT_FALSE(answer(store_call::read_all, 2, 12).update);
    EXPECT_FALSE(answer(store_call::read_all, 2, 12, true).update);
    const auto progress = answer(store_call::read_all, 2, 12);
    ASSERT_TRUE(progress.update);
    EXPECT_EQ(progress.update->era, store_era{2});
}

// Guards against an answer of the former era that arrives after peers told of the new one.
TEST_F(restored_reader_test, answer_of_former_era_is_a_failed_call)
{
    answer(store_call::read_all, 1, 14);
    m_reader.set_mode(read_mode::off, {}, m_now);
    m_reader.set_mode(read_mode::check, {store_era{2}, revision{12}}, m_now);
    const auto progress = answer(store_call::watch, 1, 15);
    EXPECT_TRUE(progress.is_from_former_era);
    EXPECT_TRUE(progress.became_unreachable);
    EXPECT_FALSE(progress.update);
}

// Guards against a platform without the header, or an answer without it, that is never believed.
TEST_F(restored_reader_test, answer_without_era_belongs_to_present_one)
{
    answer(store_call::read_all, 3, 14);
    const auto progress = answer(store_call::watch, 0, 15);
    ASSERT_TRUE(progress.update);
    EXPECT_EQ(progress.update->era, store_era{3});
}

// Guards against endless 410 answers: the revision of a lost watch is above the new era's.
TEST_F(restored_reader_test, lost_history_in_new_era_reads_everything_once)
{
    answer(store_call::read_all, 1, 14);
    EXPECT_EQ(answer(store_call::watch, 2, 0, false, store_result::history_lost).restored_from, store_era{1});
    EXPECT_TRUE(answer(store_call::read_all, 2, 12).update);
    advance(core::milliseconds(1000));
    const auto request = m_reader.next(m_now);
    ASSERT_TRUE(request);
    EXPECT_EQ(request->call, store_call::watch);
    EXPECT_EQ(request->revision, revision{12});
}

} // namespace
} // namespace daisydoor::relay
