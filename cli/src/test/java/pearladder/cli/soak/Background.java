package pearladder.cli.soak;

import java.io.IOException;
import org.msgpack.core.MessageInsufficientBufferException;

/** Threads that end with their sockets. */
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
                // the other side has gone
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
