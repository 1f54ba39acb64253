#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <cppunit/TestFailure.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <set>
#include <string>

#include "report/log.hpp"
#include "support/test_seed.hpp"

namespace {

/// Names of the tests that KNOWN-RED.txt lists: the lines that start with "test: ".
std::set<std::string> readKnownRed(const std::string &path)
{
    std::set<std::string> names;
    std::ifstream file(path);
    std::string line;
    const std::string start = "test: ";
    while (std::getline(file, line)) {
        if (line.rfind(start, 0) == 0) {
            names.insert(line.substr(start.size()));
        }
    }
    return names;
}

/// Removes the namespace that CppUnit prints before "Suite::case".
std::string shortName(const std::string &name)
{
    const std::string unnamed = "(anonymous namespace)::";
    return name.rfind(unnamed, 0) == 0 ? name.substr(unnamed.size()) : name;
}

/// @return failures that KNOWN-RED.txt does not list
int countUnlistedFailures(const CppUnit::TestResultCollector &collector, const std::string &knownRedPath)
{
    const std::set<std::string> listed = readKnownRed(knownRedPath);
    int unlisted = 0;
    for (const auto *failure : collector.failures()) {
        const std::string name = shortName(failure->failedTestName());
        if (listed.count(name) != 0) {
            std::cout << "KNOWN-RED " << name << "\n";
        } else {
            ++unlisted;
        }
    }
    return unlisted;
}

int runTests(const std::string &filter, const std::string &knownRedPath)
{
    CppUnit::TestResult events;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    events.addListener(&collector);
    events.addListener(&progress);
    CppUnit::TestRunner runner;
    CppUnit::Test *allTests = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
    runner.addTest(allTests);
    runner.run(events, filter);
    CppUnit::CompilerOutputter outputter(&collector, std::cerr);
    outputter.write();
    const int failed = collector.testFailuresTotal();
    std::cout << collector.runTests() - failed << " passed, " << failed << " failed\n";
    return countUnlistedFailures(collector, knownRedPath) == 0 ? 0 : 1;
}

} // namespace

/// Arguments: [--seed N] [--known-red FILE] [TEST], where TEST is "Suite" or "Suite::case" as printed.
int main(int argc, char **argv)
{
    std::string filter;
    std::string knownRedPath;
    for (int i = 1; i < argc; ++i) {
        const std::string argument = argv[i];
        if (argument == "--seed" && i + 1 < argc) {
            test_support::testSeed() = std::strtoull(argv[++i], nullptr, 10);
        } else if (argument == "--known-red" && i + 1 < argc) {
            knownRedPath = argv[++i];
        } else {
            filter = "(anonymous namespace)::" + argument;
        }
    }
    flamingofield::startLog("off", false, "tests");
    std::cout << "seed " << test_support::testSeed() << "\n";
    return runTests(filter, knownRedPath);
}
