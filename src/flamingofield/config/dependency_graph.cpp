#include "config/dependency_graph.hpp"

#include <algorithm>

namespace flamingofield {

namespace {

class cycle_finder
{
public:
    explicit cycle_finder(const std::vector<service_spec> &services)
        : m_services(services)
        , m_states(services.size())
    {
    }

    std::vector<std::vector<std::string>> run()
    {
        for (std::size_t i = 0; i < m_services.size(); ++i) {
            if (m_states[i].order < 0) {
                visit(i);
            }
        }
        return m_cycles;
    }

private:
    struct vertex_state
    {
        int order = -1;
        int lowLink = -1;
        bool isOnStack = false;
    };

    std::size_t indexOf(const std::string &name) const
    {
        const auto found = std::find_if(m_services.begin(), m_services.end(), [&](const auto &s) { return s.name == name; });
        return static_cast<std::size_t>(found - m_services.begin());
    }

    void visit(std::size_t vertex) // NOLINT(misc-no-recursion)
    {
        m_states[vertex] = {m_nextOrder, m_nextOrder, true};
        ++m_nextOrder;
        m_stack.push_back(vertex);
        for (const auto &name : m_services[vertex].dependsOn) {
            const std::size_t other = indexOf(name);
            if (other == m_services.size()) {
                continue;
            }
            visitDependency(vertex, other);
        }
        if (m_states[vertex].lowLink == m_states[vertex].order) {
            popComponent(vertex);
        }
    }

    void visitDependency(std::size_t vertex, std::size_t other) // NOLINT(misc-no-recursion)
    {
        if (m_states[other].order < 0) {
            visit(other);
            m_states[vertex].lowLink = std::min(m_states[vertex].lowLink, m_states[other].lowLink);
        } else if (m_states[other].isOnStack) {
            m_states[vertex].lowLink = std::min(m_states[vertex].lowLink, m_states[other].order);
        }
    }

    void popComponent(std::size_t root)
    {
        std::vector<std::string> names;
        std::size_t vertex = root;
        do {
            vertex = m_stack.back();
            m_stack.pop_back();
            m_states[vertex].isOnStack = false;
            names.push_back(m_services[vertex].name);
        } while (vertex != root);
        const auto &edges = m_services[root].dependsOn;
        const bool hasSelfLoop = std::find(edges.begin(), edges.end(), m_services[root].name) != edges.end();
        if (names.size() > 1 || hasSelfLoop) {
            std::reverse(names.begin(), names.end());
            m_cycles.push_back(std::move(names));
        }
    }

    const std::vector<service_spec> &m_services;
    std::vector<vertex_state> m_states;
    std::vector<std::size_t> m_stack;
    std::vector<std::vector<std::string>> m_cycles;
    int m_nextOrder = 0;
};

} // namespace

std::vector<std::vector<std::string>> findDependencyCycles(const std::vector<service_spec> &services)
{
    return cycle_finder(services).run();
}

} // namespace flamingofield
