#include "support/simulated_fleet.hpp"
#include "support/test_seed.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <cstdlib>
#include <optional>
#include <random>

using namespace flamingofield;
using test_support::fake_registry;
using test_support::simulated_fleet;

namespace {

// Limits set by the platform's contract.
constexpr milliseconds stableTime{3000};
constexpr milliseconds drainTime{2000};
constexpr milliseconds renewalTime{2000};
/// Time after the last renewal after which a registration expires at the earliest, if the registry is away.
constexpr milliseconds minExpiryTime{3000};
/// Time after its registration by which a target is in use at the latest: two staleness limits, those of a hub and of a follower.
constexpr milliseconds useTime{3600};

/// Disturbs a fleet at random and checks its promises after each step of time.
class disturbed_fleet
{
public:
    static constexpr std::size_t size = 5;

    explicit disturbed_fleet(std::uint64_t seed)
        : m_random(seed)
        , m_fleet(size, m_registry)
    {
        for (int i = 0; i < 4; ++i) {
            addServer();
        }
        m_fleet[size - 1].isHub = m_fleet[size - 2].isHub = false;
        for (node_record &each : m_nodes) {
            each.startedAt = each.reachesRegistrySince = m_fleet.now();
        }
        m_upSince = m_fleet.now();
        m_fleet.run(stableTime);
    }

    /// @return the first broken promise, empty if there was none
    std::string run(milliseconds length)
    {
        std::string broken;
        const instant end = m_fleet.now() + length;
        while (broken.empty() && m_fleet.now() < end) {
            disturb();
            m_fleet.run(milliseconds(10 * draw(1, 120)), [&] {
                endDisturbances();
                broken = broken.empty() ? firstBroken() : broken;
            });
        }
        return broken;
    }

private:
    struct server_record
    {
        instant registeredAt{};
        std::optional<instant> leftAt; ///< The registry has recorded that it drains or has left.
        bool wasStable = false; ///< The registry had been stable at that time.
        std::optional<instant> expiredAt; ///< Its registration has expired in an outage.
        std::optional<instant> renewsAt; ///< It registers again at this time.
    };

    struct node_record
    {
        instant startedAt{};
        instant reachesRegistrySince{};
        std::optional<instant> cutUntil;
        std::set<std::string> usedBeforeOutage; ///< Servers in use when the present or latest outage began.
    };

    int draw(int from, int to)
    {
        return std::uniform_int_distribution<int>(from, to)(m_random);
    }

    void addServer()
    {
        const std::string id = "i-" + std::to_string(++m_lastServer);
        m_registry.put(id);
        m_servers[id].registeredAt = m_fleet.now();
    }

    bool isStable() const
    {
        return m_registry.isUp && m_fleet.now() >= m_upSince + stableTime;
    }

    bool isInTouch(const node_record &node) const
    {
        return isStable() && !node.cutUntil && m_fleet.now() >= node.startedAt + stableTime
            && m_fleet.now() >= node.reachesRegistrySince + stableTime;
    }

    void disturb()
    {
        switch (draw(0, 7)) {
        case 0:
        case 1:
            cutNode(static_cast<std::size_t>(draw(0, size - 1)));
            break;
        case 2:
            if (m_registry.isUp) {
                startOutage();
            }
            break;
        case 3:
            restart(static_cast<std::size_t>(draw(0, size - 1)));
            break;
        case 4:
            if (m_registry.isUp) {
                addServer();
            }
            break;
        case 5:
        case 6:
            if (m_registry.isUp) {
                removeServer();
            }
            break;
        default:
            m_changeInterval = milliseconds(draw(1, 100) * 10);
            delayMessages(static_cast<std::size_t>(draw(0, size - 1)));
        }
    }

    /// Cuts a node off from the registry, its peers or both.
    void cutNode(std::size_t index)
    {
        node_record &record = m_nodes[index];
        if (record.cutUntil) {
            return;
        }
        const int what = draw(0, 3);
        record.cutUntil = m_fleet.now() + milliseconds(draw(50, 700) * 10);
        m_fleet[index].reachesRegistry = what == 0;
        m_fleet[index].reachesPeers = what == 1;
    }

    void delayMessages(std::size_t index)
    {
        m_fleet[index].messageTime = milliseconds(draw(0, 8) * 10);
        m_fleet[index].fetchTime = milliseconds(draw(0, 30) * 10);
    }

    void restart(std::size_t index)
    {
        m_fleet.restart(index);
        m_nodes[index].startedAt = m_fleet.now();
        m_nodes[index].usedBeforeOutage.clear();
    }

    void startOutage()
    {
        const bool wasStable = isStable();
        m_registry.isUp = false;
        m_downSince = m_fleet.now();
        m_downUntil = m_fleet.now() + milliseconds(draw(50, 800) * 10);
        for (std::size_t i = 0; i < size; ++i) {
            // Targets that had yet to register again after another outage may have had no time for it.
            m_nodes[i].usedBeforeOutage = wasStable ? m_fleet[i].inUse : std::set<std::string>();
        }
    }

    void removeServer()
    {
        for (auto &[id, server] : m_servers) {
            if (!server.leftAt && !server.expiredAt) {
                server.leftAt = m_fleet.now();
                server.wasStable = isStable();
                if (draw(0, 1) == 0) {
                    m_registry.put(id, true);
                } else {
                    m_registry.remove(id);
                }
                return;
            }
        }
    }

    void endDisturbances()
    {
        const instant now = m_fleet.now();
        if ((now - instant()) % m_changeInterval == duration::zero()) {
            m_registry.changeConfig();
        }
        for (std::size_t i = 0; i < size; ++i) {
            if (m_nodes[i].cutUntil && now >= *m_nodes[i].cutUntil) {
                m_nodes[i].cutUntil.reset();
                m_nodes[i].reachesRegistrySince = now;
                m_fleet[i].reachesRegistry = m_fleet[i].reachesPeers = true;
            }
        }
        for (auto &[id, server] : m_servers) {
            if (!m_registry.isUp && !server.leftAt && !server.expiredAt && now >= m_downSince + minExpiryTime) {
                server.expiredAt = now;
                m_registry.remove(id);
            }
            if (server.renewsAt && now >= *server.renewsAt && m_registry.isUp) {
                server.renewsAt.reset();
                server.expiredAt.reset();
                server.registeredAt = now;
                m_registry.put(id);
            }
        }
        if (!m_registry.isUp && now >= m_downUntil) {
            m_registry.isUp = true;
            m_upSince = now;
            for (auto &[id, server] : m_servers) {
                if (server.expiredAt) {
                    server.renewsAt = now + milliseconds(draw(0, 170) * 10);
                }
            }
        }
    }

    std::string firstBroken()
    {
        const instant now = m_fleet.now();
        for (std::size_t i = 0; i < size; ++i) {
            const node_record &node = m_nodes[i];
            for (const auto &[id, server] : m_servers) {
                const bool isUsed = m_fleet[i].inUse.count(id) != 0;
                const std::string what
                    = "node " + std::to_string(i) + ", " + id + ", at " + std::to_string(toMilliseconds(now - instant()));
                if (server.leftAt) {
                    if (isUsed && server.wasStable && isInTouch(node) && now >= *server.leftAt + drainTime) {
                        return what + ": in use after it left";
                    }
                } else if (!server.expiredAt) {
                    if (!isUsed && isInTouch(node) && now >= server.registeredAt + useTime) {
                        return what + ": out of use though it is registered";
                    }
                } else if (!isUsed && node.usedBeforeOutage.count(id) != 0
                           && (!m_registry.isUp || now < m_upSince + renewalTime - milliseconds(100))) {
                    return what + ": out of use since its registration expired in an outage";
                }
            }
        }
        return {};
    }

    std::mt19937_64 m_random;
    fake_registry m_registry;
    simulated_fleet m_fleet;
    std::array<node_record, size> m_nodes;
    std::map<std::string, server_record> m_servers;
    milliseconds m_changeInterval{330};
    instant m_upSince{};
    instant m_downSince{};
    instant m_downUntil{};
    int m_lastServer = 0;
};

class fleet_targets_sequence_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_targets_sequence_tests);
    CPPUNIT_TEST(keepsItsPromisesInRandomSequences);
    CPPUNIT_TEST_SUITE_END();

    /// Guards against orders of cuts, outages, restarts, changes and departures that nobody thought of. FLEET_SEQUENCES sets their number.
    void keepsItsPromisesInRandomSequences()
    {
        const char *text = std::getenv("FLEET_SEQUENCES");
        const std::uint64_t sequences = text == nullptr ? 100 : std::strtoull(text, nullptr, 10);
        for (std::uint64_t i = 0; i < sequences; ++i) {
            const std::uint64_t seed = test_support::testSeed() * 1000000 + i;
            const std::string broken = disturbed_fleet(seed).run(seconds(60));
            CPPUNIT_ASSERT_MESSAGE("sequence " + std::to_string(seed) + ": " + broken, broken.empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_targets_sequence_tests);

} // namespace
