package pearladder.settings;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.IntStream;
import pearladder.routing.api.TimeSpan;

/**
 * A value inside a JSON document, with accessors by type. Unknown keys are ignored. If the value is null or missing, an
 * accessor returns the default that it documents; if the value has another type, it throws an
 * {@link InvalidInputException} that names the path.
 *
 * @param row the reader of the line or document, which creates the exceptions
 * @param path path from the document's root, for error messages
 * @param value the value as {@link JsonRowReader#tree} returns it, or null
 */
public record JsonNodeReader(JsonRowReader row, String path, Object value) {
    /** Returns the value of a key; its value is null if the key or the object is missing. */
    public JsonNodeReader at(String key) {
        Object inner = value == null ? null : object().get(key);
        return new JsonNodeReader(row, path + "." + key, inner);
    }

    private Map<?, ?> object() {
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw row.invalidInput(path, "an object was expected");
    }

    private <T> T as(Class<T> type, String typeName, T defaultValue) {
        if (value == null) {
            return defaultValue;
        }
        if (type.isInstance(value)) {
            return type.cast(value);
        }
        throw row.invalidInput(path, typeName + " was expected");
    }

    /** Returns the string, which must not be missing. */
    public String text() {
        return row.requirePresent(path, textOr(null));
    }

    /** Returns the string, or the default. */
    public String textOr(String defaultValue) {
        return as(String.class, "a string", defaultValue);
    }

    /** Returns the boolean, or the default. */
    public boolean flag(boolean defaultValue) {
        return as(Boolean.class, "true or false", defaultValue);
    }

    /** Returns the number, or the default. */
    public double number(double defaultValue) {
        return as(Number.class, "a number", defaultValue).doubleValue();
    }

    /** Returns the whole number, or the default. */
    public int wholeNumber(int defaultValue) {
        double number = number(defaultValue);
        if (number != Math.rint(number)) {
            throw row.invalidInput(path, "a whole number was expected");
        }
        return (int) number;
    }

    /** Returns the number as a duration in nanoseconds; zero if it is missing. */
    public TimeSpan timeSpan() {
        return new TimeSpan(Math.round(number(0)));
    }

    /** Returns the converted elements of the list; empty if the list is missing. */
    public <T> List<T> each(Function<JsonNodeReader, T> conversion) {
        List<?> list = as(List.class, "a list", List.of());
        return IntStream.range(0, list.size())
                .mapToObj(i -> conversion.apply(new JsonNodeReader(row, path + "[" + i + "]", list.get(i))))
                .toList();
    }

    /** Returns the constant that the string names, which must be one of the map's keys. */
    public <T> T oneOf(Map<String, T> constantsByName) {
        T constant = constantsByName.get(text());
        if (constant == null) {
            throw row.invalidInput(path, "unknown word " + value);
        }
        return constant;
    }
}
