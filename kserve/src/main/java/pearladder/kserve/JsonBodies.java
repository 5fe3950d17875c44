package pearladder.kserve;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;

/** The small bodies that are written or read outside the tensors. */
public final class JsonBodies {
    /**
     * The model that an engine's answer names, or null where it names none before its outputs, or is no JSON. Only the head
     * of the answer is read.
     */
    public static String answeredBy(byte[] body) {
        try (JsonParser json = JSON.createParser(body)) {
            if (json.nextToken() != JsonToken.START_OBJECT) {
                return null;
            }
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
        } catch (IOException unreadable) {
            return null;
        }
    }

    /** One line of a model repository's index; state is READY, LOADING or UNAVAILABLE as published. */
    public record Indexed(String name, String state) {}

    private interface Writing {
        void to(JsonGenerator json) throws IOException;
    }

    private static final JsonFactory JSON = new JsonFactory();

    private JsonBodies() {}

    private static String written(Writing writing) {
        StringWriter out = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.writeStartObject();
            writing.to(json);
            json.writeEndObject();
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
        return out.toString();
    }

    /** The published form of every failure: {"error": "..."}. */
    public static String error(String what) {
        return written(json -> json.writeStringField("error", what));
    }

    /** Server metadata. */
    public static String server(String name, String version, List<String> extensions) {
        return written(json -> {
            json.writeStringField("name", name);
            json.writeStringField("version", version);
            json.writeArrayFieldStart("extensions");
            for (String extension : extensions) {
                json.writeString(extension);
            }
            json.writeEndArray();
        });
    }

    /** Model metadata; tensors are not known here, so their lists are empty. */
    public static String model(String name, List<String> versions) {
        return written(json -> {
            json.writeStringField("name", name);
            json.writeArrayFieldStart("versions");
            for (String version : versions) {
                json.writeString(version);
            }
            json.writeEndArray();
            json.writeStringField("platform", "pearladder");
            json.writeArrayFieldStart("inputs");
            json.writeEndArray();
            json.writeArrayFieldStart("outputs");
            json.writeEndArray();
        });
    }

    /** A load order that asks for so many copies to stand. */
    public static String load(int copies) {
        return written(json -> {
            json.writeObjectFieldStart("parameters");
            json.writeNumberField("copies", copies);
            json.writeEndObject();
        });
    }

    /** The copies that a load order asks for; 1 where it names none. */
    public static int copies(String body) throws IOException {
        if (body.isBlank()) {
            return 1;
        }
        try (JsonParser json = JSON.createParser(body)) {
            JsonToken token;
            while ((token = json.nextToken()) != null) {
                if (token == JsonToken.FIELD_NAME && json.currentName().equals("copies")) {
                    return json.nextIntValue(1);
                }
            }
        }
        return 1;
    }

    /** A repository index. */
    public static String index(List<Indexed> models) {
        StringWriter out = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.writeStartArray();
            for (Indexed model : models) {
                json.writeStartObject();
                json.writeStringField("name", model.name());
                json.writeStringField("state", model.state());
                json.writeEndObject();
            }
            json.writeEndArray();
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
        return out.toString();
    }

    /** Reads a repository index; a model that stands in several copies has as many lines. */
    public static List<Indexed> indexed(String body) throws IOException {
        List<Indexed> models = new ArrayList<>();
        try (JsonParser json = JSON.createParser(body)) {
            if (json.nextToken() != JsonToken.START_ARRAY) {
                throw new IOException("an index is a list");
            }
            while (json.nextToken() == JsonToken.START_OBJECT) {
                String name = null;
                String state = "";
                while (json.nextToken() == JsonToken.FIELD_NAME) {
                    String field = json.currentName();
                    json.nextToken();
                    if (field.equals("name")) {
                        name = json.getText();
                    } else if (field.equals("state")) {
                        state = json.getText();
                    } else {
                        json.skipChildren();
                    }
                }
                if (name == null) {
                    throw new IOException("an index line has a name");
                }
                models.add(new Indexed(name, state));
            }
        }
        return models;
    }
}
