package pearladder.cli.soak;

import java.io.IOException;
import org.msgpack.core.MessageInsufficientBufferException;

/** Starts daemon threads that end quietly when their socket is closed or they are interrupted. */
final class Background {
    interface Task {
        void run() throws IOException, InterruptedException;
    }

    private Background() {}

    static Thread run(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException | MessageInsufficientBufferException closed) {
                // the connection was closed
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
