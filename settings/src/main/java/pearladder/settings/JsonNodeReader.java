package pearladder.settings;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.IntStream;
import pearladder.routing.api.TimeSpan;

/**
 * A value inside a JSON document, read by type. Unknown keys are ignored. Where a value is null or missing, the methods
 * return the default that they state; where it has another type, they throw an {@link InvalidInputException} that
 * names the path.
 *
 * @param row the reader of the line or document, which names it in errors
 * @param path from the document's root, for errors
 * @param value as {@link JsonRowReader#tree} returns it, or null
 */
public record JsonNodeReader(JsonRowReader row, String path, Object value) {
    /** The value of a key; null where the key or the object is missing. */
    public JsonNodeReader at(String key) {
        Object inner = value == null ? null : object().get(key);
        return new JsonNodeReader(row, path + "." + key, inner);
    }

    private Map<?, ?> object() {
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw row.bad(path, "an object was expected");
    }

    private <T> T as(Class<T> type, String typeName, T defaultValue) {
        if (value == null) {
            return defaultValue;
        }
        if (type.isInstance(value)) {
            return type.cast(value);
        }
        throw row.bad(path, typeName + " was expected");
    }

    /** The text, which must not be missing. */
    public String text() {
        return row.present(path, textOr(null));
    }

    /** The text, or the default. */
    public String textOr(String defaultValue) {
        return as(String.class, "a text", defaultValue);
    }

    /** The boolean, or the default. */
    public boolean flag(boolean defaultValue) {
        return as(Boolean.class, "true or false", defaultValue);
    }

    /** The number, or the default. */
    public double number(double defaultValue) {
        return as(Number.class, "a number", defaultValue).doubleValue();
    }

    /** The whole number, or the default. */
    public int whole(int defaultValue) {
        double number = number(defaultValue);
        if (number != Math.rint(number)) {
            throw row.bad(path, "a whole number was expected");
        }
        return (int) number;
    }

    /** The number as a span in nanoseconds; zero where it is missing. */
    public TimeSpan span() {
        return new TimeSpan(Math.round(number(0)));
    }

    /** The elements of the list, each converted; empty where the list is missing. */
    public <T> List<T> each(Function<JsonNodeReader, T> conversion) {
        List<?> list = as(List.class, "a list", List.of());
        return IntStream.range(0, list.size())
                .mapToObj(i -> conversion.apply(new JsonNodeReader(row, path + "[" + i + "]", list.get(i))))
                .toList();
    }

    /** What the text stands for, which must be one of the words. */
    public <T> T oneOf(Map<String, T> words) {
        T meaning = words.get(text());
        if (meaning == null) {
            throw row.bad(path, "unknown word " + value);
        }
        return meaning;
    }
}
