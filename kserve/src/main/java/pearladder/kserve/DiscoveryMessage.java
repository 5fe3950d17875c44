package pearladder.kserve;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;

/**
 * A message of the discovery service: one line with a JSON object that contains the complete endpoint list, changes
 * to it, or only a heartbeat.
 *
 * @param kind kind of the message's content
 * @param version version of the endpoint list after this message; never decreases
 * @param entries the workers in the message
 */
public record DiscoveryMessage(Kind kind, long version, List<Entry> entries) {
    /** The kind of a message's content. */
    public enum Kind {
        /** The complete endpoint list. */
        WHOLE("whole"),
        /** New and changed entries. */
        CHANGES("changes"),
        /** A heartbeat. */
        BEAT("beat");

        private final String code;

        Kind(String code) {
            this.code = code;
        }

        /** Returns the name in messages; part of the protocol. */
        public String code() {
            return code;
        }

        private static Kind parse(String code) throws IOException {
            for (Kind kind : values()) {
                if (kind.code.equalsIgnoreCase(code)) {
                    return kind;
                }
            }
            throw unknownWord(code);
        }
    }

    /** A worker's state. */
    public enum WorkerState {
        /** Accepts requests. */
        IN_SERVICE("in_service"),
        /** Accepts no new requests and completes those in flight. */
        DRAINING("draining"),
        /** No longer listed. */
        GONE("gone");

        private final String code;

        WorkerState(String code) {
            this.code = code;
        }

        /** Returns the name in messages; part of the protocol. */
        public String code() {
            return code;
        }

        private static WorkerState parse(String code) throws IOException {
            for (WorkerState state : values()) {
                if (state.code.equalsIgnoreCase(code)) {
                    return state;
                }
            }
            throw unknownWord(code);
        }
    }

    /**
     * A worker in the endpoint list.
     *
     * @param worker name of the worker
     * @param host host that it listens on
     * @param port port that it listens on
     * @param zone zone of the worker
     * @param kind kind of its machine
     * @param cell group of workers that deduplicate each other's requests
     * @param state state of the worker
     * @param startedMillis wall-clock time of its last start in milliseconds since 1970; 0 if that was long ago
     */
    public record Entry(
            String worker,
            String host,
            int port,
            String zone,
            String kind,
            long cell,
            WorkerState state,
            long startedMillis) {}

    private static final JsonFactory JSON = new JsonFactory();
    private static final String DEFAULT_HOST = "127.0.0.1";
    private static final int MAX_PORT = 65_535;

    /** Returns the message as JSON, without a line terminator. */
    public String toJson() {
        StringWriter output = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(output)) {
            json.writeStartObject();
            json.writeStringField("kind", kind.code());
            json.writeNumberField("version", version);
            json.writeArrayFieldStart("engines");
            for (Entry entry : entries) {
                write(json, entry);
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
        return output.toString();
    }

    private static void write(JsonGenerator json, Entry entry) throws IOException {
        json.writeStartObject();
        json.writeStringField("engine", entry.worker);
        json.writeStringField("host", entry.host);
        json.writeNumberField("port", entry.port);
        json.writeStringField("hall", entry.zone);
        json.writeStringField("kind", entry.kind);
        json.writeNumberField("cell", entry.cell);
        json.writeStringField("standing", entry.state.code());
        json.writeNumberField("started", entry.startedMillis);
        json.writeEndObject();
    }

    /**
     * Parses a message; ignores unknown fields.
     *
     * @throws IOException if the text is not a valid message of the discovery service; its message has the reason
     */
    public static DiscoveryMessage parse(String text) throws IOException {
        Kind kind = null;
        long version = -1;
        List<Entry> entries = new ArrayList<>();
        try (JsonParser json = JSON.createParser(text)) {
            expect(json.nextToken() == JsonToken.START_OBJECT, "a discovery message must be a JSON object");
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                String name = json.currentName();
                json.nextToken();
                switch (name) {
                    case "kind" -> kind = Kind.parse(json.getText());
                    case "version" -> version = json.getLongValue();
                    case "engines" -> parseEntries(json, entries);
                    default -> json.skipChildren();
                }
            }
            expect(json.currentToken() == JsonToken.END_OBJECT, "a discovery message must be one complete JSON object");
        }
        expect(kind != null && version >= 0, "a discovery message must have a kind and a version");
        return new DiscoveryMessage(kind, version, List.copyOf(entries));
    }

    private static void parseEntries(JsonParser json, List<Entry> entries) throws IOException {
        expect(json.currentToken() == JsonToken.START_ARRAY, "engines must be a list");
        while (json.nextToken() == JsonToken.START_OBJECT) {
            entries.add(parseEntry(json));
        }
        expect(json.currentToken() == JsonToken.END_ARRAY, "engines must be a list of objects");
    }

    private static Entry parseEntry(JsonParser json) throws IOException {
        String worker = null;
        String host = DEFAULT_HOST;
        int port = 0;
        String zone = "";
        String kind = "";
        long cell = 0;
        WorkerState state = null;
        long startedMillis = 0;
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            json.nextToken();
            switch (name) {
                case "engine" -> worker = json.getText();
                case "host" -> host = json.getText();
                case "port" -> port = json.getIntValue();
                case "hall" -> zone = json.getText();
                case "kind" -> kind = json.getText();
                case "cell" -> cell = json.getLongValue();
                case "standing" -> state = WorkerState.parse(json.getText());
                case "started" -> startedMillis = json.getLongValue();
                default -> json.skipChildren();
            }
        }
        expect(worker != null && state != null, "an entry must have an engine and a standing");
        expect(port > 0 && port <= MAX_PORT, "an entry must have a port from 1 to 65535");
        return new Entry(worker, host, port, zone, kind, cell, state, startedMillis);
    }

    private static IOException unknownWord(String code) {
        return new IOException("unknown word " + code);
    }

    private static void expect(boolean condition, String message) throws IOException {
        if (!condition) {
            throw new IOException(message);
        }
    }
}
