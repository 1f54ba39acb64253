/// Clients that send safe requests ahead of the answers and read at the pace of a slow link, and the small deployment that they use.
#pragma once

#include "harness.h"

namespace review {

/// Requests that are sent ahead, and the pace of their clients.
struct pipelining
{
    int deadlineMs = 0;
    int timeoutMs = 0;
    int requestsAhead = 0;
    bool readsSlowly = true;

    static constexpr std::size_t answerSize = 28000; ///< Site: at most 30,000.
    static constexpr int workMs = 290;
    static constexpr int receiveBuffer = 16384;
    /// 2 KB each 60 ms: an answer takes 0.84 s.
    static constexpr int readSize = 2048;
    static constexpr int readIntervalMs = 60;
};

struct sent_request
{
    std::string id;
    std::string node;
    int connection = 0;
    long long sentMs = 0;
    long long endedMs = 0;
    bool isComplete = false; ///< Its answer has arrived completely.
    bool isBehindClose = false; ///< An answer before it closes the connection: it counts as not read.
};

/// The clients of one machine.
class pipelining_clients
{
public:
    pipelining_clients(std::string address, int count, const pipelining &kind)
        : kind(kind)
        , m_address(std::move(address))
    {
        for (int i = 0; i < count; ++i) {
            m_threads.emplace_back([this] {
                while (!m_isOver) {
                    sleepMs(runConnection() ? 50 : 300);
                }
            });
        }
    }

    ~pipelining_clients()
    {
        stop();
    }

    void stop()
    {
        m_isOver = true;
        for (std::thread &each : m_threads) {
            each.join();
        }
        m_threads.clear();
    }

    /// All requests of connections that ended before stop(), and the answered ones of the others.
    const std::vector<sent_request> &results() const
    {
        return m_results;
    }

    const pipelining kind;

private:
    /// Keeps requests sent ahead on one connection until an answer says that it closes it, or it ends.
    /// @return false if the connection could not be made
    bool runConnection()
    {
        const int socket = connectTo(m_address, node_ports::gate, pipelining::receiveBuffer, 500);
        if (socket < 0) {
            return false;
        }
        static std::atomic<int> serial{0};
        static std::atomic<int> connections{0};
        const int connection = ++connections;
        std::vector<sent_request> sent;
        std::size_t answered = 0;
        std::string bytes;
        bool isClosing = false;
        bool isOpen = true;
        std::vector<char> buffer(kind.readsSlowly ? pipelining::readSize : 65536);
        while (isOpen && !m_isOver) {
            while (!isClosing && isOpen && sent.size() - answered < static_cast<std::size_t>(kind.requestsAhead)) {
                const std::string id = "s-" + std::to_string(++serial);
                sent.push_back({id, m_address, connection, nowMs(), 0, false, false});
                isOpen = sendAll(socket,
                                 std::string("GET /notice/1 HTTP/1.1\r\nHost: ") + hostName + "\r\nFlamingofield-Request-Id: " + id
                                     + "\r\nFlamingofield-Deadline-Milliseconds: " + std::to_string(kind.deadlineMs) + "\r\n\r\n");
            }
            const auto count = ::recv(socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
            if (count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
                break;
            }
            bytes.append(buffer.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
            isOpen = takeAnswers(bytes, sent, answered, isClosing) && isOpen;
            sleepMs(pipelining::readIntervalMs);
        }
        ::close(socket);
        const bool hasEndedByAnswer = isClosing && answered > 0 && sent[answered - 1].isBehindClose;
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (std::size_t i = 0; i < sent.size(); ++i) {
            sent[i].endedMs = sent[i].isComplete ? sent[i].endedMs : nowMs();
            sent[i].isBehindClose = i >= answered && hasEndedByAnswer;
            if (!m_isOver || sent[i].isComplete) {
                m_results.push_back(sent[i]);
            }
        }
        return true;
    }

    /// @return false if the connection is to be closed behind the last answer
    static bool takeAnswers(std::string &bytes, std::vector<sent_request> &sent, std::size_t &answered, bool &isClosing)
    {
        while (answered < sent.size()) {
            const auto headEnd = bytes.find("\r\n\r\n");
            if (headEnd == std::string::npos) {
                return true;
            }
            const std::string head = bytes.substr(0, headEnd);
            const auto length = head.find("Content-Length: ");
            const std::size_t bodySize = length == std::string::npos ? 0 : std::strtoul(head.c_str() + length + 16, nullptr, 10);
            // A client that has seen this sends nothing further.
            const bool isLast = head.find("Connection: close") != std::string::npos;
            isClosing = isClosing || isLast;
            if (bytes.size() < headEnd + 4 + bodySize) {
                return true;
            }
            bytes.erase(0, headEnd + 4 + bodySize);
            sent[answered].isComplete = true;
            sent[answered].endedMs = nowMs();
            sent[answered].isBehindClose = isLast;
            ++answered;
            if (isLast) {
                return false;
            }
        }
        return true;
    }

    std::string m_address;
    std::atomic<bool> m_isOver{false};
    std::mutex m_mutex;
    std::vector<sent_request> m_results;
    std::vector<std::thread> m_threads;
};

/// Two nodes of the site's larger machines before six targets of one service.
class pipelining_deployment
{
public:
    /// @return false if it does not start
    bool start(const pipelining &kind)
    {
        const std::string network = freeNetwork();
        const std::string storeHost = network + "250";
        if (network.empty() || m_folder.path.empty() || !m_store.start(storeHost, 8384)) {
            return false;
        }
        for (int i = 0; i < 6; ++i) {
            targets.push_back(std::make_unique<target>("i-" + std::to_string(i), "avisos", i % 2 == 0 ? "zone-a" : "zone-b", 8));
            targets.back()->workMs = pipelining::workMs;
            targets.back()->answerSize = pipelining::answerSize;
            if (!targets.back()->start(network + std::to_string(100 + i), 8080)) {
                return false;
            }
            m_store.put("servers/" + targets.back()->id, targets.back()->registration(false));
        }
        m_store.put("op/config", configText(7, {{"notice", "/notice/", "safe", "avisos", kind.timeoutMs}}, {"avisos"}));
        for (int i = 0; i < 2; ++i) {
            settings_values values;
            values.address = network + std::to_string(i + 1);
            values.zone = i == 0 ? "zone-a" : "zone-b";
            values.store = storeHost + ":8384";
            values.seeds = {network + "1", network + "2"};
            values.memoryMb = 512;
            values.fileDescriptors = 8192;
            values.drainMs = 2500;
            values.applyMs = 2500;
            nodes.push_back(std::make_unique<node>(values.address, values.zone, m_folder.path));
            nodes.back()->start(settingsText(values));
        }
        for (const auto &each : nodes) {
            if (!awaitReady(each->address)) {
                record.line("node %s is not ready", each->address.c_str());
                return false;
            }
        }
        record.line("two nodes are ready");
        return true;
    }

    /// Ids of the requests that targets have run.
    std::set<std::string> runIds() const
    {
        std::set<std::string> ids;
        for (const auto &each : targets) {
            for (const auto &run : each->runs()) {
                ids.insert(run.id);
            }
        }
        return ids;
    }

    std::vector<std::unique_ptr<target>> targets;
    std::vector<std::unique_ptr<node>> nodes;

private:
    temporary_folder m_folder;
    store m_store;
};

/// Writes the requests that ended without a whole answer to the record.
/// @param sinceMs start of the times in the record
/// @return by machine, the connections that ended before the deadline of a request that was passed on and not answered, with the number of
/// such requests
inline std::map<std::string, std::map<int, int>> lostRequests(const std::vector<const pipelining_clients *> &clients,
                                                              const std::set<std::string> &ran, long long sinceMs)
{
    std::map<std::string, std::map<int, int>> lost;
    int complete = 0;
    int inTime = 0;
    for (const pipelining_clients *const of : clients) {
        for (const sent_request &each : of->results()) {
            if (each.isComplete) {
                ++complete;
                inTime += each.endedMs - each.sentMs < of->kind.deadlineMs ? 1 : 0;
                continue;
            }
            const bool hasRun = ran.count(each.id) > 0;
            if (hasRun && !each.isBehindClose && each.endedMs - each.sentMs < of->kind.deadlineMs) {
                ++lost[each.node][each.connection];
            }
            record.line(
                "request %s at node %s, connection %d, sent at %lld ms: the connection ended %lld ms later without its whole answer; %s",
                each.id.c_str(), each.node.c_str(), each.connection, each.sentMs - sinceMs, each.endedMs - each.sentMs,
                hasRun ? "a target has run it" : "it was not passed on");
        }
    }
    record.line("%d requests answered completely, %d of them within their deadline", complete, inTime);
    return lost;
}

} // namespace review
