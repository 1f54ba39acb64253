#include "mesh/member_table.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

using namespace flamingofield;

namespace {

const instant start = instant() + seconds(1000);

/// Delivers messages between tables in memory: at once, or never to or from silent nodes.
class simulated_network
{
public:
    simulated_network(std::size_t nodes, std::size_t dataCentres)
    {
        for (std::size_t i = 0; i < nodes; ++i) {
            mesh_member self;
            self.address = static_cast<node_address>(i + 1);
            self.dataCentre = "dc" + std::to_string(i % dataCentres);
            self.incarnation = 1;
            self.isReady = true;
            tables.emplace_back(self, std::vector<node_address>{1, 2, 3});
        }
    }

    void run(duration length, const std::set<node_address> &silent = {})
    {
        for (const instant end = now + length; now < end; now += milliseconds(50)) {
            for (auto &table : tables) {
                const node_address from = table.self().address;
                if (silent.count(from) != 0) {
                    continue;
                }
                for (const node_address to : table.takeDueRecipients(false, now)) {
                    if (to <= tables.size() && silent.count(to) == 0) {
                        deliver(table, to);
                    }
                }
            }
        }
    }

    void deliver(const member_table &from, node_address to)
    {
        mesh_message message;
        message.sender = from.self();
        message.members = from.membersForPeer(from.isInOwnDataCentre(to) || from.livePeerCount(now) < 2, now);
        message.wantsReply = from.livePeerCount(now) < 2;
        tables[to - 1].applyMessage(message, now);
        ++messages;
        if (message.wantsReply) {
            mesh_message reply;
            reply.sender = tables[to - 1].self();
            reply.members = tables[to - 1].membersForPeer(true, now);
            tables[from.self().address - 1].applyMessage(reply, now);
        }
    }

    std::vector<member_table> tables;
    instant now = start;
    int messages = 0;
};

class member_table_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(member_table_tests);
    CPPUNIT_TEST(allNodesAgreeOnHubsAndReaderAfterACommonStart);
    CPPUNIT_TEST(replacesADeadHub);
    CPPUNIT_TEST(choosesEnoughHubsForTheirShareOfTheCapacity);
    CPPUNIT_TEST(excludesALeavingHub);
    CPPUNIT_TEST(ignoresAnOlderIncarnationOfAMember);
    CPPUNIT_TEST(reportsADeadMemberOnce);
    CPPUNIT_TEST(rejectsTruncatedAndSurvivesCorruptedMessages);
    CPPUNIT_TEST_SUITE_END();

    void reportsADeadMemberOnce()
    {
        simulated_network network(6, 1);
        const auto lostOf = [&](std::size_t node) { return network.tables[node].takeLostMembers(network.now); };
        for (int i = 0; i < 10; ++i) {
            network.run(seconds(1));
            for (std::size_t node = 0; node < network.tables.size(); ++node) {
                CPPUNIT_ASSERT(lostOf(node).empty());
            }
        }
        const node_address hub = network.tables[0].hubsIn("dc0", network.now).front();
        network.run(seconds(2), {hub});
        std::size_t reported = 0;
        for (std::size_t node = 0; node < network.tables.size(); ++node) {
            if (node + 1 != hub) {
                const auto lost = lostOf(node);
                CPPUNIT_ASSERT((lost == std::vector<node_address>{hub}));
                ++reported;
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), reported);
        network.run(seconds(2), {hub});
        CPPUNIT_ASSERT(lostOf(hub % 6).empty());
    }

    static std::set<node_address> hubsSeenBy(const member_table &table, instant now)
    {
        std::set<node_address> addresses;
        for (const auto &hub : table.readyHubs(now)) {
            addresses.insert(hub.address);
        }
        return addresses;
    }

    void allNodesAgreeOnHubsAndReaderAfterACommonStart()
    {
        simulated_network network(44, 3);
        network.run(seconds(3));
        const auto expected = hubsSeenBy(network.tables[0], network.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), expected.size()); // One in each data centre of 15 equal nodes.
        for (const auto &table : network.tables) {
            CPPUNIT_ASSERT(hubsSeenBy(table, network.now) == expected);
        }
        int readers = 0;
        for (const auto &table : network.tables) {
            readers += table.readerPosition(network.now) == 0 ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(1, readers);
    }

    void replacesADeadHub()
    {
        simulated_network network(12, 3);
        network.run(seconds(3));
        const node_address lost = *hubsSeenBy(network.tables[0], network.now).begin();
        network.run(seconds(4), {lost});
        for (const auto &table : network.tables) {
            if (table.self().address != lost) {
                const auto hubs = hubsSeenBy(table, network.now);
                CPPUNIT_ASSERT(hubs.count(lost) == 0);
                CPPUNIT_ASSERT_EQUAL(std::size_t(3), hubs.size());
            }
        }
    }

    /// Guards against hubs too weak for their callers: two VMs have five times the CPU capacity of the others, and one is lost
    /// under load.
    void choosesEnoughHubsForTheirShareOfTheCapacity()
    {
        constexpr std::uint32_t large = 500;
        constexpr std::uint32_t small = 100;
        member_table table({1, "a", 1, true, large, 0}, {});
        const auto receive = [&](node_address address, std::uint32_t capacityMillicores, instant at) {
            mesh_message message;
            message.sender = {address, "a", 1, true, capacityMillicores, 0};
            table.applyMessage(message, at);
        };
        for (node_address address = 3; address <= 40; ++address) {
            receive(address, small, start);
        }
        receive(2, large, start);
        const auto hubs = table.hubsIn("a", start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), hubs.size());
        CPPUNIT_ASSERT(hubs.front() <= 2);
        // Without large members, more small hubs are needed for the same share of the capacity.
        member_table smallTable({3, "a", 1, true, small, 0}, {});
        for (node_address address = 4; address <= 40; ++address) {
            mesh_message message;
            message.sender = {address, "a", 1, true, small, 0};
            smallTable.applyMessage(message, start);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), smallTable.hubsIn("a", start).size());
    }

    void excludesALeavingHub()
    {
        simulated_network network(6, 1);
        network.run(seconds(2));
        const node_address leaving = network.tables[0].hubsIn("dc0", network.now).front();
        mesh_message message;
        message.sender = network.tables[leaving - 1].self();
        message.isLeaving = true;
        member_table &other = network.tables[leaving % 6];
        other.applyMessage(message, network.now);
        CPPUNIT_ASSERT(hubsSeenBy(other, network.now).count(leaving) == 0);
    }

    void ignoresAnOlderIncarnationOfAMember()
    {
        member_table table({1, "a", 1, true, 1000, 0}, {});
        mesh_message fresh;
        fresh.sender = {2, "a", 9, true, 1000, 0};
        table.applyMessage(fresh, start);
        mesh_message old;
        old.sender = {3, "a", 1, true, 1000, 0};
        old.members = {{2, "b", 4, false, 1000, 100}};
        table.applyMessage(old, start);
        for (const auto &member : table.membersForPeer(true, start)) {
            if (member.address == 2) {
                CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), member.incarnation);
                CPPUNIT_ASSERT_EQUAL(std::string("a"), member.dataCentre);
                CPPUNIT_ASSERT(member.isReady);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), table.livePeerCount(start));
    }

    void rejectsTruncatedAndSurvivesCorruptedMessages()
    {
        mesh_message message;
        message.sender = {7, "a", 3, true, 500, 0};
        message.members = {{8, "b", 4, false, 1000, 100}};
        message.targets = {{99, 2, {3, 4, 5}}};
        message.services = {{"s", {10, 2}, {8, 1}}};
        const std::string bytes = encode(message);
        const auto decoded = decodeMeshMessage(bytes);
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), decoded.value().services[0].retryCounts.retries);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(8), decoded.value().services[0].outcomes.served);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(500), decoded.value().sender.capacityMillicores);
        for (std::size_t length = 0; length < bytes.size(); ++length) {
            CPPUNIT_ASSERT(!decodeMeshMessage(std::string_view(bytes).substr(0, length)).has_value());
        }
        std::string changed = bytes;
        for (std::size_t i = 0; i < changed.size(); ++i) {
            changed[i] = static_cast<char>(changed[i] ^ 0x55);
            (void)decodeMeshMessage(changed).has_value(); // May succeed or fail, but must not crash.
            changed[i] = bytes[i];
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(member_table_tests);

} // namespace
