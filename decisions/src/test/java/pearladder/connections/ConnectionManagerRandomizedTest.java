package pearladder.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pearladder.connections.ConnectionAction.CloseClientConnection;
import pearladder.connections.ConnectionAction.CloseWorkerConnection;
import pearladder.connections.ConnectionAction.OpenWorkerConnection;
import pearladder.connections.ConnectionAction.UseWorkerConnection;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/** Random sequences of events; the limits and the rules of each action are checked after each event. */
class ConnectionManagerRandomizedTest {
    private static final int STEPS = 3000;
    private static final int MAX_CLIENTS = 3;
    private static final int MAX_WORKER_CONNECTIONS = 4;
    private static final int MAX_IN_FLIGHT = 2;

    private final ConnectionManager manager = new ConnectionManager(new ConnectionManager.ConnectionLimits(
            MAX_CLIENTS, MAX_WORKER_CONNECTIONS, MAX_IN_FLIGHT, TimeSpan.seconds(2), TimeSpan.seconds(10)));
    private final List<ClientConnectionState> clients = new ArrayList<>();
    private final Map<String, List<WorkerConnectionState>> workers = new HashMap<>();
    private MonotonicTime now = new MonotonicTime(1_000_000_000L);

    private List<ConnectionAction> on(ConnectionEvent event) {
        return manager.on(now, event);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void neverExceedsItsLimits(long seed) {
        Random random = new Random(seed);
        for (int i = 0; i < STEPS; i++) {
            now = now.plus(TimeSpan.millis(random.nextInt(400)));
            List<ConnectionAction> actions = randomEvent(random);
            actions.forEach(this::applyClose);
            assertTrue(clients.size() <= MAX_CLIENTS);
            assertTrue(workers.values().stream().mapToInt(List::size).sum() <= MAX_WORKER_CONNECTIONS);
        }
    }

    private List<ConnectionAction> randomEvent(Random random) {
        switch (random.nextInt(6)) {
            case 0:
                ClientConnectionState connection = new ClientConnectionState(now);
                clients.add(connection);
                return on(new ConnectionEvent.ClientConnected(connection));
            case 1:
                if (!clients.isEmpty()) {
                    ClientConnectionState sender = clients.get(random.nextInt(clients.size()));
                    sender.lastMessageAt = now;
                    sender.openRequests = random.nextInt(2);
                }
                return List.of();
            case 2:
                if (!clients.isEmpty()) {
                    on(new ConnectionEvent.ClientDisconnected(clients.remove(random.nextInt(clients.size()))));
                }
                return List.of();
            case 3:
                return on(new ConnectionEvent.Tick());
            default:
                return requestConnection(random);
        }
    }

    private List<ConnectionAction> requestConnection(Random random) {
        String worker = "w" + random.nextInt(3);
        List<WorkerConnectionState> own = workers.computeIfAbsent(worker, key -> new ArrayList<>());
        own.forEach(connection -> connection.suspect = random.nextInt(8) == 0);
        List<WorkerConnectionState> avoided =
                own.stream().filter(connection -> random.nextInt(4) == 0).toList();
        List<ConnectionAction> actions =
                on(new ConnectionEvent.WorkerConnectionRequested(worker, List.copyOf(own), avoided));
        for (ConnectionAction action : actions) {
            if (action instanceof UseWorkerConnection use) {
                send(worker, use.connection(), avoided);
            } else if (action instanceof OpenWorkerConnection open) {
                send(worker, open.connection(), avoided);
                own.add(open.connection());
            }
        }
        own.forEach(connection -> connection.inFlight = random.nextBoolean() ? 0 : connection.inFlight);
        return actions;
    }

    private void send(String worker, WorkerConnectionState connection, List<WorkerConnectionState> avoided) {
        assertEquals(worker, connection.worker);
        assertFalse(connection.suspect || avoided.contains(connection));
        assertTrue(connection.inFlight < MAX_IN_FLIGHT);
        connection.inFlight++;
        connection.established = true;
        connection.lastUsedAt = now;
    }

    private void applyClose(ConnectionAction action) {
        if (action instanceof CloseClientConnection close) {
            assertTrue(clients.remove(close.connection()), "closed once, and only while connected");
        } else if (action instanceof CloseWorkerConnection close) {
            assertTrue(workers.get(close.connection().worker).remove(close.connection()));
            assertEquals(0, close.connection().inFlight, "nothing is in flight on it");
        }
    }
}
