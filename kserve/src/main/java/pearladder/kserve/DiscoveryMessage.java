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
 * One line of the list service: a JSON object that is a whole list, changes to it, or a sign of life ("beat").
 *
 * @param kind whole, changes or beat
 * @param version the list's version after this line; only grows
 * @param entries the engines it names
 */
public record DiscoveryMessage(Kind kind, long version, List<Entry> entries) {
    /** What a line brings. */
    public enum Kind {
        WHOLE,
        CHANGES,
        BEAT
    }

    /** An engine's standing. */
    public enum Standing {
        IN_SERVICE,
        DRAINING,
        GONE
    }

    /**
     * One engine.
     *
     * @param startedMillis wall-clock time of its last start in milliseconds since 1970; 0 where it has run for long
     * @param cell a group of engines that drop each other's repeats
     */
    public record Entry(
            String engine,
            String host,
            int port,
            String hall,
            String kind,
            long cell,
            Standing standing,
            long startedMillis) {}

    private static final JsonFactory JSON = new JsonFactory();

    /** The line as JSON, without a line end. */
    public String text() {
        StringWriter out = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.writeStartObject();
            json.writeStringField("kind", kind.name().toLowerCase(java.util.Locale.ROOT));
            json.writeNumberField("version", version);
            json.writeArrayFieldStart("engines");
            for (Entry entry : entries) {
                json.writeStartObject();
                json.writeStringField("engine", entry.engine);
                json.writeStringField("host", entry.host);
                json.writeNumberField("port", entry.port);
                json.writeStringField("hall", entry.hall);
                json.writeStringField("kind", entry.kind);
                json.writeNumberField("cell", entry.cell);
                json.writeStringField("standing", entry.standing.name().toLowerCase(java.util.Locale.ROOT));
                json.writeNumberField("started", entry.startedMillis);
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
        return out.toString();
    }

    /**
     * Reads a line.
     *
     * @throws IOException with a message that says what is wrong, where the line is not one of the list service
     */
    public static DiscoveryMessage parse(String text) throws IOException {
        Kind kind = null;
        long version = -1;
        List<Entry> entries = new ArrayList<>();
        try (JsonParser json = JSON.createParser(text)) {
            expect(json.nextToken() == JsonToken.START_OBJECT, "a list line is a JSON object");
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                String name = json.currentName();
                json.nextToken();
                switch (name) {
                    case "kind" -> kind = word(Kind.class, json.getText());
                    case "version" -> version = json.getLongValue();
                    case "engines" -> {
                        expect(json.currentToken() == JsonToken.START_ARRAY, "engines is a list");
                        while (json.nextToken() == JsonToken.START_OBJECT) {
                            entries.add(entry(json));
                        }
                        expect(json.currentToken() == JsonToken.END_ARRAY, "engines is a list of objects");
                    }
                    default -> json.skipChildren();
                }
            }
            expect(json.currentToken() == JsonToken.END_OBJECT, "a list line is one JSON object");
        }
        expect(kind != null && version >= 0, "a list line has a kind and a version");
        return new DiscoveryMessage(kind, version, List.copyOf(entries));
    }

    private static Entry entry(JsonParser json) throws IOException {
        String engine = null;
        String host = "127.0.0.1";
        int port = 0;
        String hall = "";
        String kind = "";
        long cell = 0;
        Standing standing = null;
        long started = 0;
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            json.nextToken();
            switch (name) {
                case "engine" -> engine = json.getText();
                case "host" -> host = json.getText();
                case "port" -> port = json.getIntValue();
                case "hall" -> hall = json.getText();
                case "kind" -> kind = json.getText();
                case "cell" -> cell = json.getLongValue();
                case "standing" -> standing = word(Standing.class, json.getText());
                case "started" -> started = json.getLongValue();
                default -> json.skipChildren();
            }
        }
        expect(engine != null && standing != null, "an entry has an engine and a standing");
        expect(port > 0 && port < 65536, "an entry has a port from 1 to 65535");
        return new Entry(engine, host, port, hall, kind, cell, standing, started);
    }

    private static <E extends Enum<E>> E word(Class<E> type, String word) throws IOException {
        for (E value : type.getEnumConstants()) {
            if (value.name().equalsIgnoreCase(word)) {
                return value;
            }
        }
        throw new IOException("unknown word " + word);
    }

    private static void expect(boolean holds, String what) throws IOException {
        if (!holds) {
            throw new IOException(what);
        }
    }
}
