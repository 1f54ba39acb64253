/// Stand-ins and helpers for the scripts of the third review: a store, targets, clients and the processes under test. They use plain
/// sockets and threads and nothing of the project's own code.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const clock::time_point startedAt = clock::now();

constexpr int held = 0;
constexpr int broken = 1;
constexpr int notRun = 2;

inline bool hasTrouble()
{
    const char *const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

inline long long nowMs()
{
    return std::chrono::duration_cast<milliseconds>(clock::now() - startedAt).count();
}

inline void sleepMs(long long ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

/// The file record.txt of the case.
class record_file
{
public:
    void open(const std::string &path)
    {
        m_file = std::fopen(path.c_str(), "w");
    }

    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::FILE *const to = m_file == nullptr ? stdout : m_file;
        std::fprintf(to, "%8.3f ", static_cast<double>(nowMs()) / 1000.0);
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(to, format, arguments);
        va_end(arguments);
        std::fputc('\n', to);
        std::fflush(to);
    }

private:
    std::mutex m_mutex;
    std::FILE *m_file = nullptr;
};

inline record_file record;

inline sockaddr_in socketAddress(const std::string &host, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

inline bool sendAll(int socket, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/// A message of HTTP/1.1. Names of fields are in lower case.
struct http_message
{
    std::string first; ///< Request line or status line.
    std::map<std::string, std::string> fields;
    std::string body;

    std::string field(const std::string &name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }

    int status() const
    {
        return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
    }

    std::string method() const
    {
        return first.substr(0, first.find(' '));
    }

    std::string target() const
    {
        const auto begin = first.find(' ') + 1;
        return first.substr(begin, first.find(' ', begin) - begin);
    }
};

enum class read_end { complete, closed, timedOut };

/// Reads messages whose bodies have a Content-Length from a connection.
class message_reader
{
public:
    explicit message_reader(int socket)
        : m_socket(socket)
    {
    }

    read_end read(http_message &message, long long timeoutMs)
    {
        const auto deadline = clock::now() + milliseconds(timeoutMs);
        std::size_t headEnd = 0;
        while ((headEnd = m_bytes.find("\r\n\r\n")) == std::string::npos) {
            if (const auto end = fill(deadline); end != read_end::complete) {
                return end;
            }
        }
        message = {};
        std::istringstream head(m_bytes.substr(0, headEnd));
        std::string line;
        std::getline(head, line);
        message.first = line.substr(0, line.find('\r'));
        while (std::getline(head, line)) {
            const auto colon = line.find(':');
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            std::string value = colon == std::string::npos ? "" : line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            value.erase(value.find_last_not_of("\r ") + 1);
            message.fields[name] = value;
        }
        m_bytes.erase(0, headEnd + 4);
        const auto length = static_cast<std::size_t>(std::atoll(message.field("content-length").c_str()));
        while (m_bytes.size() < length) {
            if (const auto end = fill(deadline); end != read_end::complete) {
                return end;
            }
        }
        message.body = m_bytes.substr(0, length);
        m_bytes.erase(0, length);
        return read_end::complete;
    }

private:
    read_end fill(clock::time_point deadline)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - clock::now()).count();
        pollfd waiting{m_socket, POLLIN, 0};
        if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0) {
            return read_end::timedOut;
        }
        char buffer[16384];
        const auto count = ::recv(m_socket, buffer, sizeof buffer, 0);
        if (count <= 0) {
            return read_end::closed;
        }
        m_bytes.append(buffer, static_cast<std::size_t>(count));
        return read_end::complete;
    }

    int m_socket;
    std::string m_bytes;
};

/// @param receiveBuffer size of the kernel's receive buffer; 0 for the usual one
/// @return the socket, or -1
inline int connectTo(const std::string &host, int port, int receiveBuffer = 0, int timeoutMs = 1000)
{
    const int made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (receiveBuffer > 0) {
        // The segment size of Ethernet. With that of the loopback device, the kernel of the sender would keep megabytes a connection.
        const int segment = 1460;
        ::setsockopt(made, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
        ::setsockopt(made, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    }
    const sockaddr_in address = socketAddress(host, port);
    if (::connect(made, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        pollfd waiting{made, POLLOUT, 0};
        int failure = 1;
        socklen_t size = sizeof failure;
        if (errno != EINPROGRESS || ::poll(&waiting, 1, timeoutMs) != 1 || ::getsockopt(made, SOL_SOCKET, SO_ERROR, &failure, &size) != 0
            || failure != 0) {
            ::close(made);
            return -1;
        }
    }
    ::fcntl(made, F_SETFL, ::fcntl(made, F_GETFL) & ~O_NONBLOCK);
    const int one = 1;
    ::setsockopt(made, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return made;
}

/// Server with a thread for each connection. The handler returns the whole answer as bytes; an empty one closes the connection.
class http_server
{
public:
    using handler = std::function<std::string(const http_message &)>;

    ~http_server()
    {
        stop();
    }

    bool start(const std::string &host, int port, handler onRequest)
    {
        m_handler = std::move(onRequest);
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        const sockaddr_in address = socketAddress(host, port);
        if (::bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || ::listen(m_listener, 1024) != 0) {
            return false;
        }
        m_acceptor = std::thread([this] { acceptAll(); });
        return true;
    }

    void stop()
    {
        if (m_isStopped.exchange(true)) {
            return;
        }
        if (m_acceptor.joinable()) {
            m_acceptor.join();
        }
        if (m_listener >= 0) {
            ::close(m_listener);
        }
        closeConnections();
        while (m_running > 0) {
            sleepMs(5);
        }
    }

    /// Resets all open connections.
    void closeConnections()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const int each : m_sockets) {
            ::shutdown(each, SHUT_RDWR);
        }
    }

    /// New and open connections get no answer any more while this is set.
    std::atomic<bool> refusesAll{false};

private:
    void acceptAll()
    {
        while (!m_isStopped) {
            pollfd waiting{m_listener, POLLIN, 0};
            if (::poll(&waiting, 1, 50) != 1) {
                continue;
            }
            const int accepted = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                continue;
            }
            if (refusesAll) {
                ::close(accepted);
                continue;
            }
            const int one = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                m_sockets.insert(accepted);
            }
            ++m_running;
            std::thread([this, accepted] { serve(accepted); }).detach();
        }
    }

    void serve(int socket)
    {
        message_reader reader(socket);
        http_message request;
        while (!m_isStopped && !refusesAll) {
            const read_end end = reader.read(request, 600);
            if (end == read_end::timedOut) {
                continue;
            }
            if (end == read_end::closed || refusesAll) {
                break;
            }
            const std::string answer = m_handler(request);
            if (answer.empty() || refusesAll || !sendAll(socket, answer)) {
                break;
            }
        }
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_sockets.erase(socket);
            ::close(socket);
        }
        --m_running;
    }

    handler m_handler;
    int m_listener = -1;
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::set<int> m_sockets;
    std::atomic<int> m_running{0};
    std::atomic<bool> m_isStopped{false};
};

inline std::string answerBytes(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

inline std::string base64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            value = value << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text += i + j > bytes.size() ? '=' : digits[value >> (18 - 6 * j) & 63U];
        }
    }
    return text;
}

/// The platform's store: items with revisions, ranges, watches, and the drill in which it comes back from an earlier copy.
class store
{
public:
    ~store()
    {
        m_server.stop(); // Its threads use the other members.
    }

    bool start(const std::string &host, int port)
    {
        return m_server.start(host, port, [this](const http_message &request) { return answer(request); });
    }

    /// Writes an item.
    /// @return its revision
    std::uint64_t put(const std::string &key, const std::string &value)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        ++m_revision;
        m_items[key] = {value, m_revision};
        m_history.push_back({key, value, m_revision, false});
        return m_revision;
    }

    std::uint64_t remove(const std::string &key)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        ++m_revision;
        m_items.erase(key);
        m_history.push_back({key, "", m_revision, true});
        return m_revision;
    }

    std::uint64_t revision()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_revision;
    }

    /// Keeps a copy from which restoreCopy() brings the store back.
    void keepCopy()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_copy = m_items;
        m_copyRevision = m_revision;
    }

    void goAway()
    {
        m_server.refusesAll = true;
        m_server.closeConnections();
    }

    /// Comes back from the copy: later changes are lost, revisions go back, and the era rises by one.
    void restoreCopy()
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_items = m_copy;
            m_revision = m_copyRevision;
            m_historyStart = m_copyRevision;
            m_history.clear();
            ++m_era;
        }
        m_server.refusesAll = false;
    }

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
    };
    struct change
    {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        bool isTombstone = false;
    };

    static std::string parameter(const std::string &target, const std::string &name)
    {
        for (const char separator : {'?', '&'}) {
            const auto found = target.find(separator + name + "=");
            if (found != std::string::npos) {
                const auto begin = found + name.size() + 2;
                return target.substr(begin, target.find('&', begin) - begin);
            }
        }
        return {};
    }

    static std::string rowOf(const std::string &key, const item &row)
    {
        const std::string revision = std::to_string(row.revision);
        return R"({"key":")" + key + R"(","value":")" + base64(row.value) + R"(","revision":)" + revision + R"(,"created_at":)" + revision
            + R"(,"lease":0)";
    }

    std::string json(int status, const std::string &body) const
    {
        return answerBytes(status, "Content-Type: application/json\r\nStore-Era: " + std::to_string(m_era) + "\r\n", body);
    }

    std::string answer(const http_message &request)
    {
        const std::string target = request.target();
        if (target.rfind("/api/kv-watch", 0) == 0) {
            return watch(target);
        }
        const std::lock_guard<std::mutex> lock(m_mutex);
        const std::string revision = std::to_string(m_revision);
        if (target.rfind("/api/kv-key", 0) == 0) {
            const std::string key = parameter(target, "key");
            const auto found = m_items.find(key);
            return found == m_items.end() ? json(404, "{}")
                                          : json(200, rowOf(key, found->second) + R"(,"store_revision":)" + revision + "}");
        }
        if (target.rfind("/api/kv-range", 0) == 0) {
            const std::string prefix = parameter(target, "prefix");
            std::string rows;
            for (const auto &[key, row] : m_items) {
                if (key.rfind(prefix, 0) == 0) {
                    rows += (rows.empty() ? "" : ",") + rowOf(key, row) + "}";
                }
            }
            return json(200, R"({"items":[)" + rows + R"(],"has_more":false,"store_revision":)" + revision + "}");
        }
        return json(404, "{}");
    }

    std::string watch(const std::string &target)
    {
        const std::string prefix = parameter(target, "prefix");
        const auto after = std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
        const auto deadline = clock::now() + milliseconds(std::atoi(parameter(target, "wait_ms").c_str()));
        while (true) {
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                if (after > m_revision || after < m_historyStart) {
                    return json(410, "{}");
                }
                std::string rows;
                for (const change &each : m_history) {
                    if (each.revision > after && each.key.rfind(prefix, 0) == 0) {
                        rows += rows.empty() ? "" : ",";
                        rows += each.isTombstone
                            ? R"({"key":")" + each.key + R"(","revision":)" + std::to_string(each.revision) + R"(,"tombstone":true})"
                            : rowOf(each.key, {each.value, each.revision}) + "}";
                    }
                }
                if (!rows.empty() || clock::now() >= deadline) {
                    return json(200, R"({"events":[)" + rows + R"(],"store_revision":)" + std::to_string(m_revision) + "}");
                }
            }
            if (m_server.refusesAll) {
                return {};
            }
            sleepMs(5);
        }
    }

    http_server m_server;
    std::mutex m_mutex;
    std::map<std::string, item> m_items;
    std::vector<change> m_history;
    std::uint64_t m_historyStart = 0;
    std::uint64_t m_revision = 100;
    std::map<std::string, item> m_copy;
    std::uint64_t m_copyRevision = 0;
    std::atomic<int> m_era{1};
};

/// A target that runs each request for a time and answers with its seal.
class target
{
public:
    struct run
    {
        std::string id;
        std::string service;
        std::string path;
        long long atMs = 0;
    };

    target(std::string id, std::string service, std::string zone, int slots)
        : id(std::move(id))
        , service(std::move(service))
        , zone(std::move(zone))
        , slots(slots)
    {
    }

    ~target()
    {
        m_server.stop(); // Its threads use the other members.
    }

    bool start(const std::string &host, int port)
    {
        address = host + ":" + std::to_string(port);
        return m_server.start(host, port, [this](const http_message &request) { return answer(request); });
    }

    /// The value of its registration.
    std::string registration(bool isDraining, int coldMs = 0) const
    {
        return R"({"address":")" + address + R"(","born":1780000000000,"information":{"service":")" + service
            + R"(","version":"v1","zone":")" + zone + R"(","slots":)" + std::to_string(slots) + R"(},"status":{"state":")"
            + (isDraining ? "draining" : "ready") + R"(","sequence_number":4,"cold_remaining_ms":)" + std::to_string(coldMs) + "}}";
    }

    std::vector<run> runs()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_runs;
    }

    std::string id;
    std::string service;
    std::string zone;
    int slots;
    std::string address;
    std::atomic<int> workMs{20};
    std::atomic<bool> isLeaving{false}; ///< Says so in all its answers.
    std::size_t answerSize = 200;

private:
    std::string answer(const http_message &request)
    {
        const std::string requestId = request.field("flamingofield-request-id");
        const std::string echo = "Flamingofield-Request-Id: " + requestId + "\r\n" + (isLeaving ? "Server-Leaving: 1\r\n" : "");
        if (request.target() == "/health") {
            return answerBytes(isLeaving ? 503 : 200, "Flamingofield-Instance-Id: " + id + "\r\n", "");
        }
        const std::string expected = request.field("flamingofield-expected-instance");
        if (!expected.empty() && expected != id) {
            return answerBytes(421, echo + "Flamingofield-Instance-Id: " + id + "\r\n", "");
        }
        if (++m_running > slots) {
            --m_running;
            return answerBytes(503, echo + "Flamingofield-Not-Executed: 1\r\n", "");
        }
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_runs.push_back({requestId, service, request.target(), nowMs()});
        }
        sleepMs(workMs);
        --m_running;
        return answerBytes(200, echo + "Flamingofield-Response-Seal: seal-" + id + "-" + requestId + "\r\n", std::string(answerSize, 'a'));
    }

    http_server m_server;
    std::atomic<int> m_running{0};
    std::mutex m_mutex;
    std::vector<run> m_runs;
};

/// Two targets join, so that their entries change with each heartbeat while they are cold, and the operator sends a configuration. If the
/// case has its trouble, the store then comes back from a copy of before, and the newest state is written again.
class store_drill
{
public:
    /// @param joining targets that join, already started
    /// @param config the configuration that the operator sends
    static void run(store &platformStore, const std::vector<target *> &joining, const std::string &config)
    {
        constexpr int heartbeatMs = 1500;
        platformStore.keepCopy();
        const long long copiedMs = nowMs();
        for (int coldMs = 2 * heartbeatMs; coldMs >= 0; coldMs -= heartbeatMs) {
            for (const target *each : joining) {
                record.line("target %s writes its entry, cold_remaining_ms %d, at revision %llu", each->id.c_str(), coldMs,
                            static_cast<unsigned long long>(platformStore.put("servers/" + each->id, each->registration(false, coldMs))));
            }
            sleepMs(coldMs > 0 ? heartbeatMs : 200);
        }
        record.line("the operator sends a configuration, acknowledged at revision %llu",
                    static_cast<unsigned long long>(platformStore.put("op/config", config)));
        sleepMs(500);
        if (!hasTrouble()) {
            sleepMs(1000 + heartbeatMs);
            return;
        }
        platformStore.goAway();
        record.line("the store is away");
        sleepMs(1000);
        platformStore.restoreCopy();
        record.line("the store is back from a copy %.1f s old, at revision %llu, with the next era",
                    static_cast<double>(nowMs() - copiedMs) / 1000.0, static_cast<unsigned long long>(platformStore.revision()));
        sleepMs(300);
        record.line("the operator writes its configuration again, at revision %llu",
                    static_cast<unsigned long long>(platformStore.put("op/config", config)));
        sleepMs(heartbeatMs - 300);
        for (const target *each : joining) {
            record.line("target %s writes its entry again, at revision %llu", each->id.c_str(),
                        static_cast<unsigned long long>(platformStore.put("servers/" + each->id, each->registration(false))));
        }
    }
};

/// Ports of a node; the same on all machines.
struct node_ports
{
    static constexpr int gate = 8381;
    static constexpr int control = 8382;
    static constexpr int directory = 8383;
    static constexpr int ready = 8388;
    static constexpr int metrics = 9464;
};

/// A loopback network on which the ports of this case are free.
inline std::string freeNetwork()
{
    for (int attempt = 0; attempt < 200; ++attempt) {
        const std::string network = "127." + std::to_string(100 + (::getpid() + attempt) % 120) + "." + std::to_string(1 + attempt) + ".";
        bool isFree = true;
        for (const int port : {node_ports::gate, node_ports::metrics, 7200}) {
            const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const sockaddr_in address = socketAddress(network + "1", port);
            isFree = isFree && ::bind(probe, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
            ::close(probe);
        }
        if (isFree) {
            return network;
        }
    }
    return {};
}

/// A process of flamingod-platform, started with the command of the deploy file.
class node
{
public:
    node(std::string address, std::string zone, std::string directory)
        : address(std::move(address))
        , zone(std::move(zone))
        , m_directory(std::move(directory))
    {
    }

    ~node()
    {
        signal(SIGCONT);
        signal(SIGKILL);
        wait();
    }

    /// @param settings further lines of the settings file
    bool start(const std::string &settings)
    {
        const std::string file = m_directory + "/" + address + ".conf";
        std::ofstream(file) << settings;
        const std::string log = m_directory + "/" + address + ".log";
        const std::string variable = "FLAMINGOFIELD_NODE_FILE=" + file;
        const std::string path = std::string("PATH=") + (std::getenv("PATH") == nullptr ? "/usr/bin:/bin" : std::getenv("PATH"));
        const char *const arguments[] = {"target/flamingod-platform", "--metrics-port", "9464", "--early-share", "0.08", nullptr};
        const char *const environment[] = {variable.c_str(), path.c_str(), nullptr};
        m_pid = ::fork();
        if (m_pid == 0) {
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(output, 1);
            ::dup2(output, 2);
            ::execve(arguments[0], const_cast<char *const *>(arguments), const_cast<char *const *>(environment));
            ::_exit(127);
        }
        return m_pid > 0;
    }

    void signal(int number) const
    {
        if (m_pid > 0) {
            ::kill(m_pid, number);
        }
    }

    /// Waits for the end of the process.
    /// @return its status as of waitpid()
    int wait()
    {
        int status = 0;
        if (m_pid > 0) {
            ::waitpid(m_pid, &status, 0);
            m_pid = -1;
        }
        return status;
    }

    /// True if the process has ended by itself; its status is then in `status`.
    bool hasEnded(int &status)
    {
        if (m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = -1;
            return true;
        }
        return false;
    }

    /// Resident memory in kB, zero if the process has ended.
    std::size_t residentKb() const
    {
        std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
        std::string word;
        std::size_t kilobytes = 0;
        while (file >> word) {
            if (word == "VmRSS:") {
                file >> kilobytes;
                break;
            }
        }
        return kilobytes;
    }

    int pid() const
    {
        return m_pid;
    }

    std::string logPath() const
    {
        return m_directory + "/" + address + ".log";
    }

    std::string address;
    std::string zone;

private:
    std::string m_directory;
    int m_pid = -1;
};

/// Settings like those of a small deployment.
struct settings_values
{
    std::string address;
    std::string zone;
    std::string store;
    std::vector<std::string> seeds;
    double cpuShare = 1.0;
    int memoryMb = 260;
    int fileDescriptors = 4100;
    int drainMs = 2000;
    int applyMs = 2000;
    bool isFirstStart = true;
};

inline std::string settingsText(const settings_values &values)
{
    std::ostringstream text;
    text << "self.node_name=frontend-" << values.address << "\nself.role=entry\nself.machine_class=frontend\n"
         << "self.serves=frontend,directory,control_plane\nself.ip_address=" << values.address << "\nself.zone=" << values.zone
         << "\nself.region=region-1\nself.loss_counts=false\nself.bootstrap=" << (values.isFirstStart ? "true" : "false")
         << "\nself.limits.cpu_share=" << values.cpuShare << "\nself.limits.cpu_cores=1\nself.limits.memory_mb=" << values.memoryMb
         << "\nself.limits.file_descriptors=" << values.fileDescriptors << "\nself.limits.link_mbps=1000.0\nself.limits.disk_mb=0\n"
         << "network.listen_addresses.frontend=" << values.address << ":" << node_ports::gate
         << "\nnetwork.listen_addresses.ready=" << values.address << ":" << node_ports::ready
         << "\nnetwork.listen_addresses.control_plane=" << values.address << ":" << node_ports::control
         << "\nnetwork.listen_addresses.directory=" << values.address << ":" << node_ports::directory
         << "\nnetwork.internal_port_range=7200,7215\nnetwork.seed_nodes=";
    for (std::size_t i = 0; i < values.seeds.size(); ++i) {
        text << (i == 0 ? "" : ",") << values.seeds[i] << ":" << node_ports::control;
    }
    text << "\nplatform.discovery=platform\nplatform.entry=directory\nplatform.heartbeat_interval_ms=1500\nplatform.platform.address="
         << values.store << "\nplatform.platform.form=read\nplatform.platform.reads_per_s=2000\nplatform.platform.history_s=20\n"
         << "platform.platform.value_bytes=1048576\nterms.bounds.seed_lag_s=3\nterms.bounds.reuse_after_s=2\n"
         << "terms.bounds.stable_window_ms=3000\nterms.bounds.acknowledge_ms=4000\nterms.bounds.catch_up_s=4\nterms.bounds.drain_ms="
         << values.drainMs
         << "\nterms.bounds.grace_period_s=6\nterms.bounds.loss_slack_ms=200\nterms.bounds.configuration_apply_ms=" << values.applyMs
         << "\nterms.bounds.rollback_slack_ms=250\nterms.bounds.outer_bound_ms=5000\n"
         << "terms.bounds.retry_budget_ratio=0.2\nterms.bounds.budget_window_s=10\nterms.bounds.retry_budget_slack=62\n"
         << "terms.bounds.recovery_s=15\nterms.bounds.ttl_max_s=5\nterms.bounds.probes_per_s=3\nterms.bounds.floor_share=0.7\n";
    return text.str();
}

inline constexpr auto hostName = "jepu9.example";

/// One request on a connection of its own.
/// @return the answer, with status 0 if the connection ended without one
inline http_message request(const std::string &address, int port, const std::string &method, const std::string &path, const std::string &id,
                            int deadlineMs)
{
    http_message answer;
    const int socket = connectTo(address, port);
    if (socket < 0) {
        return answer;
    }
    std::string bytes = method + " " + path + " HTTP/1.1\r\nHost: " + hostName + "\r\n";
    if (!id.empty()) {
        bytes += "Flamingofield-Request-Id: " + id + "\r\nFlamingofield-Deadline-Milliseconds: " + std::to_string(deadlineMs) + "\r\n";
    }
    bytes += method == "GET" ? "\r\n" : "Content-Length: 4\r\n\r\nbody";
    message_reader reader(socket);
    if (!sendAll(socket, bytes) || reader.read(answer, deadlineMs + 500) != read_end::complete) {
        answer = {};
    }
    ::close(socket);
    return answer;
}

inline bool isReady(const std::string &address)
{
    return request(address, node_ports::ready, "GET", "/api/readiness", "", 500).status() == 200;
}

inline bool awaitReady(const std::string &address, long long timeoutMs = 10000)
{
    const long long end = nowMs() + timeoutMs;
    while (nowMs() < end) {
        if (isReady(address)) {
            return true;
        }
        sleepMs(50);
    }
    return false;
}

/// One route of a configuration.
struct route
{
    std::string name;
    std::string prefix;
    std::string kind;
    std::string service;
    int timeoutMs = 3000;
    int attempts = 2;
};

inline std::string configText(int version, const std::vector<route> &routes, const std::set<std::string> &services)
{
    std::ostringstream text;
    text << R"({"version":)" << version << R"(,"routes":{)";
    for (std::size_t i = 0; i < routes.size(); ++i) {
        const route &each = routes[i];
        text << (i == 0 ? "" : ",") << "\"" << each.name << R"(":{"host":")" << hostName << R"(","prefix":")" << each.prefix
             << R"(","kind":")" << each.kind << R"(","timeout_ms":)" << each.timeoutMs << R"(,"aim_ms":1500,"priority":1,"service":")"
             << each.service << R"(","attempts":)" << each.attempts << "}";
    }
    text << R"(},"services":{)";
    for (auto each = services.begin(); each != services.end(); ++each) {
        text << (each == services.begin() ? "" : ",") << "\"" << *each
             << R"(":{"health_check_path":"/health","connection_limit":390,"protocol":"h1","tls":false})";
    }
    text << R"(},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
    return text.str();
}

/// Temporary folder that is removed at the end.
class temporary_folder
{
public:
    temporary_folder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "flamingo-review-XXXXXX").string();
        path = ::mkdtemp(pattern.data()) == nullptr ? std::string() : pattern;
    }

    ~temporary_folder()
    {
        std::error_code ignored;
        if (std::getenv("KEEP_LOGS") == nullptr) {
            std::filesystem::remove_all(path, ignored);
        }
    }

    std::string path;
};

} // namespace review
