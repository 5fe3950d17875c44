package pearladder.cli.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/** A request of a well-behaved client and what its client and the workers observed. Times are {@code nanoTime}. */
final class SoakRequest {
    /** The request classes of the settings, by the effect of a repeated execution. */
    enum RequestClass {
        DRAFT("draft", false),
        COMMIT("commit", false),
        PAYMENT("payment", true);

        final String method;
        final boolean runsOnceOnly;

        RequestClass(String method, boolean runsOnceOnly) {
            this.method = method;
            this.runsOnceOnly = runsOnceOnly;
        }
    }

    /** The arrival of an attempt or load request; {@code drainingSince} is zero if the worker was in service. */
    record Arrival(String worker, long arrivedAt, long drainingSince) {}

    /** An attempt as received by a worker. */
    record Attempt(Arrival arrival, long limitMillis, String key, byte[] body, boolean executed) {}

    final String id;
    final RequestClass requestClass;
    final long budgetMillis;
    final byte[] body;
    /** The router that received the request. */
    final String router;

    final int routerIncarnation;
    final long sentAt;
    private final LongSupplier clock;
    private final List<Attempt> attempts = new ArrayList<>();
    private int answers;
    private boolean successful;
    private byte[] answerBody;
    private long answeredAt;
    private long leftAt;
    private long connectionLostAt;

    /** @param incarnation incarnation of the router when the connection of the request was opened */
    SoakRequest(String id, RequestClass requestClass, long budgetMillis, byte[] body, String router, int incarnation) {
        this(id, requestClass, budgetMillis, body, router, incarnation, System::nanoTime);
    }

    /** @param clock in nanoseconds */
    SoakRequest(
            String id,
            RequestClass requestClass,
            long budgetMillis,
            byte[] body,
            String router,
            int incarnation,
            LongSupplier clock) {
        this.id = id;
        this.requestClass = requestClass;
        this.budgetMillis = budgetMillis;
        this.body = body;
        this.router = router;
        this.routerIncarnation = incarnation;
        this.clock = clock;
        this.sentAt = clock.getAsLong();
    }

    synchronized void onAttempt(Attempt attempt) {
        attempts.add(attempt);
    }

    synchronized void onAnswer(boolean success, byte[] responseBody) {
        answers++;
        successful = success;
        answerBody = responseBody;
        answeredAt = clock.getAsLong();
    }

    /** Records that the client sent an interrupt or closed its connection. */
    synchronized void onLeft() {
        leftAt = leftAt == 0 ? clock.getAsLong() : leftAt;
    }

    synchronized void onConnectionLost() {
        connectionLostAt = connectionLostAt == 0 ? clock.getAsLong() : connectionLostAt;
    }

    synchronized boolean isOpen() {
        return answers == 0 && leftAt == 0 && connectionLostAt == 0;
    }

    synchronized List<Attempt> attempts() {
        return List.copyOf(attempts);
    }

    synchronized int answers() {
        return answers;
    }

    synchronized boolean isSuccessful() {
        return successful;
    }

    synchronized byte[] answerBody() {
        return answerBody;
    }

    /** Returns the time of the last answer; zero if there is none. */
    synchronized long answeredAt() {
        return answeredAt;
    }

    /** Returns when the client left; zero if it did not. */
    synchronized long leftAt() {
        return leftAt;
    }

    /** Returns when the connection was lost; zero if it was not. */
    synchronized long connectionLostAt() {
        return connectionLostAt;
    }
}
