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
import pearladder.connections.ConnectionAction.CloseLink;
import pearladder.connections.ConnectionAction.CloseSeat;
import pearladder.connections.ConnectionAction.OpenLink;
import pearladder.connections.ConnectionAction.UseLink;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/** Random sequences of events; the limits and the rules of each action are checked after each event. */
class ConnectionManagerRandomizedTest {
    private static final int STEPS = 3000;
    private static final int MAX_CLIENTS = 3;
    private static final int MAX_WORKER_CONNECTIONS = 4;
    private static final int MAX_IN_FLIGHT = 2;

    private final ConnectionManager manager = new ConnectionManager(new ConnectionManager.Holding(
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
                return on(new ConnectionEvent.SeatTaken(connection));
            case 1:
                if (!clients.isEmpty()) {
                    ClientConnectionState sender = clients.get(random.nextInt(clients.size()));
                    sender.spoke = now;
                    sender.callsOpen = random.nextInt(2);
                }
                return List.of();
            case 2:
                if (!clients.isEmpty()) {
                    on(new ConnectionEvent.SeatLeft(clients.remove(random.nextInt(clients.size()))));
                }
                return List.of();
            case 3:
                return on(new ConnectionEvent.Beat());
            default:
                return requestConnection(random);
        }
    }

    private List<ConnectionAction> requestConnection(Random random) {
        String worker = "w" + random.nextInt(3);
        List<WorkerConnectionState> own = workers.computeIfAbsent(worker, key -> new ArrayList<>());
        own.forEach(connection -> connection.doubted = random.nextInt(8) == 0);
        List<WorkerConnectionState> avoided =
                own.stream().filter(connection -> random.nextInt(4) == 0).toList();
        List<ConnectionAction> actions = on(new ConnectionEvent.LinkWanted(worker, List.copyOf(own), avoided));
        for (ConnectionAction action : actions) {
            if (action instanceof UseLink use) {
                send(worker, use.link(), avoided);
            } else if (action instanceof OpenLink open) {
                send(worker, open.link(), avoided);
                own.add(open.link());
            }
        }
        own.forEach(connection -> connection.out = random.nextBoolean() ? 0 : connection.out);
        return actions;
    }

    private void send(String worker, WorkerConnectionState connection, List<WorkerConnectionState> avoided) {
        assertEquals(worker, connection.worker);
        assertFalse(connection.doubted || avoided.contains(connection));
        assertTrue(connection.out < MAX_IN_FLIGHT);
        connection.out++;
        connection.up = true;
        connection.used = now;
    }

    private void applyClose(ConnectionAction action) {
        if (action instanceof CloseSeat close) {
            assertTrue(clients.remove(close.seat()), "closed once, and only while connected");
        } else if (action instanceof CloseLink close) {
            assertTrue(workers.get(close.link().worker).remove(close.link()));
            assertEquals(0, close.link().out, "nothing is in flight on it");
        }
    }
}
