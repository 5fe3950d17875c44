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

/** Encodes a batch of entries as a CBOR array of arrays, which is deflated because names repeat within a batch. */
final class LogBatch {
    /**
     * An entry in a batch.
     *
     * @param index index in the batch when it was written; not changed by a compaction
     */
    record Row(int index, LogEntry entry) {}

    private static final CBORFactory CBOR = new CBORFactory();
    /** Limits the memory that a damaged batch can take when it is inflated. */
    private static final int MAX_DECODED_BYTES = 64 << 20;
    /** Approximate size of an entry without its request id and note. */
    private static final int BYTES_PER_ENTRY = 64;

    private LogBatch() {}

    static List<Row> rows(List<LogEntry> entries) {
        return IntStream.range(0, entries.size())
                .mapToObj(i -> new Row(i, entries.get(i)))
                .toList();
    }

    static byte[] encode(List<Row> batch) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try (DeflaterOutputStream deflated = new DeflaterOutputStream(bytes, deflater);
                JsonGenerator cbor = CBOR.createGenerator(deflated)) {
            cbor.writeStartArray();
            for (Row row : batch) {
                write(cbor, row);
            }
            cbor.writeEndArray();
        } finally {
            deflater.end();
        }
        return bytes.toByteArray();
    }

    private static void write(JsonGenerator cbor, Row row) throws IOException {
        LogEntry entry = row.entry();
        cbor.writeStartArray();
        cbor.writeNumber(row.index());
        cbor.writeNumber(entry.at());
        cbor.writeNumber(entry.type().number);
        cbor.writeString(entry.requestId());
        cbor.writeString(entry.function());
        cbor.writeString(entry.tenant());
        cbor.writeString(entry.worker());
        cbor.writeString(entry.note());
        cbor.writeNumber(entry.amount());
        cbor.writeNumber(entry.micros());
        cbor.writeEndArray();
    }

    /**
     * Decodes a batch. Skips entries of unknown types, as a later version may write new types in the same format.
     */
    static List<Row> decode(byte[] bytes) throws IOException {
        List<Row> rows = new ArrayList<>();
        try (JsonParser cbor = CBOR.createParser(new InflaterInputStream(new ByteArrayInputStream(bytes)))) {
            expect(cbor.nextToken() == JsonToken.START_ARRAY);
            long decodedBytes = 0;
            while (cbor.nextToken() == JsonToken.START_ARRAY) {
                int index = cbor.nextIntValue(0);
                long at = cbor.nextLongValue(0);
                LogEntryType type = LogEntryType.of(cbor.nextIntValue(0));
                LogEntry entry = readEntry(cbor, at, type == null ? LogEntryType.DROPPED : type);
                expect(cbor.nextToken() == JsonToken.END_ARRAY);
                decodedBytes += entry.requestId().length() + entry.note().length() + BYTES_PER_ENTRY;
                expect(decodedBytes < MAX_DECODED_BYTES);
                if (type != null) {
                    rows.add(new Row(index, entry));
                }
            }
            expect(cbor.currentToken() == JsonToken.END_ARRAY);
        }
        return rows;
    }

    /** Reads the fields after the type. */
    private static LogEntry readEntry(JsonParser cbor, long at, LogEntryType type) throws IOException {
        String requestId = readText(cbor);
        String function = readText(cbor);
        String tenant = readText(cbor);
        String worker = readText(cbor);
        String note = readText(cbor);
        long amount = cbor.nextLongValue(0);
        long micros = cbor.nextLongValue(0);
        return new LogEntry(at, type, requestId, function, tenant, worker, note, amount, micros);
    }

    private static String readText(JsonParser cbor) throws IOException {
        String text = cbor.nextTextValue();
        expect(text != null);
        return text;
    }

    private static void expect(boolean condition) throws IOException {
        if (!condition) {
            throw new IOException("the batch does not have the expected structure");
        }
    }

    /** Returns the CRC-32C checksum of an encoded batch. */
    static long checksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes);
        return crc.getValue();
    }
}
