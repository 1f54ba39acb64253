#include "http/exchange.hpp"
#include "http/listener.hpp"
#include "mutation/reference_parser.hpp"
#include "report/log.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/program_options.hpp>

#include <array>
#include <csignal>
#include <deque>
#include <iostream>
#include <random>

#include <unistd.h>

/// Of the address sanitizer; g++ 12 installs no header that declares it.
extern "C" std::size_t __sanitizer_get_current_allocated_bytes(); // NOLINT(bugprone-reserved-identifier,readability-identifier-naming)

namespace flamingofield {

// The readers log refusals, in whose place the program checks the results. Sanitized code then needs no logging library.
void logEvent(log_level /*level*/, std::string_view /*event*/, std::initializer_list<std::pair<std::string_view, std::string>> /*fields*/)
{
}

} // namespace flamingofield

namespace {

using namespace flamingofield;
namespace asio = boost::asio;
using asio::ip::tcp;
using generator = std::mt19937_64;
using mutation::reference_message;
using strings = std::vector<std::string>;

constexpr std::size_t bodyLimit = 256U << 10U;
/// Heap of a reader besides the body: its buffer, and fields, of which the smallest take many times their bytes.
constexpr std::size_t heapBesidesBody = 384U << 10U;
/// Time in which the other side of a loopback connection certainly has what was sent.
constexpr milliseconds turnLimit{3000};

const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
const std::string post = "POST /write/?x=1 HTTP/1.1\r\nHost: a.example\r\nX-Id: r1\r\n";
const std::string ok = "HTTP/1.1 200 OK\r\nX-Id: r1\r\n";
const std::string longChunk = "9C40\r\n" + std::string(40000, 'c') + "\r\n";
const strings requests{
    "GET /read/ HTTP/1.1\r\nHost: a.example\r\nX-Id: r1\r\n\r\n",
    "HEAD /read/ HTTP/1.1\r\nHost: a.example\r\nAccept: text/plain,\r\n */*\r\n\r\n",
    "PUT /write/ HTTP/1.1\r\nHost: a.example\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\nhello",
    post + "Content-Length: 40000\r\n\r\n" + std::string(40000, 'b'),
    post + chunked + "5\r\nhello\r\n1;name=\"value\"\r\n!\r\n0\r\n\r\n",
    post + chunked + "a\r\n0123456789\r\n0\r\nX-Sum: 7\r\nHost: b.example\r\n\r\n",
    post + chunked + longChunk + longChunk + "0\r\n\r\n",
};
const strings answers{
    ok + "Content-Length: 5\r\nKeep-Alive: timeout=5\r\n\r\nhello",
    ok + chunked + "5\r\nhello\r\n0\r\nX-Sum: 7\r\nX-Id: r2\r\n\r\n",
    ok + "Content-Length: 40000\r\n\r\n" + std::string(40000, 'b'),
    ok + chunked + longChunk + "0\r\n\r\n",
    ok + "Connection: close\r\n\r\nuntil the end",
    "HTTP/1.1 204 No Content\r\nX-Id: r1\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nno",
    "HTTP/1.1 200 OK\r\nX-Id: r0\r\nContent-Length: 3\r\n\r\nold" + ok + "Content-Length: 3\r\n\r\nnew",
};
/// Bytes that have a meaning to some reader of HTTP messages, separated by bars.
const std::string tokens
    = "\r\n|\n|\r|\r\n\r\n|0\r\n\r\n| |\t|:|,|;|-1|+1|0x5|00000000000000000005|ffffffffffffffff|18446744073709551616|4294967297|"
      "Content-Length: 5\r\n|Content-Length: 6\r\n|Transfer-Encoding: chunked\r\n|Transfer-Encoding: gzip\r\n|"
      "transfer-encoding: gzip, chunked\r\n|Connection: close\r\n|Keep-Alive: timeout=2147483647\r\n|"
      "Expect: 100-continue\r\n|HTTP/1.0|HTTP/1.1 100 Continue\r\n\r\n|GET / HTTP/1.1\r\n\r\n|"
      "\x01|X Odd: 1\r\n| X-Odd: 1\r\n|Content-Length : 5\r\n|\tTransfer-Encoding: chunked\r\n|";
const strings statuses{"000", "001", "099", "199", "204", "304", "599", "600", "999"};
/// Body of a request that is longer than the sockets of both sides hold.
const http_body upload(std::string(8U << 20U, 'u'));

/// Draws a number below a limit, which is at least 1; the same one on all platforms.
std::size_t below(generator &random, std::size_t limit)
{
    return random() % limit;
}

void mutate(generator &random, std::string &bytes)
{
    const std::size_t at = below(random, bytes.size() + 1);
    const std::size_t count = std::min(bytes.size() - at, 1 + below(random, below(random, 8) == 0 ? 4096 : 12));
    // Most places are in a body; places at the end of a line decide more.
    const std::size_t line = std::min(bytes.find("\r\n", at), bytes.size());
    const std::size_t tokenStart = tokens.rfind('|', below(random, tokens.size() - 1)) + 1;
    const std::string token = tokens.substr(tokenStart, tokens.find('|', tokenStart) - tokenStart);
    const auto byte = static_cast<char>(random());
    const std::size_t kind = below(random, 7);
    if (kind == 0) {
        bytes.replace(at, count, below(random, 2) == 0 ? token : "");
    } else if (kind == 1) {
        bytes.insert(at, below(random, 2) == 0 ? token : bytes.substr(at, count));
    } else if (kind == 2) {
        bytes.insert(std::min(line + 2, bytes.size()), token);
    } else if (kind == 3) {
        bytes.insert(line, std::string(below(random, 20000), byte));
    } else if (kind == 4) {
        bytes.replace(at, std::min<std::size_t>(1, count), 1, byte);
    } else if (kind == 5) {
        const std::string version = "HTTP/1.1 ";
        const auto found = std::min(bytes.find(version, at), bytes.find(version));
        if (found != std::string::npos) {
            bytes.replace(found + version.size(), 3, statuses[below(random, statuses.size())]);
        }
    } else {
        bytes.resize(below(random, 4) == 0 ? at : bytes.size());
    }
}

/// Up to four recorded messages with changed bytes, in one of eight cases without a change, that are sent in pieces.
struct byte_stream
{
    byte_stream(generator &random, const strings &recorded)
        : isMutated(below(random, 8) != 0)
    {
        for (std::size_t count = 1 + below(random, 4); count > 0; --count) {
            bytes += recorded[below(random, recorded.size())];
        }
        for (std::size_t count = isMutated ? 1 + below(random, 4) : 0; count > 0; --count) {
            mutate(random, bytes);
        }
    }

    /// Draws the next piece: often a single byte, sometimes all. It counts as sent.
    std::string_view takePiece(generator &random, std::size_t most)
    {
        constexpr std::array<std::size_t, 4> limits{1, 40, 9000, 200000};
        const auto piece = std::string_view(bytes).substr(sent, std::min(most, 1 + below(random, limits[below(random, limits.size())])));
        sent += piece.size();
        return piece;
    }

    bool isMutated;
    std::string bytes;
    std::size_t sent = 0;
};

/// A budget that is ample or that evicts.
std::shared_ptr<memory_budget> drawBudget(generator &random, bool &isAmple)
{
    isAmple = below(random, 3) != 0;
    return std::make_shared<memory_budget>(isAmple ? 16U << 20U : 96U << 10U);
}

bool isEqual(const reference_message &expected, const std::string &startLine, const header_fields &fields, const std::string &body)
{
    auto all = fields.all();
    mutation::normalize(all);
    return startLine == expected.startLine && all == expected.fields && body == expected.body;
}

client_connection_limits limits()
{
    client_connection_limits some;
    some.headerBytes = 4096;
    some.bodyBytes = bodyLimit;
    return some;
}

/// Compares requests with those that the bytes contain.
struct expected_requests
{
    void report(const http_request_message &request)
    {
        isSame = isSame && reported < all.size()
            && isEqual(all[reported], request.method + ' ' + request.target, request.fields, request.body);
        ++reported;
    }

    std::vector<reference_message> all;
    std::size_t reported = 0;
    bool isSame = true;
};

/// A loopback connection; one side belongs to a reader and the other one sends a stream to it.
struct sender
{
    /// Sends the next piece without waiting, and lets the reader run.
    void sendPiece(generator &random, byte_stream &stream)
    {
        boost::system::error_code failure; // The reader may have closed, and then takes nothing more.
        socket.non_blocking(true, failure);
        const auto piece = stream.takePiece(random, std::string::npos);
        const std::size_t taken = socket.write_some(asio::buffer(piece.data(), piece.size()), failure);
        stream.sent -= failure == asio::error::would_block ? piece.size() : piece.size() - taken;
        hasFailed = failure && failure != asio::error::would_block;
        runReady();
        runReady();
    }

    /// Closes without a state that would keep the port.
    void reset()
    {
        boost::system::error_code ignored; // The peer may have closed.
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

    /// Runs the loop until a condition holds, for turnLimit at most.
    template<class Condition> void runUntil(Condition isReached)
    {
        const auto end = std::chrono::steady_clock::now() + turnLimit;
        while (!isReached() && std::chrono::steady_clock::now() < end) {
            loop.restart();
            loop.run_one_for(milliseconds(1));
        }
    }

    /// Runs what is ready.
    void runReady()
    {
        loop.restart();
        loop.poll();
    }

    asio::io_context loop{1};
    tcp::socket socket{loop};
    const endpoint address{"127." + std::to_string(20 + getpid() % 200) + ".13.1", 7600};
    const tcp::endpoint place{asio::ip::make_address_v4(address.host), address.port};
    bool hasFailed = false;
    std::size_t heapAtStart = __sanitizer_get_current_allocated_bytes();

    bool holdsTooMuch(const memory_budget &budget, std::size_t allowed) const
    {
        return budget.reserved() > budget.limit() + memory_budget::smallBytes
            || __sanitizer_get_current_allocated_bytes() > heapAtStart + allowed + bodyLimit + heapBesidesBody;
    }
};

/// Feeds requests to a listener, which reads and answers them.
/// @return what was violated; empty if nothing
std::string checkRequests(generator &random, byte_stream &stream)
{
    bool isAmple = false;
    const auto budget = drawBudget(random, isAmple);
    expected_requests expected{mutation::completeMessages(stream.bytes, {}), 0, true};
    {
        sender client;
        std::deque<std::shared_ptr<pending_request>> held;
        const auto answerAny = [&] {
            if (!held.empty()) {
                std::swap(held.back(), held[below(random, held.size())]);
                const auto pending = held.back();
                held.pop_back();
                http_answer_message answer = errorAnswer(200, "none");
                answer.closesConnection = stream.isMutated && below(random, 16) == 0;
                pending->answer(answer);
            }
        };
        listener server(client.loop, limits, [&](const auto &pending) {
            expected.report(pending->request());
            held.push_back(pending);
            if (below(random, 2) == 0) {
                answerAny();
            }
        });
        server.setBounds({budget, 2, {}});
        if (!server.start(client.address)) {
            return "the listener did not start";
        }
        client.socket.connect(client.place);
        client.runUntil([&] { return server.connections() == 1; });
        std::string received(4096, '\0');
        boost::system::error_code ignored; // The listener may close the connection.
        for (int i = 0; i < 20000 && stream.sent < stream.bytes.size() && !client.hasFailed; ++i) {
            client.sendPiece(random, stream);
            answerAny();
            client.socket.read_some(asio::buffer(received), ignored);
            // Requests that wait for answers hold their bodies.
            if (client.holdsTooMuch(*budget, 2 * stream.bytes.size())) {
                return "holds too much memory";
            }
        }
        const bool mayBeShort = stream.isMutated || !isAmple || stream.sent < stream.bytes.size();
        client.runUntil([&] {
            answerAny();
            return mayBeShort || expected.reported == expected.all.size();
        });
        if (!mayBeShort && expected.reported != expected.all.size()) {
            return "did not report a request";
        }
        server.tick(std::chrono::steady_clock::now() + milliseconds(below(random, 30000)));
        client.reset();
        client.runUntil([&] {
            answerAny();
            return server.connections() == 0;
        });
        if (server.connections() != 0) {
            return "keeps a connection that the client has closed";
        }
    }
    return !expected.isSame ? "reported a request that the bytes do not contain" : budget->reserved() != 0 ? "keeps memory" : "";
}

/// Feeds answers to an exchange.
/// @return what was violated; empty if nothing
std::string checkAnswers(generator &random, byte_stream &stream)
{
    bool isAmple = false;
    sender server;
    connection_pool pool;
    exchange_options options;
    options.requestIdField = "X-Id";
    options.maxAnswerBytes = bodyLimit;
    options.memory = drawBudget(random, isAmple);
    http_request_message request;
    const bool isUpload = below(random, 8) == 0;
    request.method = isUpload ? "POST" : below(random, 8) == 0 ? "HEAD" : "GET";
    request.body = isUpload ? upload : http_body();
    request.target = "/read/";
    request.fields.add("X-Id", "r1");
    std::vector<exchange_result> results;
    tcp::acceptor acceptor(server.loop, server.place);
    if (isUpload) {
        acceptor.set_option(asio::socket_base::receive_buffer_size(8192)); // Not read, so that the answer is an early one.
    }
    const auto run = std::make_shared<exchange>(server.loop, pool, server.address, options);
    run->start(request, [&](exchange_result result) { results.push_back(std::move(result)); });
    acceptor.async_accept(server.socket, [](boost::system::error_code) {});
    server.runUntil([&] { return server.socket.is_open(); });
    while (results.empty() && stream.sent < stream.bytes.size() && !server.hasFailed) {
        server.sendPiece(random, stream);
        if (server.holdsTooMuch(*options.memory, bodyLimit)) {
            return "holds too much memory";
        }
    }
    const bool isClosed = results.empty() && (!stream.isMutated || below(random, 2) == 0);
    boost::system::error_code ignored; // The exchange may have closed.
    if (isClosed) {
        server.socket.shutdown(tcp::socket::shutdown_send, ignored);
        server.runUntil([&] { return !results.empty(); });
    }
    server.reset();
    server.runUntil([&] { return !results.empty(); });
    server.runReady();
    if (results.size() != 1) {
        return "the exchange ended " + std::to_string(results.size()) + " times";
    }
    const exchange_result &result = results.front();
    const auto messages = mutation::completeMessages(stream.bytes, {false, request.method == "HEAD", isClosed});
    // An interim answer and one with another id are skipped.
    const auto expected = std::find_if(messages.begin(), messages.end(), [](const reference_message &each) {
        const auto id = std::find_if(each.fields.begin(), each.fields.end(), [](const auto &field) { return field.first == "x-id"; });
        return each.startLine >= "200" && (id == each.fields.end() || id->second == "r1");
    });
    const auto &answer = result.answer;
    if (result.outcome != exchange_outcome::answered) {
        const bool isExpected = expected != messages.end() && expected - messages.begin() <= 3 && isAmple && !stream.isMutated;
        return isExpected ? "did not report an answer: " + result.failure.reason : "";
    }
    const bool isSame = expected != messages.end() && isEqual(*expected, std::to_string(answer.status), answer.fields, answer.body);
    return isSame ? "" : "reported an answer that the bytes do not contain";
}

/// Bytes with escapes, shortened where they repeat.
std::string escaped(const std::string &bytes)
{
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        const auto byte = static_cast<unsigned char>(bytes[i]);
        const std::size_t repeated = std::min(bytes.find_first_not_of(bytes[i], i), bytes.size()) - i;
        text += byte >= ' ' && byte <= '~' ? std::string(1, bytes[i]) : "\\" + std::to_string(byte) + ".";
        text += repeated > 20 ? "{" + std::to_string(repeated) + " times}" : "";
        i += repeated > 20 ? repeated - 1 : 0;
    }
    return text;
}

} // namespace

/// Feeds mutated messages to the readers of requests and answers. Each case depends only on the seed and its number.
int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    std::uint64_t seed = 1;
    std::uint64_t first = 0;
    int seconds = 50;
    po::options_description description("message_mutation: feeds mutated messages to the readers of requests and answers");
    description.add_options()("help", "print this help")("seed", po::value(&seed), "seed of all cases");
    description.add_options()("seconds", po::value(&seconds), "run time; 0 runs one case");
    description.add_options()("case", po::value(&first), "number of the first case");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
        if (values.count("help") != 0) {
            std::cout << description;
            return 0;
        }
    } catch (const po::error &failure) {
        std::cerr << "message_mutation: " << failure.what() << "\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    std::uint64_t number = first;
    do {
        std::seed_seq seeds{seed, number};
        generator random(seeds);
        const bool isRequest = below(random, 2) == 0;
        byte_stream stream(random, isRequest ? requests : answers);
        const std::string violation = isRequest ? checkRequests(random, stream) : checkAnswers(random, stream);
        if (!violation.empty()) {
            std::cerr << "seed " << seed << " case " << number << ": " << violation << ": " << escaped(stream.bytes) << "\n";
            return 1;
        }
        ++number;
    } while (std::chrono::steady_clock::now() < end);
    std::cout << "seed " << seed << ": " << number - first << " cases without a violation\n";
    return 0;
}
