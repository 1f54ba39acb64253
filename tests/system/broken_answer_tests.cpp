#include "standins/platform_fleet.hpp"
#include "support/broken_answers.hpp"
#include "support/scripted_backend.hpp"
#include "test_deployment.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <mutex>
#include <thread>

using flamingofield::http_answer_message;
using flamingofield::http_request_message;
using platform_standins::platform_fleet;
using standins::awaitTrue;
using std::chrono::milliseconds;
using std::chrono::seconds;
using test_support::backend_reply;
using test_support::backend_request;
using test_support::scripted_backend;

namespace {

constexpr std::size_t uploadBytes = 16U << 20U;
/// Time within which a broken answer is told to the caller, long before the request's deadline.
constexpr milliseconds failureLimit{1000};
constexpr int deadlineMs = 3000;
const std::string idPlace = "{id}";

/// The only backend server of a service. Its answers are given byte by byte; runs on its own thread.
class scripted_server
{
public:
    explicit scripted_server(const flamingofield::endpoint &address)
        : m_backend(m_loop, address, [this](const backend_request &request) { return reply(request); })
    {
        m_backend.answersLongRequestsEarly = true;
        m_thread = std::thread([this] { m_loop.run(); });
    }
    ~scripted_server()
    {
        m_loop.stop();
        m_thread.join();
    }
    scripted_server(const scripted_server &) = delete;
    scripted_server &operator=(const scripted_server &) = delete;

    /// @param reply answer to each request from now on; idPlace is replaced by the request's id
    void setReply(const backend_reply &reply)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_reply = reply;
        m_arrivals = 0;
    }

    /// Requests since setReply().
    int arrivals() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_arrivals;
    }

private:
    backend_reply reply(const backend_request &request)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        ++m_arrivals;
        backend_reply filled = m_reply;
        for (auto at = filled.bytes.find(idPlace); at != std::string::npos; at = filled.bytes.find(idPlace)) {
            filled.bytes.replace(at, idPlace.size(), std::string(request[platform_fleet::requestIdField]));
        }
        return filled;
    }

    boost::asio::io_context m_loop{1};
    mutable std::mutex m_mutex;
    backend_reply m_reply;
    int m_arrivals = 0;
    scripted_backend m_backend;
    std::thread m_thread;
};

/// A node as a real process in front of a scripted server.
class node_fixture
{
public:
    node_fixture()
        : fleet(1, 1)
    {
        fleet.limits.maxBodyBytes = uploadBytes;
        CPPUNIT_ASSERT(fleet.start());
        const std::string network = fleet.nodes.front().address.substr(0, fleet.nodes.front().address.rfind('.'));
        const flamingofield::endpoint address{network + ".200", 8080};
        server = std::make_unique<scripted_server>(address);
        server->setReply({answerWith("Content-Length: 5\r\n\r\nwhole"), false, false});
        fleet.store.put("servers/" + fleet.servers.front()->id(), fleet.servers.front()->registration(false, address));
        CPPUNIT_ASSERT(awaitTrue([&] { return send("GET", "/read/", 0).status == 200 && server->arrivals() > 0; }, seconds(5)));
    }

    /// Fields that the answer to a request needs.
    static std::string ownFields()
    {
        return std::string(platform_fleet::requestIdField) + ": " + idPlace + "\r\n" + platform_fleet::sealField + ": seal\r\n";
    }

    /// An answer with these fields.
    /// @param rest further fields, the empty line and the body
    static std::string answerWith(const std::string &rest, const std::string &status = "200 OK")
    {
        return "HTTP/1.1 " + status + "\r\n" + ownFields() + rest;
    }

    http_answer_message send(const std::string &method, const std::string &path, std::size_t bodyBytes)
    {
        http_request_message request = platform_fleet::requestFor(method, path, "id-" + std::to_string(++m_requests), deadlineMs);
        request.body = std::string(bodyBytes, 'u');
        return fleet.send(0, request, deadlineMs + 500);
    }

    /// Checks that a reply reaches no caller as an answer, for a safe and an unsafe request, sent whole or long and answered early.
    void expectFailure(const std::string &name, const backend_reply &reply)
    {
        for (const std::size_t bodyBytes : {std::size_t(0), uploadBytes}) {
            for (const std::string path : {"/read/", "/write/"}) {
                server->setReply(reply);
                const auto sentAt = std::chrono::steady_clock::now();
                const http_answer_message answer = send(bodyBytes == 0 && path == "/read/" ? "GET" : "POST", path, bodyBytes);
                const auto taken = std::chrono::steady_clock::now() - sentAt;
                const std::string shown = name + ", " + path + ", body of " + std::to_string(bodyBytes) + ": status "
                    + std::to_string(answer.status) + ", body \"" + answer.body.text() + "\"";
                CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, 502, answer.status);
                CPPUNIT_ASSERT_MESSAGE(shown, !answer.fields.has(platform_fleet::sealField));
                CPPUNIT_ASSERT_MESSAGE(shown, taken < failureLimit);
                CPPUNIT_ASSERT_MESSAGE(shown, server->arrivals() == 1 || (path == "/read/" && server->arrivals() == 2));
            }
        }
    }

    void expectSuccess(const std::string &name, const backend_reply &reply, std::size_t bodyBytes)
    {
        server->setReply(reply);
        const http_answer_message answer = send("POST", "/write/", bodyBytes);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 200, answer.status);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string("whole"), answer.body.text());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string("seal"), std::string(answer.fields.value(platform_fleet::sealField)));
    }

    platform_fleet fleet;
    std::unique_ptr<scripted_server> server;

private:
    int m_requests = 0;
};

/// A broken answer of a backend server reaches no caller as an answer, and never as the promise that the request has not run.
class broken_answer_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(broken_answer_tests);
    CPPUNIT_TEST(passesOnNoPartOfAnAnswerWhoseConnectionIsReset);
    CPPUNIT_TEST(passesOnNoAnswerWhoseStatusIsOutsideTheProtocol);
    CPPUNIT_TEST(passesOnNoAnswerWithAnInvalidFieldName);
    CPPUNIT_TEST(passesOnNoAnswerWhoseHeadIsCut);
    CPPUNIT_TEST(passesOnNoStatusThatPromisesNotRunForARequestThatRan);
    CPPUNIT_TEST(passesOnCompleteAnswers);
    CPPUNIT_TEST_SUITE_END();

    static backend_reply closing(const std::string &bytes)
    {
        return {bytes, true, false};
    }
    static backend_reply resetting(const std::string &bytes)
    {
        return {bytes, false, true};
    }

    void passesOnNoPartOfAnAnswerWhoseConnectionIsReset()
    {
        node_fixture fixture;
        fixture.expectFailure("no length", resetting(node_fixture::answerWith("\r\npart")));
        fixture.expectFailure("no length, no body", resetting(node_fixture::answerWith("\r\n")));
        fixture.expectFailure("length", resetting(node_fixture::answerWith("Content-Length: 5\r\n\r\npart")));
        fixture.expectFailure("chunks", resetting(node_fixture::answerWith("Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n")));
        fixture.expectFailure("not executed, no length",
                              resetting(node_fixture::answerWith("Flamingofield-Not-Executed: 1\r\n\r\npart", "503 Full")));
    }

    void passesOnNoAnswerWhoseStatusIsOutsideTheProtocol()
    {
        node_fixture fixture;
        for (const std::string status : {"000", "099", "600"}) {
            const std::string name = "status " + status;
            fixture.expectFailure(name + ", length", closing(node_fixture::answerWith("Content-Length: 5\r\n\r\nwhole", status + " Odd")));
            fixture.expectFailure(name + ", kept open",
                                  {node_fixture::answerWith("Content-Length: 0\r\n\r\n", status + " Odd"), false, false});
            fixture.expectFailure(name + ", no length", closing(node_fixture::answerWith("\r\nwhole", status + " Odd")));
            fixture.expectFailure(
                name + ", not executed",
                closing(node_fixture::answerWith("Flamingofield-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", status + " Odd")));
        }
    }

    void passesOnNoAnswerWithAnInvalidFieldName()
    {
        node_fixture fixture;
        for (const std::string &answer : test_support::answersWithInvalidNames(node_fixture::ownFields())) {
            fixture.expectFailure(answer, closing(answer));
        }
    }

    void passesOnNoAnswerWhoseHeadIsCut()
    {
        node_fixture fixture;
        const std::string head = node_fixture::answerWith("Content-Length: 5\r\n\r\n");
        for (std::size_t length = head.size() - 1; length > 0; length -= std::min<std::size_t>(length, 7)) {
            const std::string part = head.substr(0, length);
            fixture.expectFailure(part, length % 2 == 0 ? closing(part) : resetting(part));
        }
    }

    /// Guards against review case 10: a caller takes 503 for the promise that its request has not run. The only server answers with it,
    /// so that the test does not depend on which server is chosen.
    void passesOnNoStatusThatPromisesNotRunForARequestThatRan()
    {
        node_fixture fixture;
        for (const auto &[status, number] : {std::pair<std::string, int>("408 Late", 408), {"429 Many", 429}, {"503 Failed", 503}}) {
            const backend_reply failure = {node_fixture::answerWith("Content-Length: 5\r\n\r\nwhole", status), false, false};
            for (const std::size_t bodyBytes : {std::size_t(0), uploadBytes}) {
                fixture.server->setReply(failure);
                const http_answer_message answer = fixture.send("POST", "/write/", bodyBytes);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(status, 502, answer.status);
                CPPUNIT_ASSERT_MESSAGE(status, !answer.fields.has(platform_fleet::sealField));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(status, 1, fixture.server->arrivals());
            }
            fixture.server->setReply(failure);
            CPPUNIT_ASSERT_EQUAL(number, fixture.send("GET", "/read/", 0).status);
            fixture.server->setReply(
                {node_fixture::answerWith("Flamingofield-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", status), false, false});
            CPPUNIT_ASSERT_EQUAL_MESSAGE(status + ", not executed", 503, fixture.send("POST", "/write/", 0).status);
        }
    }

    void passesOnCompleteAnswers()
    {
        node_fixture fixture;
        const std::string sized = node_fixture::answerWith("Content-Length: 5\r\n\r\nwhole");
        const std::string chunked = node_fixture::answerWith("Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n");
        backend_reply endsStream = closing(node_fixture::answerWith("\r\nwhole"));
        endsStream.closesConnection = false;
        endsStream.endsStream = true;
        for (const std::size_t bodyBytes : {std::size_t(7), uploadBytes}) {
            fixture.expectSuccess("no length, ends its stream", endsStream, bodyBytes);
            fixture.expectSuccess("length, closes", closing(sized), bodyBytes);
            fixture.expectSuccess("length, resets", resetting(sized), bodyBytes);
            fixture.expectSuccess("chunks, closes", closing(chunked), bodyBytes);
            fixture.expectSuccess("chunks, resets", resetting(chunked), bodyBytes);
        }
        for (const std::string &answer : test_support::answersWithUnusualHeads(node_fixture::ownFields())) {
            fixture.expectSuccess(answer.substr(0, 200), closing(answer), 7);
        }
        fixture.expectSuccess("no length, closes", closing(node_fixture::answerWith("\r\nwhole")), 7);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(broken_answer_tests);

} // namespace
