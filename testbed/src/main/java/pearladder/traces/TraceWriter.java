package pearladder.traces;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigDecimal;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;

/** Writes requests in the plain layout: those in a window of time, of a share of models chosen by a seeded hash. */
public final class TraceWriter implements Consumer<TraceRequest>, AutoCloseable {
    private static final int NANOS_PER_SECOND_DIGITS = 9;
    private static final int NANOS_PER_MILLI_DIGITS = 6;

    private final CSVPrinter printer;
    private final Predicate<TraceRequest> included;
    private final long fromNanos;
    private long first;
    private boolean started;
    private long written;

    /**
     * Creates a writer and writes the header.
     *
     * @param fromNanos start of the window, since the first request
     * @param toNanos end of the window (exclusive), since the first request
     * @param share of the models, 0 to 1; the requests of a model are written all or none
     */
    public TraceWriter(Appendable out, long fromNanos, long toNanos, double share, int seed) throws IOException {
        this.printer = CSVFormat.DEFAULT
                .builder()
                .setRecordSeparator('\n')
                .setHeader(Layout.PLAIN.header().toArray(String[]::new))
                .get()
                .print(out);
        this.fromNanos = fromNanos;
        this.included = request -> request.at() - first >= fromNanos
                && request.at() - first < toNanos
                && (share >= 1 || Hashes.unitInterval(request.model(), seed) < share);
    }

    @Override
    public void accept(TraceRequest request) {
        if (!started) {
            started = true;
            first = request.at();
        }
        if (!included.test(request)) {
            return;
        }
        long at = request.at() - first - fromNanos;
        try {
            printer.printRecord(
                    decimals(at, NANOS_PER_SECOND_DIGITS),
                    request.model(),
                    request.work() == 0 ? "" : decimals(request.work(), NANOS_PER_MILLI_DIGITS),
                    Double.isNaN(request.memoryMb()) ? "" : String.format(Locale.ROOT, "%.1f", request.memoryMb()),
                    request.requestClass(),
                    request.tenant());
            written++;
        } catch (IOException broken) {
            throw new UncheckedIOException(broken);
        }
    }

    /** Returns {@code value} divided by 10 to the power of {@code places}, exactly. */
    private static String decimals(long value, int places) {
        return BigDecimal.valueOf(value, places).stripTrailingZeros().toPlainString();
    }

    /** Returns the number of requests written. */
    public long written() {
        return written;
    }

    @Override
    public void close() throws IOException {
        printer.close(true);
    }
}
