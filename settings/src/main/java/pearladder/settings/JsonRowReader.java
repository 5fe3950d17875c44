package pearladder.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntConsumer;

/**
 * Reads one line, a JSON array, value by value, or a whole JSON document. Values that are missing at the end of a line
 * are read as null. Throws an {@link InvalidInputException} that names the line or document and the field if the input
 * is not valid JSON or a value does not have the requested type.
 */
public final class JsonRowReader {
    private final JsonParser parser;
    private final String source;
    private boolean ended;

    private JsonRowReader(JsonParser parser, String source) {
        this.parser = parser;
        this.source = source;
    }

    /** Reads a document of one value; error messages contain its name. */
    public static JsonNodeReader document(JsonParser parser, String name) {
        JsonRowReader row = new JsonRowReader(parser, name);
        return new JsonNodeReader(row, "", row.tree("value"));
    }

    /**
     * Starts reading a line, which must be an array.
     *
     * @param line number of the line, for error messages
     */
    public JsonRowReader(JsonParser parser, long line) {
        this(parser, "line " + line);
        if (read(parser::nextToken) != JsonToken.START_ARRAY) {
            throw invalidInput("message", "an array was expected");
        }
    }

    /** Opens a document of one value, to be read with {@link #eachField}; error messages contain its name. */
    public static JsonRowReader open(JsonParser parser, String name) {
        JsonRowReader row = new JsonRowReader(parser, name);
        if (row.read(parser::nextToken) == null) {
            throw row.invalidInput("value", "unexpected end of input");
        }
        return row;
    }

    /**
     * Reads the current value, an object, field by field, so that a large document is never held in memory as a whole.
     * Does nothing if the value is null.
     *
     * @param path path of the value, for error messages
     * @param reader receives each field's name; must read the field's value or skip it
     */
    public void eachField(String path, Consumer<String> reader) {
        if (parser.currentToken() == JsonToken.VALUE_NULL) {
            return;
        }
        if (parser.currentToken() != JsonToken.START_OBJECT) {
            throw invalidInput(path, "an object was expected");
        }
        while (nextWithin(path) == JsonToken.FIELD_NAME) {
            String name = read(parser::currentName);
            nextWithin(path);
            reader.accept(name);
        }
    }

    /** Reads the current value, a list, as {@link #eachField} does; the reader receives each element's index. */
    public void eachElement(String path, IntConsumer reader) {
        if (parser.currentToken() == JsonToken.VALUE_NULL) {
            return;
        }
        if (parser.currentToken() != JsonToken.START_ARRAY) {
            throw invalidInput(path, "a list was expected");
        }
        int index = 0;
        while (nextWithin(path) != JsonToken.END_ARRAY) {
            reader.accept(index++);
        }
    }

    private JsonToken nextWithin(String path) {
        JsonToken token = read(parser::nextToken);
        if (token == null) {
            throw invalidInput(path, "unexpected end of input");
        }
        return token;
    }

    /** Returns the current value of a document that is read in parts. */
    public JsonNodeReader node(String path) {
        return new JsonNodeReader(this, path, tree(path, parser.currentToken()));
    }

    /** Skips the current value. */
    public void skip() {
        read(parser::skipChildren);
    }

    private interface JsonReadOperation<T> {
        T get() throws IOException;
    }

    private <T> T read(JsonReadOperation<T> operation) {
        try {
            return operation.get();
        } catch (JsonProcessingException malformed) {
            throw new InvalidInputException(source + ": not valid JSON: " + malformed.getOriginalMessage());
        } catch (IOException unreadable) {
            throw new InvalidInputException(source + ": " + unreadable.getMessage());
        }
    }

    /** Returns an exception about a field of this line or document, for the caller to throw. */
    public InvalidInputException invalidInput(String field, String problem) {
        return new InvalidInputException(source + ", " + field + ": " + problem);
    }

    private JsonToken next(String field) {
        if (ended) {
            return JsonToken.VALUE_NULL;
        }
        JsonToken token = read(parser::nextToken);
        if (token == null) {
            throw invalidInput(field, "unexpected end of input");
        }
        if (token == JsonToken.END_ARRAY) {
            ended = true;
            return JsonToken.VALUE_NULL;
        }
        return token;
    }

    /** Reads the next value as a string, or null. */
    public String textOrNull(String field) {
        JsonToken token = next(field);
        if (token == JsonToken.VALUE_NULL) {
            return null;
        }
        if (token != JsonToken.VALUE_STRING) {
            throw invalidInput(field, "a string was expected");
        }
        return read(parser::getText);
    }

    /** Reads the next value as a string, which must not be null. */
    public String text(String field) {
        return requirePresent(field, textOrNull(field));
    }

    /** Reads the next value as a whole number, or null. */
    public Long wholeNumberOrNull(String field) {
        JsonToken token = next(field);
        if (token == JsonToken.VALUE_NULL) {
            return null;
        }
        if (token == JsonToken.VALUE_NUMBER_INT) {
            return read(parser::getLongValue);
        }
        if (token == JsonToken.VALUE_NUMBER_FLOAT) {
            double value = read(parser::getDoubleValue);
            if (value == Math.rint(value)) {
                return (long) value;
            }
        }
        throw invalidInput(field, "a whole number was expected");
    }

    /** Reads the next value as a whole number, which must not be null. */
    public long wholeNumber(String field) {
        return requirePresent(field, wholeNumberOrNull(field));
    }

    /** Reads the next value as a number, or null. */
    public Double numberOrNull(String field) {
        JsonToken token = next(field);
        if (token == JsonToken.VALUE_NULL) {
            return null;
        }
        if (token != JsonToken.VALUE_NUMBER_INT && token != JsonToken.VALUE_NUMBER_FLOAT) {
            throw invalidInput(field, "a number was expected");
        }
        return read(parser::getDoubleValue);
    }

    /** Reads the next value as a boolean; false if it is null. */
    public boolean flag(String field) {
        JsonToken token = next(field);
        if (token != JsonToken.VALUE_TRUE && token != JsonToken.VALUE_FALSE && token != JsonToken.VALUE_NULL) {
            throw invalidInput(field, "true or false was expected");
        }
        return token == JsonToken.VALUE_TRUE;
    }

    /** Reads the next value, of any type, as maps, lists, strings, numbers and booleans. */
    public Object tree(String field) {
        return tree(field, next(field));
    }

    private Object tree(String field, JsonToken token) {
        if (token == null) {
            throw invalidInput(field, "unexpected end of input");
        }
        return switch (token) {
            case START_OBJECT -> object(field);
            case START_ARRAY -> array(field);
            case VALUE_STRING -> read(parser::getText);
            case VALUE_NUMBER_INT -> (Object) read(parser::getLongValue);
            case VALUE_NUMBER_FLOAT -> (Object) read(parser::getDoubleValue);
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            default -> null;
        };
    }

    private Map<String, Object> object(String field) {
        Map<String, Object> object = new LinkedHashMap<>();
        while (read(parser::nextToken) == JsonToken.FIELD_NAME) {
            String name = read(parser::currentName);
            object.put(name, tree(field + "." + name, read(parser::nextToken)));
        }
        return object;
    }

    private List<Object> array(String field) {
        List<Object> array = new ArrayList<>();
        JsonToken token = read(parser::nextToken);
        while (token != JsonToken.END_ARRAY) {
            array.add(tree(field + "[" + array.size() + "]", token));
            token = read(parser::nextToken);
        }
        return array;
    }

    /** Returns a value, which must not be null. */
    public <T> T requirePresent(String field, T value) {
        if (value == null) {
            throw invalidInput(field, "a value is missing");
        }
        return value;
    }

    /** Reads to the end of the line; ignores further values, and rejects a second message on the line. */
    public void close() {
        while (!ended) {
            JsonToken token = read(parser::nextToken);
            if (token == null) {
                throw invalidInput("message", "unexpected end of input");
            }
            if (token == JsonToken.START_ARRAY || token == JsonToken.START_OBJECT) {
                read(parser::skipChildren);
            } else if (token == JsonToken.END_ARRAY) {
                ended = true;
            }
        }
        if (read(parser::nextToken) != null) {
            throw invalidInput("message", "one message per line was expected");
        }
    }
}
