// Stand-ins and helpers for the cases of this review: a store, backend servers, clients and the project's entry nodes as processes.
// Plain C++17 and POSIX. Everything listens on loopback addresses, on ports that the kernel picks.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

constexpr int brokenExit = 1;
constexpr int heldExit = 0;
constexpr int notRunExit = 2;

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

inline void sleepMs(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

/// The file record.txt of a case: what was sent, answered and run, with the time since the start.
class record
{
public:
    explicit record(const std::string &path)
        : m_file(std::fopen(path.c_str(), "w"))
        , m_start(steady::now())
    {
    }

    ~record()
    {
        if (m_file != nullptr) {
            std::fclose(m_file);
        }
    }

    __attribute__((format(printf, 2, 3))) void line(const char *format, ...)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_file == nullptr) {
            return;
        }
        std::fprintf(m_file, "%8lld ms  ", static_cast<long long>(sinceStart()));
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

    std::int64_t sinceStart() const
    {
        return std::chrono::duration_cast<milliseconds>(steady::now() - m_start).count();
    }

private:
    std::FILE *m_file;
    steady::time_point m_start;
    std::mutex m_mutex;
};

struct address
{
    std::string ip;
    int port = 0;

    std::string text() const
    {
        return ip + ":" + std::to_string(port);
    }
};

inline sockaddr_in socketAddress(const address &of)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(of.port));
    ::inet_pton(AF_INET, of.ip.c_str(), &result.sin_addr);
    return result;
}

/// Listens on an address; port 0 picks a free one. @return the descriptor, or -1
inline int listenOn(address &at, int receiveBuffer = 0)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (receiveBuffer > 0) {
        ::setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    }
    sockaddr_in bound = socketAddress(at);
    if (::bind(listener, reinterpret_cast<sockaddr *>(&bound), sizeof bound) != 0 || ::listen(listener, 512) != 0) {
        ::close(listener);
        return -1;
    }
    socklen_t size = sizeof bound;
    ::getsockname(listener, reinterpret_cast<sockaddr *>(&bound), &size);
    at.port = ntohs(bound.sin_port);
    return listener;
}

/// A port that is free for TCP and UDP at the moment.
inline int freePort(const std::string &ip)
{
    for (int tries = 0; tries < 50; ++tries) {
        address at{ip, 0};
        const int tcp = listenOn(at);
        if (tcp < 0) {
            return 0;
        }
        const int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        sockaddr_in bound = socketAddress(at);
        const bool isFree = ::bind(udp, reinterpret_cast<sockaddr *>(&bound), sizeof bound) == 0;
        ::close(udp);
        ::close(tcp);
        if (isFree) {
            return at.port;
        }
    }
    return 0;
}

inline int connectTo(const address &peer, int timeoutMs)
{
    const int connection = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval timeout{timeoutMs / 1000, (timeoutMs % 1000) * 1000};
    ::setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    ::setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    const int on = 1;
    ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const sockaddr_in to = socketAddress(peer);
    if (::connect(connection, reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0) {
        ::close(connection);
        return -1;
    }
    return connection;
}

inline bool sendAll(int connection, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(connection, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/// A request or an answer, as it was read.
struct message
{
    bool isComplete = false;
    std::string startLine;
    std::multimap<std::string, std::string> fields; ///< Names in lower case.
    std::string body;

    std::string field(const std::string &name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }

    /// Of an answer; 0 if there is none.
    int status() const
    {
        return startLine.size() < 12 ? 0 : std::atoi(startLine.c_str() + 9);
    }

    std::string method() const
    {
        return startLine.substr(0, startLine.find(' '));
    }

    std::string target() const
    {
        const auto first = startLine.find(' ');
        return first == std::string::npos ? std::string() : startLine.substr(first + 1, startLine.rfind(' ') - first - 1);
    }
};

/// Reads messages of one connection.
class message_reader
{
public:
    explicit message_reader(int connection)
        : m_connection(connection)
    {
    }

    /// Reads a head. @return false if the connection ends or times out first
    bool readHead(message &into)
    {
        std::size_t end = m_buffer.find("\r\n\r\n");
        while (end == std::string::npos) {
            if (!fill()) {
                return false;
            }
            end = m_buffer.find("\r\n\r\n");
        }
        const std::string head = m_buffer.substr(0, end + 2);
        m_buffer.erase(0, end + 4);
        std::size_t position = head.find("\r\n");
        into.startLine = head.substr(0, position);
        position += 2;
        while (position < head.size()) {
            const std::size_t lineEnd = head.find("\r\n", position);
            const std::string line = head.substr(position, lineEnd - position);
            position = lineEnd + 2;
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            std::size_t start = colon + 1;
            while (start < line.size() && line[start] == ' ') {
                ++start;
            }
            into.fields.emplace(name, line.substr(start));
        }
        return true;
    }

    /// Reads bytes until there are as many. @return false if the connection ends first; what was read is then in the text
    bool readBytes(std::size_t count, std::string &into)
    {
        while (m_buffer.size() < count) {
            if (!fill()) {
                into += m_buffer;
                m_buffer.clear();
                return false;
            }
        }
        into += m_buffer.substr(0, count);
        m_buffer.erase(0, count);
        return true;
    }

    bool readBody(message &into)
    {
        if (into.field("transfer-encoding") == "chunked") {
            while (true) {
                std::string line;
                if (!readLine(line)) {
                    return false;
                }
                const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
                std::string chunk;
                if (size == 0) {
                    return readLine(line);
                }
                if (!readBytes(size, into.body) || !readLine(line)) {
                    return false;
                }
            }
        }
        const std::string length = into.field("content-length");
        return length.empty() || readBytes(std::strtoul(length.c_str(), nullptr, 10), into.body);
    }

    bool read(message &into)
    {
        into.isComplete = readHead(into) && readBody(into);
        return into.isComplete;
    }

    /// True if the last read ended with the end of the connection and not with an error or a time-out.
    bool hasEnded() const
    {
        return m_hasEnded;
    }

private:
    bool readLine(std::string &line)
    {
        std::size_t end = m_buffer.find("\r\n");
        while (end == std::string::npos) {
            if (!fill()) {
                return false;
            }
            end = m_buffer.find("\r\n");
        }
        line = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 2);
        return true;
    }

    bool fill()
    {
        char bytes[65536];
        const ssize_t count = ::recv(m_connection, bytes, sizeof bytes, 0);
        m_hasEnded = count == 0;
        if (count <= 0) {
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    int m_connection;
    std::string m_buffer;
    bool m_hasEnded = false;
};

/// Accepts connections and serves each on a thread of its own.
class tcp_server
{
public:
    using handler = std::function<void(int connection)>;

    ~tcp_server()
    {
        stop();
    }

    bool start(address &at, handler serve, int receiveBuffer = 0)
    {
        m_listener = listenOn(at, receiveBuffer);
        if (m_listener < 0) {
            return false;
        }
        m_thread = std::thread([this, serve = std::move(serve)] {
            while (!m_isStopping) {
                pollfd waited{m_listener, POLLIN, 0};
                if (::poll(&waited, 1, 50) <= 0) {
                    continue;
                }
                const int connection = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (connection < 0) {
                    continue;
                }
                const int on = 1;
                ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                timeval timeout{60, 0};
                ::setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
                ++m_running;
                std::thread([this, serve, connection] {
                    {
                        const std::lock_guard<std::mutex> lock(m_mutex);
                        m_open.push_back(connection);
                    }
                    serve(connection);
                    {
                        const std::lock_guard<std::mutex> lock(m_mutex);
                        m_open.erase(std::remove(m_open.begin(), m_open.end(), connection), m_open.end());
                    }
                    ::close(connection);
                    --m_running;
                }).detach();
            }
        });
        return true;
    }

    /// Closes the listener and all connections, as the end of the process does.
    void stop()
    {
        if (m_listener < 0) {
            return;
        }
        m_isStopping = true;
        m_thread.join();
        ::close(m_listener);
        m_listener = -1;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            for (const int connection : m_open) {
                ::shutdown(connection, SHUT_RDWR);
            }
        }
        for (int i = 0; i < 400 && m_running > 0; ++i) {
            sleepMs(10);
        }
    }

    bool isStopping() const
    {
        return m_isStopping;
    }

private:
    int m_listener = -1;
    std::thread m_thread;
    std::mutex m_mutex;
    std::vector<int> m_open;
    std::atomic<bool> m_isStopping{false};
    std::atomic<int> m_running{0};
};

inline std::string base64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const std::size_t left = bytes.size() - i;
        const auto at = [&](std::size_t k) { return k < left ? static_cast<unsigned char>(bytes[i + k]) : 0U; };
        const unsigned group = (at(0) << 16U) | (at(1) << 8U) | at(2);
        text += digits[(group >> 18U) & 63U];
        text += digits[(group >> 12U) & 63U];
        text += left > 1 ? digits[(group >> 6U) & 63U] : '=';
        text += left > 2 ? digits[group & 63U] : '=';
    }
    return text;
}

inline std::string queryValue(const std::string &target, const std::string &name)
{
    std::size_t position = target.find('?');
    while (position != std::string::npos) {
        const std::size_t start = position + 1;
        const std::size_t end = target.find('&', start);
        const std::string part = target.substr(start, end == std::string::npos ? end : end - start);
        if (part.compare(0, name.size() + 1, name + "=") == 0) {
            std::string value;
            for (std::size_t i = name.size() + 1; i < part.size(); ++i) {
                if (part[i] == '%' && i + 2 < part.size()) {
                    value += static_cast<char>(std::strtol(part.substr(i + 1, 2).c_str(), nullptr, 16));
                    i += 2;
                } else {
                    value += part[i];
                }
            }
            return value;
        }
        position = end;
    }
    return {};
}

inline std::string jsonAnswer(int status, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Other")
        + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The platform's metadata store.
class store
{
public:
    bool start(const std::string &ip)
    {
        at.ip = ip;
        return m_server.start(at, [this](int connection) { serve(connection, nullptr); });
    }

    /// Listens on a second address for some machines. While the link is silent, they get no answer, as from behind a partition.
    bool startSecond(address &second, const std::atomic<bool> &isSilent)
    {
        return m_second.start(second, [this, &isSilent](int connection) { serve(connection, &isSilent); });
    }

    void stop()
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_isStopping = true;
        }
        m_changed.notify_all();
        m_server.stop();
        m_second.stop();
    }

    ~store()
    {
        stop();
    }

    std::uint64_t put(const std::string &key, const std::string &value)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        ++m_revision;
        item &entry = m_items[key];
        entry.createdAt = entry.revision == 0 ? m_revision : entry.createdAt;
        entry.revision = m_revision;
        entry.value = value;
        m_history.push_back({key, itemText(key, entry), m_revision});
        m_changed.notify_all();
        return m_revision;
    }

    std::uint64_t remove(const std::string &key)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        ++m_revision;
        m_items.erase(key);
        m_history.push_back(
            {key, "{\"key\":\"" + key + "\",\"revision\":" + std::to_string(m_revision) + ",\"tombstone\":true}", m_revision});
        m_changed.notify_all();
        return m_revision;
    }

    address at;
    std::atomic<int> answerMs{4}; ///< Time that an answer takes.

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t createdAt = 0;
    };
    struct event
    {
        std::string key;
        std::string text;
        std::uint64_t revision = 0;
    };

    static std::string itemText(const std::string &key, const item &entry)
    {
        return "{\"key\":\"" + key + "\",\"value\":\"" + base64(entry.value) + "\",\"revision\":" + std::to_string(entry.revision)
            + ",\"created_at\":" + std::to_string(entry.createdAt) + ",\"lease\":0}";
    }

    void serve(int connection, const std::atomic<bool> *isSilent)
    {
        message_reader reader(connection);
        while (!m_server.isStopping()) {
            message request;
            if (!reader.read(request)) {
                return;
            }
            sleepMs(answerMs);
            const std::string answer = answerTo(request);
            if (isSilent != nullptr && *isSilent) {
                while (*isSilent && !m_server.isStopping()) {
                    sleepMs(10);
                }
                return; // A connection on which an answer is lost returns nothing further.
            }
            if (!sendAll(connection, answer)) {
                return;
            }
        }
    }

    std::string answerTo(const message &request)
    {
        const std::string target = request.target();
        const std::string path = target.substr(0, target.find('?'));
        std::unique_lock<std::mutex> lock(m_mutex);
        if (path == "/api/kv-key") {
            const std::string key = queryValue(target, "key");
            const auto found = m_items.find(key);
            if (found == m_items.end()) {
                return jsonAnswer(404, "{\"store_revision\":" + std::to_string(m_revision) + "}");
            }
            std::string text = itemText(key, found->second);
            text.pop_back();
            return jsonAnswer(200, text + ",\"store_revision\":" + std::to_string(m_revision) + "}");
        }
        const std::string prefix = queryValue(target, "prefix");
        if (path == "/api/kv-range") {
            const std::string after = queryValue(target, "after");
            std::string items;
            for (const auto &[key, entry] : m_items) {
                if (key.compare(0, prefix.size(), prefix) == 0 && key > after) {
                    items += (items.empty() ? "" : ",") + itemText(key, entry);
                }
            }
            return jsonAnswer(200, "{\"items\":[" + items + "],\"has_more\":false,\"store_revision\":" + std::to_string(m_revision) + "}");
        }
        if (path == "/api/kv-watch") {
            const std::uint64_t after = std::strtoull(queryValue(target, "after").c_str(), nullptr, 10);
            const int waitMs = std::atoi(queryValue(target, "wait_ms").c_str());
            const auto until = steady::now() + milliseconds(waitMs);
            while (true) {
                std::string events;
                for (const event &each : m_history) {
                    if (each.revision > after && each.key.compare(0, prefix.size(), prefix) == 0) {
                        events += (events.empty() ? "" : ",") + each.text;
                    }
                }
                const bool isOver = m_isStopping || steady::now() >= until;
                if (!events.empty() || isOver) {
                    return jsonAnswer(200, "{\"events\":[" + events + "],\"store_revision\":" + std::to_string(m_revision) + "}");
                }
                m_changed.wait_until(lock, until);
            }
        }
        return jsonAnswer(404, "{}");
    }

    tcp_server m_server;
    tcp_server m_second;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::vector<event> m_history;
    std::uint64_t m_revision = 400;
    bool m_isStopping = false;
};

/// A backend server. The handler serves one connection until it returns.
struct backend
{
    std::string id;
    std::string service;
    std::string zone = "lodz-a";
    int slots = 4;
    address at;
    long long bornMs = 0;
    std::atomic<int> sequence{1};
    tcp_server server;

    bool start(const std::string &ip, tcp_server::handler serve, int receiveBuffer = 0)
    {
        at.ip = ip;
        bornMs = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        return server.start(at, std::move(serve), receiveBuffer);
    }

    std::string entry(const std::string &state)
    {
        return "{\"address\":\"" + at.text() + "\",\"born\":" + std::to_string(bornMs) + ",\"information\":{\"service\":\"" + service
            + "\",\"version\":\"v1\",\"zone\":\"" + zone + "\",\"slots\":" + std::to_string(slots) + "},\"status\":{\"state\":\"" + state
            + "\",\"sequence_number\":" + std::to_string(sequence++) + ",\"cold_remaining_ms\":0}}";
    }

    void registerAt(store &in, const std::string &state = "ready")
    {
        in.put("servers/" + id, entry(state));
    }
};

/// An answer of a backend server. @param further header lines, each ended by CRLF
inline std::string backendAnswer(int status, const std::string &requestId, const std::string &body, const std::string &further = {})
{
    return "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Status") + "\r\nFlamingofield-Request-Id: " + requestId
        + "\r\nFlamingofield-Response-Seal: seal-" + requestId + "\r\n" + further + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

/// Serves connections like a sound server. @param run called with each request; returns the bytes of the answer
inline tcp_server::handler soundServer(const std::string &id, std::function<std::string(const message &)> run)
{
    return [id, run = std::move(run)](int connection) {
        message_reader reader(connection);
        while (true) {
            message request;
            if (!reader.read(request)) {
                return;
            }
            const std::string expected = request.field("flamingofield-expected-instance");
            std::string answer;
            if (request.target() == "/health") {
                answer = "HTTP/1.1 200 OK\r\nFlamingofield-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
            } else if (!expected.empty() && expected != id) {
                answer = "HTTP/1.1 421 Misdirected Request\r\nFlamingofield-Request-Id: " + request.field("flamingofield-request-id")
                    + "\r\nFlamingofield-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
            } else {
                answer = run(request);
            }
            if (!sendAll(connection, answer)) {
                return;
            }
        }
    };
}

/// An entry node: the program of the deploy file as a process.
class node
{
public:
    std::string name;
    std::string ip;
    std::string zone = "lodz-a";
    address gate;
    address ready;
    address directory;
    address control;
    int meshPort = 0;
    std::string memoryMb = "260";
    std::string cpuShare = "0.2";
    std::string seeds;
    std::string directoryPath; ///< Of the settings and the log.
    bool isFirstStart = true;
    pid_t pid = -1;

    void choosePorts(int sharedMeshPort)
    {
        gate = {ip, freePort(ip)};
        ready = {ip, freePort(ip)};
        directory = {ip, freePort(ip)};
        control = {ip, freePort(ip)};
        meshPort = sharedMeshPort;
    }

    std::string logPath() const
    {
        return directoryPath + "/" + name + ".log";
    }

    void writeSettings(const address &storeAddress) const
    {
        std::ofstream file(directoryPath + "/" + name + ".conf");
        file << "self.node_name=" << name
             << "\nself.role=entry\nself.machine_class=frontend\nself.serves=frontend,control_plane,directory\n"
             << "self.ip_address=" << ip << "\nself.zone=" << zone << "\nself.region=pl-central\nself.loss_counts=false\n"
             << "self.bootstrap=" << (isFirstStart ? "true" : "false") << "\nself.limits.cpu_share=" << cpuShare
             << "\nself.limits.cpu_cores=1\n"
             << "self.limits.memory_mb=" << memoryMb << "\nself.limits.file_descriptors=4100\nself.limits.link_mbps=1000.0\n"
             << "self.limits.disk_mb=0\nnetwork.listen_addresses.frontend=" << gate.text()
             << "\nnetwork.listen_addresses.ready=" << ready.text() << "\nnetwork.listen_addresses.control_plane=" << control.text()
             << "\nnetwork.listen_addresses.directory=" << directory.text() << "\nnetwork.internal_port_range=" << meshPort << ","
             << meshPort + 15 << "\nnetwork.seed_nodes=" << seeds << "\nnetwork.zones.lodz-a=pl-central\nnetwork.zones.lodz-b=pl-central\n"
             << "platform.discovery=platform\nplatform.entry=directory\nplatform.heartbeat_interval_ms=1500\nplatform.platform.address="
             << storeAddress.text() << "\nplatform.platform.form=read\nplatform.platform.writes_per_s=400\n"
             << "platform.platform.reads_per_s=2000\nplatform.platform.history_s=20\nplatform.platform.value_bytes=1048576\n"
             << "platform.platform.min_ttl_ms=1000\nterms.contracts=base,drain,config,cost,retry,recover,health,platform\n"
             << "terms.fault_tolerance.machines=2\nterms.fault_tolerance.zones=0\nterms.fault_tolerance.regions=0\n"
             << "terms.bounds.seed_lag_s=3\nterms.bounds.reuse_after_s=2\nterms.bounds.stable_window_ms=3000\n"
             << "terms.bounds.acknowledge_ms=4000\nterms.bounds.catch_up_s=4\nterms.bounds.drain_ms=2000\nterms.bounds.grace_period_s=6\n"
             << "terms.bounds.loss_slack_ms=200\nterms.bounds.configuration_apply_ms=2000\nterms.bounds.rollback_slack_ms=250\n"
             << "terms.bounds.outer_bound_ms=5000\nterms.bounds.retry_budget_ratio=0.2\nterms.bounds.budget_window_s=10\n"
             << "terms.bounds.retry_budget_slack=62\nterms.bounds.recovery_s=15\nterms.bounds.ttl_max_s=5\nterms.bounds.probes_per_s=3\n"
             << "terms.bounds.floor_share=0.7\n";
    }

    /// Starts the process with the command of the deploy file. Call in the repository's root.
    bool start(const address &storeAddress)
    {
        writeSettings(storeAddress);
        const std::string settings = "FLAMINGOFIELD_NODE_FILE=" + directoryPath + "/" + name + ".conf";
        const std::string log = logPath();
        pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(output, 1);
            ::dup2(output, 2);
            const char *path = std::getenv("PATH");
            const std::string pathText = std::string("PATH=") + (path == nullptr ? "/usr/bin:/bin" : path);
            char *const environment[] = {const_cast<char *>(settings.c_str()), const_cast<char *>(pathText.c_str()), nullptr};
            const char *const arguments[] = {"target/flamingod-platform", "--metrics-port", "9464", "--early-share", "0.08", nullptr};
            ::execve(arguments[0], const_cast<char *const *>(arguments), environment);
            ::_exit(127);
        }
        return pid > 0;
    }

    /// Waits until readiness answers 200. @return false if it does not within the time
    bool waitReady(int timeoutMs) const
    {
        const auto until = steady::now() + milliseconds(timeoutMs);
        while (steady::now() < until) {
            const int connection = connectTo(ready, 500);
            if (connection >= 0) {
                message answer;
                message_reader reader(connection);
                const bool isReady = sendAll(connection, "GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    && reader.readHead(answer) && answer.status() == 200;
                ::close(connection);
                if (isReady) {
                    return true;
                }
            }
            sleepMs(50);
        }
        return false;
    }

    /// True if the process runs.
    bool isRunning()
    {
        if (pid <= 0) {
            return false;
        }
        int status = 0;
        if (::waitpid(pid, &status, WNOHANG) == pid) {
            exitStatus = status;
            pid = -1;
        }
        return pid > 0;
    }

    void signal(int number) const
    {
        if (pid > 0) {
            ::kill(pid, number);
        }
    }

    void kill()
    {
        if (pid > 0) {
            ::kill(pid, SIGCONT);
            ::kill(pid, SIGKILL);
            ::waitpid(pid, &exitStatus, 0);
            pid = -1;
        }
    }

    ~node()
    {
        kill();
    }

    int exitStatus = 0;
};

/// A temporary folder, removed at the end unless KEEP=1.
class temporary_folder
{
public:
    temporary_folder()
    {
        char name[] = "/tmp/flamingofield-review-XXXXXX";
        path = ::mkdtemp(name) == nullptr ? std::string() : name;
    }

    ~temporary_folder()
    {
        const char *keep = std::getenv("KEEP");
        if (path.empty() || (keep != nullptr && std::string(keep) == "1")) {
            return;
        }
        for (const std::string &file : files) {
            ::unlink((path + "/" + file).c_str());
        }
        ::rmdir(path.c_str());
    }

    std::string path;
    std::vector<std::string> files;
};

/// A loopback network for one run, so that runs do not meet: 127.A.B.0.
inline std::string randomNetwork()
{
    std::random_device device;
    return "127." + std::to_string(20 + device() % 200) + "." + std::to_string(1 + device() % 250) + ".";
}

inline bool isTroubleOn()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

/// A request of a client. @param further header lines, each ended by CRLF
inline std::string clientHead(const std::string &method, const std::string &path, const std::string &id, int deadlineMs,
                              const std::string &further = {})
{
    return method + " " + path + " HTTP/1.1\r\nHost: jepu9.example\r\nFlamingofield-Request-Id: " + id
        + "\r\nFlamingofield-Deadline-Milliseconds: " + std::to_string(deadlineMs) + "\r\n" + further + "\r\n";
}

/// Sends a request on a new connection and reads the answer.
inline message sendRequest(const address &gate, const std::string &bytes, int timeoutMs)
{
    message answer;
    const int connection = connectTo(gate, timeoutMs);
    if (connection >= 0) {
        message_reader reader(connection);
        if (sendAll(connection, bytes)) {
            reader.read(answer);
        }
        ::close(connection);
    }
    return answer;
}

/// A configuration with the routes /read/ (safe) and /write/ (unsafe) to one service.
inline std::string configText(int version, const std::string &service, int timeoutMs = 8000, const std::string &furtherRoutes = {})
{
    const auto route = [&](const std::string &name, const std::string &prefix, const std::string &kind) {
        return "\"" + name + "\":{\"host\":\"jepu9.example\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind + "\",\"timeout_ms\":"
            + std::to_string(timeoutMs) + ",\"aim_ms\":1500,\"priority\":1,\"service\":\"" + service + "\",\"attempts\":2}";
    };
    return "{\"version\":" + std::to_string(version) + ",\"routes\":{" + route("r-read", "/read/", "safe") + ","
        + route("r-write", "/write/", "unsafe") + furtherRoutes + "},\"services\":{\"" + service
        + "\":{\"health_check_path\":\"/health\",\"connection_limit\":390,\"protocol\":\"h1\",\"tls\":false}},\"limits\":{"
          "\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

} // namespace review
