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
import java.util.function.Consumer;

/** What was seen, a JSON object a line; a tape cut off in its last line is read up to there. */
public final class ObservationLog implements Consumer<Observation>, Closeable {
    private static final JsonFactory JSON = new JsonFactory();

    private final BufferedWriter writer;
    private final JsonGenerator json;

    /** Begins a tape; one that stands there is replaced. */
    public ObservationLog(Path file) {
        try {
            if (file.toAbsolutePath().getParent() != null) {
                Files.createDirectories(file.toAbsolutePath().getParent());
            }
            writer = Files.newBufferedWriter(file);
            json = JSON.createGenerator(writer);
            json.setPrettyPrinter(new MinimalPrettyPrinter("\n"));
            json.disable(JsonGenerator.Feature.FLUSH_PASSED_TO_STREAM);
        } catch (IOException broken) {
            throw new UncheckedIOException("the tape can't be written: " + file, broken);
        }
    }

    @Override
    public synchronized void accept(Observation seen) {
        try {
            json.writeStartObject();
            json.writeNumberField("at", seen.at());
            json.writeStringField("what", seen.what());
            field("router", seen.router());
            field("call", seen.call());
            if (seen.leg() != 0) {
                json.writeNumberField("leg", seen.leg());
            }
            field("engine", seen.engine());
            field("model", seen.model());
            field("note", seen.note());
            if (seen.figure() != 0) {
                json.writeNumberField("figure", seen.figure());
            }
            json.writeEndObject();
        } catch (IOException broken) {
            throw new UncheckedIOException("the tape can't be written", broken);
        }
    }

    private void field(String name, String value) throws IOException {
        if (!value.isEmpty()) {
            json.writeStringField(name, value);
        }
    }

    /** Puts on disk what was seen up to now. */
    public synchronized void flush() {
        try {
            json.flush();
            writer.flush();
        } catch (IOException broken) {
            throw new UncheckedIOException("the tape can't be written", broken);
        }
    }

    @Override
    public synchronized void close() throws IOException {
        json.close();
    }

    /** Reads a tape line by line; returns how many lines were not whole (at most the last of a run cut off). */
    public static int read(Path file, Consumer<Observation> out) throws IOException {
        int torn = 0;
        try (BufferedReader reader = Files.newBufferedReader(file)) {
            String line;
            while ((line = reader.readLine()) != null) {
                Observation seen = parse(line);
                if (seen == null) {
                    torn++;
                } else {
                    out.accept(seen);
                }
            }
        }
        return torn;
    }

    private static Observation parse(String line) {
        long at = 0;
        String[] texts = {"", "", "", "", "", ""};
        int leg = 0;
        double figure = 0;
        try (JsonParser parser = JSON.createParser(line)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                return null;
            }
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                parser.nextToken();
                switch (name) {
                    case "at" -> at = parser.getLongValue();
                    case "leg" -> leg = parser.getIntValue();
                    case "figure" -> figure = parser.getDoubleValue();
                    case "what" -> texts[0] = parser.getText();
                    case "router" -> texts[1] = parser.getText();
                    case "call" -> texts[2] = parser.getText();
                    case "engine" -> texts[3] = parser.getText();
                    case "model" -> texts[4] = parser.getText();
                    case "note" -> texts[5] = parser.getText();
                    default -> parser.skipChildren();
                }
            }
            return parser.currentToken() != JsonToken.END_OBJECT
                    ? null
                    : new Observation(at, texts[0], texts[1], texts[2], leg, texts[3], texts[4], texts[5], figure);
        } catch (IOException torn) {
            return null;
        }
    }
}
