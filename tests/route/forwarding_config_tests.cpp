#include "route/forwarding_config.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

using namespace flamingofield;

namespace {

class forwarding_config_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(forwarding_config_tests);
    CPPUNIT_TEST(matchesTheLongestPrefixOfTheHost);
    CPPUNIT_TEST(ignoresCaseAndPortOfTheHostAndTheQuery);
    CPPUNIT_TEST(splitsByWeightAndPicksTheSameServiceForTheSameRequest);
    CPPUNIT_TEST(ordersStampsByVersionBeforeRevision);
    CPPUNIT_TEST_SUITE_END();

    static forward_route route(const std::string &name, const std::string &host, const std::string &prefix)
    {
        forward_route made;
        made.name = name;
        made.host = host;
        made.prefix = prefix;
        made.services = {{name + "-service", 1.0}};
        return made;
    }

    static std::string matched(const host_router &router, std::string_view host, std::string_view target)
    {
        const forward_route *found = router.match(host, target);
        return found == nullptr ? "" : found->name;
    }

    void matchesTheLongestPrefixOfTheHost()
    {
        const std::vector<forward_route> routes{route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"),
                                                route("other", "b.example", "/")};
        const host_router router(routes);
        CPPUNIT_ASSERT_EQUAL(std::string("long"), matched(router, "a.example", "/x/y/z"));
        CPPUNIT_ASSERT_EQUAL(std::string("long"), matched(router, "a.example", "/x/y/"));
        CPPUNIT_ASSERT_EQUAL(std::string("short"), matched(router, "a.example", "/x/y"));
        CPPUNIT_ASSERT_EQUAL(std::string("short"), matched(router, "a.example", "/x/yy/z"));
        CPPUNIT_ASSERT_EQUAL(std::string(""), matched(router, "a.example", "/z/"));
        CPPUNIT_ASSERT_EQUAL(std::string("other"), matched(router, "b.example", "/x/y/z"));
        CPPUNIT_ASSERT_EQUAL(std::string(""), matched(router, "c.example", "/x/"));
    }

    void ignoresCaseAndPortOfTheHostAndTheQuery()
    {
        const std::vector<forward_route> routes{route("r", "a.example", "/x/")};
        const host_router router(routes);
        CPPUNIT_ASSERT_EQUAL(std::string("r"), matched(router, "A.Example:8080", "/x/1?q=/y/"));
        CPPUNIT_ASSERT_EQUAL(std::string(""), matched(router, "a.example", "/y?p=/x/"));
    }

    void splitsByWeightAndPicksTheSameServiceForTheSameRequest()
    {
        forward_route split = route("r", "a.example", "/");
        split.services = {{"big", 90.0}, {"small", 10.0}, {"off", 0.0}};
        std::map<std::string, int> counts;
        constexpr int requests = 5000;
        for (int i = 0; i < requests; ++i) {
            const std::string id = "id-" + std::to_string(i);
            const std::string picked(pickService(split, id));
            CPPUNIT_ASSERT_EQUAL(picked, std::string(pickService(split, id)));
            ++counts[picked];
        }
        CPPUNIT_ASSERT_EQUAL(0, counts["off"]);
        // The weights are 90 and 10; the platform allows a deviation of a tenth of all requests.
        CPPUNIT_ASSERT(std::abs(counts["small"] - requests / 10) < requests / 50);
    }

    void ordersStampsByVersionBeforeRevision()
    {
        CPPUNIT_ASSERT((config_stamp{1, 9} < config_stamp{2, 3}));
        CPPUNIT_ASSERT((config_stamp{2, 3} < config_stamp{2, 4}));
        CPPUNIT_ASSERT(!(config_stamp{2, 4} < config_stamp{2, 4}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(forwarding_config_tests);

} // namespace
