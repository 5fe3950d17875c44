package pearladder.sockets;

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
import pearladder.api.Moment;
import pearladder.api.Span;
import pearladder.sockets.SocketAction.CloseLink;
import pearladder.sockets.SocketAction.CloseSeat;
import pearladder.sockets.SocketAction.OpenLink;
import pearladder.sockets.SocketAction.UseLink;

class SocketsTest {
    private final Sockets sockets = new Sockets(new Sockets.Holding(3, 4, 2, Span.seconds(2), Span.seconds(10)));
    private Moment now = new Moment(1_000_000_000L);

    private List<SocketAction> on(SocketEvent event) {
        return sockets.on(now, event);
    }

    private Seat come(boolean spoke, int open) {
        Seat seat = new Seat(now);
        seat.spoke = spoke ? now : null;
        seat.callsOpen = open;
        assertEquals(List.of(), on(new SocketEvent.SeatTaken(seat)));
        return seat;
    }

    private Link open(String worker, List<Link> has) {
        List<SocketAction> actions = on(new SocketEvent.LinkWanted(worker, has, List.of()));
        Link link = ((OpenLink) actions.get(actions.size() - 1)).link();
        link.up = true;
        link.out = 1;
        return link;
    }

    @Test
    void aNewcomerTakesThePlaceOfOneThatNeverSpokeThenOfTheLongestIdle() {
        Seat idle = come(true, 0);
        now = now.plus(Span.millis(10));
        Seat working = come(true, 2);
        Seat silent = come(false, 0);
        assertEquals(
                List.of(new CloseSeat(silent, "too many connections")), on(new SocketEvent.SeatTaken(new Seat(now))));
        Seat newcomer = new Seat(now);
        newcomer.spoke = now;
        CloseSeat next = (CloseSeat) on(new SocketEvent.SeatTaken(newcomer)).get(0);
        assertNotSame(working, next.seat());
        assertNotSame(idle, next.seat(), "the one before it still never spoke");
    }

    @Test
    void whoSaysNothingWholeOrReadsNothingIsClosedInTime() {
        Seat silent = come(false, 0);
        Seat half = come(true, 0);
        half.partSince = now;
        Seat stuck = come(true, 1);
        stuck.stuckSince = now;
        now = now.plus(Span.millis(1900));
        assertEquals(List.of(), on(new SocketEvent.Beat()));
        now = now.plus(Span.millis(200));
        assertEquals(
                List.of(silent, half, stuck),
                on(new SocketEvent.Beat()).stream()
                        .map(a -> ((CloseSeat) a).seat())
                        .toList());
        assertEquals(List.of(), on(new SocketEvent.Beat()), "each is closed once");
    }

    @Test
    void whoSendsOnlyWhatCantBeUsedIsClosed() {
        Seat seat = come(true, 0);
        seat.unusable = 1000;
        assertSame(seat, ((CloseSeat) on(new SocketEvent.Beat()).get(0)).seat());
    }

    @Test
    void callsShareAConnectionOnlyWhereNoFurtherOneMayBeOpened() {
        Link first = open("a", List.of());
        Link second = open("a", List.of(first));
        first.out = 0;
        assertEquals(
                List.of(new UseLink(first)), on(new SocketEvent.LinkWanted("a", List.of(first, second), List.of())));
        first.out = 1;
        open("b", List.of());
        open("b", List.of());
        assertEquals(
                List.of(new UseLink(first)), on(new SocketEvent.LinkWanted("a", List.of(first, second), List.of())));
        assertEquals(
                List.of(new UseLink(second)),
                on(new SocketEvent.LinkWanted("a", List.of(first, second), List.of(first))));
        first.out = 2;
        second.out = 2;
        assertEquals(
                List.of(),
                on(new SocketEvent.LinkWanted("a", List.of(first, second), List.of())),
                "all streams are taken");
    }

    @Test
    void aDoubtedConnectionGetsNothingNewAndAnUnusedOneElsewhereMakesRoom() {
        Link doubted = open("a", List.of());
        doubted.doubted = true;
        Link unused = open("b", List.of());
        open("b", List.of());
        open("b", List.of());
        unused.out = 0;
        List<SocketAction> actions = on(new SocketEvent.LinkWanted("a", List.of(doubted), List.of()));
        assertEquals(new CloseLink(unused), actions.get(0));
        assertTrue(actions.get(1) instanceof OpenLink);
    }

    @Test
    void anUnusedConnectionIsClosedBeforeItsWorkerDoesIt() {
        Link link = open("a", List.of());
        now = now.plus(Span.seconds(11));
        assertEquals(List.of(), on(new SocketEvent.Beat()), "something is out on it");
        link.out = 0;
        assertEquals(List.of(new CloseLink(link)), on(new SocketEvent.Beat()));
    }

    @Test
    void anUnusedConnectionThatStillComesUpMakesNoRoomAndIsNotClosedAsIdle() {
        for (String worker : List.of("a", "b", "c", "d")) {
            Link connecting = open(worker, List.of());
            connecting.up = false;
            connecting.out = 0;
        }
        assertEquals(List.of(), on(new SocketEvent.LinkWanted("e", List.of(), List.of())));
        now = now.plus(Span.seconds(11));
        assertEquals(List.of(), on(new SocketEvent.Beat()));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void whateverHappensNoMoreIsHeldThanMayBe(long seed) {
        Random chance = new Random(seed);
        List<Seat> seats = new ArrayList<>();
        Map<String, List<Link>> links = new HashMap<>();
        for (int i = 0; i < 3000; i++) {
            now = now.plus(Span.millis(chance.nextInt(400)));
            List<SocketAction> actions = List.of();
            switch (chance.nextInt(6)) {
                case 0 -> {
                    Seat seat = new Seat(now);
                    seats.add(seat);
                    actions = on(new SocketEvent.SeatTaken(seat));
                }
                case 1 -> {
                    if (!seats.isEmpty()) {
                        Seat seat = seats.get(chance.nextInt(seats.size()));
                        seat.spoke = now;
                        seat.callsOpen = chance.nextInt(2);
                    }
                }
                case 2 -> {
                    if (!seats.isEmpty()) {
                        on(new SocketEvent.SeatLeft(seats.remove(chance.nextInt(seats.size()))));
                    }
                }
                case 3 -> actions = on(new SocketEvent.Beat());
                default -> {
                    String worker = "w" + chance.nextInt(3);
                    List<Link> own = links.computeIfAbsent(worker, w -> new ArrayList<>());
                    own.forEach(link -> link.doubted = chance.nextInt(8) == 0);
                    List<Link> avoided =
                            own.stream().filter(link -> chance.nextInt(4) == 0).toList();
                    actions = on(new SocketEvent.LinkWanted(worker, List.copyOf(own), avoided));
                    for (SocketAction action : actions) {
                        Link link = action instanceof UseLink use
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
            for (SocketAction action : actions) {
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
