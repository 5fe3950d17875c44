package pearladder.kserve;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;

/** Reads and writes those JSON bodies of KServe v2 that contain no tensors. */
public final class JsonBodies {
    /**
     * An entry of a model repository's index.
     *
     * @param name name of the model
     * @param state READY, LOADING or UNAVAILABLE, as the protocol defines them
     */
    public record IndexedModel(String name, String state) {}

    private interface JsonWriter {
        void write(JsonGenerator json) throws IOException;
    }

    private static final JsonFactory JSON = new JsonFactory();

    private JsonBodies() {}

    /**
     * Returns the model that a worker's response names. Reads only the fields before the outputs.
     *
     * @return null if the body has no model name before its outputs, or is not JSON
     */
    public static String respondingModel(byte[] body) {
        try (JsonParser json = JSON.createParser(body)) {
            return json.nextToken() == JsonToken.START_OBJECT ? modelName(json) : null;
        } catch (IOException malformed) {
            return null;
        }
    }

    private static String modelName(JsonParser json) throws IOException {
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            JsonToken value = json.nextToken();
            if (name.equals("model_name")) {
                return value == JsonToken.VALUE_STRING ? json.getText() : null;
            }
            if (name.equals("outputs")) {
                return null;
            }
            json.skipChildren();
        }
        return null;
    }

    private static String write(JsonWriter writer) {
        StringWriter output = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(output)) {
            writer.write(json);
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
        return output.toString();
    }

    private static String writeObject(JsonWriter fields) {
        return write(json -> {
            json.writeStartObject();
            fields.write(json);
            json.writeEndObject();
        });
    }

    private static void writeStrings(JsonGenerator json, String field, List<String> values) throws IOException {
        json.writeArrayFieldStart(field);
        for (String value : values) {
            json.writeString(value);
        }
        json.writeEndArray();
    }

    /** Returns an error body as the protocol defines it: {"error": "..."}. */
    public static String error(String message) {
        return writeObject(json -> json.writeStringField("error", message));
    }

    /** Returns a body with server metadata. */
    public static String server(String name, String version, List<String> extensions) {
        return writeObject(json -> {
            json.writeStringField("name", name);
            json.writeStringField("version", version);
            writeStrings(json, "extensions", extensions);
        });
    }

    /** Returns a body with model metadata; its lists of tensors are empty because tensors are not known here. */
    public static String model(String name, List<String> versions) {
        return writeObject(json -> {
            json.writeStringField("name", name);
            writeStrings(json, "versions", versions);
            json.writeStringField("platform", "pearladder");
            writeStrings(json, "inputs", List.of());
            writeStrings(json, "outputs", List.of());
        });
    }

    /** Returns the body of a load request for a number of instances. */
    public static String load(int instances) {
        return writeObject(json -> {
            json.writeObjectFieldStart("parameters");
            json.writeNumberField("copies", instances);
            json.writeEndObject();
        });
    }

    /** Returns the number of instances that a load request asks for; 1 if not given. */
    public static int requestedInstances(String body) throws IOException {
        if (body.isBlank()) {
            return 1;
        }
        try (JsonParser json = JSON.createParser(body)) {
            for (JsonToken token = json.nextToken(); token != null; token = json.nextToken()) {
                if (token == JsonToken.FIELD_NAME && json.currentName().equals("copies")) {
                    return json.nextIntValue(1);
                }
            }
        }
        return 1;
    }

    /** Returns the body of a repository index. */
    public static String index(List<IndexedModel> models) {
        return write(json -> {
            json.writeStartArray();
            for (IndexedModel model : models) {
                json.writeStartObject();
                json.writeStringField("name", model.name());
                json.writeStringField("state", model.state());
                json.writeEndObject();
            }
            json.writeEndArray();
        });
    }

    /** Parses a repository index, which has one entry for each instance of a model. */
    public static List<IndexedModel> parseIndex(String body) throws IOException {
        List<IndexedModel> models = new ArrayList<>();
        try (JsonParser json = JSON.createParser(body)) {
            if (json.nextToken() != JsonToken.START_ARRAY) {
                throw new IOException("a repository index must be a list");
            }
            while (json.nextToken() == JsonToken.START_OBJECT) {
                models.add(parseIndexed(json));
            }
        }
        return models;
    }

    private static IndexedModel parseIndexed(JsonParser json) throws IOException {
        String name = null;
        String state = "";
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String field = json.currentName();
            json.nextToken();
            switch (field) {
                case "name" -> name = json.getText();
                case "state" -> state = json.getText();
                default -> json.skipChildren();
            }
        }
        if (name == null) {
            throw new IOException("an entry of a repository index must have a name");
        }
        return new IndexedModel(name, state);
    }
}
