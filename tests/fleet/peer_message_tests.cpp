#include "fleet/membership.hpp"
#include "fleet/peer_message.hpp"
#include "support/test_seed.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace flamingofield;

namespace {

const instant start = instant() + seconds(1000);

node_record recordOf(std::uint64_t incarnation, const std::string &host)
{
    node_record record;
    record.info.incarnation = incarnation;
    record.info.peerAddress = {host, 8081};
    record.info.gateAddress = {host, 8080};
    record.info.adminAddress = {host, 8082};
    record.info.dataCentre = "dc-1";
    return record;
}

peer_message sampleMessage()
{
    peer_message message;
    message.sender = recordOf(7, "10.0.0.7");
    message.config = {3, 9};
    message.records = {recordOf(8, "10.0.0.8")};
    service_report report;
    report.service = 11;
    report.demand = {1.5F, 2.5F};
    report.evidence = {{12, 3.5F, 1.0F, 4.0F, true}};
    report.leaving = {13};
    message.body = report;
    return message;
}

class peer_message_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(peer_message_tests);
    CPPUNIT_TEST(decodesAnEncodedMessage);
    CPPUNIT_TEST(rejectsAnotherSecret);
    CPPUNIT_TEST(rejectsCorruptBytesWithoutCrashing);
    CPPUNIT_TEST(refutesASuspicionOfItself);
    CPPUNIT_TEST(replacesAProcessAtTheSameAddress);
    CPPUNIT_TEST_SUITE_END();

    void decodesAnEncodedMessage()
    {
        const auto decoded = decodeMessage(encodeMessage(sampleMessage(), "s"), "s", "peer");
        CPPUNIT_ASSERT(decoded.has_value());
        const auto &report = std::get<service_report>(decoded.value().body);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, decoded.value().config.version);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.8"), decoded.value().records.front().info.gateAddress.host);
        CPPUNIT_ASSERT_EQUAL(2.5F, report.demand[1]);
        CPPUNIT_ASSERT(report.evidence.front().isWarming);
    }

    void rejectsAnotherSecret()
    {
        const auto decoded = decodeMessage(encodeMessage(sampleMessage(), "one"), "two", "10.0.0.7");
        CPPUNIT_ASSERT(!decoded.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.7"), decoded.error().peer);
        CPPUNIT_ASSERT(!decodeMessage(encodeMessage(sampleMessage(), ""), "two", "x").has_value());
    }

    void rejectsCorruptBytesWithoutCrashing()
    {
        std::mt19937_64 random(test_support::testSeed());
        const std::string encoded = encodeMessage(sampleMessage(), "");
        int accepted = 0;
        for (int round = 0; round < 20000; ++round) {
            std::string bytes = encoded.substr(0, random() % (encoded.size() + 1));
            for (std::uint64_t flips = random() % 6; flips > 0 && !bytes.empty(); --flips) {
                bytes[random() % bytes.size()] = static_cast<char>(random());
            }
            accepted += decodeMessage(bytes, "", "fuzz").has_value() ? 1 : 0;
        }
        CPPUNIT_ASSERT(accepted < 20000);
    }

    void refutesASuspicionOfItself()
    {
        membership members(recordOf(1, "10.0.0.1").info, {}, 1);
        members.tick(start);
        node_record suspicion = recordOf(1, "10.0.0.1");
        suspicion.state = node_state::suspect;
        members.mergeRecord(suspicion, start);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, members.self(start).recordVersion);
    }

    void replacesAProcessAtTheSameAddress()
    {
        membership members(recordOf(1, "10.0.0.1").info, {}, 1);
        members.mergeRecord(recordOf(2, "10.0.0.2"), start);
        members.mergeRecord(recordOf(3, "10.0.0.2"), start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, members.live(true).size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, members.live(true).front().record.info.incarnation);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_message_tests);

} // namespace
