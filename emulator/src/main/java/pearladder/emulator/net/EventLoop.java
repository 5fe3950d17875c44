package pearladder.emulator.net;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** An event loop on which other threads run tasks and wait for their results. */
final class EventLoop {
    private static final int TIMEOUT_SECONDS = 20;

    private final Context context;

    EventLoop(Vertx vertx) {
        this.context = vertx.getOrCreateContext();
    }

    /**
     * Runs a task on the loop and waits for its result; must not be called on the loop itself.
     *
     * @throws IllegalStateException if the task fails or does not complete within 20 s
     */
    <T> T call(Supplier<Future<T>> task) {
        CountDownLatch ended = new CountDownLatch(1);
        Promise<T> promise = Promise.promise();
        context.runOnContext(run -> {
            try {
                task.get().onComplete(promise);
            } catch (RuntimeException e) {
                promise.fail(e);
            }
        });
        promise.future().onComplete(result -> ended.countDown());
        try {
            if (!ended.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new IllegalStateException(
                        "a task on the event loop did not complete within " + TIMEOUT_SECONDS + " s");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
        if (promise.future().failed()) {
            throw new IllegalStateException(promise.future().cause());
        }
        return promise.future().result();
    }
}
