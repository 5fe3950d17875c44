package pearladder.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pearladder.connections.ConnectionAction.CloseLink;
import pearladder.connections.ConnectionAction.CloseSeat;
import pearladder.connections.ConnectionAction.OpenLink;
import pearladder.connections.ConnectionAction.UseLink;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

class SocketsTest {
    private final ConnectionManager sockets =
            new ConnectionManager(new ConnectionManager.Holding(3, 4, 2, TimeSpan.seconds(2), TimeSpan.seconds(10)));
    private MonotonicTime now = new MonotonicTime(1_000_000_000L);

    private List<ConnectionAction> on(ConnectionEvent event) {
        return sockets.on(now, event);
    }

    private ClientConnectionState come(boolean spoke, int open) {
        ClientConnectionState seat = new ClientConnectionState(now);
        seat.spoke = spoke ? now : null;
        seat.callsOpen = open;
        assertEquals(List.of(), on(new ConnectionEvent.SeatTaken(seat)));
        return seat;
    }

    private WorkerConnectionState open(String worker, List<WorkerConnectionState> has) {
        List<ConnectionAction> actions = on(new ConnectionEvent.LinkWanted(worker, has, List.of()));
        WorkerConnectionState link = ((OpenLink) actions.get(actions.size() - 1)).link();
        link.up = true;
        link.out = 1;
        return link;
    }

    @Test
    void aNewcomerTakesThePlaceOfOneThatNeverSpokeThenOfTheLongestIdle() {
        ClientConnectionState idle = come(true, 0);
        now = now.plus(TimeSpan.millis(10));
        ClientConnectionState working = come(true, 2);
        ClientConnectionState silent = come(false, 0);
        assertEquals(
                List.of(new CloseSeat(silent, "too many connections")),
                on(new ConnectionEvent.SeatTaken(new ClientConnectionState(now))));
        ClientConnectionState newcomer = new ClientConnectionState(now);
        newcomer.spoke = now;
        CloseSeat next = (CloseSeat) on(new ConnectionEvent.SeatTaken(newcomer)).get(0);
        assertNotSame(working, next.seat());
        assertNotSame(idle, next.seat(), "the one before it still never spoke");
    }

    @Test
    void whoSaysNothingWholeOrReadsNothingIsClosedInTime() {
        ClientConnectionState silent = come(false, 0);
        ClientConnectionState half = come(true, 0);
        half.partSince = now;
        ClientConnectionState stuck = come(true, 1);
        stuck.stuckSince = now;
        now = now.plus(TimeSpan.millis(1900));
        assertEquals(List.of(), on(new ConnectionEvent.Beat()));
        now = now.plus(TimeSpan.millis(200));
        assertEquals(
                List.of(silent, half, stuck),
                on(new ConnectionEvent.Beat()).stream()
                        .map(a -> ((CloseSeat) a).seat())
                        .toList());
        assertEquals(List.of(), on(new ConnectionEvent.Beat()), "each is closed once");
    }

    @Test
    void whoSendsOnlyWhatCantBeUsedIsClosed() {
        ClientConnectionState seat = come(true, 0);
        seat.unusable = 1000;
        assertSame(seat, ((CloseSeat) on(new ConnectionEvent.Beat()).get(0)).seat());
    }

    @Test
    void callsShareAConnectionOnlyWhereNoFurtherOneMayBeOpened() {
        WorkerConnectionState first = open("a", List.of());
        WorkerConnectionState second = open("a", List.of(first));
        first.out = 0;
        assertEquals(
                List.of(new UseLink(first)),
                on(new ConnectionEvent.LinkWanted("a", List.of(first, second), List.of())));
        first.out = 1;
        open("b", List.of());
        open("b", List.of());
        assertEquals(
                List.of(new UseLink(first)),
                on(new ConnectionEvent.LinkWanted("a", List.of(first, second), List.of())));
        assertEquals(
                List.of(new UseLink(second)),
                on(new ConnectionEvent.LinkWanted("a", List.of(first, second), List.of(first))));
        first.out = 2;
        second.out = 2;
        assertEquals(
                List.of(),
                on(new ConnectionEvent.LinkWanted("a", List.of(first, second), List.of())),
                "all streams are taken");
    }

    @Test
    void aDoubtedConnectionGetsNothingNewAndAnUnusedOneElsewhereMakesRoom() {
        WorkerConnectionState doubted = open("a", List.of());
        doubted.doubted = true;
        WorkerConnectionState unused = open("b", List.of());
        open("b", List.of());
        open("b", List.of());
        unused.out = 0;
        List<ConnectionAction> actions = on(new ConnectionEvent.LinkWanted("a", List.of(doubted), List.of()));
        assertEquals(new CloseLink(unused), actions.get(0));
        assertTrue(actions.get(1) instanceof OpenLink);
    }

    @Test
    void anUnusedConnectionIsClosedBeforeItsWorkerDoesIt() {
        WorkerConnectionState link = open("a", List.of());
        now = now.plus(TimeSpan.seconds(11));
        assertEquals(List.of(), on(new ConnectionEvent.Beat()), "something is out on it");
        link.out = 0;
        assertEquals(List.of(new CloseLink(link)), on(new ConnectionEvent.Beat()));
    }

    @Test
    void anUnusedConnectionThatStillComesUpMakesNoRoomAndIsNotClosedAsIdle() {
        for (String worker : List.of("a", "b", "c", "d")) {
            WorkerConnectionState connecting = open(worker, List.of());
            connecting.up = false;
            connecting.out = 0;
        }
        assertEquals(List.of(), on(new ConnectionEvent.LinkWanted("e", List.of(), List.of())));
        now = now.plus(TimeSpan.seconds(11));
        assertEquals(List.of(), on(new ConnectionEvent.Beat()));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void whateverHappensNoMoreIsHeldThanMayBe(long seed) {
        Random chance = new Random(seed);
        List<ClientConnectionState> seats = new ArrayList<>();
        Map<String, List<WorkerConnectionState>> links = new HashMap<>();
        for (int i = 0; i < 3000; i++) {
            now = now.plus(TimeSpan.millis(chance.nextInt(400)));
            List<ConnectionAction> actions = List.of();
            switch (chance.nextInt(6)) {
                case 0 -> {
                    ClientConnectionState seat = new ClientConnectionState(now);
                    seats.add(seat);
                    actions = on(new ConnectionEvent.SeatTaken(seat));
                }
                case 1 -> {
                    if (!seats.isEmpty()) {
                        ClientConnectionState seat = seats.get(chance.nextInt(seats.size()));
                        seat.spoke = now;
                        seat.callsOpen = chance.nextInt(2);
                    }
                }
                case 2 -> {
                    if (!seats.isEmpty()) {
                        on(new ConnectionEvent.SeatLeft(seats.remove(chance.nextInt(seats.size()))));
                    }
                }
                case 3 -> actions = on(new ConnectionEvent.Beat());
                default -> {
                    String worker = "w" + chance.nextInt(3);
                    List<WorkerConnectionState> own = links.computeIfAbsent(worker, w -> new ArrayList<>());
                    own.forEach(link -> link.doubted = chance.nextInt(8) == 0);
                    List<WorkerConnectionState> avoided =
                            own.stream().filter(link -> chance.nextInt(4) == 0).toList();
                    actions = on(new ConnectionEvent.LinkWanted(worker, List.copyOf(own), avoided));
                    for (ConnectionAction action : actions) {
                        WorkerConnectionState link = action instanceof UseLink use
                                ? use.link()
                                : action instanceof OpenLink open ? open.link() : null;
                        if (link != null) {
                            assertEquals(worker, link.worker);
                            assertFalse(link.doubted || avoided.contains(link));
                            assertTrue(link.out < 2);
                            link.out++;
                            link.up = true;
                            link.used = now;
                            if (action instanceof OpenLink) {
                                own.add(link);
                            }
                        }
                    }
                    own.forEach(link -> link.out = chance.nextBoolean() ? 0 : link.out);
                }
            }
            for (ConnectionAction action : actions) {
                if (action instanceof CloseSeat close) {
                    assertTrue(seats.remove(close.seat()), "closed once, and only who is there");
                } else if (action instanceof CloseLink close) {
                    assertTrue(links.get(close.link().worker).remove(close.link()));
                    assertEquals(0, close.link().out, "nothing is out on it");
                }
            }
            assertTrue(seats.size() <= 3);
            assertTrue(links.values().stream().mapToInt(List::size).sum() <= 4);
        }
    }
}
