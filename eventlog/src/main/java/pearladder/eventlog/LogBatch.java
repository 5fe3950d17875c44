package pearladder.eventlog;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.zip.CRC32C;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/** Entries as bytes: CBOR rows, deflated. The engine's, model's and account's names repeat, so that little is left of them. */
final class LogBatch {
    /** An entry with its place in its batch, which outlives a compaction. */
    record Row(int place, LogEntry entry) {}

    private static final CBORFactory CBOR = new CBORFactory();
    private static final int LARGEST = 64 << 20;

    private LogBatch() {}

    static List<Row> rows(List<LogEntry> entries) {
        return IntStream.range(0, entries.size())
                .mapToObj(i -> new Row(i, entries.get(i)))
                .toList();
    }

    static byte[] encode(List<Row> batch) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try (DeflaterOutputStream packed = new DeflaterOutputStream(bytes, deflater);
                JsonGenerator rows = CBOR.createGenerator(packed)) {
            rows.writeStartArray();
            for (Row row : batch) {
                LogEntry entry = row.entry();
                rows.writeStartArray();
                rows.writeNumber(row.place());
                rows.writeNumber(entry.at());
                rows.writeNumber(entry.kind().code);
                rows.writeString(entry.call());
                rows.writeString(entry.model());
                rows.writeString(entry.account());
                rows.writeString(entry.engine());
                rows.writeString(entry.note());
                rows.writeNumber(entry.amount());
                rows.writeNumber(entry.took());
                rows.writeEndArray();
            }
            rows.writeEndArray();
        } finally {
            deflater.end();
        }
        return bytes.toByteArray();
    }

    /** Entries of a kind that this build doesn't know are passed over: a later one may write them in the same format. */
    static List<Row> decode(byte[] bytes) throws IOException {
        List<Row> entries = new ArrayList<>();
        try (JsonParser rows = CBOR.createParser(new InflaterInputStream(new ByteArrayInputStream(bytes)))) {
            expect(rows.nextToken() == JsonToken.START_ARRAY);
            long read = 0;
            while (rows.nextToken() == JsonToken.START_ARRAY) {
                int place = rows.nextIntValue(0);
                long at = rows.nextLongValue(0);
                LogEntryType kind = LogEntryType.of(rows.nextIntValue(0));
                LogEntry entry = new LogEntry(
                        at,
                        kind == null ? LogEntryType.DROPPED : kind,
                        text(rows),
                        text(rows),
                        text(rows),
                        text(rows),
                        text(rows),
                        rows.nextLongValue(0),
                        rows.nextLongValue(0));
                expect(rows.nextToken() == JsonToken.END_ARRAY);
                read += entry.call().length() + entry.note().length() + 64;
                expect(read < LARGEST);
                if (kind != null) {
                    entries.add(new Row(place, entry));
                }
            }
            expect(rows.currentToken() == JsonToken.END_ARRAY);
        }
        return entries;
    }

    private static String text(JsonParser rows) throws IOException {
        String text = rows.nextTextValue();
        expect(text != null);
        return text;
    }

    private static void expect(boolean holds) throws IOException {
        if (!holds) {
            throw new IOException("rows of another form");
        }
    }

    static long sum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes);
        return crc.getValue();
    }
}
