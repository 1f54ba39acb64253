#include "config/config_decision.hpp"
#include "config/operator_config.hpp"
#include "config/read_plan.hpp"
#include "config/route_table.hpp"
#include "config/text_delta.hpp"
#include "core/hash.hpp"
#include "gate/request_head.hpp"
#include "support/test_seed.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

using namespace flamingofield;

namespace {

const std::string validText = R"(version = 3
deployment = "t"
data_centres = ["a"]
[[rank]]
name = "urgent"
deadline_ms = 500
[[service]]
name = "s"
floor_slots = 2
judge = "sequential"
[[service.target]]
address = "10.0.0.1:7000"
data_centre = "a"
slots = 4
connections = 10
[[route]]
method = "GET"
path = "/s/{id}"
service = "s"
rank = "urgent"
idempotent = true
)";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

class operator_config_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(operator_config_tests);
    CPPUNIT_TEST(acceptsAValidText);
    CPPUNIT_TEST(reportsEachFaultWithItsLineAndKey);
    CPPUNIT_TEST(reportsAllFaultsAtOnce);
    CPPUNIT_TEST(matchesTheMostLiteralRoute);
    CPPUNIT_TEST(neverReturnsToAnOlderConfiguration);
    CPPUNIT_TEST(rebuildsATextFromItsDelta);
    CPPUNIT_TEST(limitsStoreReadsAtAnyFleetSize);
    CPPUNIT_TEST(inspectsRandomHeadsWithoutCrashing);
    CPPUNIT_TEST_SUITE_END();

    static bool hasFault(const std::string &text, const std::string &part)
    {
        const auto checked = parseOperatorConfig(text);
        if (checked.has_value()) {
            return false;
        }
        const auto &faults = checked.error();
        return std::any_of(faults.begin(), faults.end(),
                           [&](const auto &f) { return describe(f, "text").find(part) != std::string::npos; });
    }

    void acceptsAValidText()
    {
        const auto checked = parseOperatorConfig(validText);
        CPPUNIT_ASSERT(checked.has_value());
        CPPUNIT_ASSERT_EQUAL(4, declaredSlots(checked.value().services.front()));
    }

    void reportsEachFaultWithItsLineAndKey()
    {
        const std::vector<std::pair<std::string, std::string>> cases{
            {replaced(validText, "version = 3", ""), "version: missing"},
            {replaced(validText, "deadline_ms = 500", "deadline_ms = 0"), "text:6: rank[0].deadline_ms: expected a whole number"},
            {replaced(validText, "floor_slots = 2", "floor_slots = 5"), "floor_slots: the floor is above the 4 declared slots"},
            {replaced(validText, "judge =", "jugde ="), "text:10: service[0].jugde: unknown key"},
            {replaced(validText, "rank = \"urgent\"", "rank = \"gone\""), "no rank is named 'gone'"},
            {replaced(validText, "floor_slots = 2", "floor_slots = 2\ndepends_on = [\"x\"]"), "no service is named 'x'"},
            {replaced(validText, "floor_slots = 2", "floor_slots = 2\ndepends_on = [\"s\"]"), "dependency cycle: s -> s"},
            {validText + validText.substr(validText.find("[[route]]")), "two routes match the same requests: GET /s/{id}"},
            {replaced(validText, "10.0.0.1:7000", "host:7000"), "not an IPv4 address"},
            {validText + "# \xff\n", "not UTF-8"},
            {validText + std::string(maxTextBytes, '#'), "larger than 1 MB"},
            {replaced(validText, "data_centre = \"a\"", "data_centre = \"b\""), "no data centre is named 'b'"},
        };
        for (const auto &[text, fault] : cases) {
            CPPUNIT_ASSERT_MESSAGE(fault, hasFault(text, fault));
        }
    }

    void reportsAllFaultsAtOnce()
    {
        const std::string text = replaced(replaced(validText, "deadline_ms = 500", "deadline_ms = 0"), "slots = 4", "slots = 0");
        CPPUNIT_ASSERT(hasFault(text, "deadline_ms") && hasFault(text, "target[0].slots"));
    }

    void matchesTheMostLiteralRoute()
    {
        const route_table table({{"GET", "/a/{id}", "s", "r", true}, {"GET", "/a/b", "s", "r", true}, {"GET", "/a/**", "s", "r", true}});
        CPPUNIT_ASSERT_EQUAL(1, table.match("GET", "/a/b"));
        CPPUNIT_ASSERT_EQUAL(0, table.match("GET", "/a/c"));
        CPPUNIT_ASSERT_EQUAL(2, table.match("GET", "/a/c/d"));
        CPPUNIT_ASSERT_EQUAL(-1, table.match("POST", "/a/b"));
    }

    void neverReturnsToAnOlderConfiguration()
    {
        const config_identity active{{5, 10}, 1};
        CPPUNIT_ASSERT(decideOffer(active, {{6, 2}, 2}) == config_decision::accept);
        CPPUNIT_ASSERT(decideOffer(active, {{4, 99}, 2}) == config_decision::stale);
        CPPUNIT_ASSERT(decideOffer(active, {{5, 11}, 1}) == config_decision::same);
        CPPUNIT_ASSERT(decideOffer(active, {{5, 11}, 2}) == config_decision::replaceConflicting);
        CPPUNIT_ASSERT(decideOffer(active, {{5, 9}, 2}) == config_decision::conflict);
    }

    void rebuildsATextFromItsDelta()
    {
        std::mt19937_64 random(test_support::testSeed());
        std::string base;
        for (int line = 0; line < 3000; ++line) {
            base += "line " + std::to_string(random()) + "\n";
        }
        std::string edited = base;
        edited.replace(edited.size() / 2, 5, "edit");
        const text_delta delta = makeDelta(edited, partHashes(base));
        std::size_t sent = 0;
        for (const auto &piece : delta.pieces) {
            sent += piece.bytes.size();
        }
        CPPUNIT_ASSERT_EQUAL(edited, applyDelta(delta, base).value());
        CPPUNIT_ASSERT(sent < edited.size() / 4);
    }

    void limitsStoreReadsAtAnyFleetSize()
    {
        for (const std::size_t fleet : {1U, 44U, 4900U, 50000U}) {
            double readsPerSecond = 0.0;
            for (std::uint64_t seed = 0; seed < 1024; ++seed) {
                readsPerSecond += 1.0 / toSeconds(planReads(fleet, read_role::other, 0, seed).interval) / 1024.0;
            }
            CPPUNIT_ASSERT(readsPerSecond * static_cast<double>(fleet) < 1000.0);
            CPPUNIT_ASSERT(planReads(fleet, read_role::other, 5, 0).interval >= seconds(4));
        }
    }

    void inspectsRandomHeadsWithoutCrashing()
    {
        std::mt19937_64 random(test_support::testSeed());
        const std::string request = "POST /a HTTP/1.1\r\nContent-Length: 3\r\nHost: x\r\n\r\nabc";
        for (int round = 0; round < 20000; ++round) {
            std::string bytes = request.substr(0, random() % (request.size() + 1));
            for (std::uint64_t flips = random() % 5; flips > 0 && !bytes.empty(); --flips) {
                bytes[random() % bytes.size()] = static_cast<char>(random());
            }
            const auto inspection = inspectHead(bytes);
            if (const auto *complete = std::get_if<head_complete>(&inspection)) {
                CPPUNIT_ASSERT(complete->length <= bytes.size());
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(operator_config_tests);

} // namespace
