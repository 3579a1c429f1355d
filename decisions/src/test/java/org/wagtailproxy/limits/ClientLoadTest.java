package org.wagtailproxy.limits;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Guards against clients that take connections, memory or time from ordinary callers. */
class ClientLoadTest {

    private static final int MAX_CONNECTIONS = 3;
    private static final long MAX_MEMORY = 1000;

    private final ClientLoad mLoad =
            ClientLoad.of(new ClientLimits(MAX_CONNECTIONS, MAX_MEMORY, 500, 100, 400, 2000, 5000));
    private final List<String> mClosed = new ArrayList<>();

    private Option<ClientLoad.Account> open(String name) {
        return mLoad.open(limit -> mClosed.add(name + " " + limit.externalName()));
    }

    @Test
    void testIdlestConnectionGivesWayToNewOne() {
        ClientLoad.Account first = open("first").get();
        open("second");
        open("third");
        first.awaitRequest();
        assertThat(open("fourth").isDefined(), is(true));
        assertThat(mClosed, contains("second connections"));
        assertThat(mLoad.connections(), is(MAX_CONNECTIONS));
    }

    @Test
    void testHalfRequestGivesWayBeforeARequestThatIsHandled() {
        open("first").get().handleRequest();
        open("second").get().awaitHeader();
        open("third").get().handleRequest();
        assertThat(open("fourth").isDefined(), is(true));
        assertThat(mClosed, contains("second connections"));
    }

    @Test
    void testNewConnectionIsRefusedIfAllAreBeingServed() {
        for (int number = 0; number < MAX_CONNECTIONS; number++) {
            open("busy").get().handleRequest();
        }
        assertThat(open("new").isDefined(), is(false));
        assertThat(mClosed, is(empty()));
    }

    @Test
    void testConnectionsAreLeftToClientsWithoutRequestInHand() {
        ClientLoad load = ClientLoad.of(ClientLimits.of(16, MAX_MEMORY, 400));
        List<ClientLoad.Account> accounts = new ArrayList<>();
        for (int number = 0; number < 14; number++) {
            accounts.add(load.open(limit -> mClosed.add("busy")).get());
            assertThat(accounts.get(number).beginRequest(), is(true));
        }
        assertThat(load.open(limit -> mClosed.add("first")).get().beginRequest(), is(false));
        assertThat(load.open(limit -> mClosed.add("second")).get().beginRequest(), is(false));
        ClientLoad.Account newcomer = load.open(limit -> mClosed.add("third")).get();
        assertThat(mClosed, contains("first"));
        accounts.get(0).endRequest();
        accounts.get(0).endRequest();
        assertThat(newcomer.beginRequest(), is(true));
        accounts.get(1).close();
        assertThat(accounts.get(0).beginRequest(), is(true));
        assertThat(accounts.get(0).beginRequest(), is(false));
        assertThat(accounts.get(1).beginRequest(), is(false));
    }

    @Test
    void testConnectionWithMostMemoryGivesWayToOneWithLess() {
        ClientLoad.Account large = open("large").get();
        ClientLoad.Account small = open("small").get();
        assertThat(large.reserve(900), is(true));
        assertThat(small.reserve(200), is(true));
        assertThat(mClosed, contains("large memory"));
        assertThat(mLoad.usedBytes(), is(200L));
        assertThat(large.reserve(1), is(false));
    }

    @Test
    void testConnectionWithMostMemoryGetsNoMore() {
        ClientLoad.Account large = open("large").get();
        ClientLoad.Account small = open("small").get();
        assertThat(small.reserve(300), is(true));
        assertThat(large.reserve(600), is(true));
        assertThat(large.reserve(200), is(false));
        assertThat(mClosed, is(empty()));
        assertThat(mLoad.usedBytes(), is(900L));
    }

    @Test
    void testHalfHeaderIsClosedAfterItsTime() {
        open("slow").get().awaitHeader();
        ticks(3);
        assertThat(mClosed, is(empty()));
        assertThat(mLoad.tick(), is(false));
        assertThat(mClosed, contains("slow header-time"));
    }

    @Test
    void testHalfBodyIsClosedAfterItsTimeAlthoughItGrows() {
        ClientLoad.Account slow = open("slow").get();
        for (int tick = 0; tick < 6; tick++) {
            slow.awaitBody();
            assertThat(mLoad.tick(), is(true));
        }
        slow.awaitBody();
        mLoad.tick();
        assertThat(mClosed, contains("slow request-time"));
    }

    @Test
    void testUnreadResponsesAreClosedAfterTheirTime() {
        ClientLoad.Account client = open("deaf").get();
        client.setUnreadResponses(true);
        client.handleRequest();
        ticks(7);
        assertThat(mClosed, contains("deaf response-time"));
    }

    @Test
    void testIdleConnectionAndOneThatIsServedAreNotTimed() {
        open("idle");
        open("served").get().handleRequest();
        assertThat(mLoad.tick(), is(false));
        ticks(20);
        assertThat(mClosed, is(empty()));
    }

    @Test
    void testTimeOfARequestStartsAnewWithTheNextOne() {
        ClientLoad.Account client = open("steady").get();
        for (int request = 0; request < 5; request++) {
            client.awaitHeader();
            ticks(2);
            client.handleRequest();
            client.awaitRequest();
        }
        assertThat(mClosed, is(empty()));
    }

    /** However clients behave, no bound is exceeded and all memory is returned in the end. */
    @Property(tries = 200, seed = "20261206")
    void testBoundsHoldForAnyClients(@ForAll long seed) {
        Random random = new Random(seed);
        List<ClientLoad.Account> accounts = new ArrayList<>();
        for (int step = 0; step < 300; step++) {
            if (accounts.isEmpty() || random.nextInt(4) == 0) {
                open("client").forEach(accounts::add);
                continue;
            }
            ClientLoad.Account account = accounts.get(random.nextInt(accounts.size()));
            switch (random.nextInt(6)) {
                case 0 -> account.awaitHeader();
                case 1 -> account.handleRequest();
                case 2 -> account.close();
                case 3 -> account.release(account.heldBytes());
                case 4 -> mLoad.tick();
                default -> account.reserve(random.nextInt(400));
            }
            assertThat(mLoad.connections(), is(lessThanOrEqualTo(MAX_CONNECTIONS)));
            assertThat(mLoad.usedBytes(), is(lessThanOrEqualTo(MAX_MEMORY)));
        }
        accounts.forEach(ClientLoad.Account::close);
        assertThat(mLoad.usedBytes(), is(0L));
        assertThat(mLoad.connections(), is(0));
    }

    private void ticks(int number) {
        for (int tick = 0; tick < number; tick++) {
            mLoad.tick();
        }
    }
}
