#include "edge/shared_knowledge.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

using namespace flamingofield;

namespace {

/// A store whose answers a test gives by hand.
struct fake_store
{
    store_calls calls()
    {
        store_calls made;
        made.readConfig = [this](auto onEnd) { reads.push_back(std::move(onEnd)); };
        made.watchConfig = [this](std::uint64_t after, milliseconds, auto onEnd) {
            watchedAfter.push_back(after);
            watches.push_back(std::move(onEnd));
        };
        made.readTargets = [this](auto onEnd) { targetReads.push_back(std::move(onEnd)); };
        made.decodeConfig = [](const store_document &document) -> result<forwarding_config> {
            forwarding_config config;
            config.stamp = {document.revision, document.revision};
            return config;
        };
        return made;
    }

    std::vector<store_calls::handler<std::pair<store_document, std::uint64_t>>> reads;
    std::vector<store_calls::handler<store_watch_end>> watches;
    std::vector<store_calls::handler<target_snapshot>> targetReads;
    std::vector<std::uint64_t> watchedAfter;
};

/// What a node knows of a fake store, without a use for it.
/// @param fetch answers calls to peers; by default they never end
shared_knowledge knowledgeOf(
    fake_store &store, instant start, const shared_knowledge::peer_fetch &fetch = [](auto, const auto &, auto) {})
{
    constexpr milliseconds heartbeat{1500};
    return shared_knowledge(
        store.calls(), fetch, [](auto) {}, [](const auto &) {}, heartbeat, start, start);
}

class shared_knowledge_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(shared_knowledge_tests);
    CPPUNIT_TEST(watchesOnFromWhatItHoldsAfterAWatchThatHeardNothing);
    CPPUNIT_TEST(readsTheDocumentAgainWhenTheHistoryIsLost);
    CPPUNIT_TEST(claimsNoFresherNewsThanItHeardAfterItsStart);
    CPPUNIT_TEST_SUITE_END();

    /// Ticks until a time after the start; the reader's calls are made on the way.
    static void tickUntil(shared_knowledge &knowledge, instant start, milliseconds length)
    {
        for (milliseconds passed{0}; passed <= length; passed += milliseconds(50)) {
            knowledge.tick(0, start + passed);
        }
    }

    /// Answers the first read of the configuration.
    static void readFirst(shared_knowledge &knowledge, fake_store &store, instant start)
    {
        tickUntil(knowledge, start, milliseconds(300));
        store.reads.at(0)(std::make_pair(store_document{10, "text"}, std::uint64_t(30)));
    }

    /// A watch may hear nothing though the document changed.
    void watchesOnFromWhatItHoldsAfterAWatchThatHeardNothing()
    {
        fake_store store;
        const instant start = std::chrono::steady_clock::now();
        shared_knowledge knowledge = knowledgeOf(store, start);
        readFirst(knowledge, store, start);
        tickUntil(knowledge, start, milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(30), store.watchedAfter.at(0));
        store.watches.at(0)(store_watch_end{});
        tickUntil(knowledge, start, milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(30), store.watchedAfter.at(1));
        store_watch_end heard;
        heard.change = store_document{40, "newer text"};
        store.watches.at(1)(heard);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(40), knowledge.tell(start).config.version);
        tickUntil(knowledge, start, milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(40), store.watchedAfter.at(2));
    }

    void readsTheDocumentAgainWhenTheHistoryIsLost()
    {
        fake_store store;
        const instant start = std::chrono::steady_clock::now();
        shared_knowledge knowledge = knowledgeOf(store, start);
        readFirst(knowledge, store, start);
        tickUntil(knowledge, start, milliseconds(300));
        store_watch_end lost;
        lost.isHistoryLost = true;
        store.watches.at(0)(lost);
        tickUntil(knowledge, start, milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), store.reads.size());
    }

    /// Pattern: nodes start one after the other while the store can't be read; none of them may make old news look fresh.
    void claimsNoFresherNewsThanItHeardAfterItsStart()
    {
        fake_store store;
        const instant start = std::chrono::steady_clock::now();
        shared_knowledge teacher = knowledgeOf(store, start);
        readFirst(teacher, store, start);
        store.targetReads.at(0)(target_snapshot{30, {}});
        const instant later = start + seconds(5);
        shared_knowledge pupil = knowledgeOf(
            store, later, [&](auto, const std::string &path, auto onEnd) { onEnd(result<http_exchange_answer>(teacher.serve(path))); });
        for (int i = 0; i < 3; ++i) {
            pupil.heard(1, teacher.tell(later), later);
        }
        CPPUNIT_ASSERT(pupil.isComplete());
        CPPUNIT_ASSERT(teacher.tell(later).configAgeMs > 4000);
        CPPUNIT_ASSERT(pupil.tell(later).configAgeMs > 4000);
        CPPUNIT_ASSERT(pupil.tell(later).targetsAgeMs > 4000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shared_knowledge_tests);

} // namespace
