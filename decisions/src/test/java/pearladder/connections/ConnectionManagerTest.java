package pearladder.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import pearladder.connections.ConnectionAction.CloseClientConnection;
import pearladder.connections.ConnectionAction.CloseWorkerConnection;
import pearladder.connections.ConnectionAction.OpenWorkerConnection;
import pearladder.connections.ConnectionAction.UseWorkerConnection;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

class ConnectionManagerTest {
    /** At most 3 client connections, 4 worker connections and 2 commands in flight on each of these. */
    private final ConnectionManager manager = new ConnectionManager(
            new ConnectionManager.ConnectionLimits(3, 4, 2, TimeSpan.seconds(2), TimeSpan.seconds(10)));

    private MonotonicTime now = new MonotonicTime(1_000_000_000L);

    private List<ConnectionAction> on(ConnectionEvent event) {
        return manager.on(now, event);
    }

    private List<ConnectionAction> tick() {
        return on(new ConnectionEvent.Tick());
    }

    private List<ConnectionAction> request(String worker, List<WorkerConnectionState> connections) {
        return on(new ConnectionEvent.WorkerConnectionRequested(worker, connections, List.of()));
    }

    private void advance(TimeSpan span) {
        now = now.plus(span);
    }

    private ClientConnectionState connect(boolean hasSentMessage, int openRequests) {
        ClientConnectionState connection = new ClientConnectionState(now);
        connection.lastMessageAt = hasSentMessage ? now : null;
        connection.openRequests = openRequests;
        assertEquals(List.of(), on(new ConnectionEvent.ClientConnected(connection)));
        return connection;
    }

    /** Opens one more connection to the worker, with one command in flight. */
    private WorkerConnectionState open(String worker, List<WorkerConnectionState> connections) {
        List<ConnectionAction> actions = request(worker, connections);
        WorkerConnectionState connection = ((OpenWorkerConnection) actions.get(actions.size() - 1)).connection();
        connection.established = true;
        connection.inFlight = 1;
        return connection;
    }

    @Test
    void closesAClientThatNeverSentAnythingWhenTheLimitIsExceeded() {
        ClientConnectionState idle = connect(true, 0);
        advance(TimeSpan.millis(10));
        ClientConnectionState working = connect(true, 2);
        ClientConnectionState silent = connect(false, 0);
        assertEquals(
                List.of(new CloseClientConnection(silent, "too many connections")),
                on(new ConnectionEvent.ClientConnected(new ClientConnectionState(now))));
        ClientConnectionState newest = new ClientConnectionState(now);
        newest.lastMessageAt = now;
        CloseClientConnection next = (CloseClientConnection)
                on(new ConnectionEvent.ClientConnected(newest)).get(0);
        assertNotSame(working, next.connection());
        assertNotSame(idle, next.connection(), "the client accepted before has sent nothing either");
    }

    @Test
    void closesClientsThatSendNoCompleteMessageOrReadNothingAfterTheTimeout() {
        ClientConnectionState silent = connect(false, 0);
        ClientConnectionState partial = connect(true, 0);
        partial.partialMessageSince = now;
        ClientConnectionState notReading = connect(true, 1);
        notReading.notReadingSince = now;
        advance(TimeSpan.millis(1900));
        assertEquals(List.of(), tick());
        advance(TimeSpan.millis(200));
        assertEquals(
                List.of(silent, partial, notReading),
                tick().stream()
                        .map(action -> ((CloseClientConnection) action).connection())
                        .toList());
        assertEquals(List.of(), tick(), "each is closed once");
    }

    @Test
    void closesAClientThatSendsTooManyUnusableMessages() {
        ClientConnectionState connection = connect(true, 0);
        connection.unusableMessages = 1000;
        assertSame(connection, ((CloseClientConnection) tick().get(0)).connection());
    }

    @Test
    void sharesAWorkerConnectionOnlyWhenNoFurtherOneMayBeOpened() {
        WorkerConnectionState first = open("a", List.of());
        WorkerConnectionState second = open("a", List.of(first));
        List<WorkerConnectionState> both = List.of(first, second);
        first.inFlight = 0;
        assertEquals(List.of(new UseWorkerConnection(first)), request("a", both));
        first.inFlight = 1;
        open("b", List.of());
        open("b", List.of());
        assertEquals(List.of(new UseWorkerConnection(first)), request("a", both));
        assertEquals(
                List.of(new UseWorkerConnection(second)),
                on(new ConnectionEvent.WorkerConnectionRequested("a", both, List.of(first))));
        first.inFlight = 2;
        second.inFlight = 2;
        assertEquals(List.of(), request("a", both), "both have the most commands in flight");
    }

    @Test
    void closesAnUnusedConnectionOfAnotherWorkerRatherThanUseASuspectOne() {
        WorkerConnectionState suspect = open("a", List.of());
        suspect.suspect = true;
        WorkerConnectionState unused = open("b", List.of());
        open("b", List.of());
        open("b", List.of());
        unused.inFlight = 0;
        List<ConnectionAction> actions = request("a", List.of(suspect));
        assertEquals(new CloseWorkerConnection(unused), actions.get(0));
        assertTrue(actions.get(1) instanceof OpenWorkerConnection);
    }

    @Test
    void closesAnUnusedWorkerConnectionAfterTheIdleTimeout() {
        WorkerConnectionState connection = open("a", List.of());
        advance(TimeSpan.seconds(11));
        assertEquals(List.of(), tick(), "a command is in flight on it");
        connection.inFlight = 0;
        assertEquals(List.of(new CloseWorkerConnection(connection)), tick());
    }

    @Test
    void keepsAnUnusedConnectionThatIsStillBeingOpened() {
        for (String worker : List.of("a", "b", "c", "d")) {
            WorkerConnectionState opening = open(worker, List.of());
            opening.established = false;
            opening.inFlight = 0;
        }
        assertEquals(List.of(), request("e", List.of()), "none may be closed for a new one");
        advance(TimeSpan.seconds(11));
        assertEquals(List.of(), tick(), "none is closed as idle");
    }
}
