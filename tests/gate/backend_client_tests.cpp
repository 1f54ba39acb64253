#include "gate/backend_client.hpp"
#include "raw_answer_server.hpp"
#include "support/broken_answers.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <sys/resource.h>
#include <unistd.h>

using namespace flamingofield;
using standins::raw_answer_server;

namespace {

constexpr std::uint16_t port = 7410;

class backend_client_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(backend_client_tests);
    CPPUNIT_TEST(refusesFieldNamesOutsideTheProtocol);
    CPPUNIT_TEST(refusesBodiesWhoseEndIsNotCertain);
    CPPUNIT_TEST(refusesHeadsThatEndAtAnyByte);
    CPPUNIT_TEST(returnsCompleteAnswersWithUnusualHeads);
    CPPUNIT_TEST(sendsNothingWithoutFileDescriptors);
    CPPUNIT_TEST_SUITE_END();

    static endpoint serverAddress()
    {
        return {"127." + std::to_string(30 + getpid() % 180) + ".8.1", port};
    }

    static backend_result get(backend_client &client, milliseconds timeout = seconds(1))
    {
        backend_request request;
        request.method = "GET";
        request.target = "/";
        request.deadline = std::chrono::steady_clock::now() + timeout;
        return client.send(serverAddress(), request);
    }

    static void expectFailures(const std::vector<std::string> &answers)
    {
        for (const std::string &answer : answers) {
            for (const bool closes : {false, true}) {
                raw_answer_server server(answer, closes);
                CPPUNIT_ASSERT(server.start(serverAddress()));
                backend_client client({});
                CPPUNIT_ASSERT_MESSAGE(answer, std::holds_alternative<backend_outcome_unknown>(get(client)));
            }
        }
    }

    void refusesFieldNamesOutsideTheProtocol()
    {
        expectFailures(test_support::answersWithInvalidNames());
    }

    void refusesBodiesWhoseEndIsNotCertain()
    {
        expectFailures(test_support::answersWithInvalidBodies());
    }

    void refusesHeadsThatEndAtAnyByte()
    {
        const std::string head = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n";
        for (std::size_t length = 1; length < head.size(); ++length) {
            raw_answer_server server(head.substr(0, length), true);
            CPPUNIT_ASSERT(server.start(serverAddress()));
            backend_client client({});
            CPPUNIT_ASSERT_MESSAGE(head.substr(0, length), std::holds_alternative<backend_outcome_unknown>(get(client)));
        }
    }

    void returnsCompleteAnswersWithUnusualHeads()
    {
        for (const std::string &answer : test_support::answersWithUnusualHeads()) {
            raw_answer_server server(answer, true);
            CPPUNIT_ASSERT(server.start(serverAddress()));
            backend_client client({});
            const backend_result result = get(client);
            const auto *received = std::get_if<backend_answer>(&result);
            CPPUNIT_ASSERT_MESSAGE(answer.substr(0, 200), received != nullptr);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.substr(0, 200), std::string("whole"), received->body);
        }
    }

    void sendsNothingWithoutFileDescriptors()
    {
        backend_client client({});
        rlimit usual{};
        getrlimit(RLIMIT_NOFILE, &usual);
        const rlimit none{0, usual.rlim_max};
        setrlimit(RLIMIT_NOFILE, &none);
        const backend_result result = get(client);
        setrlimit(RLIMIT_NOFILE, &usual);
        CPPUNIT_ASSERT(std::holds_alternative<backend_not_sent>(result));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_client_tests);

} // namespace
