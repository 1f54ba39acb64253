// Stand-ins and helpers for the review's scripts: the platform's store, backend servers, clients, and flamingod-platform as real
// processes. POSIX only; one thread for each connection.
#pragma once

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <strings.h>
#include <thread>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;

enum exit_code { ruleHeld = 0, ruleBroken = 1, couldNotRun = 2 };

inline const steady::time_point startedAt = steady::now();

inline double secondsNow()
{
    return std::chrono::duration<double>(steady::now() - startedAt).count();
}

inline void sleepMs(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// False with TROUBLE=0: the same run without the disruption.
inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// The record of what was sent, answered and run; each line begins with the seconds since the start.
class record_file
{
public:
    void open(const std::string &path)
    {
        m_file = std::fopen(path.c_str(), "w");
    }

    __attribute__((format(printf, 2, 3))) void line(const char *format, ...)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        va_list arguments;
        va_start(arguments, format);
        char text[2000];
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        for (FILE *out : {m_file, stdout}) {
            if (out != nullptr) {
                std::fprintf(out, "%8.3f  %s\n", secondsNow(), text);
                std::fflush(out);
            }
        }
    }

private:
    std::mutex m_mutex;
    FILE *m_file = nullptr;
};

inline record_file record;

// --- sockets

inline sockaddr_in socketAddress(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// @return a listening socket, or -1
inline int listenOn(const std::string &ip, int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = socketAddress(ip, port);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || ::listen(fd, 512) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

/// @param prepare is called with the socket before it connects
inline int connectTo(const std::string &ip, int port, const std::function<void(int)> &prepare = nullptr)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (prepare) {
        prepare(fd);
    }
    const sockaddr_in address = socketAddress(ip, port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(fd);
        return -1;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// --- HTTP

struct message
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(const char *name) const
    {
        for (const auto &[each, value] : fields) {
            if (::strcasecmp(each.c_str(), name) == 0) {
                return value;
            }
        }
        return {};
    }

    std::string method() const
    {
        return startLine.substr(0, startLine.find(' '));
    }

    std::string target() const
    {
        const auto begin = startLine.find(' ') + 1;
        return startLine.substr(begin, startLine.find(' ', begin) - begin);
    }

    int status() const
    {
        return startLine.size() < 12 ? 0 : std::atoi(startLine.c_str() + 9);
    }
};

enum class read_end { complete, closed, reset, timeout, malformed };

/// Reads messages with Content-Length, one after another, from a socket.
class message_reader
{
public:
    explicit message_reader(int fd)
        : m_fd(fd)
    {
    }

    read_end read(message &read, int timeoutMs)
    {
        const auto until = steady::now() + std::chrono::milliseconds(timeoutMs);
        read = message();
        std::size_t headEnd = 0;
        while ((headEnd = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            const read_end end = readSome(until);
            if (end != read_end::complete) {
                return end;
            }
        }
        parseHead(m_buffer.substr(0, headEnd), read);
        m_buffer.erase(0, headEnd + 4);
        const std::size_t length = static_cast<std::size_t>(std::atoll(read.field("Content-Length").c_str()));
        while (m_buffer.size() < length) {
            const read_end end = readSome(until);
            if (end != read_end::complete) {
                read.body = m_buffer;
                return end;
            }
        }
        read.body = m_buffer.substr(0, length);
        m_buffer.erase(0, length);
        return read_end::complete;
    }

    /// Limits the speed at which bytes are taken from the socket, as a slow link does; zero for no limit.
    void setBytesPerSecond(int bytesPerSecond)
    {
        m_bytesPerSecond = bytesPerSecond;
    }

private:
    read_end readSome(steady::time_point until)
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - steady::now()).count();
        pollfd waiting{m_fd, POLLIN, 0};
        if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0) {
            return read_end::timeout;
        }
        char bytes[65536];
        const std::size_t most = m_bytesPerSecond > 0 ? static_cast<std::size_t>(m_bytesPerSecond) / 100 : sizeof bytes;
        const auto count = ::recv(m_fd, bytes, std::min(most, sizeof bytes), 0);
        if (count > 0) {
            m_buffer.append(bytes, static_cast<std::size_t>(count));
            if (m_bytesPerSecond > 0) {
                sleepMs(10);
            }
            return read_end::complete;
        }
        return count == 0 ? read_end::closed : read_end::reset;
    }

    static void parseHead(const std::string &head, message &read)
    {
        std::size_t position = 0;
        while (position <= head.size()) {
            std::size_t end = head.find("\r\n", position);
            end = end == std::string::npos ? head.size() : end;
            const std::string line = head.substr(position, end - position);
            if (read.startLine.empty()) {
                read.startLine = line;
            } else {
                const auto colon = line.find(':');
                auto value = line.substr(colon + 1);
                value.erase(0, value.find_first_not_of(' '));
                read.fields.emplace_back(line.substr(0, colon), value);
            }
            position = end + 2;
        }
    }

    int m_fd;
    int m_bytesPerSecond = 0;
    std::string m_buffer;
};

/// Accepts connections on a thread and serves each on a thread of its own.
class tcp_server
{
public:
    bool start(const std::string &ip, int port, std::function<void(int)> serve)
    {
        m_fd = listenOn(ip, port);
        if (m_fd < 0) {
            return false;
        }
        std::thread([this, serve] {
            for (;;) {
                const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0) {
                    return;
                }
                const int on = 1;
                ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                {
                    const std::lock_guard<std::mutex> lock(m_mutex);
                    m_connections.push_back(fd);
                }
                // The descriptors stay open until the end of the run, so that a number is never reused.
                std::thread([serve, fd] { serve(fd); }).detach();
            }
        }).detach();
        return true;
    }

    /// Ends the server as the end of its process does.
    void end()
    {
        ::shutdown(m_fd, SHUT_RDWR);
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const int fd : m_connections) {
            const linger resets{1, 0};
            ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &resets, sizeof resets);
            ::shutdown(fd, SHUT_RDWR);
        }
    }

private:
    int m_fd = -1;
    std::mutex m_mutex;
    std::vector<int> m_connections;
};

// --- the platform's store

inline std::string base64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group = group << 8U | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text.push_back(i + k > bytes.size() ? '=' : digits[group >> (18 - 6 * k) & 63U]);
        }
    }
    return text;
}

class store
{
public:
    bool start(const std::string &ip)
    {
        return m_server.start(ip, port, [this](int fd) { serve(fd); });
    }

    std::uint64_t put(const std::string &key, const std::string &value)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        ++m_revision;
        m_items[key] = {value, m_revision};
        m_changes.push_back({key, m_revision});
        m_changed.notify_all();
        return m_revision;
    }

    std::uint64_t remove(const std::string &key)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        ++m_revision;
        m_items.erase(key);
        m_changes.push_back({key, m_revision});
        m_changed.notify_all();
        return m_revision;
    }

    static constexpr int port = 8384;

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
    };

    static std::string rowOf(const std::string &key, const item &stored)
    {
        const std::string revision = std::to_string(stored.revision);
        return "{\"key\":\"" + key + "\",\"value\":\"" + base64(stored.value) + "\",\"revision\":" + revision
            + ",\"created_at\":" + revision + ",\"lease\":0";
    }

    static std::string query(const std::string &target, const std::string &name)
    {
        const auto found = target.find(name + "=");
        if (found == std::string::npos) {
            return {};
        }
        const auto begin = found + name.size() + 1;
        return target.substr(begin, target.find('&', begin) - begin);
    }

    void serve(int fd)
    {
        message_reader reader(fd);
        message request;
        while (reader.read(request, 600000) == read_end::complete) {
            const std::string target = request.target();
            std::string body;
            int status = 200;
            std::unique_lock<std::mutex> lock(m_mutex);
            if (target.rfind("/api/kv-key", 0) == 0) {
                const std::string key = query(target, "key");
                const auto found = m_items.find(key);
                status = found == m_items.end() ? 404 : 200;
                body = (status == 404 ? "{\"error\":\"no such key\"" : rowOf(key, found->second))
                    + ",\"store_revision\":" + std::to_string(m_revision) + "}";
            } else if (target.rfind("/api/kv-range", 0) == 0) {
                const std::string prefix = query(target, "prefix");
                std::string rows;
                for (const auto &[key, stored] : m_items) {
                    if (key.rfind(prefix, 0) == 0 && key > query(target, "after")) {
                        rows += (rows.empty() ? "" : ",") + rowOf(key, stored) + "}";
                    }
                }
                body = "{\"items\":[" + rows + "],\"has_more\":false,\"store_revision\":" + std::to_string(m_revision) + "}";
            } else {
                const std::string prefix = query(target, "prefix");
                const auto after = static_cast<std::uint64_t>(std::atoll(query(target, "after").c_str()));
                const auto until = steady::now() + std::chrono::milliseconds(std::atoi(query(target, "wait_ms").c_str()));
                std::string events;
                const auto collect = [&] {
                    for (const auto &[key, revision] : m_changes) {
                        if (revision > after && key.rfind(prefix, 0) == 0) {
                            const auto found = m_items.find(key);
                            events += (events.empty() ? "" : ",")
                                + (found == m_items.end()
                                       ? "{\"key\":\"" + key + "\",\"revision\":" + std::to_string(revision) + ",\"tombstone\":true"
                                       : rowOf(key, found->second))
                                + "}";
                        }
                    }
                    return !events.empty();
                };
                m_changed.wait_until(lock, until, collect);
                body = "{\"events\":[" + events + "],\"store_revision\":" + std::to_string(m_revision) + "}";
            }
            lock.unlock();
            sendAll(fd,
                    "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Not Found")
                        + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        }
    }

    tcp_server m_server;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::vector<std::pair<std::string, std::uint64_t>> m_changes;
    std::uint64_t m_revision = 1;
};

// --- backend servers

constexpr auto idField = "Flamingofield-Request-Id";

/// A backend server. What it does with a request is up to the test; it counts the runs.
class backend
{
public:
    using handler = std::function<void(backend &, int fd, const message &request)>;

    backend(std::string serverId, std::string ip, std::string serviceName, std::string zoneName, int slotCount)
        : id(std::move(serverId))
        , address(std::move(ip))
        , service(std::move(serviceName))
        , zone(std::move(zoneName))
        , slots(slotCount)
        , born(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    {
    }

    bool start(handler onRequest)
    {
        return server.start(address, port, [this, onRequest](int fd) {
            message_reader reader(fd);
            message request;
            while (reader.read(request, 600000) == read_end::complete) {
                if (request.field("Flamingofield-Expected-Instance") != id) {
                    sendAll(fd,
                            "HTTP/1.1 421 Misdirected Request\r\nFlamingofield-Not-Executed: 1\r\n" + std::string(idField) + ": "
                                + request.field(idField) + "\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                onRequest(*this, fd, request);
            }
        });
    }

    std::string registration(const std::string &state = "ready", int sequence = 1) const
    {
        return "{\"address\":\"" + address + ":" + std::to_string(port) + "\",\"information\":{\"service\":\"" + service
            + "\",\"version\":\"v1\",\"zone\":\"" + zone + "\",\"slots\":" + std::to_string(slots) + "},\"status\":{\"state\":\"" + state
            + "\",\"sequence_number\":" + std::to_string(sequence) + ",\"cold_remaining_ms\":0},\"born\":" + std::to_string(born) + "}";
    }

    /// Counts a run of the request.
    /// @return how often this server has now run it
    int countRun(const message &request)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return ++m_runs[request.field(idField)];
    }

    int runsOf(const std::string &requestId)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_runs[requestId];
    }

    std::string seal() const
    {
        return "3e1b.07.5a2.600.0." + id;
    }

    /// A complete answer to a request that ran.
    std::string answer(const message &request, const std::string &body, int status = 200) const
    {
        return "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Error") + "\r\n" + std::string(idField) + ": "
            + request.field(idField) + "\r\nFlamingofield-Response-Seal: " + seal() + "\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
    }

    /// The answer of a full server: the request did not run.
    std::string notExecuted(const message &request) const
    {
        return "HTTP/1.1 503 Service Unavailable\r\nFlamingofield-Not-Executed: 1\r\n" + std::string(idField) + ": "
            + request.field(idField) + "\r\nContent-Length: 0\r\n\r\n";
    }

    const std::string id;
    const std::string address;
    const std::string service;
    const std::string zone;
    const int slots;
    const long long born;
    tcp_server server;
    static constexpr int port = 8080;

private:
    std::mutex m_mutex;
    std::map<std::string, int> m_runs;
};

// --- the system's processes

struct settings
{
    std::string memoryMb = "260";
    std::string cpuShare = "0.2";
    std::vector<std::string> seeds;
    bool isFirstStart = true;
};

constexpr int gatePort = 8381;
constexpr int readyPort = 8388;

/// One frontend machine: flamingod-platform with the deploy file's command.
class node
{
public:
    node(std::string nodeName, std::string ip, std::string zoneName, std::string directory)
        : name(std::move(nodeName))
        , address(std::move(ip))
        , zone(std::move(zoneName))
        , m_directory(std::move(directory))
    {
    }

    ~node()
    {
        kill(SIGKILL);
        wait(2000);
    }

    node(const node &) = delete;
    node &operator=(const node &) = delete;

    bool start(const std::string &storeIp, const settings &how)
    {
        const std::string path = m_directory + "/" + name + ".conf";
        FILE *file = std::fopen(path.c_str(), "w");
        if (file == nullptr) {
            return false;
        }
        std::string seeds;
        for (const auto &seed : how.seeds) {
            seeds += (seeds.empty() ? "" : ",") + seed + ":8382";
        }
        const char *at = address.c_str();
        std::fprintf(file,
                     "self.node_name=%s\nself.role=entry\nself.machine_class=frontend\nself.serves=frontend,control_plane,directory\n"
                     "self.ip_address=%s\nself.zone=%s\nself.region=pl-central\nself.loss_counts=false\nself.bootstrap=%s\n"
                     "self.limits.cpu_share=%s\nself.limits.cpu_cores=1\nself.limits.memory_mb=%s\nself.limits.file_descriptors=4100\n"
                     "self.limits.link_mbps=1000.0\nself.limits.disk_mb=0\nnetwork.listen_addresses.frontend=%s:%d\n"
                     "network.listen_addresses.ready=%s:%d\nnetwork.listen_addresses.control_plane=%s:8382\n"
                     "network.listen_addresses.directory=%s:8383\nnetwork.internal_port_range=7200,7215\nnetwork.seed_nodes=%s\n"
                     "network.zones.lodz-a=pl-central\nplatform.discovery=platform\nplatform.entry=directory\n"
                     "platform.heartbeat_interval_ms=1500\nplatform.platform.address=%s:%d\nplatform.platform.form=read\n"
                     "platform.platform.reads_per_s=2000\nplatform.platform.history_s=20\nplatform.platform.value_bytes=1048576\n"
                     "terms.contracts=base,drain,config,cost,retry,recover,health,platform\nterms.bounds.seed_lag_s=3\n"
                     "terms.bounds.reuse_after_s=2\nterms.bounds.stable_window_ms=3000\nterms.bounds.drain_ms=2000\n"
                     "terms.bounds.grace_period_s=6\nterms.bounds.loss_slack_ms=200\nterms.bounds.configuration_apply_ms=2000\n"
                     "terms.bounds.retry_budget_ratio=0.2\nterms.bounds.budget_window_s=10\nterms.bounds.retry_budget_slack=62\n"
                     "terms.bounds.recovery_s=15\nterms.bounds.ttl_max_s=5\nterms.bounds.probes_per_s=3\nterms.bounds.floor_share=0.7\n",
                     name.c_str(), at, zone.c_str(), how.isFirstStart ? "true" : "false", how.cpuShare.c_str(), how.memoryMb.c_str(), at,
                     gatePort, at, readyPort, at, at, seeds.c_str(), storeIp.c_str(), store::port);
        std::fclose(file);
        const std::string log = m_directory + "/" + name + ".log";
        const pid_t parent = ::getpid();
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent) {
                ::_exit(2);
            }
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::setenv("FLAMINGOFIELD_NODE_FILE", path.c_str(), 1);
            ::execl("target/flamingod-platform", "target/flamingod-platform", "--metrics-port", "9464", nullptr);
            ::_exit(2);
        }
        return m_pid > 0;
    }

    bool isReady() const
    {
        const int fd = connectTo(address, readyPort);
        if (fd < 0) {
            return false;
        }
        sendAll(fd, "GET /api/readiness HTTP/1.1\r\nHost: " + address + "\r\n\r\n");
        message_reader reader(fd);
        message answer;
        const bool isOk = reader.read(answer, 500) == read_end::complete && answer.status() == 200;
        ::close(fd);
        return isOk;
    }

    bool awaitReady(int timeoutMs) const
    {
        const auto until = steady::now() + std::chrono::milliseconds(timeoutMs);
        while (steady::now() < until) {
            if (isReady()) {
                return true;
            }
            sleepMs(50);
        }
        return false;
    }

    void kill(int signal)
    {
        if (m_pid > 0) {
            ::kill(m_pid, signal);
        }
    }

    /// Waits for the process to end.
    /// @return its wait status, or -1 if it still runs after the time
    int wait(int timeoutMs)
    {
        const auto until = steady::now() + std::chrono::milliseconds(timeoutMs);
        while (m_pid > 0 && steady::now() < until) {
            int status = 0;
            if (::waitpid(m_pid, &status, WNOHANG) == m_pid) {
                m_pid = 0;
                return status;
            }
            sleepMs(5);
        }
        return -1;
    }

    double residentMb() const
    {
        FILE *file = std::fopen(("/proc/" + std::to_string(m_pid) + "/statm").c_str(), "r");
        long pages = 0;
        long resident = 0;
        if (file != nullptr) {
            if (std::fscanf(file, "%ld %ld", &pages, &resident) != 2) {
                resident = 0;
            }
            std::fclose(file);
        }
        return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1048576.0;
    }

    bool logContains(const std::string &text) const
    {
        FILE *file = std::fopen((m_directory + "/" + name + ".log").c_str(), "r");
        if (file == nullptr) {
            return false;
        }
        char line[4096];
        bool isFound = false;
        while (!isFound && std::fgets(line, sizeof line, file) != nullptr) {
            isFound = std::strstr(line, text.c_str()) != nullptr;
        }
        std::fclose(file);
        return isFound;
    }

    const std::string name;
    const std::string address;
    const std::string zone;

private:
    std::string m_directory;
    pid_t m_pid = 0;
};

// --- clients

constexpr auto host = "jepu9.example";

inline std::string requestText(const std::string &method, const std::string &path, const std::string &id, int deadlineMs,
                               const std::string &body)
{
    return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + idField + ": " + id
        + "\r\nFlamingofield-Deadline-Milliseconds: " + std::to_string(deadlineMs) + "\r\n"
        + (method == "GET" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
}

inline const char *describe(read_end end)
{
    switch (end) {
    case read_end::complete:
        return "complete";
    case read_end::closed:
        return "closed";
    case read_end::reset:
        return "reset";
    case read_end::timeout:
        return "timeout";
    case read_end::malformed:
        break;
    }
    return "malformed";
}

// --- a deployment

inline std::string routeText(const std::string &name, const std::string &prefix, const std::string &kind, const std::string &service,
                             int timeoutMs, int attempts = 2)
{
    return "\"" + name + "\":{\"host\":\"" + host + "\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind
        + "\",\"timeout_ms\":" + std::to_string(timeoutMs) + ",\"aim_ms\":1500,\"priority\":1,\"service\":\"" + service
        + "\",\"attempts\":" + std::to_string(attempts) + "}";
}

inline std::string configText(int version, const std::vector<std::string> &routes, const std::vector<std::string> &services)
{
    std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":{";
    for (std::size_t i = 0; i < routes.size(); ++i) {
        text += (i == 0 ? "" : ",") + routes[i];
    }
    text += "},\"services\":{";
    for (std::size_t i = 0; i < services.size(); ++i) {
        text += (i == 0 ? "" : ",") + ("\"" + services[i])
            + "\":{\"health_check_path\":\"/health\",\"connection_limit\":390,\"protocol\":\"h1\",\"tls\":false}";
    }
    return text
        + "},\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

/// Loopback network of this run, so that runs side by side don't meet; ports are the same on all machines.
inline std::string freeNetwork()
{
    for (int i = 0; i < 200; ++i) {
        const std::string prefix
            = "127." + std::to_string(60 + (::getpid() + i) % 150) + "." + std::to_string(1 + (::getpid() / 150 + i) % 250) + ".";
        bool isFree = true;
        for (const int host : {1, 2, 3, 6, 100, 105, 250}) {
            for (const int port : {gatePort, backend::port, store::port}) {
                const int fd = listenOn(prefix + std::to_string(host), port);
                isFree = isFree && fd >= 0;
                ::close(fd);
            }
        }
        if (isFree) {
            return prefix;
        }
    }
    return {};
}

/// Temporary folder for settings and logs; finish() removes it unless KEEP is set.
inline std::string folderToRemove;

class temporary_folder
{
public:
    temporary_folder()
    {
        const char *base = std::getenv("TMPDIR");
        std::string name = std::string(base == nullptr ? "/tmp" : base) + "/flamingofield-review-XXXXXX";
        path = ::mkdtemp(name.data()) == nullptr ? "" : name;
        folderToRemove = path;
    }

    std::string path;
};

/// Starts a case: opens its record and ignores SIGPIPE.
inline void begin(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc > 1) {
        record.open(argv[1]);
    }
    record.line("TROUBLE=%d", hasTrouble() ? 1 : 0);
}

/// Ends the process without waiting for the stand-ins' threads; the nodes must have been destroyed before.
[[noreturn]] inline void finish(exit_code code)
{
    record.line("%s", code == ruleHeld ? "the rule held" : code == ruleBroken ? "the rule was broken" : "the case could not run");
    std::fflush(nullptr);
    if (!folderToRemove.empty() && std::getenv("KEEP") == nullptr) {
        [[maybe_unused]] const int ignored = std::system(("rm -rf '" + folderToRemove + "'").c_str());
    }
    ::_exit(code);
}

} // namespace review
