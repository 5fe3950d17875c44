package pearladder.emulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.util.MinimalPrettyPrinter;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A file of observations, one JSON object a line; fields that do not apply are left out. A file whose last line is
 * incomplete, as after a crash, can be read up to there. Safe for use by several threads.
 */
public final class ObservationLog implements Consumer<Observation>, Closeable {
    private static final JsonFactory JSON = new JsonFactory();
    private static final String AT = "at";
    private static final String EVENT = "what";
    private static final String ROUTER = "router";
    private static final String REQUEST_ID = "call";
    private static final String ATTEMPT = "leg";
    private static final String WORKER = "engine";
    private static final String MODEL = "model";
    private static final String NOTE = "note";
    private static final String VALUE = "figure";

    private final BufferedWriter writer;
    private final JsonGenerator json;

    /**
     * Creates a log file, replacing an existing one, and its missing parent folders.
     *
     * @throws UncheckedIOException if the file cannot be written
     */
    public ObservationLog(Path file) {
        try {
            Path folder = file.toAbsolutePath().getParent();
            if (folder != null) {
                Files.createDirectories(folder);
            }
            writer = Files.newBufferedWriter(file);
            json = JSON.createGenerator(writer);
            json.setPrettyPrinter(new MinimalPrettyPrinter("\n"));
            json.disable(JsonGenerator.Feature.FLUSH_PASSED_TO_STREAM);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot create observation log " + file, e);
        }
    }

    @Override
    public synchronized void accept(Observation observation) {
        try {
            json.writeStartObject();
            json.writeNumberField(AT, observation.at());
            json.writeStringField(EVENT, observation.event());
            writeUnlessEmpty(ROUTER, observation.router());
            writeUnlessEmpty(REQUEST_ID, observation.requestId());
            if (observation.attempt() != 0) {
                json.writeNumberField(ATTEMPT, observation.attempt());
            }
            writeUnlessEmpty(WORKER, observation.worker());
            writeUnlessEmpty(MODEL, observation.model());
            writeUnlessEmpty(NOTE, observation.note());
            if (observation.value() != 0) {
                json.writeNumberField(VALUE, observation.value());
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write to the observation log", e);
        }
    }

    private void writeUnlessEmpty(String name, String value) throws IOException {
        if (!value.isEmpty()) {
            json.writeStringField(name, value);
        }
    }

    /** Flushes all observations so far to the file. */
    public synchronized void flush() {
        try {
            json.flush();
            writer.flush();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write to the observation log", e);
        }
    }

    @Override
    public synchronized void close() throws IOException {
        json.close();
    }

    /**
     * Reads a log line by line.
     *
     * @return number of malformed lines; after a crash at most the last line of each run is malformed
     */
    public static int read(Path file, Consumer<Observation> receiver) throws IOException {
        int malformed = 0;
        try (BufferedReader reader = Files.newBufferedReader(file)) {
            String line;
            while ((line = reader.readLine()) != null) {
                Optional<Observation> observation = parse(line);
                observation.ifPresent(receiver);
                malformed += observation.isPresent() ? 0 : 1;
            }
        }
        return malformed;
    }

    /** The field values of a line while it is parsed. */
    private static final class Fields {
        long at;
        String event = "";
        String router = "";
        String requestId = "";
        int attempt;
        String worker = "";
        String model = "";
        String note = "";
        double value;

        /** Stores the parser's current value under a field name; unknown fields are skipped. */
        void set(String name, JsonParser parser) throws IOException {
            switch (name) {
                case AT -> at = parser.getLongValue();
                case EVENT -> event = parser.getText();
                case ROUTER -> router = parser.getText();
                case REQUEST_ID -> requestId = parser.getText();
                case ATTEMPT -> attempt = parser.getIntValue();
                case WORKER -> worker = parser.getText();
                case MODEL -> model = parser.getText();
                case NOTE -> note = parser.getText();
                case VALUE -> value = parser.getDoubleValue();
                default -> parser.skipChildren();
            }
        }

        Observation toObservation() {
            return new Observation(at, event, router, requestId, attempt, worker, model, note, value);
        }
    }

    /** Parses a line; returns empty if it is malformed. */
    private static Optional<Observation> parse(String line) {
        Fields fields = new Fields();
        try (JsonParser parser = JSON.createParser(line)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                return Optional.empty();
            }
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                parser.nextToken();
                fields.set(name, parser);
            }
            return parser.currentToken() == JsonToken.END_OBJECT
                    ? Optional.of(fields.toObservation())
                    : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
