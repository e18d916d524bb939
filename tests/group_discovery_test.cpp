#include "adapters/json_codec.hpp"
#include "app/group_discovery.hpp"
#include "paused_clock.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace apricotlb
{
namespace
{

/// Five control processes, each of which answers while it is up.
class group_discovery_test : public testing::Test
{
protected:
    using answer = std::function<void(result<std::string>)>;

    struct fetch
    {
        group_discovery_test& test;

        auto operator()(url const& at, answer const& done) const -> void
        {
            auto const from = std::string{"http://"}.size();
            auto const name =
                at.value().substr(from, at.value().find('/', from) - from);
            ++test.polls[name];
            test.clock.start_timer(
                milliseconds{2},
                [this_test = &test, name, done]
                {
                    if (!this_test->up.contains(name))
                    {
                        done(fail(error_kind::backend_failed, "refused"));
                        return;
                    }
                    node_view view;
                    view.node = node_id{name};
                    view.peers_at = url{this_test->odd_urls.contains(name)
                                            ? this_test->odd_urls.at(name)
                                            : "tcp://" + name};
                    for (auto const& id : this_test->odd_members)
                    {
                        view.members.emplace_back(id);
                    }
                    for (auto const& id : this_test->empty
                                              ? std::set<std::string>{}
                                              : this_test->members)
                    {
                        view.members.emplace_back(id);
                    }
                    done(json_codec::encode(view));
                });
        }
    };

    struct introduce
    {
        group_discovery_test& test;

        auto operator()(node_id const& id, url const& at) const -> void
        {
            test.introduced[id.value()] = at.value();
        }
    };

    auto polls_in(duration d) -> int
    {
        polls.clear();
        clock.advance(d);
        auto n = 0;
        for (auto const& [name, count] : polls)
        {
            n += count;
        }
        return n;
    }

    /// A leader answered, and now none does.
    auto lose_leader() -> void
    {
        it.set_settled(true);
        clock.advance(config::discovery_interval_settled);
        it.set_settled(false);
        clock.advance(config::discovery_interval_settled);
    }

    std::set<std::string> const members{"c1:80", "c2:80", "c3:80", "c4:80",
                                        "c5:80"};
    std::set<std::string> up{members};
    bool empty{false}; ///< no process knows members
    std::vector<std::string> odd_members;
    std::map<std::string, std::string> odd_urls; ///< by the answering process
    std::map<std::string, std::string> introduced;
    std::map<std::string, int> polls;
    paused_clock clock;
    group_discovery<paused_clock, fetch, introduce, json_codec> it{
        clock,
        fetch{*this},
        introduce{*this},
        {endpoint{"c1:80"}, endpoint{"c2:80"}}};
};

// Fifty processes that search while the group elects must not take the time of
// the processes that elect.
TEST_F(group_discovery_test,
       polls_less_often_while_processes_answer_but_none_leads)
{
    lose_leader();
    clock.advance(seconds{10});
    // Every 300 ms each of five processes was polled: 400 in 24 s. Now one of
    // them, and all every 2.4 s.
    auto const n = polls_in(seconds{24});
    EXPECT_LE(n, 80 + 50);
    EXPECT_EQ(polls.size(), members.size());
    for (auto const& [name, count] : polls)
    {
        EXPECT_LE(count, 40) << name;
    }
}

// A process that starts waits for the group, which may still be founded.
TEST_F(group_discovery_test, polls_all_often_until_a_leader_was_found)
{
    clock.advance(seconds{3});
    polls_in(seconds{3});
    for (auto const& name : members)
    {
        EXPECT_GE(polls[name], 9) << name;
    }
}

// When all known processes are gone, the ones that replace them at the seed
// addresses must be found as soon as at a start.
TEST_F(group_discovery_test, polls_all_often_once_no_known_process_answers)
{
    lose_leader();
    clock.advance(seconds{10});
    up.clear();
    clock.advance(config::discovery_interval * 3);
    polls_in(seconds{3});
    EXPECT_GE(polls["c1:80"], 9);
    EXPECT_GE(polls["c2:80"], 9);
}

// A process that died must not keep the others polled often for ever.
TEST_F(group_discovery_test, polls_less_often_beside_a_process_that_is_gone)
{
    lose_leader();
    up.erase("c3:80");
    clock.advance(seconds{10});
    EXPECT_LE(polls_in(seconds{24}), 80 + 50);
}

// A member whose address is none must neither be polled nor hide the others.
TEST_F(group_discovery_test, finds_the_members_beside_odd_ones)
{
    odd_members = {"10.0.0.1:99999", "host",   ":0", "[::1",
                   "a b:80",         "a:80/x", ""};
    clock.advance(seconds{3});
    std::set<std::string> polled;
    for (auto const& [name, count] : polls)
    {
        polled.insert(name);
    }
    EXPECT_EQ(polled, members);
}

// After seeds that lost their disks had come back, members that had taken other
// ports meanwhile never found each other, and elected no leader.
TEST_F(group_discovery_test, finds_the_members_of_the_log_beside_empty_seeds)
{
    empty = true;
    clock.advance(seconds{1});
    EXPECT_FALSE(introduced.contains("c3:80"));
    for (auto n = 0; n < 40; ++n)
    {
        it.add_members({node_id{"c3:80"}, node_id{"c4:80"}});
        clock.advance(seconds{1});
    }
    EXPECT_EQ(introduced["c3:80"], "tcp://c3:80");
    EXPECT_EQ(introduced["c4:80"], "tcp://c4:80");
}

// A view of another program must not make this process poll without bound.
TEST_F(group_discovery_test, polls_a_bounded_number_of_members)
{
    for (auto n = 0; n < 10'000; ++n)
    {
        odd_members.push_back("m" + std::to_string(n) + ":80");
    }
    clock.advance(seconds{3});
    EXPECT_LE(polls.size(), members.size() + config::max_members);
}

// An address of another kind is not dialled.
TEST_F(group_discovery_test, introduces_no_process_with_an_odd_url)
{
    odd_urls = {{"c1:80", "ipc:///tmp/x"}, {"c3:80", "tcp://c3:99999"}};
    clock.advance(seconds{3});
    EXPECT_FALSE(introduced.contains("c1:80"));
    EXPECT_FALSE(introduced.contains("c3:80"));
    EXPECT_EQ(introduced.at("c2:80"), "tcp://c2:80");
}

} // namespace
} // namespace apricotlb
