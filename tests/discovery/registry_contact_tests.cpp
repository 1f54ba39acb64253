#include "discovery/registry_contact.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace flamingofield;

namespace {

const instant start = instant() + seconds(1000);

class registry_contact_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(registry_contact_tests);
    CPPUNIT_TEST(awaitsRenewalsAfterAGapInWhichRegistrationsCanExpire);
    CPPUNIT_TEST(awaitsNoneAfterAGapInWhichTheNodeDidNotAsk);
    CPPUNIT_TEST(awaitsRenewalsAfterAGapOfAPeerThatItHearsMeanwhile);
    CPPUNIT_TEST(awaitsNoneWhenAPeerHadContactDuringTheGap);
    CPPUNIT_TEST(awaitsNoneWhenContactsOfSeveralPeersCoverTheGap);
    CPPUNIT_TEST(learnsOfAnOutageFromPeers);
    CPPUNIT_TEST(awaitsRenewalsWhileTheRegistryFailsAgain);
    CPPUNIT_TEST(seesTheOutageAlthoughMessagesTakeTime);
    CPPUNIT_TEST_SUITE_END();

    static instant at(int ms)
    {
        return start + milliseconds(ms);
    }

    /// Contact whose answers were at most a second apart, and a failed call after it.
    static registry_contact contactBetween(int firstMs, int lastMs)
    {
        registry_contact made(milliseconds(1500));
        made.recordFailure(at(lastMs + 1000));
        for (int ms = firstMs; ms < lastMs; ms += 1000) {
            made.recordAnswer(at(ms));
        }
        made.recordAnswer(at(lastMs));
        return made;
    }

    void awaitsRenewalsAfterAGapInWhichRegistrationsCanExpire()
    {
        registry_contact contact = contactBetween(0, 3000);
        CPPUNIT_ASSERT(!contact.isAwaitingRenewals(at(3000)));
        contact.recordAnswer(at(5400));
        CPPUNIT_ASSERT(!contact.isAwaitingRenewals(at(5400)));
        contact.recordFailure(at(6400));
        contact.recordAnswer(at(8000));
        contact.recordAnswer(at(9500));
        CPPUNIT_ASSERT(contact.isAwaitingRenewals(at(9999)));
        CPPUNIT_ASSERT(!contact.isAwaitingRenewals(at(10000)));
    }

    /// A node that relied on its peers knows nothing of the time since it last heard them, and must not tell that it does.
    void awaitsNoneAfterAGapInWhichTheNodeDidNotAsk()
    {
        registry_contact silent(milliseconds(1500));
        silent.recordAnswer(at(0));
        silent.recordAnswer(at(6000));
        CPPUNIT_ASSERT(!silent.isAwaitingRenewals(at(6000)));
        registry_contact reader = contactBetween(0, 1000);
        reader.recordAnswer(at(6100));
        reader.merge(*silent.period(), at(6100));
        CPPUNIT_ASSERT(reader.isAwaitingRenewals(at(6100)));
        silent.merge(*reader.period(), at(6100));
        CPPUNIT_ASSERT(silent.isAwaitingRenewals(at(6100)));
    }

    /// A node that does not ask, since others fail before it, is the first to get an answer.
    void awaitsRenewalsAfterAGapOfAPeerThatItHearsMeanwhile()
    {
        for (const int heardMs : {3000, 5500}) {
            registry_contact silent(milliseconds(1500));
            silent.recordAnswer(at(1000));
            silent.merge(*contactBetween(0, 1000).period(), at(heardMs));
            silent.recordAnswer(at(6000));
            CPPUNIT_ASSERT_EQUAL(heardMs == 5500, silent.isAwaitingRenewals(at(6000)));
        }
    }

    void awaitsNoneWhenAPeerHadContactDuringTheGap()
    {
        registry_contact contact = contactBetween(0, 3000);
        contact.recordAnswer(at(9000));
        CPPUNIT_ASSERT(contact.isAwaitingRenewals(at(9000)));
        contact.merge(*contactBetween(1000, 8900).period(), at(9000));
        CPPUNIT_ASSERT(!contact.isAwaitingRenewals(at(9000)));
    }

    void awaitsNoneWhenContactsOfSeveralPeersCoverTheGap()
    {
        for (const bool isLaterFirst : {false, true}) {
            registry_contact contact = contactBetween(0, 3000);
            contact.recordAnswer(at(12000));
            const contact_period earlier = *contactBetween(4000, 7000).period();
            const contact_period later = *contactBetween(8000, 11000).period();
            contact.merge(isLaterFirst ? later : earlier, at(12000));
            contact.merge(isLaterFirst ? earlier : later, at(12000));
            contact.merge(isLaterFirst ? later : earlier, at(12000));
            CPPUNIT_ASSERT(!contact.isAwaitingRenewals(at(12000)));
        }
    }

    /// A node that has started after the return of the registry, and one that has heard of it later than others.
    void learnsOfAnOutageFromPeers()
    {
        registry_contact reader = contactBetween(0, 3000);
        reader.recordAnswer(at(9000));
        registry_contact started(milliseconds(1500));
        started.recordAnswer(at(9100));
        CPPUNIT_ASSERT(!started.isAwaitingRenewals(at(9100)));
        started.merge(*reader.period(), at(9100));
        CPPUNIT_ASSERT(started.isAwaitingRenewals(at(10900)));
        started.recordAnswer(at(10500));
        CPPUNIT_ASSERT(!started.isAwaitingRenewals(at(11000)));
        registry_contact follower = contactBetween(0, 2500);
        follower.merge(*started.period(), at(10500));
        CPPUNIT_ASSERT(follower.isAwaitingRenewals(at(10900)));
        CPPUNIT_ASSERT(!follower.isAwaitingRenewals(at(11000)));
    }

    void awaitsRenewalsWhileTheRegistryFailsAgain()
    {
        registry_contact contact = contactBetween(0, 3000);
        contact.recordAnswer(at(9000));
        contact.recordAnswer(at(9500));
        contact.recordFailure(at(10500));
        CPPUNIT_ASSERT(contact.isAwaitingRenewals(at(13000)));
        contact.recordAnswer(at(14000));
        CPPUNIT_ASSERT(contact.isAwaitingRenewals(at(15500)));
    }

    /// Two nodes tell each other the same contact all the time during an outage. Each message takes 90 ms, by which the times that it tells
    /// are too late.
    void seesTheOutageAlthoughMessagesTakeTime()
    {
        registry_contact a = contactBetween(0, 3000);
        registry_contact b = contactBetween(0, 3000);
        const auto delayed = [](contact_period told) {
            told.start += milliseconds(90);
            told.end += milliseconds(90);
            return told;
        };
        for (int i = 0; i < 50; ++i) {
            a.merge(delayed(*b.period()), at(3000 + 100 * i));
            b.merge(delayed(*a.period()), at(3000 + 100 * i));
        }
        a.recordAnswer(at(6000));
        CPPUNIT_ASSERT(a.isAwaitingRenewals(at(6000)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(registry_contact_tests);

} // namespace
