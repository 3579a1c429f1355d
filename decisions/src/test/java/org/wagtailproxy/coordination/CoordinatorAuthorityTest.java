package org.wagtailproxy.coordination;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Option;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.leadership.InstanceName;

class CoordinatorAuthorityTest {

    private static final InstanceName A = InstanceName.of("a");
    private static final InstanceName B = InstanceName.of("b");
    private static final InstanceName C = InstanceName.of("c");
    private static final Set<InstanceName> ELECTORS = new TreeSet<>(Set.of(A, B, C));

    private final CoordinatorAuthority mAuthority = new CoordinatorAuthority();

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static Set<InstanceName> names(int count) {
        Set<InstanceName> names = new TreeSet<>();
        for (int number = 0; number < count; number++) {
            names.add(InstanceName.of("n" + number));
        }
        return names;
    }

    @Test
    void testConfirmationOfTheStoreCountsFromWhenItWasAsked() {
        assertThat(mAuthority.isValid(0), is(false));
        mAuthority.onStoreConfirmed(millis(100));
        assertThat(mAuthority.isValid(millis(1100)), is(true));
        assertThat(mAuthority.isValid(millis(1101)), is(false));
    }

    @Test
    void testMajorityOfElectorsTakesThePlaceOfTheStoreForAWhile() {
        mAuthority.updateElectors(List.of(ELECTORS));
        mAuthority.onStoreConfirmed(0);
        for (long now = 500; now < 9500; now += 500) {
            mAuthority.onSupported(A, millis(now), millis(now));
            mAuthority.onSupported(B, millis(now), millis(now));
        }
        assertThat(mAuthority.evidence(millis(9500)), is(CoordinatorAuthority.Evidence.ELECTORS));
        mAuthority.onSupported(A, millis(9600), millis(9600));
        mAuthority.onSupported(B, millis(9600), millis(9600));
        assertThat(mAuthority.isValid(millis(10_000)), is(true));
        assertThat(mAuthority.isValid(millis(10_001)), is(false));
    }

    @Test
    void testMinorityOfElectorsDoesNotTakeThePlaceOfTheStore() {
        mAuthority.updateElectors(List.of(ELECTORS));
        mAuthority.onStoreConfirmed(0);
        mAuthority.onSupported(A, millis(900), millis(900));
        assertThat(mAuthority.isValid(millis(1001)), is(false));
    }

    @Test
    void testMajorityOfEachSetOfElectorsIsNeeded() {
        mAuthority.updateElectors(List.of(ELECTORS, names(3)));
        mAuthority.onStoreConfirmed(0);
        mAuthority.onSupported(A, millis(900), millis(900));
        mAuthority.onSupported(B, millis(900), millis(900));
        assertThat(mAuthority.isValid(millis(1001)), is(false));
    }

    /** Guards against a paused coordinator that continues on answers that come after the pause. */
    @Test
    void testOnlyTheStoreRestoresAnAuthorityThatHasLapsed() {
        mAuthority.updateElectors(List.of(ELECTORS));
        mAuthority.onStoreConfirmed(0);
        mAuthority.onSupported(A, millis(1500), millis(1500));
        mAuthority.onSupported(B, millis(1500), millis(1500));
        assertThat(mAuthority.isValid(millis(1500)), is(false));
        mAuthority.onStoreConfirmed(millis(1600));
        assertThat(mAuthority.evidence(millis(1700)), is(CoordinatorAuthority.Evidence.STORE));
    }

    @Test
    void testNothingFromBeforeASuspensionCounts() {
        mAuthority.updateElectors(List.of(ELECTORS));
        mAuthority.onStoreConfirmed(0);
        mAuthority.onSupported(A, 0, 0);
        mAuthority.onSuspension();
        assertThat(mAuthority.isValid(millis(1)), is(false));
        mAuthority.onSupported(B, millis(2), millis(2));
        assertThat(mAuthority.isValid(millis(3)), is(false));
    }

    @Test
    void testElectorSupportsNoOtherCoordinatorBeforeItsPromiseHasEnded() {
        ElectorPromise promise = new ElectorPromise(0);
        assertThat(promise.support(A, millis(1050)), is(false));
        assertThat(promise.support(A, millis(1051)), is(true));
        assertThat(promise.support(A, millis(1500)), is(true));
        assertThat(promise.support(B, millis(2550)), is(false));
        assertThat(promise.support(B, millis(2551)), is(true));
    }

    @Test
    void testFormerCoordinatorEndsOnceHalfOfItsElectorsSupportTheNextOne() {
        FormerCoordinator former = FormerCoordinator.of(List.of(ELECTORS), 0);
        former.onSupported(A, millis(900));
        assertThat(former.endedNanos(millis(1500)), is(Option.none()));
        former.onSupported(C, millis(1400));
        assertThat(former.endedNanos(millis(1900)), is(Option.some(millis(1900))));
        assertThat(former.endedNanos(millis(3000)), is(Option.some(millis(1900))));
        assertThat(former.reason(), is(FormerCoordinator.Reason.ELECTORS));
    }

    @Test
    void testFormerCoordinatorHasTheTimeOfAConfirmationWhoeverSupportsTheNextOne() {
        FormerCoordinator former = FormerCoordinator.of(List.of(ELECTORS), 0);
        ELECTORS.forEach(elector -> former.onSupported(elector, millis(500)));
        assertThat(former.endedNanos(millis(1000)), is(Option.none()));
        assertThat(former.endedNanos(millis(1001)).isDefined(), is(true));
    }

    @Test
    void testFormerCoordinatorWhoseElectorsAreGoneEndsAfterTheLongestTimeWithoutTheStore() {
        FormerCoordinator former = FormerCoordinator.of(List.of(ELECTORS), 0);
        former.onSupported(A, millis(9900));
        assertThat(former.endedNanos(millis(10_000)), is(Option.none()));
        assertThat(former.endedNanos(millis(10_001)).isDefined(), is(true));
        assertThat(former.reason(), is(FormerCoordinator.Reason.TIME));
    }

    @Test
    void testInstanceStaysElectorWhileItIsRestarted() {
        ElectorList list = new ElectorList();
        list.update(ELECTORS, 0);
        assertThat(list.update(Set.of(A), millis(30_000)), is(ELECTORS));
        assertThat(list.update(Set.of(A), millis(30_001)), is(Set.of(A)));
    }

    /** One of two coordinators has authority at most, whomever the electors follow. */
    @Property(seed = "62")
    boolean testTwoCoordinatorsNeverHaveAuthorityAtOnce(
            @ForAll @IntRange(min = 1, max = 7) int electors,
            @ForAll List<@IntRange(min = 0, max = 100_000) Integer> events) {
        CoordinatorAuthority authority = new CoordinatorAuthority();
        Set<InstanceName> names = names(electors);
        ElectorPromise[] promises = new ElectorPromise[electors];
        for (int number = 0; number < electors; number++) {
            promises[number] = new ElectorPromise(millis(-2000));
        }
        authority.updateElectors(List.of(names));
        authority.onStoreConfirmed(0);
        FormerCoordinator former = FormerCoordinator.of(List.of(names), millis(1));
        long nowMillis = 0;
        for (int event : events) {
            nowMillis += event % 97 * 5;
            int elector = event % electors;
            InstanceName name = InstanceName.of("n" + elector);
            boolean asksFormer = event / 100 % 2 == 0;
            long askedNanos = millis(nowMillis - event % 50);
            if (promises[elector].support(asksFormer ? A : B, millis(nowMillis))) {
                if (asksFormer) {
                    authority.onSupported(name, askedNanos, millis(nowMillis));
                } else {
                    former.onSupported(name, askedNanos);
                }
            }
            if (former.endedNanos(millis(nowMillis)).isDefined()
                    && authority.isValid(millis(nowMillis))) {
                return false;
            }
        }
        return true;
    }
}
