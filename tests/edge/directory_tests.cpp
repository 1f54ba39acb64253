#include "edge/directory.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace flamingofield;

namespace {

constexpr std::uint16_t port = 8381;

class directory_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(directory_tests);
    CPPUNIT_TEST(listsOnlyHubsOfTheCallersDataCentre);
    CPPUNIT_TEST(addsHubsOfOtherDataCentresWhenFewerThanTwoAreLocal);
    CPPUNIT_TEST(limitsTheNumberOfAddresses);
    CPPUNIT_TEST_SUITE_END();

    static mesh_member makeHub(const std::string &address, const std::string &dataCentre)
    {
        mesh_member member;
        member.address = toNodeAddress(address);
        member.dataCentre = dataCentre;
        return member;
    }

    void listsOnlyHubsOfTheCallersDataCentre()
    {
        const auto addresses
            = directoryAddresses({makeHub("10.0.0.1", "a"), makeHub("10.0.1.1", "b"), makeHub("10.0.0.2", "a")}, "a", port);
        CPPUNIT_ASSERT((addresses == std::vector<endpoint>{{"10.0.0.1", port}, {"10.0.0.2", port}}));
    }

    void addsHubsOfOtherDataCentresWhenFewerThanTwoAreLocal()
    {
        const std::vector<mesh_member> hubs{makeHub("10.0.1.1", "b"), makeHub("10.0.0.1", "a")};
        CPPUNIT_ASSERT((directoryAddresses(hubs, "a", port) == std::vector<endpoint>{{"10.0.0.1", port}, {"10.0.1.1", port}}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), directoryAddresses(hubs, "c", port).size());
        CPPUNIT_ASSERT(directoryAddresses({}, "a", port).empty());
    }

    void limitsTheNumberOfAddresses()
    {
        const std::vector<mesh_member> hubs(200, makeHub("10.0.0.1", "a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(64), directoryAddresses(hubs, "a", port).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(directory_tests);

} // namespace
