/// A machine is stopped while clients read their answers at the pace of a slow link. Each request that was passed on to a target is to be
/// answered completely.
#include "../common-3/pipelining_client.h"

using namespace review;

namespace {

constexpr int clientsPerNode = 10;
constexpr int gracePeriodMs = 6000;
constexpr long long watchedMs = 6200;

} // namespace

int main(int argc, char **argv)
{
    record.open(std::string(argc > 1 ? argv[1] : ".") + "/record.txt");
    // The site's consulta-marea: a deadline of 12 s and a timeout of 6 s.
    const pipelining kind{12000, 6000, 6, true};
    pipelining_deployment deployment;
    if (!deployment.start(kind)) {
        return notRun;
    }
    sleepMs(4000);
    record.line("%d clients a node send %d safe requests ahead and read 34 KB a second each", clientsPerNode, kind.requestsAhead);
    pipelining_clients first(deployment.nodes[0]->address, clientsPerNode, kind);
    pipelining_clients second(deployment.nodes[1]->address, clientsPerNode, kind);
    sleepMs(3000);
    node &stopped = *deployment.nodes[0];
    const long long stoppedMs = nowMs();
    if (hasTrouble()) {
        record.line("SIGTERM to node %s", stopped.address.c_str());
        stopped.signal(SIGTERM);
    }
    bool hasEnded = false;
    while (nowMs() < stoppedMs + watchedMs) {
        int status = 0;
        if (!hasEnded && stopped.hasEnded(status)) {
            hasEnded = true;
            record.line("node %s has ended %lld ms after the signal, status %d", stopped.address.c_str(), nowMs() - stoppedMs, status);
        }
        if (hasTrouble() && !hasEnded && nowMs() > stoppedMs + gracePeriodMs) {
            stopped.signal(SIGKILL);
        }
        sleepMs(20);
    }
    first.stop();
    second.stop();
    const auto lost = lostRequests({&first, &second}, deployment.runIds(), stoppedMs);
    int requests = 0;
    for (const auto &[address, connections] : lost) {
        for (const auto &[connection, count] : connections) {
            requests += count;
        }
    }
    record.line("%d requests that targets had run ended without their whole answer, within their deadlines", requests);
    return requests > 0 ? broken : held;
}
