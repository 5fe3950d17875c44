package pearladder.router.kserve;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.streams.ReadStream;

/** Reads the body of an HTTP message into memory, up to a limit, and reports the result once. */
final class BodyReader {
    /** Receives the result: one method is called, once, unless the reader is cancelled. */
    interface Listener {
        void onComplete(Buffer body);

        /** The body has more bytes than the limit; the rest of it is ignored. */
        void onTooLong();

        /** The connection failed before the end of the body. */
        void onFailure(Throwable cause);
    }

    private final ReadStream<Buffer> stream;
    private final long maxBytes;
    private final Listener listener;
    private final Buffer body = Buffer.buffer();
    private boolean ended;

    /** Creates a reader; {@link #start} starts it. */
    BodyReader(ReadStream<Buffer> stream, long maxBytes, Listener listener) {
        this.stream = stream;
        this.maxBytes = maxBytes;
        this.listener = listener;
    }

    void start() {
        stream.exceptionHandler(this::onException);
        stream.handler(this::onData);
        stream.endHandler(end -> onEnd());
    }

    /** Ignores the rest of the body; the listener is not called anymore. */
    void cancel() {
        ended = true;
    }

    private void onException(Throwable cause) {
        if (!ended) {
            ended = true;
            listener.onFailure(cause);
        }
    }

    private void onData(Buffer data) {
        if (ended) {
            return;
        }
        if (body.length() + (long) data.length() > maxBytes) {
            ended = true;
            listener.onTooLong();
        } else {
            body.appendBuffer(data);
        }
    }

    private void onEnd() {
        if (!ended) {
            ended = true;
            listener.onComplete(body);
        }
    }
}
